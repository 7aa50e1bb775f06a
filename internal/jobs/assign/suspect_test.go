package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// greyDay plays jobs of one task on 10 executors of 16 cores, some of which fail most runs at random
// while the others fail 1%. It returns the failed runs on the former and the failed jobs.
func greyDay(t *testing.T, seed uint64, grey int, greyRate float64, bounded bool) (runs, jobs int) {
	h := newHarness(t, 10, cores(16))
	if !bounded {
		// With more suspects than others in the pool, no bounds apply.
		for i := range 11 {
			m := &execs.Member{Executor: model.Executor{Capacity: cores(16)}, Key: fmt.Sprint("gone", i), Contact: execs.Dead}
			for n := range 3 {
				m.RecordFailure(fmt.Sprint(n), 0)
			}
			h.members = append(h.members, m)
		}
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	h.fails = func(r *track.Run) bool {
		isGrey, rate := int(r.Executor[0]-'a') < grey, 0.01
		if isGrey {
			rate = greyRate
		}
		failed := rng.Float64() < rate
		if isGrey && failed {
			runs++
		}
		return failed
	}
	var all []*track.Job
	for i := range 3000 {
		all = append(all, h.accept(fmt.Sprint("job", i), model.Step{Need: cores(1), Estimate: 500 * time.Millisecond}))
		if i%16 == 0 {
			h.plan()
			h.advance(16 * 3600 * time.Microsecond)
		}
	}
	h.advance(time.Minute)
	for _, j := range all {
		assert.Assert(t, j.IsOver())
	}
	return runs, h.failedJobs
}

// Guards against grey executors that fail many runs because a success now and then keeps them from
// being quarantined, and against bounds that change anything where all executors are sound.
func TestBoundsKeepWorkOffGreyExecutors(t *testing.T) {
	var base, baseJobs, runs, jobs int
	for _, rate := range []float64{0.2, 0.5} {
		for seed := range uint64(2) {
			r, j := greyDay(t, seed, 2, rate, false)
			base, baseJobs = base+r, baseJobs+j
			r, j = greyDay(t, seed, 2, rate, true)
			runs, jobs = runs+r, jobs+j
		}
		t.Logf("2 of 10 fail up to %.0f%%: %d failed runs there and %d failed jobs without bounds, %d and %d with them", 100*rate, base, baseJobs, runs, jobs)
	}
	assert.Assert(t, runs*4 < base*3 && jobs < baseJobs)
	_, base = greyDay(t, 0, 0, 0, false)
	_, jobs = greyDay(t, 0, 0, 0, true)
	assert.Equal(t, jobs, base)
}

// Guards against a suspect that gets more tasks than its bound in one plan or over several, as single
// tasks or as a gang.
func TestPlansKeepTheBound(t *testing.T) {
	for _, gang := range []bool{false, true} {
		h := newHarness(t, 2, cores(16))
		for i := range 3 {
			h.members[0].RecordFailure(fmt.Sprint(i), 0)
		}
		h.now = time.Minute
		h.accept("wide", model.Step{Count: 17, Gang: gang, Need: cores(1), Estimate: time.Second})
		h.accept("more", model.Step{Count: 18, Need: cores(1), Estimate: time.Second})
		h.plan()
		h.plan()
		assert.Equal(t, len(h.tracker.RunsOn("a")), 1)
		assert.Equal(t, len(h.tracker.RunsOn("b")), 16)
	}
}

// Guards against tasks that wait for a sound executor because a task of their step must, which has failed under an
// earlier leader.
func TestFailureBeforeATakeoverDelaysNoOtherTask(t *testing.T) {
	h := newHarness(t, 2, cores(8))
	h.suspect("b")
	h.accept("full", model.Step{Need: cores(8), Estimate: time.Minute})
	assert.Equal(t, h.plan()[0].Member.Key, "a")
	j := h.accept("job", model.Step{Count: 2, Need: cores(2), Estimate: time.Second})
	first := j.Open[0].Steps[0].Tasks[0]
	run := h.tracker.BeginRun(first, "gone", 0, h.now)
	h.tracker.ApplyEnd("gone", model.End{Task: first.ID, Attempt: run.Attempt, Ending: model.EndedFailed}, false, h.now)
	first.Avoided = nil // a new leader does not know where it failed
	assert.Equal(t, len(h.plan()), 1)
	assert.Assert(t, first.IsWaiting())
}
