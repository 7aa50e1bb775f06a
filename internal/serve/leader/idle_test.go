package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Guards against slow runs that are not moved as long as any job is poison: all tasks of such a job but
// one wait, and take no capacity.
func TestPoisonJobsHoldUpNoMoves(t *testing.T) {
	l, x, _, _ := newStartingLeader(t)
	l.LastRenewal = func() time.Duration { return l.now }
	l.Execs, x.Slowness = pollRecorder{acked: make(chan int64, 100)}, 1
	y := &member{Member: execs.Member{Executor: model.Executor{ID: "y", Service: "s", Capacity: x.Capacity}, Key: "y@1", Contact: execs.Live, Listed: true, Slowness: 1}, adopted: true, visible: true}
	l.members[y.Key] = y
	l.byService = nil
	slow := l.tracker.Accept("slow", model.Queue{Service: "s", Attempts: 2}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 1, WritesCheckpoints: true, Estimate: time.Second}}}, 0, 0)
	poison := l.tracker.Accept("poison", model.Queue{Service: "s", Attempts: 2}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 2, Estimate: time.Minute}}}, 0, 0)
	poison.RecordFailureOn("a")
	poison.RecordFailureOn("b")
	plan := func() {
		l.nextPlan, l.planDue["s"] = 0, true
		l.plan()
	}
	plan()
	task := slow.Open[0].Steps[0].Tasks[0]
	assert.Equal(t, len(task.Runs), 1)
	r := task.Runs[0]
	l.confirmRun(r)
	assert.Assert(t, poison.IsPoison() && hasWaitingTasks(poison) && poison.Probe() == nil)
	for i := range 6 {
		l.now += time.Second
		r.ObservePercent(float64(2*i+2), l.now)
		l.tracker.ObserveCheckpoint(r, "saved")
	}
	m := l.members[r.Executor]
	m.clockAt = l.now
	l.retryStops()
	plan()
	assert.Equal(t, r.Phase, track.Stopping)
	assert.Equal(t, task.SlowMoves, 1)
	assert.Assert(t, l.replanAt["s"] > 0, "the other tasks of the poison job start later")
}
