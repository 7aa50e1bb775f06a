package assign

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// poisonDay plays 400 jobs of 16 tasks, 3% of which fail in every run, and returns the failed runs and
// the mean time of the other jobs.
func poisonDay(t *testing.T, detects bool) (failed int, mean time.Duration) {
	h := newHarness(t, 6, cores(16))
	h.queues["q"].Attempts = 3
	h.detects = detects
	h.fails = func(r *track.Run) bool { return strings.HasPrefix(r.Task.ID.Job, "poison") }
	accepted := map[string]time.Duration{}
	for i := range 400 {
		id := fmt.Sprint("job", i)
		if i%33 == 5 {
			id = fmt.Sprint("poison", i)
		}
		accepted[id] = h.now
		h.accept(id, model.Step{Count: 16, Need: cores(1), Estimate: 500 * time.Millisecond})
		h.plan()
		h.advance(90 * time.Millisecond)
	}
	h.advance(time.Minute)
	n := time.Duration(0)
	for id, at := range accepted {
		assert.Assert(t, h.ended[id] > 0, id)
		if strings.HasPrefix(id, "job") {
			mean, n = mean+h.ended[id]-at, n+1
		}
	}
	return h.failed, mean / n
}

// Guards against jobs that can never succeed and take the capacity of others with all attempts of all
// their tasks.
func TestPoisonEndsWithFewRuns(t *testing.T) {
	base, baseMean := poisonDay(t, false)
	failed, mean := poisonDay(t, true)
	t.Logf("failed runs: %d before, %d now; mean time of other jobs: %v before, %v now", base, failed, baseMean, mean)
	assert.Assert(t, failed*2 < base && mean <= baseMean)
}

// Guards against a poison job that starts more than one task or gang at a time, one whose other tasks
// wait after a success, and one that ends after another number of failures.
func TestPoisonIsTriedOneTaskAtATime(t *testing.T) {
	for _, gang := range []bool{false, true} {
		h := newHarness(t, 4, cores(16))
		h.queues["q"].Attempts = 3
		h.detects = true
		h.fails = func(*track.Run) bool { return true }
		for _, m := range h.members {
			m.RecordSuccess(0)
		}
		j := h.accept("poison", model.Step{Count: 3, Gang: gang, Need: cores(12), Estimate: time.Second})
		h.accept("filler", model.Step{Need: cores(1), Estimate: time.Hour})
		h.plan()
		running := func() (n int) {
			j.ForEachRun(func(*track.Run) { n++ })
			return n
		}
		if !gang {
			h.advance(time.Second)
			assert.Assert(t, j.IsPoison())
			assert.Equal(t, running(), 1)
			h.fails = func(*track.Run) bool { return false }
			h.advance(time.Second)
			assert.Assert(t, !j.IsPoison())
			assert.Equal(t, running(), 2)
			continue
		}
		// Each end of a member is that of the attempt.
		j.RecordFailureOn("c")
		j.RecordFailureOn("d")
		assert.Assert(t, j.IsPoison())
		h.advance(10 * time.Second)
		assert.Assert(t, j.IsOver())
		assert.Equal(t, h.failedJobs, 1)
	}
}

// Guards against a poison job's task that starts beyond its account's limit, and one that is not counted there, so
// that other tasks of the account start beyond it.
func TestPoisonStaysWithinItsAccountsLimit(t *testing.T) {
	for name, filler := range map[string]int64{"at the limit": 3, "below the limit": 1} {
		t.Run(name, func(t *testing.T) {
			h := newLimitedHarness(t, 2, 4, 0)
			h.accept("filler", model.Step{Need: cores(filler), Estimate: time.Hour})
			j := h.accept("poison", model.Step{Count: 2, Need: cores(2), Estimate: time.Hour})
			j.RecordFailureOn("c")
			j.RecordFailureOn("d")
			assert.Assert(t, j.IsPoison())
			h.accept("small", model.Step{Count: 4, Need: cores(1), Estimate: time.Hour})
			h.order = func(jobs []*track.Job) []*track.Job {
				return slices.SortedFunc(slices.Values(jobs), func(a, b *track.Job) int { return cmp.Compare(a.ID, b.ID) })
			}
			h.plan()
			assert.Equal(t, h.ledger.Used("a"), cores(4))
			assert.Equal(t, j.HasBegun(), filler == 1)
		})
	}
}
