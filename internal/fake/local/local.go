// Package local serves the HTTP handlers of the fakes on loopback TCP and holds the
// request and answer helpers that they share.
package local

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/core/clock"
)

var (
	// ErrListen is the class of failures to listen on an address.
	ErrListen = errs.Class("listen")
	// ErrOrder is the class of orders that a fake did not carry out.
	ErrOrder = errs.Class("order")
)

const (
	// maxOrder is the largest accepted body of an order in bytes.
	maxOrder = 1 << 20
	// bindTimeout bounds the attempts to listen on an address that is in use, and
	// bindPause is the time between them.
	bindTimeout = 2 * time.Second
	bindPause   = 10 * time.Millisecond
)

// Server serves a handler on one TCP address.
type Server struct {
	srv  *http.Server
	addr string
	done chan struct{}
	// drained is closed when the connections are closed that were open at Refuse.
	drained chan struct{}
}

// Listen serves srv.Handler on a TCP address; port 0 selects a free port. The
// listener is passed through wrap if that is not nil. It returns an ErrListen.
func Listen(addr string, srv *http.Server, wrap func(net.Listener) net.Listener) (*Server, error) {
	l, err := bind(addr)
	if err != nil {
		return nil, ErrListen.Wrap(err)
	}
	s := &Server{srv: srv, addr: l.Addr().String(), done: make(chan struct{})}
	if wrap != nil {
		l = wrap(l)
	}
	go func() {
		defer close(s.done)
		_ = srv.Serve(l)
	}()
	return s, nil
}

// bind listens on an address and tries again for a while if it is in use: while a
// port is closed, the system may give it to an outgoing connection.
func bind(addr string) (net.Listener, error) {
	clk := clock.NewSystem()
	for {
		l, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || clk.Now() > bindTimeout {
			return l, err
		}
		Pause(clk, bindPause, nil)
	}
}

// Addr returns the host and port.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL without a trailing slash.
func (s *Server) URL() string { return "http://" + s.addr }

// Refuse closes the listener and waits for that. Connections are closed after the
// answer to the request that is in flight on them. It may be called once.
func (s *Server) Refuse() {
	s.drained = make(chan struct{})
	go func() {
		defer close(s.drained)
		_ = s.srv.Shutdown(context.Background())
	}()
	<-s.done
}

// Close closes the listener and all connections, and waits until the listener is
// no longer served.
func (s *Server) Close() {
	_ = s.srv.Close()
	<-s.done
	if s.drained != nil {
		<-s.drained
	}
}

// Cut closes the connection of the current request without a further byte. It does
// not return.
func Cut() { panic(http.ErrAbortHandler) }

// Order sends an order to a fake, with a JSON body if that is not empty. The
// connection is not kept. It returns an ErrOrder.
func Order(method, url, body string) error {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return ErrOrder.Wrap(err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ErrOrder.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxOrder))
		return ErrOrder.New("%s %s: status %d: %s", method, url, resp.StatusCode, reason)
	}
	return nil
}

// ReadOrder decodes the JSON body of an order into v. Fields that v does not have
// are an error. If it fails it answers 400 and returns false.
func ReadOrder(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		Fail(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// WriteJSON answers with a status and v encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Fail answers with a status and a JSON body that holds the reason.
func Fail(w http.ResponseWriter, status int, reason string) {
	WriteJSON(w, status, struct {
		Error string `json:"error"`
	}{reason})
}

// Pause waits for d and returns true, or returns false as soon as quit is closed.
func Pause(clk clock.Clock, d time.Duration, quit <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := clk.After(d)
	defer t.Close()
	select {
	case <-t.C:
		return true
	case <-quit:
		return false
	}
}

// Millis converts milliseconds to a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// FreeAddrs returns loopback addresses with distinct ports that nothing listens on. All
// are held until the last one is chosen, so that none is given out twice. It returns an
// ErrListen.
func FreeAddrs(n int) ([]string, error) {
	held := make([]net.Listener, 0, n)
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, ErrListen.Wrap(err)
		}
		held = append(held, l)
		out[i] = l.Addr().String()
	}
	return out, nil
}
