package peers

import (
	"context"
	"path"
	"runtime/debug"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcpool"

	"chervilgauge.example/chervilgauge/internal/watch/trace"
)

// traceInjector adds the W3C trace context to the metadata of each call.
type traceInjector struct{ drpcpool.Conn }

// Invoke makes one call.
func (c traceInjector) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	carrier := propagation.MapCarrier{}
	trace.Propagator().Inject(ctx, carrier)
	for k, v := range carrier {
		ctx = drpcmetadata.Add(ctx, k, v)
	}
	return c.Conn.Invoke(ctx, rpc, enc, in, out)
}

// traceExtractor restores the trace context before a call is handled.
type traceExtractor struct {
	drpc.Handler
	tracer oteltrace.Tracer
	log    zerolog.Logger
}

// HandleRPC handles one call. A call whose handler panics is answered with an Err: the drpc library
// would let the panic end the process.
func (h traceExtractor) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			h.log.Error().Str("rpc", rpc).Interface("cause", cause).Bytes("stack", debug.Stack()).Msg("handler of a call panicked")
			err = Err.New("handler of %s panicked", rpc)
		}
	}()
	data, ok := drpcmetadata.Get(stream.Context())
	if !ok {
		return h.Handler.HandleRPC(stream, rpc)
	}
	ctx := trace.Propagator().Extract(stream.Context(), propagation.MapCarrier(data))
	if !oteltrace.SpanContextFromContext(ctx).IsValid() {
		return h.Handler.HandleRPC(stream, rpc)
	}
	ctx, span := h.tracer.Start(ctx, "peer "+path.Base(rpc), oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()
	return h.Handler.HandleRPC(tracedStream{stream, ctx}, rpc)
}

// tracedStream is a stream whose context carries a remote span.
type tracedStream struct {
	drpc.Stream
	ctx context.Context
}

// Context returns the context with the remote span.
func (s tracedStream) Context() context.Context { return s.ctx }
