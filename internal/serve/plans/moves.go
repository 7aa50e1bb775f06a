package plans

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
)

// moveTracker holds the moves under way by instance.
type moveTracker map[string]trackedMove

type trackedMove struct {
	// grant is the offset of the drain, and target the destination pool.
	grant  uint64
	target string
	// startedAt is when the grant was first seen. It is valid only if sawStart is set, that is, if
	// the move began after this entry had become the planner.
	startedAt time.Duration
	sawStart  bool
}

// adopt adds the moves that are under way when this entry becomes the planner.
func (mt moveTracker) adopt(st *state.State) {
	for i := range st.Instances() {
		if i.Grant != nil && i.Grant.Target != "" {
			mt[i.Name] = trackedMove{grant: i.Grant.Offset, target: i.Grant.Target}
		}
	}
}

// observe returns the durations, from the grant until the instance is up in its new pool, of the
// moves that have ended since the last call. Cancelled moves are left out.
func (mt moveTracker) observe(now time.Duration, st *state.State) []time.Duration {
	var out []time.Duration
	for name, t := range mt {
		i, ok := st.Instance(name)
		if ok && i.Grant != nil && i.Grant.Offset == t.grant {
			continue
		}
		if ok && t.sawStart && i.Pool == t.target && i.IsAvailable() {
			out = append(out, now-t.startedAt)
		}
		delete(mt, name)
	}
	for i := range st.Instances() {
		if i.Grant == nil || i.Grant.Target == "" {
			continue
		}
		if _, ok := mt[i.Name]; !ok {
			mt[i.Name] = trackedMove{i.Grant.Offset, i.Grant.Target, now, true}
		}
	}
	return out
}
