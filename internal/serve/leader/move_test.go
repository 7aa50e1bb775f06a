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

// Guards against a slow run that is moved and then counts as a failure, that starts again before its
// end is known, or without its checkpoint.
func TestMovedRunContinuesFromItsCheckpoint(t *testing.T) {
	l, x, y, r := newCopyLeader(t, false)
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
