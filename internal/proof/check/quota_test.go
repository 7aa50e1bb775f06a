package check

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an order of events in which an account has more tasks running than its limit: calls are
// carried out late or not answered, the leader changes, leases end, and executors restart.
func TestLimitHolds(t *testing.T) {
	one := []Option{WithSize(2, 2, 2), WithLimit(1)}
	seen := searchAll(t, []searchCase{
		{"takeover with slow calls", Limits{Ticks: 1, Claims: 2, Starts: 3, Polls: 2, SlowStarts: 1}, one},
		{"leases of the former leader", Limits{Ticks: 5, Claims: 2, Starts: 2, Polls: 1}, one},
		{"restart of an executor", Limits{Ticks: 1, Claims: 1, Starts: 3, Polls: 2, SlowStarts: 1, Crashes: 1}, one},
		{"restart of an entry", Limits{Ticks: 1, Claims: 2, Starts: 2, Polls: 2, Restarts: 1}, one},
	})
	assert.Assert(t, seen["carried out: start"] > 0 && seen["claim"] > 0)
}

// Guards against a model that does not need unanswered starts to count against the limit.
func TestWithoutUncertainUsageTheLimitIsExceeded(t *testing.T) {
	r := search(t, Limits{Claims: 1, Starts: 2, Polls: 1, SlowStarts: 1}, WithSize(2, 2, 2), WithLimit(1), WithoutUncertainUsage())
	assert.Equal(t, r.Breach, Quota)
}
