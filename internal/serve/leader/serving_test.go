package leader

import (
	"testing"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Guards against executors that fail the runs of a long-running job and are never suspected, because two
// failures in days count as proof that the job fails everywhere. Its tasks are never done.
func TestServingJobIsNotPoison(t *testing.T) {
	l, x, _ := newStoringLeader(t)
	y := &member{Member: execs.Member{Key: "y@1", Contact: execs.Live}, adopted: true}
	l.members[y.Key] = y
	j := l.tracker.Accept("serving", model.Queue{Service: "s", Attempts: 2}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 1, LongRunning: true}}}, 0, 0)
	x.RecordSuccess(l.now)
	y.RecordSuccess(l.now)
	r := l.tracker.BeginRun(j.Open[0].Steps[0].Tasks[0], x.Key, 0, l.now)
	r.ObservePercent(100, l.now)
	l.tracker.RemoveRun(r)
	failRun(l, x, j)
	failRun(l, y, j)
	assert.Assert(t, !j.FailsEverywhere())
	assert.Assert(t, x.FailureRate() > 0 && y.FailureRate() > 0)
}
