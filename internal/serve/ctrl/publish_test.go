package ctrl

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// memoryLog is an in-memory log that holds one record.
type memoryLog struct{ items chan ports.Item }

func (l *memoryLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.items <- ports.Item{Offset: 1, Data: data}
	return 1, nil
}

func (l *memoryLog) Read(ctx context.Context, _ string, from uint64, _ int, wait time.Duration) (ports.Batch, error) {
	select {
	case i := <-l.items:
		return ports.Batch{Items: []ports.Item{i}, First: 1, Next: 2}, nil
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return ports.Batch{First: 1, Next: from}, nil
}

// Guards against a view that is published before it is in force: the planner would acknowledge a
// drain while a request to the instance can still start.
func TestViewIsInForceBeforeItIsShown(t *testing.T) {
	var c *Core
	ready := make(chan struct{})
	shown := make(chan uint64, 1)
	c = New(t.Context(), Deps{
		Clock: clock.NewSystem(), Log: &memoryLog{items: make(chan ports.Item, 1)}, Scope: tally.NoopScope,
		Logger: zerolog.Nop(), Self: state.Incarnation{Name: "a", Number: 1}, Addr: "127.0.0.1:1",
		OnLeaving: func([]string) {},
		OnChange: func(*View) {
			<-ready
			select {
			case shown <- c.View().State.Applied():
			default:
			}
		},
	})
	close(ready)
	defer c.Close()
	s, err := c.Submit(t.Context(), &recpb.Record{Body: &recpb.Record_Join{
		Join: &recpb.Join{Name: "a", Incarnation: 1, Addr: "127.0.0.1:1"}}})
	assert.NilError(t, err)
	assert.Equal(t, s.Offset, uint64(1))
	assert.Equal(t, <-shown, uint64(0), "the view was shown before it was in force")
}
