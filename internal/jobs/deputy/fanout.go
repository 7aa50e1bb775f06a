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
	delegateFrom  = 100
	delegateUntil = 70
	// heardFor is how long ago an entry may have been heard.
	candidateTimeout = 2500 * time.Millisecond
	// BadFor is how long an entry is left alone that did not answer.
	BadFor = 5 * time.Second
)

// most is the number of executors that an entry calls, by its place in the order of
// claims: large instances have four times the processor time of small ones.
var executorsPerCaller = [...]int{300, 60}

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
type Chooser struct{ delegates bool }

// Choose returns who calls so many executors of each zone. The choice is stable: an entry
// that comes or goes changes it only where it is chosen itself.
func (c *Chooser) Choose(executors map[string]int, all []Candidate, now time.Duration) Table {
	total := 0
	for _, n := range executors {
		total += n
	}
	c.delegates = total >= delegateFrom || c.delegates && total >= delegateUntil
	if !c.delegates {
		return nil
	}
	eligible := slices.DeleteFunc(slices.Clone(all), func(x Candidate) bool { return now < x.Bad || now > x.Heard+candidateTimeout })
	if len(eligible) == 0 {
		return nil
	}
	bestRank := slices.MinFunc(eligible, func(a, b Candidate) int { return cmp.Compare(a.Place, b.Place) }).Place
	eligible = slices.DeleteFunc(eligible, func(x Candidate) bool { return x.Place != bestRank })
	perCaller := executorsPerCaller[min(bestRank, len(executorsPerCaller)-1)]
	out := Table{}
	for zone, n := range executors {
		ranked := slices.Clone(eligible)
		slices.SortFunc(ranked, func(a, b Candidate) int {
			if far := a.Zone != zone; far != (b.Zone != zone) {
				if far {
					return 1
				}
				return -1
			}
			return cmp.Or(cmp.Compare(weight(zone, a.Name), weight(zone, b.Name)), cmp.Compare(a.Name, b.Name))
		})
		out[zone] = ranked[:min(max((n+perCaller-1)/perCaller, 1), len(ranked))]
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
