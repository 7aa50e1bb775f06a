package gauge

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
)

// Guards against values of deleted objects that stay, and against totals that are
// counted twice or lost when their owner starts again.
func TestRounds(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	scope := tally.NewTestScope("", nil)
	rounds := make(chan Reader)
	done := make(chan struct{})
	p := Start(context.Background(), clk, scope, func(r *Round) {
		(<-rounds)(r)
		done <- struct{}{}
	})
	// next runs one round; the following tick or Close shows that it was published.
	next := func(f Reader) {
		clk.Advance(Interval)
		rounds <- f
		<-done
	}
	next(func(r *Round) {
		r.Value("slots", 3, Tags{"instance": "a"})
		r.Flag("linked", true, nil)
		r.Total("done", 5, Tags{"service": "s"})
	})
	next(func(r *Round) {
		r.Flag("linked", false, nil)
		r.Total("done", 7, Tags{"service": "s"})
	})
	next(func(r *Round) { r.Total("done", 2, Tags{"service": "s"}) })
	p.Close()
	s := scope.Snapshot()
	assert.Equal(t, s.Gauges()["slots+instance=a"].Value(), 0.0)
	assert.Equal(t, s.Gauges()["linked+"].Value(), 0.0)
	assert.Equal(t, s.Counters()["done+service=s"].Value(), int64(9))
}
