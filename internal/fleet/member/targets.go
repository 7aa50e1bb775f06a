package member

import (
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
)

// DirectPollAfter is the time without a report about a member after which every entry
// polls it directly. Otherwise a member could be suspected only because no entry polled it.
const DirectPollAfter = 2 * time.Second

// GossipTargets returns the members to request a digest from in a round: n members in
// rotation, and those without a report for DirectPollAfter. The rotations of the entries
// are shifted against each other, so that n entries poll each member in every round. With
// random choices a member was not polled for 5 s every few minutes and was evicted.
func (v *View) Asks(now time.Duration, round, n int) []*state.Member {
	var all []*state.Member
	own := 0
	for m := range v.s.Members() {
		if m.Incarnation == v.self {
			own = len(all)
			continue
		}
		all = append(all, m)
	}
	if len(all) == 0 {
		return nil
	}
	var out []*state.Member
	for k := range min(n, len(all)) {
		out = append(out, all[(own+round*n+k)%len(all)])
	}
	for _, m := range all {
		if v.sinceHeard(m, now) >= DirectPollAfter && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}
