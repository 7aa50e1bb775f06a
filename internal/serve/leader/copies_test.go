package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

// newCopyLeader returns a leader with a late run on x and another executor, and the run.
func newCopyLeader(t *testing.T, allowed bool) (l *Leader, x, y *member, r *track.Run) {
	t.Helper()
	l, x, _, _ = newRunningLeader(t)
	x.Slowness = 1
	y = &member{Member: execs.Member{Executor: model.Executor{ID: "y", Service: "s", Capacity: model.Amount{Cores: 8000}}, Key: "y@1", Contact: execs.Live, Listed: true, Slowness: 1}, adopted: true, visible: true}
	l.members[y.Key] = y
	step := model.Step{Count: 2, AllowsCopies: allowed, Estimate: time.Second}
	j := l.tracker.Accept("late", model.Queue{Service: "s", Attempts: 2}, model.JobSpec{Repeats: 1, Steps: []model.Step{step}}, 0, 0)
	l.startRun(assign.Start{Task: j.Open[0].Steps[0].Tasks[0], Member: &x.Member})
	r = j.Open[0].Steps[0].Tasks[0].Runs[0]
	l.confirmRun(r)
	return l, x, y, r
}

func (l *Leader) copyLate(members ...*member) int {
	l.retryStops()
	var ms []*execs.Member
	for _, m := range members {
		ms = append(ms, &m.Member)
	}
	return l.startCopies("s", ms, assign.Unrestricted, nil, 10)
}

// Guards against a task that waits for a late run, against two runs where the step allows one, and
// against more than one copy.
func TestLateRunGetsOneCopy(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		l, x, y, r := newCopyLeader(t, allowed)
		x.clockAt = l.now + 3*time.Second
		r.LastProgress = x.clockAt
		assert.Equal(t, l.copyLate(x, y), 0)
		l.now += 3 * time.Second
		if !allowed {
			assert.Equal(t, l.copyLate(x, y), 0)
			continue
		}
		assert.Equal(t, l.copyLate(x, y), 1)
		assert.Equal(t, l.copyLate(x, y), 0)
		second := r.Task.Runs[1]
		assert.Equal(t, second.Executor, y.Key)
		assert.Assert(t, second.Attempt > r.Attempt)
	}
}

// Guards against a loser that runs on or counts against the job, and a task that is done twice, whichever
// run ends first, and however the other ends.
func TestFirstRunThatIsDoneCounts(t *testing.T) {
	for _, second := range []bool{false, true} {
		for _, how := range []model.Ending{model.EndedStopped, model.EndedFailed, model.EndedDone} {
			l, x, y, r := newCopyLeader(t, true)
			l.now += 3 * time.Second
			assert.Equal(t, l.copyLate(x, y), 1)
			task := r.Task
			l.confirmRun(task.Runs[1])
			l.now += time.Second
			winner, loser, wm, lm := r, task.Runs[1], x, y
			if second {
				winner, loser, wm, lm = loser, winner, y, x
			}
			l.applyEnds(wm, []model.End{{Seq: wm.appliedSeq + 1, Task: task.ID, Attempt: winner.Attempt, Ending: model.EndedDone}}, false)
			assert.Assert(t, task.Done && loser.Phase == track.Stopping)
			assert.Equal(t, lm.Slowness > 1, second, "the slow executor is known as such")
			l.applyEnds(lm, []model.End{{Seq: lm.appliedSeq + 1, Task: task.ID, Attempt: loser.Attempt, Ending: how}}, false)
			assert.Equal(t, task.Step.Left, 1)
			assert.Equal(t, task.Failures(), 0)
			assert.Equal(t, len(task.Runs), 0)
			assert.Equal(t, y.Used.Cores, int64(0))
		}
	}
}

// Guards against a failed copy that makes its task start a third time while the first run goes on, and
// against a lost executor that takes the copy with it.
func TestRunsOfATaskFailIndependently(t *testing.T) {
	l, x, y, r := newCopyLeader(t, true)
	l.now += 3 * time.Second
	assert.Equal(t, l.copyLate(x, y), 1)
	task, second := r.Task, r.Task.Runs[1]
	l.confirmRun(second)
	l.applyEnds(y, []model.End{{Seq: 1, Task: task.ID, Attempt: second.Attempt, Ending: model.EndedFailed}}, false)
	assert.Assert(t, !task.IsWaiting() && task.Failures() == 1 && !task.Step.Occ.Job.IsOver())
	l.now += time.Second
	assert.Equal(t, l.copyLate(x, y), 0, "one more failure would end the job")
	l.markDead(x, "test")
	assert.Assert(t, task.IsWaiting())
}

// Guards against a new leader that stops, forgets or repeats one of two runs of a task that executors
// list.
func TestSuccessorAdoptsBothRuns(t *testing.T) {
	l, x, y, r := newCopyLeader(t, true)
	task := r.Task
	l.dropRun(r)
	task.Unresolved = true
	for i, m := range []*member{x, y} {
		m.adopted = false
		answerPoll(l, m, 1, platform.PollResult{Running: []model.Run{{Task: task.ID, Attempt: i + 1}}})
		assert.Equal(t, len(task.Runs), i+1)
		assert.Assert(t, !task.IsWaiting())
	}
}

// Guards against the share of the pool for copies being used up by runs that are hardly late while the
// longest one gets none.
func TestLongestRunsGetCopiesFirst(t *testing.T) {
	for range 10 {
		l, x, y, r := newCopyLeader(t, true)
		l.now += 3 * time.Second
		other := r.Task.Step.Tasks[1]
		l.startRun(assign.Start{Task: other, Member: &x.Member})
		l.confirmRun(other.Runs[0])
		l.now += 3 * time.Second
		l.retryStops()
		assert.Equal(t, l.startCopies("s", []*execs.Member{&x.Member, &y.Member}, assign.Unrestricted, nil, 1), 1)
		assert.Equal(t, len(r.Task.Runs), 2)
	}
}
