package track

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Guards against moves that lose work after a change of the leader: a new leader does not know how old a
// listed checkpoint is, and took it for one of the present progress.
func TestAdoptedCheckpointIsOfUnknownProgress(t *testing.T) {
	tr := New(0)
	j := tr.Accept("j", queue, steps(1), 0, 0)
	r := tr.AdoptRun("x", model.Run{Task: j.Open[0].Steps[0].Tasks[0].ID, Attempt: 1, Percent: 80, Checkpoint: "old"}, time.Second)
	r.ObservePercent(80, time.Second)
	tr.ObserveCheckpoint(r, "old")
	assert.Equal(t, r.SavedPercent(), 0.0)
	r.ObservePercent(85, 2*time.Second)
	tr.ObserveCheckpoint(r, "new")
	assert.Equal(t, r.SavedPercent(), 85.0)
}
