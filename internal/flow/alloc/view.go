// Package share divides the slots of each endpoint between the entries, so that the
// slots usable or in use over all entries never exceed those of the endpoint.
//
// For each endpoint one member of the fleet is the custodian. Each entry has a
// Holder, which reports its holdings and demand to the custodians, and a Custodian,
// which answers with limits for the endpoints that it looks after. Both are state
// machines without I/O; neither is safe for concurrent use.
//
// The rules that keep the sum within the slots:
//
//   - A holder raises a limit only by a grant that carries the serial of its latest
//     ask about the endpoint and the current epoch. Once it has sent an ask, no
//     answer to an earlier one can raise its limit.
//   - A holder reports the larger of its limit and its requests in flight.
//   - A custodian counts for each holder the larger of its latest report and the
//     grants made since, and raises a limit only within its stock. Asks older than
//     the latest one processed and asks of another epoch count for nothing.
//   - The stock of an endpoint after a change of epoch is the sum of the first
//     reports under it. It becomes the endpoint's slots when each active member has
//     reported, no member is in eviction, and the longest run time has passed since
//     the last fence.
package share

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is one run of an entry.
type Member struct {
	Name        string
	Incarnation uint64
}

// Fence is a member that was fenced at the given time of the local clock, or later
// than it was in truth. An incarnation replaced by a join of the same name counts
// as fenced at that time. A member that left by itself holds nothing and is not
// listed.
type Fence struct {
	Member
	At time.Duration
}

// View is the set of members as of an epoch, the offset of the last member record.
type View struct {
	Epoch  uint64
	Active []Member
	// Evicted lists the members that are evicted and not fenced yet.
	Evicted []Member
	// Fenced lists the members fenced within the longest run time; older ones may
	// be listed.
	Fenced []Fence
}

// CustodianOf returns the name of the member that looks after the endpoint on the
// instance, by rendezvous hash over the members, those in eviction included. It
// returns an empty string if there are none.
func CustodianOf(v View, instance string) string {
	var best string
	var top uint64
	var buf []byte
	for _, l := range [2][]Member{v.Active, v.Evicted} {
		for _, m := range l {
			buf = append(buf[:0], m.Name...)
			buf = append(buf, 0)
			buf = append(buf, instance...)
			h := xxhash.Sum64(buf)
			if best == "" || h > top || h == top && m.Name < best {
				best = m.Name
				top = h
			}
		}
	}
	return best
}
