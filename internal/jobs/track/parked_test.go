package track

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
)

// loadParked returns a tracker in which all jobs are parked: "new", and "begun", of which an earlier leader had
// completed the first task and may run the second.
func loadParked(t *testing.T) *Tracker {
	t.Helper()
	body := []byte(`{"phases":[{"count":2,"cpu":100,"mem_mb":1},{"count":1,"after":[0]}]}`)
	queue := model.Queue{Name: "q", Service: "s", Attempts: 2}
	l := NewLoader(platform.DecodeJob)
	add := func(rs ...Record) {
		for _, r := range rs {
			assert.NilError(t, l.Add(r.Key, r.Value))
		}
	}
	former := New(0)
	spec, err := platform.DecodeJob(body)
	assert.NilError(t, err)
	j := former.Accept("begun", queue, spec, 0, 0)
	former.ConfirmRun(former.BeginRun(j.Open[0].Steps[0].Tasks[0], "x", 0, 0), 0)
	former.ApplyEnd("x", model.End{Task: model.TaskID{Job: "begun"}, Attempt: 1, Ending: model.EndedDone}, false, 0)
	add(former.TakeChanges().Records...)
	add(JobRecord("begun", queue, "a", body, 0), JobRecord("new", queue, "a", body, 0))
	tr, bad := l.LoadWithin(func(Size) bool { return false }, 64, 0, 0)
	assert.Equal(t, len(bad), 0)
	return tr
}

// Guards against jobs that a leader without room for them loses, hides from callers, or whose runs it does not
// count against the limit of their account.
func TestParkedJobsAreKnown(t *testing.T) {
	tr := loadParked(t)
	assert.Equal(t, len(tr.Active()), 0)
	assert.Equal(t, len(tr.Parked()), 2)
	assert.Equal(t, tr.Parked()[0].ID, "begun")
	assert.Equal(t, tr.Job("new").State(), model.Queued)
	assert.Equal(t, tr.Job("begun").State(), model.Active)
	assert.Equal(t, tr.CountPending()["q"], 1)
	assert.Assert(t, tr.HasLeft())
	assert.Equal(t, tr.Unlisted()["a"].Total().Cores >= 4*100, true)
	tr.ForgetLeft()
	assert.Assert(t, !tr.HasLeft() && len(tr.Unlisted()) == 0)
	assert.Assert(t, tr.Cancel("new", time.Second))
	assert.Assert(t, tr.Job("new").IsOver())
	assert.Equal(t, len(tr.Parked()), 1)
}

// Guards against a task that runs twice, and a completed one that runs again, because its job was parked.
func TestExpandedJobContinues(t *testing.T) {
	tr := loadParked(t)
	tr.Expand("begun", 0)
	tr.Expand("begun", 0)
	assert.Equal(t, len(tr.TakeExpanded()), 1)
	tasks := tr.Job("begun").Open[0].Steps[0].Tasks
	assert.Assert(t, tasks[0].Done && !tasks[0].Unresolved)
	assert.Assert(t, tasks[1].Unresolved && !tasks[1].IsWaiting())
	r := tr.AdoptRun("y", model.Run{Task: tasks[1].ID, Attempt: 1}, 0)
	assert.Assert(t, r != nil && r.Task == tasks[1])
	tr.ReleaseUnresolved(func(*Job) bool { return true }, 0)
	assert.Assert(t, !tasks[1].IsWaiting())
}

// Guards against an end whose record says that runs may be left, where all executors have listed theirs: the next
// leader would count them against the limit of the account.
func TestCancelledParkedJobLeavesNothingOnceRunsAreListed(t *testing.T) {
	tr := loadParked(t)
	assert.Assert(t, tr.Cancel("begun", time.Second))
	assert.Assert(t, tr.Job("begun").Left() != Left{}, "its runs may be left")
	tr.ForgetLeft()
	assert.Assert(t, tr.Cancel("new", time.Second))
	assert.Equal(t, tr.Job("new").Left(), Left{})
	assert.Assert(t, !tr.HasLeft())
}
