// Package deputy decides which entries make a leader's calls to executors for it. It
// answers the load of fleets of hundreds of executors: a call costs several times as much
// processor time as the decision behind it, and a leader has only one core. Each zone's
// executors are called by few entries, so that these keep their connections, and what is
// said to them fits into few messages.
package deputy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// useFrom is the number of executors from which a leader has its calls made by others,
	// and useTo that below which it makes them itself again. A leader of 50 executors uses
	// a tenth of a core for them.
	useFrom = 100
	useTo   = 70
	// heardFor is how long ago an entry may have been heard.
	heardFor = 2500 * time.Millisecond
	// BadFor is how long an entry is left alone that did not answer.
	BadFor = 5 * time.Second
)

// most is the number of executors that an entry calls, by its place in the order of
// claims: large instances have four times the processor time of small ones.
var most = [...]int{300, 60}

// Candidate is an entry that could make calls.
type Candidate struct {
	Name, Addr, Zone string
	// Place is 0 for large instances.
	Place int
	// Heard is when it was last heard, and Bad until when it is left alone.
	Heard, Bad time.Duration
}

// Table has the entries that call the executors of each zone, none where the leader does
// it itself.
type Table map[string][]Candidate

// Chooser makes tables. The zero value is ready for use.
type Chooser struct{ used bool }

// Choose returns who calls so many executors of each zone. The choice is stable: an entry
// that comes or goes changes it only where it is chosen itself.
func (c *Chooser) Choose(executors map[string]int, all []Candidate, now time.Duration) Table {
	sum := 0
	for _, n := range executors {
		sum += n
	}
	c.used = sum >= useFrom || c.used && sum >= useTo
	if !c.used {
		return nil
	}
	able := slices.DeleteFunc(slices.Clone(all), func(x Candidate) bool { return now < x.Bad || now > x.Heard+heardFor })
	if len(able) == 0 {
		return nil
	}
	first := slices.MinFunc(able, func(a, b Candidate) int { return cmp.Compare(a.Place, b.Place) }).Place
	able = slices.DeleteFunc(able, func(x Candidate) bool { return x.Place != first })
	each := most[min(first, len(most)-1)]
	out := Table{}
	for zone, n := range executors {
		near := slices.Clone(able)
		slices.SortFunc(near, func(a, b Candidate) int {
			if far := a.Zone != zone; far != (b.Zone != zone) {
				if far {
					return 1
				}
				return -1
			}
			return cmp.Or(cmp.Compare(weight(zone, a.Name), weight(zone, b.Name)), cmp.Compare(a.Name, b.Name))
		})
		out[zone] = near[:min(max((n+each-1)/each, 1), len(near))]
	}
	return out
}

func weight(zone, name string) uint64 { return xxhash.Sum64String(zone + "/" + name) }

// Of returns the entry that calls an executor, or false if the leader does it itself.
func (t Table) Of(zone, executor string) (Candidate, bool) {
	cs := t[zone]
	if len(cs) == 0 {
		return Candidate{}, false
	}
	return cs[xxhash.Sum64String(executor)%uint64(len(cs))], true
}
