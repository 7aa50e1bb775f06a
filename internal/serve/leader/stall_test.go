package leader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Guards against executors that are all quarantined because runs there take longer than their estimates, and against a
// stalled executor that is not found out: single tasks make progress in less time elsewhere.
func TestStallsCountOnceProgressElsewhereShowsThem(t *testing.T) {
	for _, percentTime := range []time.Duration{10 * time.Millisecond, 3 * time.Second} {
		l, x, _ := newStoringLeader(t)
		l.LastRenewal = func() time.Duration { return l.now - time.Minute } // no stop is sent
		l.tracker = track.New(0)
		y := &member{Member: execs.Member{Executor: model.Executor{ID: "y", Service: "s"}, Key: "y@1", Contact: execs.Live, Listed: true}, adopted: true}
		x.Listed, l.members[y.Key] = true, y
		var tasks []*track.Task
		for i := range 3 {
			j := l.tracker.Accept(fmt.Sprint("j", i), model.Queue{Service: "s"}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 1, Estimate: 100 * time.Millisecond}}}, 0, 0)
			tasks = append(tasks, j.Open[0].Steps[0].Tasks[0])
			l.tracker.ConfirmRun(l.tracker.BeginRun(tasks[i], x.Key, 0, l.now), l.now)
		}
		l.now += 2 * time.Second
		x.clockAt = l.now
		l.retryStops()
		assert.Assert(t, x.CanAcceptTasks(l.now), "quarantined although nothing shows that the runs should have made progress")
		for _, task := range tasks {
			assert.Equal(t, task.Runs[0].Phase, track.Stopping)
			l.tracker.RemoveRun(task.Runs[0])
			r := l.tracker.BeginRun(task, y.Key, 0, l.now)
			l.tracker.ConfirmRun(r, l.now)
			list := polled{m: y, sent: l.now}
			l.now += percentTime
			list.list.Running = []model.Run{{Task: task.ID, Attempt: r.Attempt, Percent: 1}}
			l.reconcileRuns(y, list, false)
		}
		assert.Equal(t, x.CanAcceptTasks(l.now), percentTime > time.Second)
	}
}
