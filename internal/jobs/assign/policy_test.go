package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// policyOf returns a policy of the permissions for executors by their keys.
func policyOf(ps map[string]Permission) Policy {
	return func(_ *track.Step, m *execs.Member) Permission { return ps[m.Key] }
}

func keys(ms []*execs.Member) string {
	out := ""
	for _, m := range ms {
		out += m.Key
	}
	return out
}

// Guards against tasks that wait for a decision that nobody asks for: the executors that were asked
// about have no capacity, or hold as many tasks of the step as allowed.
func TestToAsk(t *testing.T) {
	for name, c := range map[string]struct {
		step model.Step
		ps   map[string]Permission
		used map[string]int64
		want string
	}{
		"freest first":             {model.Step{}, map[string]Permission{"a": Undecided, "b": Approved, "c": Undecided}, map[string]int64{"a": 3, "b": 1}, "cba"},
		"not if denied":            {model.Step{}, map[string]Permission{"b": Undecided}, nil, "b"},
		"not if one can start":     {model.Step{}, map[string]Permission{"a": Undecided, "c": Startable}, nil, ""},
		"others if it is full":     {model.Step{}, map[string]Permission{"a": Undecided, "c": Startable}, map[string]int64{"c": 7}, "a"},
		"not without capacity":     {model.Step{}, map[string]Permission{"a": Undecided}, map[string]int64{"a": 7}, ""},
		"full ones to reserve":     {model.Step{LongRunning: true}, map[string]Permission{"a": Undecided}, map[string]int64{"a": 7}, "a"},
		"not if one is reserved":   {model.Step{LongRunning: true}, map[string]Permission{"a": Undecided, "c": Approved}, map[string]int64{"a": 7, "c": 7}, ""},
		"all places of a gang":     {model.Step{Gang: true}, map[string]Permission{"a": Undecided, "b": Startable}, map[string]int64{"b": 5}, "a"},
		"not if a gang can start":  {model.Step{Gang: true}, map[string]Permission{"a": Undecided, "b": Startable}, nil, ""},
		"others at the step limit": {model.Step{MaxPerExecutor: 1}, map[string]Permission{"a": Undecided, "b": Startable}, nil, "a"},
	} {
		h := newHarness(t, 3, cores(8))
		for key, n := range c.used {
			h.byKey[key].Used = cores(n)
		}
		c.step.Count, c.step.Need = 2, cores(2)
		s := h.accept("job", c.step).Open[0].Steps[0]
		if s.MaxPerExecutor > 0 {
			h.tracker.BeginRun(s.Tasks[0], "b", 0, 0)
		}
		assert.Equal(t, keys(ToAsk(s, h.members, policyOf(c.ps), time.Second)), c.want, name)
	}
}

// failOnce starts the only task of a job on the executor "a", where it fails.
func (h *harness) failOnce(j *track.Job) {
	h.t.Helper()
	task := j.Open[0].Steps[0].Tasks[0]
	starts := h.plan()
	assert.Equal(h.t, len(starts), 1)
	assert.Equal(h.t, starts[0].Member.Key, "a")
	delete(h.ends, task.Runs[0])
	h.byKey["a"].RemoveRun(task.Step)
	h.now += time.Second
	task.LastFailure = h.now
	h.tracker.ApplyEnd("a", model.End{Task: task.ID, Attempt: task.Attempt, Ending: model.EndedFailed}, false, h.now)
}

// Guards against a task that is never started again: it failed on the only executor that the policy
// allows, and those that the policy denies counted as alternatives.
func TestFailedTaskRunsAgainOnItsOnlyExecutor(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		for _, c := range []struct {
			other  Permission
			starts int
		}{{Denied, 1}, {Undecided, 0}, {Approved, 0}} {
			h := newHarness(t, 2, cores(8))
			h.policy = policyOf(map[string]Permission{"a": Startable, "b": c.other})
			j := h.accept("job", model.Step{Need: cores(2), Estimate: time.Second, LongRunning: lasts})
			h.failOnce(j)
			// The decision is asked for, so that the task does not wait for long.
			want := ""
			if c.other != Denied {
				want = "b"
			}
			assert.Equal(t, keys(ToAsk(j.Open[0].Steps[0], h.members, h.policy, h.now)), want)
			h.now += lastAttemptDelay
			assert.Equal(t, len(h.plan()), c.starts, "other executor: permission %d", c.other)
		}
	}
}

// Guards against a job that fails because its task uses all its attempts at once on an executor that
// fails everything for some seconds, the only one that the policy allows.
func TestLastAttemptWaitsForTheExecutor(t *testing.T) {
	for name, c := range map[string]struct {
		attempts int
		lasts    bool
		later    func(*harness)
		starts   int
	}{
		"last attempt":             {2, false, func(*harness) {}, 0},
		"attempts are left":        {3, false, func(*harness) {}, 1},
		"no limit":                 {2, true, func(*harness) {}, 1},
		"a later run succeeded":    {2, false, func(h *harness) { h.byKey["a"].RecordSuccess(h.now) }, 1},
		"an earlier run succeeded": {2, false, func(h *harness) { h.byKey["a"].RecordSuccess(h.now - 2*time.Second) }, 0},
		"the delay has ended":      {2, false, func(h *harness) { h.now += lastAttemptDelay }, 1},
	} {
		h := newHarness(t, 2, cores(8))
		h.queues["q"].Attempts = c.attempts
		h.policy = policyOf(map[string]Permission{"a": Startable})
		h.failOnce(h.accept("job", model.Step{Need: cores(2), Estimate: time.Second, LongRunning: c.lasts}))
		h.now += time.Second
		c.later(h)
		assert.Equal(t, len(h.plan()), c.starts, name)
	}
}

// Guards against a long-running task that never starts because it reserves the idle executor on
// which it has failed, while smaller tasks take each core of the other one.
func TestTaskReservesNoExecutorThatItAvoids(t *testing.T) {
	h := newHarness(t, 2, cores(8))
	h.policy = policyOf(map[string]Permission{"a": Startable, "b": Approved})
	j := h.accept("job", model.Step{Need: cores(4), LongRunning: true})
	h.failOnce(j)
	h.policy = func(s *track.Step, m *execs.Member) Permission {
		if s.LongRunning || m.Key == "a" {
			return Denied
		}
		return Startable
	}
	h.accept("full", model.Step{Need: cores(6), Estimate: time.Second})
	assert.Equal(t, len(h.plan()), 1)
	h.policy = func(s *track.Step, m *execs.Member) Permission {
		if s.LongRunning && m.Key == "b" {
			return Approved
		}
		return Startable
	}
	h.accept("small", model.Step{Need: cores(2), Estimate: time.Second})
	starts := h.plan()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Member.Key, "a")
}

// Guards against a gang that never starts: a member that failed on one executor waits for the other
// one, which another member of the gang fills.
func TestGangStartsWhereAMemberFailed(t *testing.T) {
	h := newHarness(t, 2, cores(8))
	s := h.accept("gang", model.Step{Count: 2, Need: cores(5), Gang: true, Estimate: time.Second}).Open[0].Steps[0]
	s.Tasks[1].Avoid("a")
	h.members[0].Slowness = 3 // the first member goes to the other executor
	assert.Equal(t, len(h.plan()), 2)
}
