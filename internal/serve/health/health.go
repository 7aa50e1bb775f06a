// Package health serves /healthz and /readyz for the load balancer and /metrics for scraping.
package health

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"
)

// Err is the error class of failures of the health listener.
var Err = errs.Class("health")

const headerTimeout = 5 * time.Second

// Server serves the health and metrics endpoints.
type Server struct {
	srv  *http.Server
	done chan error
}

// Serve starts to serve. The function ready reports whether the entry accepts requests, and if not,
// why.
func Serve(lis net.Listener, ready func() (bool, string), metrics http.Handler) *Server {
	e := echo.New()
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error { return writeReadiness(c, ready) })
	e.GET("/metrics", echo.WrapHandler(metrics))
	s := &Server{
		srv:  &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout},
		done: make(chan error, 1),
	}
	go func() { s.done <- s.srv.Serve(lis) }()
	return s
}

// Close stops the server and waits for its requests. Errors are of class Err.
func (s *Server) Close() error {
	err := s.srv.Shutdown(context.Background())
	<-s.done
	return Err.Wrap(err)
}

func writeReadiness(c echo.Context, ready func() (bool, string)) error {
	ok, reason := ready()
	if ok {
		return c.String(http.StatusOK, "ready\n")
	}
	return c.String(http.StatusServiceUnavailable, "not ready: "+reason+"\n")
}
