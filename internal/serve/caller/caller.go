// Package caller serves callers over HTTP: it parses and checks requests, runs them, and writes the
// answers.
package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/trace"

	"chervilgauge.example/chervilgauge/internal/serve/flows"
	watch "chervilgauge.example/chervilgauge/internal/watch/trace"
)

// Err is the error class of failures of the callers' listener.
var Err = errs.Class("callers")

// Runner runs calls and returns their results.
type Runner interface {
	Run(ctx context.Context, c *flows.Call) flows.Result
}

// Limits bounds the resources that one request may use.
type Limits struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxRunTime is the longest time from a request's arrival to its answer.
	MaxRunTime time.Duration
	// HeaderTimeout is the longest time to receive a request's header.
	HeaderTimeout time.Duration
}

// Server is the callers' listener.
type Server struct {
	srv  *http.Server
	done chan error
}

type handler struct {
	runner Runner
	limits Limits
	wall   func() time.Time
}

// idleTimeout is how long a keep-alive connection may be idle before it is closed.
const idleTimeout = 90 * time.Second

// Serve starts to serve callers. A nil provider means that no spans are written.
func Serve(lis net.Listener, r Runner, l Limits, wall func() time.Time, p trace.TracerProvider) *Server {
	e := echo.New()
	h := &handler{runner: r, limits: l, wall: wall}
	e.HTTPErrorHandler = handleError
	e.POST("/v1/call/:service", h.call)
	srv := &http.Server{
		Handler:           withTracing(e, p),
		ReadHeaderTimeout: l.HeaderTimeout,
		ReadTimeout:       l.MaxRunTime,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s := &Server{srv: srv, done: make(chan error, 1)}
	go func() { s.done <- srv.Serve(lis) }()
	return s
}

// maxHeaderBytes bounds a request's header.
const maxHeaderBytes = 16 << 10

func withTracing(h http.Handler, p trace.TracerProvider) http.Handler {
	if p == nil {
		return h
	}
	return otelhttp.NewHandler(h, "call",
		otelhttp.WithTracerProvider(p),
		otelhttp.WithPropagators(watch.Propagator()))
}

// Close stops accepting connections, finishes the requests in flight and closes the idle
// connections. At the end of the context the remaining connections are closed. Errors are of class
// Err.
func (s *Server) Close(ctx context.Context) error {
	err := s.srv.Shutdown(ctx)
	if err != nil {
		err = errs.Combine(err, s.srv.Close())
	}
	<-s.done
	return Err.Wrap(err)
}

// SetKeepAlive sets whether connections are kept open after an answer. It is turned off while the
// entry stops, so that callers connect to other entries.
func (s *Server) SetKeepAlive(on bool) { s.srv.SetKeepAlivesEnabled(on) }

func (h *handler) call(c echo.Context) error {
	call, bad := h.parse(c)
	if bad != nil && call.Repeated {
		// An earlier request with the same id may have run.
		return writeProblem(c, bad.status, outcomeUnknown, bad.reason, 0)
	}
	if bad != nil {
		return writeNotRun(c, bad.status, bad.reason, 0)
	}
	c.Response().Header().Set(headerID, call.RequestID)
	return writeResult(c, h.runner.Run(c.Request().Context(), call))
}
