// Package fanout decides which entries make the leader's calls to executors. It is built for fleets
// of hundreds of executors: a call costs several times as much processor time as the decision
// behind it, and a leader has only one core. The executors of a data centre are called by few
// entries, so that connections stay open and calls are combined into few messages.
package fanout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// delegateFrom is the number of executors from which other entries make the calls, and
	// delegateUntil the number below which the leader makes them itself again. The calls to 50
	// executors take a tenth of a core.
	delegateFrom  = 100
	delegateUntil = 70
	// candidateTimeout is the age of the last contact above which an entry is no candidate.
	candidateTimeout = 2500 * time.Millisecond
	// ExclusionTime is how long an entry that did not answer gets no calls.
	ExclusionTime = 5 * time.Second
)

// executorsPerCaller is the number of executors that one entry calls, by its rank. Large instances
// have four times the processor time of small ones.
var executorsPerCaller = [...]int{300, 60}

// Candidate is an entry that could make calls.
type Candidate struct {
	Name, Addr, Centre string
	// Rank is 0 for large instances.
	Rank int
	// LastSeen is the time of the last contact, and ExcludedUntil the time before which it gets no
	// calls.
	LastSeen, ExcludedUntil time.Duration
}

// Callers holds the entries that call the executors of each data centre. It has none for a data
// centre whose executors the leader calls itself.
type Callers map[string][]Candidate

// Chooser chooses the callers. The zero value is ready for use.
type Chooser struct{ delegates bool }

// Choose returns the callers for the given numbers of executors by data centre. An entry that joins
// or leaves changes only the calls that it makes itself.
func (c *Chooser) Choose(executors map[string]int, all []Candidate, now time.Duration) Callers {
	total := 0
	for _, n := range executors {
		total += n
	}
	c.delegates = total >= delegateFrom || c.delegates && total >= delegateUntil
	if !c.delegates {
		return nil
	}
	eligible := slices.DeleteFunc(slices.Clone(all), func(x Candidate) bool { return now < x.ExcludedUntil || now > x.LastSeen+candidateTimeout })
	if len(eligible) == 0 {
		return nil
	}
	bestRank := slices.MinFunc(eligible, func(a, b Candidate) int { return cmp.Compare(a.Rank, b.Rank) }).Rank
	eligible = slices.DeleteFunc(eligible, func(x Candidate) bool { return x.Rank != bestRank })
	perCaller := executorsPerCaller[min(bestRank, len(executorsPerCaller)-1)]
	out := Callers{}
	for centre, n := range executors {
		ranked := slices.Clone(eligible)
		slices.SortFunc(ranked, func(a, b Candidate) int {
			if far := a.Centre != centre; far != (b.Centre != centre) {
				if far {
					return 1
				}
				return -1
			}
			return cmp.Or(cmp.Compare(weight(centre, a.Name), weight(centre, b.Name)), cmp.Compare(a.Name, b.Name))
		})
		out[centre] = ranked[:min(max((n+perCaller-1)/perCaller, 1), len(ranked))]
	}
	return out
}

// weight returns the hash by which entries of the same rank and distance are ordered for a data
// centre. It does not depend on the other entries, so one that joins or leaves moves no other
// calls.
func weight(centre, name string) uint64 { return xxhash.Sum64String(centre + "/" + name) }

// For returns the entry that calls an executor, or false if the leader calls it itself.
func (c Callers) For(centre, executor string) (Candidate, bool) {
	cs := c[centre]
	if len(cs) == 0 {
		return Candidate{}, false
	}
	return cs[xxhash.Sum64String(executor)%uint64(len(cs))], true
}
