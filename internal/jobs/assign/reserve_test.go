package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Guards against a service where nothing starts any more: a long-running step that fits on no executor until work of
// minutes has ended reserved all of them. That also holds for work whose estimate is missing or far too low.
func TestNoExecutorIsReservedBehindLongWork(t *testing.T) {
	for _, estimate := range []time.Duration{5 * time.Minute, 0, 100 * time.Millisecond, time.Second, 5 * time.Second} {
		for _, small := range []time.Duration{time.Second, 0, 5 * time.Minute} {
			t.Run(fmt.Sprint(estimate, small), func(t *testing.T) {
				h := newHarness(t, 4, cores(8))
				h.takes = func(r *track.Run) time.Duration {
					if r.Task.Step.MaxPerExecutor > 0 {
						return 5 * time.Minute
					}
					return r.Task.Step.Estimate
				}
				h.accept("long", model.Step{Count: 4, Need: model.Amount{Cores: 3600}, Estimate: estimate, MaxPerExecutor: 1})
				assert.Equal(t, len(h.plan()), 4)
				h.accept("lasting", model.Step{Count: 4, Need: model.Amount{Cores: 4800}, LongRunning: true, MaxPerExecutor: 1})
				h.plan()
				other := h.accept("other", model.Step{Need: model.Amount{Cores: 500}, Estimate: small})
				// Some arrive while the work seems about to end, others later.
				for range 28 {
					h.plan()
					h.advance(100 * time.Millisecond)
				}
				assert.Assert(t, other.HasBegun(), "nothing was started in 2.8 s beside idle capacity; the rule says 3")
				later := h.accept("later", model.Step{Need: model.Amount{Cores: 500}, Estimate: small})
				for range 28 {
					h.plan()
					h.advance(100 * time.Millisecond)
				}
				assert.Assert(t, later.HasBegun())
			})
		}
	}
}

// Guards against a long-running task that never starts in a busy pool, because smaller tasks take each core that
// becomes free.
func TestLongRunningTaskStartsInABusyPool(t *testing.T) {
	for _, estimate := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
		h := newHarness(t, 3, cores(8))
		n := 0
		fill := func() {
			for len(h.tracker.Active()) < 60 {
				n++
				h.accept(fmt.Sprintf("small%05d", n), model.Step{Need: cores(1), Estimate: estimate + time.Duration(n%7)*time.Millisecond})
			}
			h.plan()
		}
		for range 10 {
			fill()
			h.advance(50 * time.Millisecond)
		}
		lasting := h.accept("lasting", model.Step{Need: cores(6), LongRunning: true})
		for range 400 {
			fill()
			h.advance(50 * time.Millisecond)
		}
		assert.Assert(t, lasting.HasBegun(), "estimate %v", estimate)
	}
}
