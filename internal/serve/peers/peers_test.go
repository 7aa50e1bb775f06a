package peers

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	oteltrace "go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/fake/issuer"
	"chervilgauge.example/chervilgauge/internal/setup/certs"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// callTimeout is longer than a call takes even with the race detector.
const callTimeout = 10 * time.Second

// gossipServer answers gossip and records the span context of each call.
type gossipServer struct {
	peerpb.DRPCPeerUnimplementedServer
	spans chan oteltrace.SpanContext
}

func (s *gossipServer) Gossip(ctx context.Context, _ *peerpb.DigestAsk) (*peerpb.Digest, error) {
	s.spans <- oteltrace.SpanContextFromContext(ctx)
	return &peerpb.Digest{Name: "peer"}, nil
}

// serve starts a server and returns its address and the span contexts that arrive.
func serve(t *testing.T, conf *tls.Config, opts ...Option) (string, chan oteltrace.SpanContext) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &gossipServer{spans: make(chan oteltrace.SpanContext, 1)}
	s, err := Serve(context.Background(), lis, h, conf, opts...)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return lis.Addr().String(), h.spans
}

func gossip(t *testing.T, ctx context.Context, addr string, conf func() (*tls.Config, error)) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := NewClient(conf)
	defer func() { assert.NilError(t, c.Close()) }()
	d, err := c.To(ctx, addr).Gossip(ctx, &peerpb.DigestAsk{})
	return d.GetName(), err
}

func certSource(t *testing.T, a *issuer.Authority, name string) *certs.Source {
	t.Helper()
	f, err := a.Issue(name)
	assert.NilError(t, err)
	s, err := certs.Open(f)
	assert.NilError(t, err)
	return s
}

func newAuthority(t *testing.T) *issuer.Authority {
	t.Helper()
	a, err := issuer.New(t.TempDir())
	assert.NilError(t, err)
	return a
}

// Guards against a listener that works only with, or only without, TLS.
func TestCall(t *testing.T) {
	a := newAuthority(t)
	plain, _ := serve(t, nil)
	secure, _ := serve(t, certSource(t, a, "b").Server())
	for addr, conf := range map[string]func() (*tls.Config, error){
		plain: nil, secure: certSource(t, a, "a").Client,
	} {
		name, err := gossip(t, context.Background(), addr, conf)
		assert.NilError(t, err)
		assert.Equal(t, name, "peer")
	}
}

// Guards against a listener with TLS that accepts a peer of another authority, or one without a
// certificate.
func TestUntrustedPeersAreRefused(t *testing.T) {
	addr, spans := serve(t, certSource(t, newAuthority(t), "b").Server())
	for name, conf := range map[string]func() (*tls.Config, error){
		"other authority": certSource(t, newAuthority(t), "a").Client,
		"plain TCP":       nil,
		"no certificate":  func() (*tls.Config, error) { return &tls.Config{InsecureSkipVerify: true}, nil },
	} {
		_, err := gossip(t, context.Background(), addr, conf)
		assert.Assert(t, err != nil, name)
	}
	assert.Equal(t, len(spans), 0)
}

// Guards against a trace that does not continue at the called peer, and against spans for gossip,
// which belongs to no request.
func TestTraceContextArrives(t *testing.T) {
	written := tracetest.NewInMemoryExporter()
	provider := trace.NewTracerProvider(trace.WithSyncer(written))
	addr, spans := serve(t, nil, WithTracer(provider.Tracer("")))

	_, err := gossip(t, context.Background(), addr, nil)
	assert.NilError(t, err)
	assert.Assert(t, !(<-spans).IsValid())

	ctx, caller := trace.NewTracerProvider().Tracer("").Start(context.Background(), "asker")
	_, err = gossip(t, ctx, addr, nil)
	assert.NilError(t, err)
	own := <-spans
	assert.Equal(t, own.TraceID(), caller.SpanContext().TraceID())
	// The span ends after the answer is sent, and closing the provider does not wait for it.
	waitFor(t, func() bool { return len(written.GetSpans()) == 1 })
	s := written.GetSpans()[0]
	assert.Equal(t, s.Name, "peer Gossip")
	assert.Equal(t, s.Parent.SpanID(), caller.SpanContext().SpanID())
	assert.Equal(t, s.SpanContext.SpanID(), own.SpanID())
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(callTimeout); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not reached in time")
	}
}

// panicServer panics in each call of gossip.
type panicServer struct {
	peerpb.DRPCPeerUnimplementedServer
}

func (*panicServer) Gossip(context.Context, *peerpb.DigestAsk) (*peerpb.Digest, error) {
	panic("unexpected message")
}

// Guards against a process that ends because the handler of one call panics.
func TestPanickingHandlerEndsOnlyItsCall(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, err := Serve(context.Background(), lis, &panicServer{}, nil)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.Close()) }()
	for range 2 {
		_, err = gossip(t, context.Background(), lis.Addr().String(), nil)
		assert.ErrorContains(t, err, "panicked")
	}
}
