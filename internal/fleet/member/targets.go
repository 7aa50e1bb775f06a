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
func (v *View) GossipTargets(now time.Duration, round, n int) []*state.Member {
	var all []*state.Member
	selfIndex := 0
	for m := range v.s.Members() {
		if m.Incarnation == v.self {
			selfIndex = len(all)
			continue
		}
		all = append(all, m)
	}
	if len(all) == 0 {
		return nil
	}
	var targets []*state.Member
	for k := range min(n, len(all)) {
		targets = append(targets, all[(selfIndex+round*n+k)%len(all)])
	}
	for _, m := range all {
		if v.sinceHeard(m, now) >= DirectPollAfter && !slices.Contains(targets, m) {
			targets = append(targets, m)
		}
	}
	return targets
}
