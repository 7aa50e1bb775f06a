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
