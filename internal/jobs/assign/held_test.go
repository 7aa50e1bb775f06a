package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// newHalfFullPool returns a pool of four executors of 8 cores, three of which have 5 cores in use for five minutes.
func newHalfFullPool(t *testing.T, attempts int, estimate time.Duration) *harness {
	h := newHarness(t, 4, cores(8))
	h.queues["q"].Attempts = attempts
	h.takes = func(r *track.Run) time.Duration {
		if r.Task.Step.MaxPerExecutor > 0 {
			return 5 * time.Minute
		}
		return r.Task.Step.Estimate
	}
	h.policy = policyOf(map[string]Permission{"b": Startable, "c": Startable, "d": Startable})
	h.accept("long", model.Step{Count: 3, Need: cores(5), Estimate: estimate, MaxPerExecutor: 1})
	assert.Equal(t, len(h.plan()), 3)
	h.policy = Unrestricted
	return h
}

// startsWithin reports whether a task starts within a time, with a round of placement every 100 ms.
func (h *harness) startsWithin(j *track.Job, d time.Duration) bool {
	for end := h.now + d; h.now < end; h.advance(100 * time.Millisecond) {
		if h.plan(); j.Open[0].Steps[0].Running > 0 {
			return true
		}
	}
	return false
}

// Guards against a task that failed once and is kept from an idle executor for as long as other work fills those on
// which it has not failed.
func TestFailedTaskReturnsToAnIdleExecutor(t *testing.T) {
	for name, c := range map[string]struct {
		step     model.Step
		attempts int
		within   time.Duration
	}{
		"one of many attempts": {model.Step{Need: cores(4), Estimate: time.Second}, 4, 2800 * time.Millisecond},
		"no estimate":          {model.Step{Need: cores(4)}, 4, 2800 * time.Millisecond},
		"lasting":              {model.Step{Need: cores(4), LongRunning: true}, 2, 2800 * time.Millisecond},
		"gang":                 {model.Step{Count: 2, Need: cores(4), Estimate: time.Second, Gang: true}, 4, 2800 * time.Millisecond},
		// Another failure would end the job, so it waits for a success there, or longer.
		"last attempt": {model.Step{Need: cores(4), Estimate: time.Second}, 2, lastAttemptDelay + time.Second},
	} {
		for _, estimate := range []time.Duration{5 * time.Minute, 0, time.Second} {
			for _, undecided := range []bool{false, true} {
				t.Run(fmt.Sprint(name, estimate, undecided), func(t *testing.T) {
					h := newHalfFullPool(t, c.attempts, estimate)
					if undecided {
						h.policy = policyOf(map[string]Permission{"a": Startable, "b": Undecided, "c": Undecided, "d": Undecided})
					}
					j := h.accept("job", c.step)
					starts := h.plan()
					assert.Equal(t, len(starts), max(c.step.Count, 1))
					for _, st := range starts {
						r := st.Task.Runs[0]
						delete(h.ends, r)
						h.byKey["a"].RemoveRun(st.Task.Step)
						st.Task.LastFailure = h.now
						h.tracker.ApplyEnd("a", model.End{Task: st.Task.ID, Attempt: r.Attempt, Ending: model.EndedFailed}, false, h.now)
						if st.Task.Step.Gang {
							st.Task.Avoid("a")
						}
					}
					assert.Assert(t, h.startsWithin(j, c.within))
				})
			}
		}
	}
}

// Guards against tasks that wait beside an idle executor on probation, whose bound a long run uses up, and against
// one that failed before and is kept from it in favour of sound executors that are full.
func TestTasksDoNotWaitBesideAnIdleSuspect(t *testing.T) {
	for _, failed := range []bool{false, true} {
		h := newHalfFullPool(t, 4, 5*time.Minute)
		h.suspect("a")
		h.now += time.Minute
		h.policy = policyOf(map[string]Permission{"a": Startable})
		first := h.accept("first", model.Step{Need: model.Amount{Cores: 500}, Estimate: time.Second, MaxPerExecutor: 1})
		assert.Assert(t, h.startsWithin(first, time.Second))
		h.policy = Unrestricted
		j := h.accept("job", model.Step{Need: cores(4), Estimate: time.Second})
		if failed {
			task := j.Open[0].Steps[0].Tasks[0]
			r := h.tracker.BeginRun(task, "b", 0, h.now)
			h.tracker.ApplyEnd("b", model.End{Task: task.ID, Attempt: r.Attempt, Ending: model.EndedFailed}, false, h.now)
		}
		assert.Assert(t, h.byKey["a"].IsSuspect() && execs.NewPool(h.members).HasSuspects())
		assert.Assert(t, h.startsWithin(j, 2800*time.Millisecond), "failed %v", failed)
	}
}

// Guards against a task that returns to an executor where it has failed although another one is about to have room.
func TestFailedTaskWaitsForARunThatEnds(t *testing.T) {
	h := newHarness(t, 2, cores(8))
	h.queues["q"].Attempts = 4
	h.policy = policyOf(map[string]Permission{"b": Startable})
	h.accept("short", model.Step{Need: cores(6), Estimate: 1500 * time.Millisecond})
	assert.Equal(t, len(h.plan()), 1)
	h.policy = Unrestricted
	j := h.accept("job", model.Step{Need: cores(4), Estimate: time.Second})
	starts := h.plan()
	assert.Equal(t, len(starts), 1)
	h.advance(100 * time.Millisecond)
	r := starts[0].Task.Runs[0]
	delete(h.ends, r)
	h.byKey["a"].RemoveRun(r.Task.Step)
	h.tracker.ApplyEnd("a", model.End{Task: r.Task.ID, Attempt: r.Attempt, Ending: model.EndedFailed}, false, h.now)
	assert.Assert(t, h.startsWithin(j, 1600*time.Millisecond))
	assert.Equal(t, j.Open[0].Steps[0].Tasks[0].Runs[0].Executor, "b")
}
