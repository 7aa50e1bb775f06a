package check

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// searchKeys runs a search of a KeyModel and logs its size.
func searchKeys(t *testing.T, l KeyLimits, opts ...KeyOption) Result {
	t.Helper()
	from := time.Now()
	r := NewKeys(l, opts...).Search()
	t.Logf("%d states, %d steps, complete %v, %v", r.States, r.Depth, r.Complete, time.Since(from).Round(10*time.Millisecond))
	return r
}

// Guards against a call that an entry accepts although its key was removed longer ago than allowed before the
// call was sent, against valid keys that are refused by an entry that reads the store or is told its state, and
// against older configurations that come back: reads and answers of other entries are slow, are lost or overtake
// one another, and processes are suspended and restart.
func TestRemovedKeysAreRefusedInTime(t *testing.T) {
	seen := map[string]bool{}
	for _, c := range []struct {
		name   string
		limits KeyLimits
		opts   []KeyOption
	}{
		{"slow reads", KeyLimits{Reads: 2, Lost: 1}, nil},
		{"slow answers of the leader", KeyLimits{Reads: 1, Asks: 1, Askers: 1}, nil},
		{"suspended reader", KeyLimits{Reads: 2, Suspend: 1}, []KeyOption{WithEntries(1)}},
		{"suspensions", KeyLimits{Asks: 1, Askers: 1, Suspend: 2}, nil},
		{"restarts", KeyLimits{Asks: 1, Askers: 1, Restarts: 2}, []KeyOption{WithEarlierVersions()}},
		{"new process", KeyLimits{Reads: 1, Asks: 1, Askers: 1}, []KeyOption{WithUnread(), WithEarlierVersions()}},
		{"change of the leader", KeyLimits{Asks: 2, Askers: 1}, []KeyOption{WithEntries(3)}},
		{"entries that ask each other", KeyLimits{Asks: 2, Askers: 2}, nil},
		{"faulty configuration", KeyLimits{Reads: 1, Readers: 1, Asks: 1, Askers: 1, Gone: 1}, []KeyOption{WithRecords(FewerKeys, Faulty)}},
		{"faulty configuration, new process", KeyLimits{Reads: 2, Readers: 1, Asks: 1, Askers: 1}, []KeyOption{WithUnread(), WithAllWritten(), WithRecords(FewerKeys, Faulty)}},
		{"part of the records", KeyLimits{Reads: 3}, []KeyOption{WithEntries(1), WithRecords(Other, Other, FewerKeys), WithReadPage(1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.limits.Ticks = 5
			if *deep {
				c.limits.Ticks, c.limits.Reads = 6, c.limits.Reads+1
			}
			r := searchKeys(t, c.limits, c.opts...)
			assert.Assert(t, r.Breach == 0, "%s:\n%s", r.Breach, strings.Join(r.Trace, "\n"))
			assert.Assert(t, r.Complete || *deep)
			for name := range r.Seen {
				seen[name] = true
			}
		})
	}
	for _, name := range []string{"write", "read answered", "read given up", "ask carried out", "ask carried out during answer", "ask answered", "restart", "resume"} {
		assert.Assert(t, seen[name], name)
	}
}

// Guards against a model that does not need clocks that run in suspension.
func TestWithClocksStoppedARemovedKeyIsAccepted(t *testing.T) {
	assert.Equal(t, searchKeys(t, KeyLimits{Ticks: 6, Suspend: 1}, WithClocksStopped()).Breach, Removed)
}
