// Package endpt implements ports.Endpoint over HTTP/1.1: it makes a single attempt
// for each call and returns only answers whose sender, length and digest are verified.
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
	// ErrEcho is the class of answers that do not echo the id of the request.
	ErrEcho = errs.Class("answer to another request")
	// ErrDigest is the class of answers whose digest is missing, malformed or
	// different from that of the body.
	ErrDigest = errs.Class("content digest")
	// ErrLength is the class of answers that end before their declared length.
	ErrLength = errs.Class("truncated answer")
	// ErrStatus is the class of probes that are not answered with status 200.
	ErrStatus = errs.Class("probe status")
)

const (
	// maxWhole is the largest declared length, in bytes, of an answer that is
	// buffered and verified as a whole.
	maxWhole = 256 << 10
	// maxHeader bounds the header of an answer in bytes.
	maxHeader = 64 << 10
	// maxDrain is the largest rest of a body, in bytes, that is read so that its
	// connection can be used again.
	maxDrain = 4 << 10
	// defaultConns is the number of connections that an executor accepts.
	defaultConns       = 64
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 30 * time.Second
)

// Client is a ports.Endpoint.
type Client struct {
	transport *http.Transport
	rt        http.RoundTripper
}

var _ ports.Endpoint = (*Client)(nil)

type settings struct {
	conns int
	dial  time.Duration
	idle  time.Duration
	wrap  func(http.RoundTripper) http.RoundTripper
}

// Option changes a Client at construction.
type Option func(*settings)

// WithMaxConns sets the highest number of connections to each endpoint, 64 by
// default. A call that finds all of them in use waits for one.
func WithMaxConns(n int) Option { return func(s *settings) { s.conns = n } }

// WithDialTimeout bounds the time to connect, 1 s by default.
func WithDialTimeout(d time.Duration) Option { return func(s *settings) { s.dial = d } }

// WithIdleTimeout sets the time after which an unused connection is closed, 30 s by
// default. It should be shorter than the endpoints' own, because a request that is
// sent while the endpoint closes the connection is broken.
func WithIdleTimeout(d time.Duration) Option { return func(s *settings) { s.idle = d } }

// WithWrapper wraps the transport, for example to add trace headers. The wrapper must
// make at most one attempt.
func WithWrapper(w func(http.RoundTripper) http.RoundTripper) Option {
	return func(s *settings) { s.wrap = w }
}

// New returns a client without connections.
func New(opts ...Option) *Client {
	s := settings{conns: defaultConns, dial: defaultDialTimeout, idle: defaultIdleTimeout}
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

// Close closes the idle connections. Calls under way are not interrupted.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Call makes one attempt. It returns a *ports.NotSentError if no byte of the request
// was written, a *ports.RefusedError if the endpoint declined it without running it,
// and a *ports.BrokenError for anything else without a whole verified answer. The
// attempt ends with ctx, and after r.Timeout if ctx has no deadline.
func (c *Client) Call(ctx context.Context, addr string, r ports.Request) (*ports.Answer, error) {
	if r.Timeout < 0 {
		return nil, &ports.NotSentError{Addr: addr, Cause: context.DeadlineExceeded}
	}
	ctx, cancel := bound(ctx, r.Timeout)
	a := &attempt{addr: addr}
	resp, err := c.rt.RoundTrip(a.request(ctx, &r))
	if err != nil {
		cancel()
		return nil, a.unanswered(err)
	}
	ans, err := a.verify(resp, r.ID, cancel)
	if err != nil {
		_ = resp.Body.Close()
		cancel()
	}
	return ans, err
}

// bound limits a context that has no deadline of its own.
func bound(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok || timeout == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, timeout)
}

// Probe checks that an executor answers and says whether it is leaving. It returns a
// *ports.NotSentError or a *ports.BrokenError.
func (c *Client) Probe(ctx context.Context, addr string) (bool, error) {
	a := &attempt{addr: addr}
	req := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: addr, Path: "/probe"},
		Header: http.Header{},
	}
	resp, err := c.rt.RoundTrip(req.WithContext(a.traced(ctx)))
	if err != nil {
		return false, a.unanswered(err)
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return false, &ports.BrokenError{Addr: addr, Cause: ErrStatus.New("%d", resp.StatusCode)}
	}
	return leaving(resp.Header), nil
}

func leaving(h http.Header) bool { return h.Get("Leaving") == "true" }

// drain closes a body after reading a short rest of it.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
	_ = body.Close()
}

// attempt is the state of one attempt. It holds what a request needs so that the
// parts are allocated together.
type attempt struct {
	addr   string
	trace  httptrace.ClientTrace
	url    url.URL
	body   bytes.Reader
	values [3]string
	got    bool
	conn   *conn
	mark   uint64
}

// traced returns a context by which the attempt learns of its connection.
func (a *attempt) traced(ctx context.Context) context.Context {
	a.trace.GotConn = a.gotConn
	return httptrace.WithClientTrace(ctx, &a.trace)
}

// gotConn notes the connection. It is called again if the transport finds that the
// connection was closed before it wrote to it.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.got = true
	a.conn, _ = info.Conn.(*conn)
	if a.conn != nil {
		a.mark = a.conn.writes()
	}
}

// request builds the request. It has no GetBody and no Idempotency-Key header, so
// that the transport does not replay it.
func (a *attempt) request(ctx context.Context, r *ports.Request) *http.Request {
	a.url = url.URL{Scheme: "http", Host: a.addr, Path: "/run/" + r.Service}
	h := make(http.Header, 4)
	a.values = [3]string{r.ID, r.Kind, ""}
	h["Request-Id"] = a.values[0:1:1]
	if r.Kind != "" {
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
		// The transport knows that this type does not block, and therefore sends
		// the header and the body in one write.
		a.body.Reset(r.Body)
		req.Body = io.NopCloser(&a.body)
	}
	return req.WithContext(a.traced(ctx))
}

// unanswered returns the error of an attempt that got no answer.
func (a *attempt) unanswered(err error) error {
	if !a.got || a.conn != nil && a.conn.seal(a.mark) {
		return &ports.NotSentError{Addr: a.addr, Cause: err}
	}
	return &ports.BrokenError{Addr: a.addr, Cause: err}
}

// broken closes the connection, whose next bytes may belong to another answer, and
// returns the error.
func (a *attempt) broken(cause error) error {
	if a.conn != nil {
		a.conn.seal(a.mark)
	}
	return &ports.BrokenError{Addr: a.addr, Cause: cause}
}

// dialer returns a function that connects within a timeout and returns a *conn.
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
