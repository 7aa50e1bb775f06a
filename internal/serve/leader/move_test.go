package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// newSlowLeader returns a leader with a run on x, another executor, and the run.
func newSlowLeader(t *testing.T) (l *Leader, x, y *member, r *track.Run) {
	t.Helper()
	l, x, _, _ = newRunningLeader(t)
	x.Slowness = 1
	y = &member{Member: execs.Member{Executor: model.Executor{ID: "y", Service: "s", Capacity: model.Amount{Cores: 8000}}, Key: "y@1", Contact: execs.Live, Listed: true, Slowness: 1}, adopted: true, visible: true}
	l.members[y.Key] = y
	step := model.Step{Count: 2, Estimate: time.Second}
	j := l.tracker.Accept("slow", model.Queue{Service: "s", Attempts: 2}, model.JobSpec{Repeats: 1, Steps: []model.Step{step}}, 0, 0)
	l.startRun(assign.Start{Task: j.Open[0].Steps[0].Tasks[0], Member: &x.Member})
	r = j.Open[0].Steps[0].Tasks[0].Runs[0]
	l.confirmRun(r)
	return l, x, y, r
}

// Guards against a slow run that is moved and then counts as a failure, that starts again before its
// end is known, or without its checkpoint.
func TestMovedRunContinuesFromItsCheckpoint(t *testing.T) {
	l, x, y, r := newSlowLeader(t)
	r.Task.Step.WritesCheckpoints = true
	for i := range 6 {
		l.now += time.Second
		r.ObservePercent(float64(2*i+2), l.now)
		l.tracker.ObserveCheckpoint(r, "saved")
	}
	x.clockAt = l.now
	l.retryStops()
	l.moveSlow("s", []*execs.Member{&x.Member, &y.Member}, assign.Unrestricted, nil)
	assert.Equal(t, r.Phase, track.Stopping)
	assert.Assert(t, !r.Task.IsWaiting() && x.Slowness > 2)
	l.applyEnds(x, []model.End{{Seq: 1, Task: r.Task.ID, Attempt: r.Attempt, Ending: model.EndedStopped}}, false)
	assert.Assert(t, r.Task.IsWaiting() && r.Task.Failures() == 0)
	assert.Equal(t, r.Task.Checkpoint, "saved")
	assert.DeepEqual(t, r.Task.Avoided, []string{x.Key})
}

// Guards against slow runs that are not moved as long as any account waits for its limit, and against a run
// whose room is taken by a waiting task of its account once it is stopped for a move.
func TestTasksThatWaitForALimitDelayNoMoveOfOthers(t *testing.T) {
	for _, c := range []struct {
		account string
		waiting int64 // cores of the task that waits
		moves   bool
	}{{"none", 1, true}, {"a", 1, false}, {"a", 2, true}} {
		l, m, _ := newLimitedLeader(t, 2000)
		l.members["z"] = &member{Member: execs.Member{Executor: model.Executor{ID: "z", Service: "s", Capacity: m.Capacity}, Key: "z", Contact: execs.Live, Listed: true, Slowness: 1}, adopted: true, visible: true}
		m.Slowness, l.slow = 1, map[string][]*track.Run{}
		slow := acceptFor(l, "slow", "q", c.account, model.Step{Count: 1, Need: need(1), Estimate: time.Second, WritesCheckpoints: true})
		l.startRun(assign.Start{Task: slow.Open[0].Steps[0].Tasks[0], Member: &m.Member})
		r := slow.Open[0].Steps[0].Tasks[0].Runs[0]
		l.confirmRun(r)
		l.quota.ledger.Charge("a", need(2).Minus(l.quota.ledger.Used("a"))) // it is at its limit
		acceptFor(l, "waits", "q", "a", model.Step{Count: 1, Need: need(c.waiting)})
		for i := range 6 {
			l.now += time.Second
			r.ObservePercent(float64(2*i+2), l.now)
			l.tracker.ObserveCheckpoint(r, "saved")
		}
		l.observeSlow(m, r)
		planAll(l, slow)
		assert.Equal(t, r.Phase == track.Stopping, c.moves, "%+v", c)
	}
}
