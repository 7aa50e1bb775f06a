package guard

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawStates(t *rapid.T, kinds ...Kind) []state {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) state {
		return state{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"), seq: rapid.Uint64Range(0, 1<<20).Draw(t, "seq"), held: rapid.Int64Range(0, 1<<20).Draw(t, "held"),
			idle: time.Duration(rapid.IntRange(0, 60_000).Draw(t, "idle")) * time.Millisecond, complete: rapid.Bool().Draw(t, "complete"), served: rapid.Bool().Draw(t, "served"),
		}
	}), 0, 40).Draw(t, "states")
}

// Guards against a whole request that is closed while unfinished ones hold enough, against a small request that
// is closed before a larger one in the same state, and against memory that stays above the budget.
func TestChooseHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawStates(t, Callers, Entries, Readiness, Metrics)
		bytes := rapid.Int64Range(0, 8<<20).Draw(t, "bytes")
		chosen := chooseHolders(slices.Clone(all), bytes)
		freed, unfinished := int64(0), int64(0)
		for _, s := range all {
			if !s.complete {
				unfinished += s.held
			}
		}
		for i, s := range chosen {
			assert.Assert(t, s.held > 0)
			assert.Assert(t, freed < bytes, "more is closed than needed")
			assert.Assert(t, !s.complete || freed >= unfinished, "a whole request is closed before an unfinished one")
			if i > 0 {
				p := chosen[i-1]
				same := p.complete == s.complete && (p.idle >= stallTime) == (s.idle >= stallTime)
				assert.Assert(t, !same || p.held >= s.held)
			}
			freed += s.held
		}
		total := int64(0)
		for _, s := range all {
			total += s.held
		}
		assert.Assert(t, freed >= min(bytes, total))
	})
}

// Guards against connections between entries that are closed for being idle, against a request in progress that
// is closed while an idle connection is left, and against one that is closed although its client reads.
func TestChooseOldest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{Callers, Entries, Readiness, Metrics}).Draw(t, "port")
		all := drawStates(t, kind)
		s, ok := chooseOldest(slices.Clone(all))
		if !ok {
			for _, o := range all {
				assert.Assert(t, o.complete || kind == Entries && o.served, "a connection that may be closed is left")
			}
			return
		}
		assert.Assert(t, !s.complete || s.idle >= writeTimeout)
		if kind == Entries && s.served {
			assert.Assert(t, s.idle >= peerIdleTime || s.held >= peerStallBytes || s.complete)
		}
		for _, o := range all {
			if kind != Entries && !o.complete && o.held == 0 {
				assert.Assert(t, !s.complete && s.held == 0 && s.idle >= o.idle, "an idle connection is older")
			}
			if !o.complete && (kind != Entries || !o.served) {
				assert.Assert(t, !s.complete, "a whole request is closed before another connection")
			}
		}
	})
}

// Guards against budgets that exceed the collector's limit, and against a budget without room for one request of
// the largest legal size.
func TestBudgetsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(184, 1<<16).Draw(t, "memory")
		l := NewLimits(memory, rapid.IntRange(0, 1<<20).Draw(t, "descriptors"))
		conns := int64(0)
		for _, n := range l.Conns {
			assert.Assert(t, n >= auxConns)
			conns += int64(n)
		}
		sum := baseBytes + conns*connBytes + l.Held + l.Decode + l.Jobs
		assert.Assert(t, sum <= int64(softShare*float64(memory<<20)), "%d MiB of %d", sum>>20, memory)
		assert.Assert(t, float64(l.Held)*fullShare > 4*262144)
	})
	assert.DeepEqual(t, NewLimits(0, 0), NewLimits(DefaultMemory, defaultDescriptors))
	smallest := NewLimits(184, 4100)
	// Each of 41 other entries has some connections to the leader, and callers as many.
	assert.Assert(t, min(smallest.Conns[Callers], smallest.Conns[Entries]) >= 600, "%v", smallest.Conns)
}

// Guards against a port that stays full of connections whose clients don't read, and against one that is closed for
// that while others are idle.
func TestChooseOldestAmongUnread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawStates(t, rapid.SampledFrom([]Kind{Callers, Entries, Readiness, Metrics}).Draw(t, "port"))
		unread := false
		for i := range all {
			all[i].writing = rapid.Bool().Draw(t, "writing")
			unread = unread || all[i].writing && all[i].idle >= progressTimeout
		}
		s, ok := chooseOldest(slices.Clone(all))
		assert.Assert(t, ok || !unread)
		if !ok {
			return
		}
		assert.Assert(t, !s.complete || s.idle >= writeTimeout || s.writing && s.idle >= progressTimeout)
		for _, o := range all {
			if o.kind != Entries && !o.writing && !o.complete {
				assert.Assert(t, !s.writing || s.idle < progressTimeout, "an unread answer is closed before an idle connection")
			}
		}
	})
}
