package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Guards against late runs that get no copies as long as any job is poison: all tasks of such a job but
// one wait, and take no capacity.
func TestPoisonJobsHoldUpNoCopies(t *testing.T) {
	l, x, _, _ := newStartingLeader(t)
	l.LastRenewal = func() time.Duration { return l.now }
	l.Execs, x.Slowness = pollRecorder{acked: make(chan int64, 100)}, 1
	y := &member{Member: execs.Member{Executor: model.Executor{ID: "y", Service: "s", Capacity: x.Capacity}, Key: "y@1", Contact: execs.Live, Listed: true, Slowness: 1}, adopted: true, visible: true}
	l.members[y.Key] = y
	l.byService = nil
	late := l.tracker.Accept("late", model.Queue{Service: "s", Attempts: 2}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 1, AllowsCopies: true, Estimate: time.Second}}}, 0, 0)
	poison := l.tracker.Accept("poison", model.Queue{Service: "s", Attempts: 2}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 2, Estimate: time.Minute}}}, 0, 0)
	poison.RecordFailureOn("a")
	poison.RecordFailureOn("b")
	plan := func() {
		l.nextPlan, l.planDue["s"] = 0, true
		l.plan()
	}
	plan()
	task := late.Open[0].Steps[0].Tasks[0]
	assert.Equal(t, len(task.Runs), 1)
	l.confirmRun(task.Runs[0])
	assert.Assert(t, poison.IsPoison() && hasWaitingTasks(poison) && poison.Probe() == nil)
	l.now += 3 * time.Second
	l.retryStops()
	plan()
	assert.Equal(t, len(task.Runs), 2)
	assert.Assert(t, l.replanAt["s"] > 0, "the other tasks of the poison job start later")
}
