package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

// adoptSecond adds a second run, on y, to the task of a run. Its step allows copies.
func adoptSecond(l *Leader, y *member, r *track.Run) *track.Run {
	r.Task.Step.AllowsCopies = true
	second := l.tracker.AdoptRun(y.Key, model.Run{Task: r.Task.ID, Attempt: r.Attempt + 1}, l.now)
	y.AddRun(r.Task.Step)
	return second
}

// Guards against a second run that is adopted where the step allows one only.
func TestSecondRunIsAdoptedOnlyIfAllowed(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		l, _, y, r := newSlowLeader(t)
		r.Task.Step.AllowsCopies = allowed
		second := l.tracker.AdoptRun(y.Key, model.Run{Task: r.Task.ID, Attempt: r.Attempt + 1}, l.now)
		assert.Equal(t, second != nil, allowed)
	}
}

// Guards against a loser that runs on or counts against the job, and a task that is done twice, whichever
// run ends first, and however the other ends.
func TestFirstRunThatIsDoneCounts(t *testing.T) {
	for _, second := range []bool{false, true} {
		for _, how := range []model.Ending{model.EndedStopped, model.EndedFailed, model.EndedDone} {
			l, x, y, r := newSlowLeader(t)
			task := r.Task
			winner, loser, wm, lm := r, adoptSecond(l, y, r), x, y
			l.now += time.Second
			if second {
				winner, loser, wm, lm = loser, winner, y, x
			}
			l.applyEnds(wm, []model.End{{Seq: wm.appliedSeq + 1, Task: task.ID, Attempt: winner.Attempt, Ending: model.EndedDone}}, false)
			assert.Assert(t, task.Done && loser.Phase == track.Stopping)
			l.applyEnds(lm, []model.End{{Seq: lm.appliedSeq + 1, Task: task.ID, Attempt: loser.Attempt, Ending: how}}, false)
			assert.Equal(t, task.Step.Left, 1)
			assert.Equal(t, task.Failures(), 0)
			assert.Equal(t, len(task.Runs), 0)
			assert.Equal(t, y.Used.Cores, int64(0))
		}
	}
}

// Guards against a failed second run that makes its task start a third time while the first run goes on,
// and against a lost executor that takes the other run with it.
func TestRunsOfATaskFailIndependently(t *testing.T) {
	l, x, y, r := newSlowLeader(t)
	task, second := r.Task, adoptSecond(l, y, r)
	l.applyEnds(y, []model.End{{Seq: 1, Task: task.ID, Attempt: second.Attempt, Ending: model.EndedFailed}}, false)
	assert.Assert(t, !task.IsWaiting() && task.Failures() == 1 && !task.Step.Occ.Job.IsOver())
	l.markDead(x, "test")
	assert.Assert(t, task.IsWaiting())
}

// Guards against a new leader that stops, forgets or repeats one of two runs of a task that executors
// list.
func TestSuccessorAdoptsBothRuns(t *testing.T) {
	l, x, y, r := newSlowLeader(t)
	task := r.Task
	task.Step.AllowsCopies = true
	l.dropRun(r)
	task.Unresolved = true
	for i, m := range []*member{x, y} {
		m.adopted = false
		answerPoll(l, m, 1, platform.PollResult{Running: []model.Run{{Task: task.ID, Attempt: i + 1}}})
		assert.Equal(t, len(task.Runs), i+1)
		assert.Assert(t, !task.IsWaiting())
	}
}
