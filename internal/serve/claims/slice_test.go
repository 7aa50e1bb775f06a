package claims

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

var errRead = errors.New("read failed")

// emptyLog retains no records: reads below firstRetained fail with a RetentionError, and the second
// read fails with another error.
type emptyLog struct{ reads int }

const firstRetained = 9

func (l *emptyLog) Append(context.Context, string, []byte) (uint64, error) { return 0, errRead }

func (l *emptyLog) Read(_ context.Context, stream string, from uint64, _ int, _ time.Duration) (ports.Batch, error) {
	l.reads++
	switch {
	case from < firstRetained:
		return ports.Batch{}, &ports.RetentionError{Stream: stream, From: from, First: firstRetained}
	case l.reads == 2:
		return ports.Batch{}, errRead
	}
	time.Sleep(time.Millisecond)
	return ports.Batch{First: firstRetained, Next: firstRetained}, nil
}

// Guards against a slice that never catches up with a stream without retained records, because a
// read failed just after the reader had learned the first retained offset.
func TestEmptyStreamIsCaughtUp(t *testing.T) {
	s := openSlice(t.Context(), 0, &emptyLog{}, clock.NewSystem(), noop.NewTracerProvider().Tracer(""))
	defer s.close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	id := claim.NewID()
	r, ok := s.claim(ctx, &recpb.Claim{Id: id[:], Token: 1})
	assert.Assert(t, ok, "the claim was not decided")
	assert.Equal(t, r.verdict, claim.Forgotten)
}
