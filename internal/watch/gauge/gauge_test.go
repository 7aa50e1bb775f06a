package gauge

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
)

// Guards against gauges that keep the values of deleted objects, and against totals that are
// counted twice or lost when their owner is replaced.
func TestRounds(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	scope := tally.NewTestScope("", nil)
	rounds := make(chan Reader)
	done := make(chan struct{})
	p := Start(context.Background(), clk, scope, func(r *Round) {
		(<-rounds)(r)
		done <- struct{}{}
	})
	// runRound runs one round. It is published before the next round starts and before
	// Close returns.
	runRound := func(f Reader) {
		clk.Advance(Interval)
		rounds <- f
		<-done
	}
	runRound(func(r *Round) {
		r.Value("slots", 3, Tags{"instance": "a"})
		r.Flag("linked", true, nil)
		r.Total("done", 5, Tags{"service": "s"})
	})
	runRound(func(r *Round) {
		r.Flag("linked", false, nil)
		r.Total("done", 7, Tags{"service": "s"})
	})
	runRound(func(r *Round) { r.Total("done", 2, Tags{"service": "s"}) })
	p.Close()
	s := scope.Snapshot()
	assert.Equal(t, s.Gauges()["slots+instance=a"].Value(), 0.0)
	assert.Equal(t, s.Gauges()["linked+"].Value(), 0.0)
	assert.Equal(t, s.Counters()["done+service=s"].Value(), int64(9))
}
