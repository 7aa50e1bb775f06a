package execs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Guards against an executor that fails all its runs and still gets tasks, and against one that is
// quarantined because a single job always fails.
func TestFailingExecutorsAreQuarantined(t *testing.T) {
	m := Member{Contact: Live, Listed: true}
	for range 5 {
		assert.Assert(t, !m.RecordFailure("hopeless", 0))
	}
	assert.Assert(t, m.CanAcceptTasks(0))
	m.RecordSuccess(0)
	for i := range failuresToQuarantine {
		assert.Equal(t, m.RecordFailure(fmt.Sprint("job", i), time.Second), i == failuresToQuarantine-1)
	}
	assert.Assert(t, !m.CanAcceptTasks(2*time.Second))
	assert.Assert(t, m.CanAcceptTasks(time.Second+minQuarantine))
	// One more failure quarantines it for longer.
	assert.Assert(t, m.RecordFailure("another", 5*time.Second))
	assert.Assert(t, !m.CanAcceptTasks(5*time.Second+minQuarantine))
}

// Guards against stalled runs that are never stopped, and against stops of runs that are slow,
// belong to a gang, or are long-running.
func TestStalledRuns(t *testing.T) {
	tr := track.New(0)
	spec := model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 1}, {Count: 1, Gang: true}, {Count: 1, LongRunning: true}}}
	j := tr.Accept("j", model.Queue{}, spec, 0, 0)
	for i, s := range j.Open[0].Steps {
		r := tr.BeginRun(s.Tasks[0], "x", 0, 0)
		tr.ConfirmRun(r, 0)
		assert.Assert(t, !IsStalled(r, minStall, time.Second, 0))
		assert.Equal(t, IsStalled(r, minStall+1, time.Second, 0), i == 0)
		assert.Equal(t, IsStalled(r, unknownStall+1, 0, 0), i == 0)
		assert.Assert(t, !IsStalled(r, 5*time.Second, 20*time.Second, 0))
		r.LastProgress = 4 * time.Second
		assert.Assert(t, !IsStalled(r, 5*time.Second, time.Second, 0))
	}
}
