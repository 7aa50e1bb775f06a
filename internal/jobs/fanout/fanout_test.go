package deputy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const second = time.Second

// entries returns entries of three zones, the first of each zone large.
func entries(perZone int) []Candidate {
	var out []Candidate
	for _, zone := range []string{"a", "b", "c"} {
		for i := range perZone {
			out = append(out, Candidate{Name: fmt.Sprintf("%s-%d", zone, i), Addr: "addr", Zone: zone, Place: min(i, 1), Heard: second})
		}
	}
	return out
}

// Guards against a leader of few executors that pays for a hop, and against one that goes
// to and fro around the limit.
func TestFewExecutorsAreCalledByTheLeader(t *testing.T) {
	var c Chooser
	for _, step := range []struct {
		n   int
		has bool
	}{{50, false}, {99, false}, {100, true}, {90, true}, {70, true}, {69, false}, {90, false}} {
		table := c.Choose(map[string]int{"a": step.n}, entries(2), second)
		assert.Equal(t, table != nil, step.has, "%d executors", step.n)
	}
}

// Guards against calls through small instances, or across data centres, while a large
// one is near.
func TestLargeInstancesOfTheZoneMakeTheCalls(t *testing.T) {
	var c Chooser
	all := entries(4)
	table := c.Choose(map[string]int{"a": 220, "b": 220, "c": 700}, all, second)
	for zone, cs := range table {
		assert.Equal(t, cs[0].Zone, zone)
		for _, x := range cs {
			assert.Equal(t, x.Place, 0)
		}
	}
	assert.Equal(t, len(table["a"]), 1)
	assert.Equal(t, len(table["c"]), 3, "700 executors are too many for one")
	all[0].Bad = 2 * second
	table = c.Choose(map[string]int{"a": 220}, all, second)
	assert.Assert(t, table["a"][0].Zone != "a" && table["a"][0].Place == 0)
}

// Guards against a choice that has more than the calls of a lost entry change hands.
func TestOnlyTheCallsOfALostEntryMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Chooser
		n := rapid.IntRange(100, 900).Draw(t, "executors")
		sizes := map[string]int{"a": n, "b": n}
		all := entries(rapid.IntRange(1, 8).Draw(t, "entries"))
		before := c.Choose(sizes, all, second)
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		all[lost].Bad = 2 * second
		after := c.Choose(sizes, all, second)
		for zone := range sizes {
			kept := map[string]bool{}
			for _, x := range after[zone] {
				assert.Assert(t, x.Name != all[lost].Name)
				kept[x.Name] = true
			}
			for _, x := range before[zone] {
				if x.Name == all[lost].Name || len(after[zone]) == 0 || x.Place != after[zone][0].Place {
					continue
				}
				assert.Assert(t, kept[x.Name], "%s is not used any more", x.Name)
			}
		}
	})
}

// Guards against calls through an entry that is not heard any more, and against a leader
// that has nobody and waits.
func TestSilentEntriesMakeNoCalls(t *testing.T) {
	var c Chooser
	table := c.Choose(map[string]int{"a": 500}, entries(2), second+heardFor+1)
	assert.Assert(t, table == nil)
	_, ok := table.Of("a", "x")
	assert.Assert(t, !ok)
}
