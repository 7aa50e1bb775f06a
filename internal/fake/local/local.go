// Package local serves the HTTP handlers of the fakes on loopback TCP, and has the helpers for
// requests and answers that they share.
package local

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/core/clock"
)

var (
	// ErrListen is the class of errors when an address can't be listened on.
	ErrListen = errs.Class("listen")
	// ErrControl is the class of control requests that a fake did not carry out.
	ErrControl = errs.Class("order")
)

const (
	// maxBody is the largest accepted body of a control request, and the most that is read of
	// an error answer, in bytes.
	maxBody = 1 << 20
	// bindTimeout is how long listening on an address that is in use is retried, and
	// bindPause the time between attempts.
	bindTimeout = 2 * time.Second
	bindPause   = 10 * time.Millisecond
)

// Server serves a handler on one TCP address.
type Server struct {
	srv  *http.Server
	addr string
	done chan struct{}
	// drained is closed when all connections that were open at StopListening are closed.
	drained chan struct{}
}

// Listen serves srv.Handler on a TCP address; port 0 selects a free port. The listener is passed
// through wrap if that is not nil. Its errors are of class ErrListen.
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

// bind listens on an address and retries for a while if it is in use: while a port is closed, the
// system may assign it to an outgoing connection.
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

// StopListening closes the listener and waits until it is closed. Connections are closed after the
// answer to the request in flight on them. It may be called once.
func (s *Server) StopListening() {
	s.drained = make(chan struct{})
	go func() {
		defer close(s.drained)
		_ = s.srv.Shutdown(context.Background())
	}()
	<-s.done
}

// Close closes the listener and all connections, and waits until the listener is no longer
// served.
func (s *Server) Close() {
	_ = s.srv.Close()
	<-s.done
	if s.drained != nil {
		<-s.drained
	}
}

// Cut closes the connection of the current request without sending another byte. It panics with
// http.ErrAbortHandler.
func Cut() { panic(http.ErrAbortHandler) }

// SendControl sends a control request to a fake, with a JSON body if that is not empty, on a
// connection of its own. Its errors are of class ErrControl.
func SendControl(method, url, body string) error {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return ErrControl.Wrap(err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ErrControl.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxBody))
		return ErrControl.New("%s %s: status %d: %s", method, url, resp.StatusCode, reason)
	}
	return nil
}

// ReadJSON decodes the JSON body of a request into v. Fields that v does not have are an error. On
// an error it answers with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		Fail(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// WriteJSON answers with a status and with v encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Fail answers with a status and a JSON body with the reason.
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

// FreeAddrs returns n loopback addresses with distinct ports that nothing listens on. It listens
// on all of them until the last one is chosen, so that none is returned twice. Its errors are of
// class ErrListen.
func FreeAddrs(n int) ([]string, error) {
	listeners := make([]net.Listener, 0, n)
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	out := make([]string, n)
	for i := range out {
		l, err := listenBelowEphemeral()
		if err != nil {
			return nil, ErrListen.Wrap(err)
		}
		listeners = append(listeners, l)
		out[i] = l.Addr().String()
	}
	return out, nil
}

const (
	// firstPort and lastPort bound the ports of FreeAddrs. They are below those that the system
	// gives to servers without a fixed port, which could otherwise take a port between FreeAddrs and
	// its use.
	firstPort, lastPort = 20000, 29999
	// portAttempts is the number of ports that are tried for one address.
	portAttempts = 50
)

// listenBelowEphemeral listens on a random port between firstPort and lastPort.
func listenBelowEphemeral() (net.Listener, error) {
	var l net.Listener
	var err error
	for range portAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		if l, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port))); err == nil {
			return l, nil
		}
	}
	return nil, err
}
