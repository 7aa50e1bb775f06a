package track

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// newRepeatedJob returns a job of two tasks that an earlier leader accepted and whose first
// occurrence is due at 10 s, by the clock of a new leader that shows 8 s.
func newRepeatedJob(t *testing.T) (*Tracker, *Job) {
	spec := steps(2)
	spec.Scheduled, spec.Repeats, spec.Start, spec.Period = true, 10, 10*time.Second, time.Second
	d := disk{}
	d.write([]Record{JobRecord("j", queue, "", body(spec), 0)})
	tr := d.load(t)
	j := tr.Job("j")
	assert.Assert(t, !tr.OpenDue(j, 8*time.Second, nil))
	return tr, j
}

// Guards against a run that is stopped and started again later: the clock of the former leader was
// ahead, so that the occurrence is not due yet.
func TestRunOfAnOccurrenceThatIsNotDueIsAdopted(t *testing.T) {
	tr, j := newRepeatedJob(t)
	row := model.Run{Task: model.TaskID{Job: "j", Occurrence: 1}, Attempt: 3}
	tr.OpenStarted(row.Task, 8*time.Second)
	assert.Assert(t, tr.AdoptRun("x", row, 0) != nil, "the run would be stopped")
	assert.Equal(t, len(j.Open), 1)
	other := j.Task(model.TaskID{Job: "j", Occurrence: 1, Index: 1})
	assert.Assert(t, !other.IsWaiting(), "it may run on another executor")
	assert.Equal(t, tr.ReleaseUnresolved(func(*Job) bool { return true }, 8*time.Second), 1)
	assert.Assert(t, other.IsWaiting())
	assert.Equal(t, other.Attempt, 64)

	tr.OpenStarted(model.TaskID{Job: "j", Occurrence: 9}, 8*time.Second)
	assert.Equal(t, len(j.Open), 1, "no clock is that far ahead")
	tr.OpenStarted(model.TaskID{Job: "j", Occurrence: 10}, time.Minute)
	tr.OpenStarted(model.TaskID{Job: "k"}, time.Minute)
	assert.Equal(t, len(j.Open), 1)
	// The one before it is opened when it is due, and neither is opened twice.
	assert.Assert(t, tr.OpenDue(j, 11*time.Second, nil))
	assert.Assert(t, !tr.OpenDue(j, 11*time.Second, nil))
	assert.Equal(t, len(j.Open), 2)
	assert.Equal(t, j.Open[0].Number, 0)
	assert.Equal(t, j.Open[1].Steps[0].Tasks[0].Runs[0].Attempt, 3)
}

// Guards against a second run of a task that the former leader started, on an executor that was not
// asked yet when its occurrence became due.
func TestOccurrenceThatOpensBeforeFormerRunsAreKnownIsUnresolved(t *testing.T) {
	tr, j := newRepeatedJob(t)
	assert.Assert(t, tr.OpenDue(j, 10*time.Second, nil))
	task := j.Task(model.TaskID{Job: "j"})
	assert.Assert(t, !task.IsWaiting(), "the task would be started a second time")
	assert.Assert(t, tr.AdoptRun("x", model.Run{Task: task.ID, Attempt: 3}, 0) != nil)
	tr.ReleaseUnresolved(func(*Job) bool { return true }, 10*time.Second)
	assert.Assert(t, tr.OpenDue(j, 11*time.Second, nil))
	later := j.Task(model.TaskID{Job: "j", Occurrence: 1})
	assert.Assert(t, later.IsWaiting())
	assert.Equal(t, later.Attempt, 64, "an executor refuses attempts that are not above earlier ones")
}

// Guards against records of ended jobs without a client account that differ from those of versions without
// accounts.
func TestEndOfAJobWithoutAccountRecordsNoNeed(t *testing.T) {
	for account, cores := range map[string]int64{"": 0, "a": 2000} {
		tr := New(0)
		j := tr.Accept("job", model.Queue{Name: "q"}, model.JobSpec{Repeats: 1, Account: account, Steps: []model.Step{{Count: 1, Need: model.Amount{Cores: 2000}}}}, 0, 0)
		tr.BeginRun(j.Task(model.TaskID{Job: "job"}), "x", 0, 0)
		tr.Cancel("job", time.Hour)
		var r workpb.Record
		for _, rec := range tr.TakeChanges().Records {
			assert.NilError(t, proto.Unmarshal(rec.Value, &r))
		}
		assert.Equal(t, r.GetEnded().GetAt(), time.Hour.Milliseconds())
		assert.Equal(t, r.GetEnded().GetCores(), cores)
	}
}
