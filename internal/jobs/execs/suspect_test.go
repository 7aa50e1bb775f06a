package execs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sound executors, which fail up to 3% of their runs, that are put on probation often
// enough to cost capacity, and against grey ones that are not.
func TestOnlyGreyExecutorsAreSuspected(t *testing.T) {
	const runs = 20_000
	for _, c := range []struct{ rate, least, most float64 }{{0.002, 0, 0}, {0.01, 0, 0.001}, {0.03, 0, 0.01}, {0.3, 0.9, 1}, {0.6, 0.98, 1}} {
		rng := rand.New(rand.NewPCG(1, 2))
		m, suspected, quarantines := Member{}, 0, 0
		for i := range runs {
			switch {
			case rng.Float64() >= c.rate:
				m.RecordSuccess(0)
			case m.RecordFailure(fmt.Sprint(i), 0):
				quarantines++
			}
			if m.IsSuspect() {
				suspected++
			}
		}
		share := float64(suspected) / runs
		t.Logf("fails %.1f%%: suspected for %.2f%% of its runs, %d quarantines", 100*c.rate, 100*share, quarantines)
		assert.Assert(t, share >= c.least && share <= c.most, "rate %v", c.rate)
	}
}

// Guards against a single failure, and against a job that fails on sound executors, that cost capacity.
func TestFewFaultsSetNoBound(t *testing.T) {
	m := Member{}
	m.RecordFailure("one", 0)
	m.RecordLapse()
	m.Exonerate("one")
	for i := range 5 {
		job := fmt.Sprint("poison", i)
		m.RecordFailure(job, 0)
		m.Exonerate(job)
	}
	assert.Equal(t, m.Room(), math.MaxInt)
	assert.Assert(t, m.CanAcceptTasks(0) == (m.Contact == Live))
	m = Member{}
	for range 40 {
		m.RecordUnhealthy(0) // orders that were sent together
	}
	assert.Assert(t, !m.IsSuspect())
	for i := range 40 {
		m.RecordUnhealthy(time.Duration(i) * time.Second)
	}
	assert.Equal(t, m.Room(), firstBound)
}

// Guards against an executor that gets a full load at once after a quarantine, and against a bound
// that does not grow.
func TestBoundAfterQuarantineGrowsWithSuccesses(t *testing.T) {
	m := Member{}
	for i := range failuresToQuarantine {
		m.RecordFailure(fmt.Sprint(i), 0)
	}
	assert.Equal(t, m.Room(), firstBound)
	m.RecordSuccess(0)
	assert.Equal(t, m.Room(), firstBound+1)
	m.RecordFailure("again", 0)
	assert.Equal(t, m.Room(), firstBound)
	for range passedBound {
		m.RecordSuccess(0)
	}
	assert.Assert(t, !m.IsSuspect(), "rate %v", m.FailureRate())
}
