package track

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

var queue = model.Queue{Name: "q", Service: "s", Attempts: 2}

func decodeTest(b []byte) (model.JobSpec, error) {
	var spec model.JobSpec
	if err := json.Unmarshal(b, &spec); err != nil {
		return spec, ErrRecord.Wrap(err)
	}
	return spec, nil
}

// disk keeps the newest record of each key, as the store does.
type disk map[string][]byte

func (d disk) write(es []Record) {
	for _, e := range es {
		if e.Value == nil {
			delete(d, e.Key)
		} else {
			d[e.Key] = e.Value
		}
	}
}

func (d disk) load(t interface{ Fatalf(string, ...any) }, options ...Option) *Tracker {
	l := NewLoader(decodeTest)
	for k, v := range d {
		if err := l.Add(k, v); err != nil {
			t.Fatalf("%s: %v", k, err)
		}
	}
	tr, bad := l.Load(64, 0, 0, options...)
	if len(bad) > 0 {
		t.Fatalf("bad jobs %v", bad)
	}
	return tr
}

func body(spec model.JobSpec) []byte {
	out, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return out
}

func steps(counts ...int) model.JobSpec {
	spec := model.JobSpec{Repeats: 1}
	for i, n := range counts {
		s := model.Step{Count: n, Need: model.Amount{Cores: 1000}, MaxUnavailable: -1}
		if i > 0 {
			s.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	return spec
}

// Guards against progress that is lost or invented at a change of the leader. Whatever the order of
// ends and changes, stored progress is kept, no finished task runs again, no step starts early, and
// no job fails before its attempts are used up.
func TestProgressSurvivesLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := disk{}
		spec := steps(rapid.IntRange(1, 4).Draw(t, "first"), rapid.IntRange(1, 3).Draw(t, "second"))
		d.write([]Record{JobRecord("j", queue, "", body(spec), 0)})
		tr := d.load(t)
		done, failed := map[model.TaskID]bool{}, map[model.TaskID]int{}
		for range 60 {
			j := tr.Job("j")
			if j.IsOver() {
				break
			}
			tr.ReleaseUnresolved(func(*Job) bool { return true }, 0)
			var ready []*Task
			for _, s := range j.Open[0].Steps {
				for _, task := range s.Tasks {
					if task.IsWaiting() && s.IsReady() {
						ready = append(ready, task)
					}
				}
			}
			if len(ready) == 0 {
				t.Fatalf("nothing can start and the job is not over")
			}
			task := rapid.SampledFrom(ready).Draw(t, "task")
			if done[task.ID] {
				t.Fatalf("%s starts again", task.ID)
			}
			if task.ID.Step == 1 {
				for i := range spec.Steps[0].Count {
					if !done[model.TaskID{Job: "j", Index: i}] {
						t.Fatalf("%s starts early", task.ID)
					}
				}
			}
			r := tr.BeginRun(task, "x", 0, 0)
			tr.ConfirmRun(r, 0)
			how := rapid.SampledFrom([]model.Ending{model.EndedDone, model.EndedDone, model.EndedFailed, model.EndedStopped}).Draw(t, "how")
			tr.ApplyEnd("x", model.End{Task: task.ID, Attempt: r.Attempt, Ending: how}, false, 0)
			confirmed := true
			switch how {
			case model.EndedDone:
				done[task.ID] = true
			case model.EndedFailed:
				confirmed = rapid.Bool().Draw(t, "confirmed")
			}
			batch := tr.TakeChanges()
			d.write(batch.Records)
			tr.MarkStored(batch)
			if how == model.EndedFailed {
				if !confirmed && rapid.Bool().Draw(t, "lost") {
					tr.VoidFailure(task.ID, r.Attempt)
				} else {
					if !confirmed {
						// The leader changes, and the executor lists the end again.
						tr = d.load(t)
						tr.ApplyEnd("x", model.End{Task: task.ID, Attempt: r.Attempt, Ending: how}, true, 0)
					}
					tr.ConfirmFailure(task.ID, r.Attempt, 0)
					failed[task.ID]++
				}
				batch := tr.TakeChanges()
				d.write(batch.Records)
				tr.MarkStored(batch)
			}
			if rapid.Bool().Draw(t, "new leader") {
				tr = d.load(t)
			}
		}
		most := 0
		for _, n := range failed {
			most = max(most, n)
		}
		switch tr.Job("j").State() {
		case model.Complete:
			assert.Equal(t, len(done), spec.TaskCount())
		case model.Failed:
			assert.Equal(t, most, queue.Attempts)
		default:
			assert.Assert(t, most < queue.Attempts)
		}
	})
}

// Guards against a final state that callers see before it is stored.
func TestFinalStateIsVisibleOnceStored(t *testing.T) {
	tr := New(0)
	j := tr.Accept("j", queue, steps(1), 0, 0)
	r := tr.BeginRun(j.Open[0].Steps[0].Tasks[0], "x", 0, 0)
	tr.ConfirmRun(r, 0)
	tr.ApplyEnd("x", model.End{Task: r.Task.ID, Attempt: 1, Ending: model.EndedDone}, false, 0)
	assert.Equal(t, j.State(), model.Active)
	tr.MarkStored(tr.TakeChanges())
	assert.Equal(t, j.State(), model.Complete)
}

// Guards against a job that starts over because an entry without a leader stores it again after its
// end.
func TestLeaderlessCopyOfEndedJob(t *testing.T) {
	d := disk{}
	spec := steps(1)
	d.write([]Record{JobRecord("j", queue, "", body(spec), 0)})
	tr := d.load(t)
	tr.ReleaseUnresolved(func(*Job) bool { return true }, 0)
	r := tr.BeginRun(tr.Job("j").Open[0].Steps[0].Tasks[0], "x", 0, 0)
	tr.ApplyEnd("x", model.End{Task: r.Task.ID, Attempt: r.Attempt, Ending: model.EndedDone}, false, 0)
	d.write(tr.TakeChanges().Records)
	d.write([]Record{LeaderlessJobRecord("j", queue, "", body(spec), 0)})
	assert.Equal(t, d.load(t).Job("j").State(), model.Complete)
}

// Guards against a job that another account takes over, with a submission of the same ID that an entry without a
// leader stores.
func TestLeaderlessCopyLeavesTheAccount(t *testing.T) {
	d := disk{}
	d.write([]Record{JobRecord("j", queue, "a", body(steps(1)), 0), LeaderlessJobRecord("j", queue, "b", body(steps(2)), 0)})
	for range 20 { // loaders get records in any order
		j := d.load(t).Job("j")
		assert.Equal(t, j.Account, "a")
		assert.Equal(t, j.Spec.TaskCount(), 1)
	}
}

// Guards against a cancel that is lost because it was stored before its job.
func TestCancelBeforeItsJob(t *testing.T) {
	d := disk{}
	d.write([]Record{CancelRecord("j", 0)})
	d.write([]Record{LeaderlessJobRecord("j", queue, "", body(steps(1)), 0)})
	tr := d.load(t)
	tr.MarkStored(tr.TakeChanges())
	assert.Equal(t, tr.Job("j").State(), model.Cancelled)
	tr = New(0)
	tr.Cancel("k", 0)
	tr.Accept("k", queue, steps(1), 0, 0)
	assert.Assert(t, tr.Job("k").IsOver())
}

// Guards against occurrences that start before they are due, and against a job that is over before
// its last one.
func TestOccurrences(t *testing.T) {
	tr := New(0)
	spec := steps(1)
	spec.Scheduled, spec.Repeats, spec.Start, spec.Period = true, 3, 10*time.Second, time.Second
	j := tr.Accept("j", queue, spec, 0, 0)
	assert.Equal(t, tr.OpenDue(j, 10*time.Second-1, nil), false)
	assert.Equal(t, tr.OpenDue(j, 11*time.Second, nil), true)
	assert.Equal(t, len(j.Open), 2)
	for k := range 3 {
		tr.OpenDue(j, 12*time.Second, nil)
		id := model.TaskID{Job: "j", Occurrence: k}
		r := tr.BeginRun(j.Task(id), "x", 0, 0)
		tr.ApplyEnd("x", model.End{Task: id, Attempt: r.Attempt, Ending: model.EndedDone}, false, 0)
		assert.Equal(t, j.IsOver(), k == 2)
	}
}

// Guards against a gang of which some members count as done while others run again.
func TestGangEndsAsAWhole(t *testing.T) {
	tr := New(0)
	spec := steps(3)
	spec.Steps[0].Gang = true
	j := tr.Accept("j", queue, spec, 0, 0)
	tasks := j.Open[0].Steps[0].Tasks
	for round := range 2 {
		for i, task := range tasks {
			tr.BeginRun(task, fmt.Sprint("x", i), round+1, 0)
		}
		how := model.EndedFailed
		if round == 1 {
			how = model.EndedDone
		}
		tr.ApplyEnd("x0", model.End{Task: tasks[0].ID, Attempt: round + 1, Ending: how}, false, 0)
		if round == 0 {
			assert.Assert(t, !tr.ConfirmFailure(tasks[0].ID, 1, 0))
			for i := 1; i < 3; i++ {
				tr.ApplyEnd(fmt.Sprint("x", i), model.End{Task: tasks[i].ID, Attempt: 1, Ending: model.EndedBroken}, false, 0)
			}
			assert.Assert(t, !j.IsOver())
		}
	}
	assert.Assert(t, j.IsOver())
	tr.MarkStored(tr.TakeChanges())
	assert.Equal(t, j.State(), model.Complete)
}

// Guards against a failure that counts twice after a change of the leader, so that a job fails with
// an attempt left, and against one that counts although its executor was lost before it was told
// that the end is stored.
func TestFailuresCountOnce(t *testing.T) {
	d := disk{}
	d.write([]Record{JobRecord("j", queue, "", body(steps(1)), 0)})
	tr := d.load(t)
	tr.ReleaseUnresolved(func(*Job) bool { return true }, 0)
	id := model.TaskID{Job: "j"}
	r := tr.BeginRun(tr.Job("j").Task(id), "x", 0, 0)
	end := model.End{Task: id, Attempt: r.Attempt, Ending: model.EndedFailed}
	tr.ApplyEnd("x", end, false, 0)
	d.write(tr.TakeChanges().Records)
	// The executor was not told, and lists the end to the next leader.
	tr = d.load(t)
	tr.ApplyEnd("x", end, true, 0)
	assert.Assert(t, !tr.ConfirmFailure(id, end.Attempt, 0))
	tr.ReleaseUnresolved(func(*Job) bool { return true }, 0)
	j := tr.Job("j")
	assert.Assert(t, j.Task(id).IsWaiting(), "one attempt is left")

	r = tr.BeginRun(j.Task(id), "y", 0, 0)
	tr.ApplyEnd("y", model.End{Task: id, Attempt: r.Attempt, Ending: model.EndedFailed}, false, 0)
	assert.Assert(t, !j.Task(id).IsWaiting() && !j.IsOver(), "the end is not confirmed")
	tr.VoidFailure(id, r.Attempt)
	assert.Assert(t, j.Task(id).IsWaiting())
	r = tr.BeginRun(j.Task(id), "z", 0, 0)
	tr.ApplyEnd("z", model.End{Task: id, Attempt: r.Attempt, Ending: model.EndedFailed}, false, 0)
	assert.Assert(t, tr.ConfirmFailure(id, r.Attempt, 0))
	tr.MarkStored(tr.TakeChanges())
	assert.Equal(t, j.State(), model.Failed)
}

// Guards against a gang that ends alone again and again after a crash: its members are started with the
// different checkpoints that each of them saved last.
func TestGangStartsWithOneCheckpoint(t *testing.T) {
	spec := model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 3, Gang: true, WritesCheckpoints: true}}}
	tr := New(0)
	s := tr.Accept("job", queue, spec, 0, 0).Open[0].Steps[0]
	d := disk{}
	d.write([]Record{JobRecord("job", queue, "", body(spec), 0)})
	begin := func(attempt int) []*Run {
		var rs []*Run
		for i, task := range s.Tasks {
			rs = append(rs, tr.BeginRun(task, fmt.Sprint("x", i), attempt, 0))
		}
		return rs
	}
	assertAll := func(rs []*Run, want string) {
		t.Helper()
		for _, r := range rs {
			assert.Equal(t, r.Checkpoint, want)
		}
	}
	rs := begin(1)
	tr.ObserveCheckpoint(rs[0], "old")
	tr.ObserveCheckpoint(rs[1], "old")
	tr.ObserveCheckpoint(rs[2], "new")
	for i, saved := range []string{"", "newer", "newer"} {
		if i > 0 {
			tr.ApplyEnd(rs[i].Executor, model.End{Task: rs[i].Task.ID, Attempt: 1, Ending: model.EndedBroken, Checkpoint: saved}, false, 0)
		}
	}
	tr.RemoveRun(rs[0]) // of the executor that crashed
	rs = begin(2)
	assertAll(rs, "newer")
	for _, r := range rs {
		tr.RemoveRun(r)
	}
	d.write(tr.TakeChanges().Records)
	tr = d.load(t)
	tr.ReleaseUnresolved(func(*Job) bool { return true }, 0)
	s = tr.Job("job").Open[0].Steps[0]
	assertAll(begin(70), "newer")
}

// Guards against tasks that are started without the tickets that they need: their queue was removed, and a
// later leader knows it from the record of the job only.
func TestJobKeepsTheSettingsOfItsQueue(t *testing.T) {
	q := model.Queue{
		Name: "q", Service: "s", Attempts: 3, Priority: 1, Slack: 1.6, Objective: 600 * time.Millisecond,
		Advice: &model.Advice{DecisionTime: 50 * time.Millisecond, PerExecutor: 2 * time.Millisecond, TicketTTL: 3 * time.Second},
	}
	d := disk{}
	d.write([]Record{JobRecord("job", q, "", body(steps(1)), 0)})
	assert.DeepEqual(t, d.load(t).Job("job").Settings, q)
	q.Advice = nil
	d.write([]Record{JobRecord("job", q, "", body(steps(1)), 0)})
	assert.DeepEqual(t, d.load(t).Job("job").Settings, q)
}
