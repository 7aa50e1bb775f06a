package member

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
)

// HasHeardFrom reports whether this entry has got a report about a member, directly or
// through other members, within the suspicion time.
func (v *View) HasHeardFrom(id state.Incarnation, now time.Duration) bool {
	e, ok := v.heard[id]
	return ok && now-e.lastHeard < Suspicion
}

// AppliedOffsets returns the highest offset that each member has reported, by name.
func (v *View) AppliedOffsets() map[string]uint64 {
	out := make(map[string]uint64, len(v.heard))
	for id, e := range v.heard {
		out[id.Name] = e.applied
	}
	return out
}
