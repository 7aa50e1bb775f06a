package fanout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const second = time.Second

// entries returns entries of three data centres. The first of each data centre is on a large
// instance.
func entries(perCentre int) []Candidate {
	var out []Candidate
	for _, centre := range []string{"a", "b", "c"} {
		for i := range perCentre {
			out = append(out, Candidate{Name: fmt.Sprintf("%s-%d", centre, i), Addr: "addr", Centre: centre, Rank: min(i, 1), LastSeen: second})
		}
	}
	return out
}

// Guards against an additional hop when there are few executors, and against a leader that keeps
// switching near the limit.
func TestFewExecutorsAreCalledByTheLeader(t *testing.T) {
	var c Chooser
	for _, step := range []struct {
		n   int
		has bool
	}{{50, false}, {99, false}, {100, true}, {90, true}, {70, true}, {69, false}, {90, false}} {
		callers := c.Choose(map[string]int{"a": step.n}, entries(2), second)
		assert.Equal(t, callers != nil, step.has, "%d executors", step.n)
	}
}

// Guards against calls by small instances, or across data centres, while a large instance in the
// same data centre is available.
func TestLargeInstancesOfTheCentreMakeTheCalls(t *testing.T) {
	var c Chooser
	all := entries(4)
	callers := c.Choose(map[string]int{"a": 220, "b": 220, "c": 700}, all, second)
	for centre, cs := range callers {
		assert.Equal(t, cs[0].Centre, centre)
		for _, x := range cs {
			assert.Equal(t, x.Rank, 0)
		}
	}
	assert.Equal(t, len(callers["a"]), 1)
	assert.Equal(t, len(callers["c"]), 3, "700 executors are too many for one")
	all[0].ExcludedUntil = 2 * second
	callers = c.Choose(map[string]int{"a": 220}, all, second)
	assert.Assert(t, callers["a"][0].Centre != "a" && callers["a"][0].Rank == 0)
}

// Guards against a lost entry after which calls of other entries move too.
func TestOnlyTheCallsOfALostEntryMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Chooser
		n := rapid.IntRange(100, 900).Draw(t, "executors")
		sizes := map[string]int{"a": n, "b": n}
		all := entries(rapid.IntRange(1, 8).Draw(t, "entries"))
		before := c.Choose(sizes, all, second)
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		all[lost].ExcludedUntil = 2 * second
		after := c.Choose(sizes, all, second)
		for centre := range sizes {
			kept := map[string]bool{}
			for _, x := range after[centre] {
				assert.Assert(t, x.Name != all[lost].Name)
				kept[x.Name] = true
			}
			for _, x := range before[centre] {
				if x.Name == all[lost].Name || len(after[centre]) == 0 || x.Rank != after[centre][0].Rank {
					continue
				}
				assert.Assert(t, kept[x.Name], "%s is not used any more", x.Name)
			}
		}
	})
}

// Guards against calls by an entry that is unresponsive, and against a leader that waits when there
// is no candidate.
func TestUnresponsiveEntriesMakeNoCalls(t *testing.T) {
	var c Chooser
	callers := c.Choose(map[string]int{"a": 500}, entries(2), second+candidateTimeout+1)
	assert.Assert(t, callers == nil)
	_, ok := callers.For("a", "x")
	assert.Assert(t, !ok)
}
