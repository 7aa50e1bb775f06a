package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a new leader that starts a third run of a task, or more than max_attempts that fail, while
// an executor that it has not contacted still has the second run.
func TestSuccessorStartsNoThirdRun(t *testing.T) {
	for _, fails := range []bool{false, true} {
		l, x, y, r := newCopyLeader(t, true)
		task := r.Task
		l.dropRun(r)
		task.Unresolved = true
		x.adopted, y.adopted, y.Contact = false, false, execs.Uncontacted
		z := &member{Member: execs.Member{Executor: model.Executor{ID: "z", Service: "s", Capacity: y.Capacity}, Key: "z@1", Contact: execs.Live, Listed: true, Slowness: 1}, adopted: true, visible: true}
		l.members[z.Key] = z
		answerPoll(l, x, 1, platform.PollResult{Running: []model.Run{{Task: task.ID, Attempt: 1}}})
		assert.Equal(t, len(task.Runs), 1)
		if fails {
			l.applyEnds(x, []model.End{{Seq: 1, Task: task.ID, Attempt: 1, Ending: model.EndedFailed}}, false)
			assert.Assert(t, !task.IsWaiting(), "its second run may go on")
		} else {
			l.now += 3 * time.Second
			x.clockAt = 0
			assert.Equal(t, l.copyLate(x, z), 0)
		}
		l.tracker.ReleaseUnresolved(func(*track.Job) bool { return true }, l.wall)
		if fails {
			assert.Assert(t, task.IsWaiting())
		} else {
			assert.Equal(t, l.copyLate(x, z), 1)
		}
	}
}
