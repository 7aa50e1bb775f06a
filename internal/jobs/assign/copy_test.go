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

// stragglerDay plays jobs of 8 tasks on 6 executors at half load, where a share of the runs takes six
// times as long. It returns the number of runs, and the mean and longest time of the jobs.
func stragglerDay(t *testing.T, share float64, copies bool) (runs int, mean, longest time.Duration) {
	h := newHarness(t, 6, cores(16))
	h.queues["q"].Attempts = 3
	rng := rand.New(rand.NewPCG(5, 6))
	h.takes = func(r *track.Run) time.Duration {
		runs++
		if rng.Float64() < share {
			return 6 * r.Task.Step.Estimate
		}
		return time.Duration((0.8 + 0.4*rng.Float64()) * float64(r.Task.Step.Estimate))
	}
	accepted := map[string]time.Duration{}
	for i := range 300 {
		id := fmt.Sprint("job", i)
		accepted[id] = h.now
		h.accept(id, model.Step{Count: 8, Need: cores(1), Estimate: 500 * time.Millisecond, AllowsCopies: true})
		h.plan()
		h.advance(90 * time.Millisecond)
		if copies && i%2 == 0 {
			h.startCopies()
		}
	}
	for range 100 {
		h.advance(200 * time.Millisecond)
		if copies {
			h.startCopies()
		}
	}
	for id, at := range accepted {
		assert.Assert(t, h.ended[id] > 0, id)
		mean, longest = mean+(h.ended[id]-at)/300, max(longest, h.ended[id]-at)
	}
	assert.Equal(t, len(h.ends), 0)
	return runs, mean, longest
}

// startCopies starts copies of late runs, as the leader does where no work waits.
func (h *harness) startCopies() {
	var late []*track.Run
	used := int64(0)
	for r := range h.ends {
		if r.Task.Runs[0] != r {
			used += r.Task.Step.Need.Cores
		} else if execs.IsLate(r, h.now, r.Task.Step.Estimate, false) {
			late = append(late, r)
		}
	}
	h.begin(PlaceCopies(late, h.members, h.policy, nil, h.now, used, 64))
}

// Guards against wide jobs that wait for a late run while capacity is idle, and against copies where
// runs take their usual time.
func TestCopiesShortenJobsWithLateRuns(t *testing.T) {
	for _, share := range []float64{0, 0.02} {
		runs, mean, longest := stragglerDay(t, share, false)
		withRuns, withMean, withLongest := stragglerDay(t, share, true)
		t.Logf("%.0f%% of runs late: mean %v and longest %v with %d runs before, %v and %v with %d now", 100*share, mean, longest, runs, withMean, withLongest, withRuns)
		if share == 0 {
			assert.Equal(t, withRuns, runs)
			continue
		}
		assert.Assert(t, withMean*10 < mean*9 && withLongest*3 < longest*2 && withRuns < runs*21/20)
	}
}

// Guards against copies that two failures could turn into the end of a job, of steps that don't allow
// them, on the same executor, on suspects, beyond the share of the pool, and beyond the limit per executor
// of their step: two copies in one round exceeded it.
func TestCopiesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		attempts, executors int
		step                model.Step
		change              func(*harness, *track.Job)
		copies              int
	}{
		"late":            {2, 2, model.Step{Count: 1, AllowsCopies: true}, nil, 1},
		"not allowed":     {2, 2, model.Step{Count: 1}, nil, 0},
		"gang":            {2, 2, model.Step{Count: 1, AllowsCopies: true, Gang: true}, nil, 0},
		"long-running":    {2, 2, model.Step{Count: 1, AllowsCopies: true, LongRunning: true}, nil, 0},
		"one attempt":     {1, 2, model.Step{Count: 1, AllowsCopies: true}, nil, 0},
		"same executor":   {2, 1, model.Step{Count: 1, AllowsCopies: true}, nil, 0},
		"share":           {2, 2, model.Step{Count: 9, AllowsCopies: true}, nil, 3},
		"limit per one":   {2, 3, model.Step{Count: 2, AllowsCopies: true, MaxPerExecutor: 1}, nil, 1},
		"client account":  {2, 2, model.Step{Count: 1, AllowsCopies: true}, func(_ *harness, j *track.Job) { j.Account = "a" }, 0},
		"slow executors":  {2, 2, model.Step{Count: 1, AllowsCopies: true}, func(h *harness, _ *track.Job) { h.members[1].Slowness = 2 }, 0},
		"job that's over": {2, 2, model.Step{Count: 1, AllowsCopies: true}, func(h *harness, j *track.Job) { h.tracker.Cancel(j.ID, 0) }, 0},
		"suspect": {2, 2, model.Step{Count: 1, AllowsCopies: true}, func(h *harness, _ *track.Job) {
			for i := range 3 {
				h.members[1].RecordFailure(fmt.Sprint(i), -time.Minute)
			}
		}, 0},
	} {
		h := newHarness(t, c.executors, cores(16))
		h.queues["q"].Attempts = c.attempts
		c.step.Need, c.step.Estimate = cores(1), time.Second
		j := h.accept("job", c.step)
		h.plan()
		h.now = 5 * time.Second
		if c.change != nil {
			c.change(h, j)
		}
		before := len(h.ends)
		h.startCopies()
		h.startCopies()
		assert.Equal(t, len(h.ends)-before, c.copies, name)
	}
}
