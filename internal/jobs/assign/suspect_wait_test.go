package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// suspect puts an executor on probation, past its quarantine.
func (h *harness) suspect(key string) *execs.Member {
	h.t.Helper()
	m := h.byKey[key]
	for i := range 3 {
		m.RecordFailure(fmt.Sprint("other", i), 0)
	}
	assert.Assert(h.t, m.IsSuspect())
	h.now = max(h.now, time.Minute)
	return m
}

// Guards against a task that never starts again: it failed on the only sound executor, which it avoids
// in favour of a suspect, and avoids the suspect in favour of the sound one.
func TestFailedTaskIsNotKeptOffAllExecutors(t *testing.T) {
	for _, attempts := range []int{2, 4} {
		h := newHarness(t, 2, cores(8))
		h.queues["q"].Attempts = attempts
		h.suspect("b")
		j := h.accept("job", model.Step{Need: cores(2), Estimate: time.Second})
		h.failOnce(j)
		h.now += lastAttemptDelay
		starts := h.plan()
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Member.Key, "a")
	}
}

// Guards against a failed task that waits for a decision on sound executors that nobody asks for,
// because a suspect that it avoids has a ticket.
func TestToAskBesidesASuspect(t *testing.T) {
	h := newHarness(t, 3, cores(8))
	h.queues["q"].Attempts = 4
	j := h.accept("job", model.Step{Need: cores(2), Estimate: time.Second})
	h.failOnce(j)
	h.suspect("b")
	policy := policyOf(map[string]Permission{"b": Startable, "c": Undecided})
	s := j.Open[0].Steps[0]
	h.policy = policy
	assert.Equal(t, len(h.plan()), 0)
	assert.Equal(t, keys(ToAsk(s, h.members, policy, h.now)), "c")
}

// Guards against a poison job that never ends: its next task avoids the executors that have tickets,
// and no others are asked about because its waiting tasks could start there.
func TestToAskForThePoisonTaskThatIsTried(t *testing.T) {
	h := newHarness(t, 3, cores(8))
	h.queues["q"].Attempts = 4
	j := h.accept("job", model.Step{Count: 2, Need: cores(8), Estimate: time.Second}, model.Step{Need: cores(8)})
	s := j.Open[0].Steps[0]
	for _, key := range []string{"a", "b"} {
		r := h.tracker.BeginRun(s.Tasks[0], key, 0, h.now)
		h.tracker.ApplyEnd(key, model.End{Task: r.Task.ID, Attempt: r.Attempt, Ending: model.EndedFailed}, false, h.now)
		j.RecordFailureOn(key)
	}
	assert.Assert(t, j.IsPoison())
	h.policy = policyOf(map[string]Permission{"a": Startable, "b": Startable, "c": Undecided})
	assert.Equal(t, len(h.plan()), 0)
	assert.Equal(t, keys(ToAsk(s, h.members, h.policy, h.now)), "c")
	assert.Equal(t, keys(ToAsk(j.Open[0].Steps[1], h.members, h.policy, h.now)), "", "its tasks wait")
}

// Guards against a long-running task that is unavailable until a suspect's short runs have ended, though
// the bound is only for those, and against one that is sent to a suspect past its bound while a sound
// executor has capacity.
func TestBoundDelaysNoLongRunningTask(t *testing.T) {
	for _, soundIsFull := range []bool{true, false} {
		h := newHarness(t, 2, cores(8))
		h.suspect("b").AddRun(h.accept("short", model.Step{Need: cores(1), Estimate: time.Hour}).Open[0].Steps[0])
		h.tracker.Cancel("short", 0)
		if soundIsFull {
			h.byKey["a"].AddRun(&track.Step{Step: &model.Step{Need: cores(8)}})
		} else {
			h.byKey["a"].AddRun(&track.Step{Step: &model.Step{Need: cores(6)}})
		}
		h.accept("serving", model.Step{Need: cores(2), LongRunning: true})
		want := map[bool]string{true: "b", false: "a"}[soundIsFull]
		starts := h.plan()
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Member.Key, want)
	}
}

// Guards against a plan with more starts than its limit.
func TestPoisonTasksKeepTheLimit(t *testing.T) {
	h := newHarness(t, 3, cores(8))
	var jobs []*track.Job
	for i := range 3 {
		j := h.accept(fmt.Sprint(i), model.Step{Need: cores(1)})
		j.RecordFailureOn("x")
		j.RecordFailureOn("y")
		jobs = append(jobs, j)
	}
	assert.Equal(t, len(Plan(jobs, h.members, h.policy, nil, nil, h.now, 2)), 2)
}

// Guards against a gang that never starts because it needs several places on a suspect, whose bound grows
// only with successes there.
func TestGangCountsOnceAgainstTheBound(t *testing.T) {
	h := newHarness(t, 2, cores(8))
	h.suspect("b")
	j := h.accept("gang", model.Step{Count: 4, Gang: true, Need: cores(4), Estimate: time.Second})
	policy := policyOf(map[string]Permission{"a": Startable, "b": Startable})
	assert.Equal(t, len(ToAsk(j.Open[0].Steps[0], h.members, policy, h.now)), 0, "it can start")
	assert.Equal(t, len(h.plan()), 4)
	assert.Equal(t, h.byKey["b"].Room(), 0)
	h.advance(time.Second)
	assert.Assert(t, j.IsOver())
}
