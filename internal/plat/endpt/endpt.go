// Package endpt implements ports.Endpoint over HTTP/1.1. It makes a single attempt for each call
// and returns only answers whose request id, length and digest are verified.
package endpt

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/core/ports"
)

var (
	// ErrEcho is the class of answers that don't echo the id of the request.
	ErrEcho = errs.Class("answer to another request")
	// ErrDigest is the class of answers whose digest is missing, malformed or not that of
	// the body.
	ErrDigest = errs.Class("content digest")
	// ErrLength is the class of answers whose body ends early.
	ErrLength = errs.Class("truncated answer")
	// ErrStatus is the class of probes that are answered with another status than 200.
	ErrStatus = errs.Class("probe status")
)

const (
	// maxBuffered is the largest declared length, in bytes, of an answer that is buffered
	// and verified before Call returns. Other answers are streamed.
	maxBuffered = 256 << 10
	// maxHeader is the largest size of the header of an answer in bytes.
	maxHeader = 64 << 10
	// maxDrain is the largest unread part of a body, in bytes, that is read so that its
	// connection can be reused.
	maxDrain = 4 << 10
	// defaultConns is the number of connections that an endpoint accepts.
	defaultConns       = 64
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
)

// Client implements ports.Endpoint.
type Client struct {
	transport *http.Transport
	rt        http.RoundTripper
}

var _ ports.Endpoint = (*Client)(nil)

type options struct {
	conns int
	dial  time.Duration
	idle  time.Duration
	wrap  func(http.RoundTripper) http.RoundTripper
}

// Option configures a Client.
type Option func(*options)

// WithMaxConns sets the maximum number of connections to each endpoint, 64 by default. A call
// waits for a connection while all of them are in use.
func WithMaxConns(n int) Option { return func(o *options) { o.conns = n } }

// WithDialTimeout sets the longest time to connect, 1 s by default.
func WithDialTimeout(d time.Duration) Option { return func(o *options) { o.dial = d } }

// WithIdleTimeout sets the time after which an idle connection is closed, 30 s by default. It
// should be shorter than the idle timeout of the endpoints, because a request that is sent while
// the endpoint closes the connection has an unknown outcome.
func WithIdleTimeout(d time.Duration) Option { return func(o *options) { o.idle = d } }

// WithWrapper sets a function that wraps the transport, for example to add trace headers. The
// wrapped transport must make at most one attempt for each call.
func WithWrapper(w func(http.RoundTripper) http.RoundTripper) Option {
	return func(o *options) { o.wrap = w }
}

// New returns a client. It opens connections when calls need them.
func New(opts ...Option) *Client {
	s := options{conns: defaultConns, dial: defaultDialTimeout, idle: defaultIdleTimeout}
	for _, o := range opts {
		o(&s)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	t := &http.Transport{
		DialContext:            dialer(s.dial),
		Protocols:              &protocols,
		DisableCompression:     true,
		MaxConnsPerHost:        s.conns,
		MaxIdleConnsPerHost:    s.conns,
		IdleConnTimeout:        s.idle,
		MaxResponseHeaderBytes: maxHeader,
	}
	c := &Client{transport: t, rt: t}
	if s.wrap != nil {
		c.rt = s.wrap(t)
	}
	return c
}

// Close closes the idle connections. It doesn't interrupt calls in progress.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Call makes one attempt. It returns a *ports.NotSentError if no byte of the request was
// written, a *ports.RefusedError if the endpoint refused the request without running it, and a
// *ports.UnknownOutcomeError for every other failure. The attempt ends with ctx, or after
// r.Timeout if ctx has no deadline. A negative r.Timeout is a deadline that has passed.
func (c *Client) Call(ctx context.Context, addr string, r ports.Request) (*ports.Answer, error) {
	if r.Timeout < 0 {
		return nil, &ports.NotSentError{Addr: addr, Cause: context.DeadlineExceeded}
	}
	ctx, cancel := withTimeout(ctx, r.Timeout)
	a := &attempt{addr: addr}
	resp, err := c.rt.RoundTrip(a.request(ctx, &r))
	if err != nil {
		cancel()
		return nil, a.noAnswerError(err)
	}
	ans, err := a.verify(resp, r.ID, cancel)
	if err != nil {
		_ = resp.Body.Close()
		cancel()
	}
	return ans, err
}

// withTimeout sets a timeout for a context that has no deadline. A timeout of 0 sets none.
func withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok || timeout == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, timeout)
}

// Probe checks that an endpoint answers with status 200 and reports whether it is leaving. It
// returns a *ports.NotSentError or a *ports.UnknownOutcomeError.
func (c *Client) Probe(ctx context.Context, addr string) (bool, error) {
	a := &attempt{addr: addr}
	req := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: addr, Path: "/probe"},
		Header: http.Header{},
	}
	resp, err := c.rt.RoundTrip(req.WithContext(a.withTrace(ctx)))
	if err != nil {
		return false, a.noAnswerError(err)
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return false, &ports.UnknownOutcomeError{Addr: addr, Cause: ErrStatus.New("%d", resp.StatusCode)}
	}
	return isLeaving(resp.Header), nil
}

// isLeaving reports whether the header announces that the endpoint accepts no new work.
func isLeaving(h http.Header) bool { return h.Get("Leaving") == "true" }

// drainAndClose reads up to maxDrain bytes of a body and closes it.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
	_ = body.Close()
}

// attempt is the state of one attempt. It contains the parts of the request, so that they need
// only one allocation.
type attempt struct {
	addr   string
	trace  httptrace.ClientTrace
	url    url.URL
	body   bytes.Reader
	values [3]string // of headers: request id, content type, timeout
	// connected reports whether the transport obtained a connection, also one that is not a
	// *conn.
	connected bool
	conn      *conn
	// mark is the number of writes on the connection before this attempt.
	mark uint64
}

// withTrace returns a context with a trace that calls gotConn.
func (a *attempt) withTrace(ctx context.Context) context.Context {
	a.trace.GotConn = a.gotConn
	return httptrace.WithClientTrace(ctx, &a.trace)
}

// gotConn stores the connection of the attempt. The transport calls it again with another
// connection if the first one was closed before a write.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.connected = true
	a.conn, _ = info.Conn.(*conn)
	if a.conn != nil {
		a.mark = a.conn.writes()
	}
}

// request builds the request. It has no GetBody and no Idempotency-Key header, so that the
// transport doesn't replay it.
func (a *attempt) request(ctx context.Context, r *ports.Request) *http.Request {
	a.url = url.URL{Scheme: "http", Host: a.addr, Path: "/run/" + r.Service}
	h := make(http.Header, 4)
	a.values = [3]string{r.ID, r.ContentType, ""}
	h["Request-Id"] = a.values[0:1:1]
	if r.ContentType != "" {
		h["Content-Type"] = a.values[1:2:2]
	}
	if r.Timeout > 0 {
		ms := max(1, r.Timeout.Milliseconds())
		a.values[2] = strconv.FormatInt(ms, 10)
		h["Request-Timeout"] = a.values[2:3:3]
	}
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           &a.url,
		Header:        h,
		ContentLength: int64(len(r.Body)),
		Body:          http.NoBody,
	}
	if len(r.Body) > 0 {
		// The transport recognises this type as non-blocking and therefore sends the
		// header and the body in one write.
		a.body.Reset(r.Body)
		req.Body = io.NopCloser(&a.body)
	}
	return req.WithContext(a.withTrace(ctx))
}

// noAnswerError returns the error of an attempt without an answer: a *ports.NotSentError if it
// is certain that nothing was written, else a *ports.UnknownOutcomeError. It closes the
// connection, so that nothing is written later.
func (a *attempt) noAnswerError(err error) error {
	if !a.connected || a.conn != nil && a.conn.seal(a.mark) {
		return &ports.NotSentError{Addr: a.addr, Cause: err}
	}
	return &ports.UnknownOutcomeError{Addr: a.addr, Cause: err}
}

// badAnswerError returns the error of an attempt with an invalid answer. It closes the
// connection, because the next bytes on it may belong to another answer.
func (a *attempt) badAnswerError(cause error) error {
	if a.conn != nil {
		a.conn.seal(a.mark)
	}
	return &ports.UnknownOutcomeError{Addr: a.addr, Cause: cause}
}

// dialer returns a dial function with a timeout, whose connections are of type *conn.
func dialer(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}
