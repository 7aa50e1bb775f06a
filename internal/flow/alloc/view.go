// Package alloc divides the slots of each endpoint between the entries, so that the slots usable or
// in use over all entries never exceed those of the endpoint.
//
// For each endpoint one member of the fleet is the allocator. Each entry has a Holder and an
// Allocator. The Holder reports the slots that the entry holds and wants to the allocators, in asks
// (SlotAsk messages). The Allocator replies with limits for the endpoints that it is responsible
// for. Both are state machines without I/O; neither is safe for concurrent use.
//
// These rules keep the sum within the slots:
//
//   - A holder raises a limit only by a grant that has the serial of its latest ask about the
//     endpoint and the current epoch. Once it has sent an ask, no reply to an earlier one can raise
//     its limit.
//   - A holder reports the larger of its limit and its requests in flight.
//   - An allocator counts for each holder the larger of its latest report and the grants made
//     since, and raises a limit only within the available slots. Asks older than the latest one
//     processed and asks of another epoch are not counted.
//   - After a change of epoch, the available slots of an endpoint are the sum of the first reports
//     under it. They become all slots of the endpoint when each active member has reported, no
//     member is evicted without being fenced, and the longest run time has passed since the last
//     fence.
package alloc

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is one run of an entry.
type Member struct {
	Name        string
	Incarnation uint64
}

// Fence is a member and the time at which it was fenced, by the local clock. That time may be later
// than the actual fence. An incarnation that was replaced by a join of the same name counts as
// fenced at that time. A member that left by itself holds nothing and is not listed.
type Fence struct {
	Member
	At time.Duration
}

// View is the set of members at an epoch, which is the offset of the latest member record.
type View struct {
	Epoch  uint64
	Active []Member
	// Evicted lists the members that are evicted and not fenced yet.
	Evicted []Member
	// Fenced lists the members fenced within the longest run time; older ones may be listed too.
	Fenced []Fence
}

// AllocatorOf returns the name of the member that is the allocator of the endpoint on the instance.
// It is chosen by rendezvous hashing over the members, including evicted ones that are not fenced
// yet. The result is empty if there are no members.
func AllocatorOf(v View, instance string) string {
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
