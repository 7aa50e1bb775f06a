package member

import (
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
)

// Quiet is how long a member is not heard from before every entry asks it directly, so
// that nobody is suspected only because nobody happened to ask it.
const Quiet = 2 * time.Second

// Asks returns the members to ask for their digest in a round: n of them in turn, and
// the quiet ones. The turns of the entries are shifted against each other, so that in
// every round each member is asked by n entries. Random choices left a member unasked
// for 5 s every few minutes, which evicted it.
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
		if v.silent(m, now) >= Quiet && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}
