// Package peers transmits the calls between entries over drpc.
package peers

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// Err is the error class of failures to serve or to reach peers.
var Err = errs.Class("peers")

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = 30 * time.Second
	// poolCapacity bounds the idle connections to all peers. A connection carries one call at a
	// time.
	poolCapacity = 128
	// addrCapacity bounds the idle connections to one peer.
	addrCapacity = 32
)

// Server serves the calls of the other entries.
type Server struct {
	cancel context.CancelFunc
	done   chan error
}

// Option configures a Server.
type Option func(*options)

type options struct {
	traceExtractor
	marksMessages bool
	streams       []string
}

// WithTracer writes a span for each call that carries a trace context.
func WithTracer(t trace.Tracer) Option { return func(h *options) { h.tracer = t } }

// WithLog logs the calls whose handlers panic.
func WithLog(log zerolog.Logger) Option { return func(h *options) { h.log = log } }

// Serve accepts connections until Close. A nil TLS configuration means plain TCP. Errors are of
// class Err.
func Serve(ctx context.Context, lis net.Listener, h peerpb.DRPCPeerServer, conf *tls.Config, opts ...Option) (*Server, error) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, h); err != nil {
		return nil, Err.Wrap(err)
	}
	return ServeMux(ctx, lis, mux, conf, opts...), nil
}

// ServeMux is like Serve, for the calls that a mux handles.
func ServeMux(ctx context.Context, lis net.Listener, mux drpc.Handler, conf *tls.Config, opts ...Option) *Server {
	if conf != nil {
		lis = tls.NewListener(lis, conf)
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Server{cancel: cancel, done: make(chan error, 1)}
	o := options{traceExtractor: traceExtractor{Handler: mux, tracer: noop.NewTracerProvider().Tracer("peers")}}
	for _, set := range opts {
		set(&o)
	}
	if o.marksMessages {
		go func() { s.done <- serveMarked(ctx, lis, o) }()
		return s
	}
	srv := drpcserver.New(o.traceExtractor)
	go func() { s.done <- srv.Serve(ctx, lis) }()
	return s
}

// Close stops the server and waits for the calls in progress. Errors are of class Err.
func (s *Server) Close() error {
	s.cancel()
	return Err.Wrap(<-s.done)
}

// Client calls other entries.
type Client struct {
	pool      *drpcpool.Pool[string, drpcpool.Conn]
	tlsConfig func() (*tls.Config, error)
	wrap      func(net.Conn) net.Conn
	plainDial func(ctx context.Context, network, addr string) (net.Conn, error)
	stall     time.Duration
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithConnWrapper makes a Client use each connection as wrap returns it.
func WithConnWrapper(wrap func(net.Conn) net.Conn) ClientOption {
	return func(c *Client) { c.wrap = wrap }
}

// WithDial makes a Client open connections without TLS with dial instead of TCP.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.plainDial = dial }
}

// NewClient returns a client. The function returns the TLS configuration of a new connection; nil
// means plain TCP.
func NewClient(conf func() (*tls.Config, error), opts ...ClientOption) *Client {
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleTimeout,
		Capacity:    poolCapacity,
		KeyCapacity: addrCapacity,
	})
	c := &Client{pool: pool, tlsConfig: conf, wrap: func(conn net.Conn) net.Conn { return conn }, plainDial: new(net.Dialer).DialContext}
	for _, o := range opts {
		o(c)
	}
	return c
}

// To returns a client for the entry that listens on an address.
func (c *Client) To(ctx context.Context, addr string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.Conn(ctx, addr))
}

// Conn returns a connection to an address, for calls of any schema.
func (c *Client) Conn(ctx context.Context, addr string) drpc.Conn {
	return traceInjector{c.pool.Get(ctx, addr, c.dial)}
}

// Close closes all idle connections. Errors are of class Err.
func (c *Client) Close() error { return Err.Wrap(c.pool.Close()) }

func (c *Client) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	conn = c.wrap(conn)
	if c.stall > 0 {
		conn = stallConn{conn, c.stall}
	}
	return drpcconn.New(conn), nil
}

func (c *Client) connect(ctx context.Context, addr string) (net.Conn, error) {
	if c.tlsConfig == nil {
		return c.plainDial(ctx, "tcp", addr)
	}
	conf, err := c.tlsConfig()
	if err != nil {
		return nil, err
	}
	d := tls.Dialer{Config: conf}
	return d.DialContext(ctx, "tcp", addr)
}
