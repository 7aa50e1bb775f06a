package member

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
)

// Heard says whether a member was heard from, directly or through others, within the
// suspicion time.
func (v *View) Heard(id state.Incarnation, now time.Duration) bool {
	e, ok := v.heard[id]
	return ok && now-e.last < Suspicion
}

// Applied returns the highest offset that each member has reported, by name.
func (v *View) Applied() map[string]uint64 {
	out := make(map[string]uint64, len(v.heard))
	for id, e := range v.heard {
		out[id.Name] = e.applied
	}
	return out
}
