package plans

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
)

// tripWatch notes the moves under way by instance.
type tripWatch map[string]trip

type trip struct {
	// grant is the offset of the drain, target the pool of the move.
	grant  uint64
	target string
	// start is when the grant was first seen. It is not known if the move was under
	// way when this entry became the planner.
	start time.Duration
	known bool
}

// adopt notes the moves that are under way when the planner takes over.
func (w tripWatch) adopt(st *state.State) {
	for i := range st.Instances() {
		if i.Grant != nil && i.Grant.Target != "" {
			w[i.Name] = trip{grant: i.Grant.Offset, target: i.Grant.Target}
		}
	}
}

// see returns the times, from grant to up in the new pool, of the moves that have ended
// since the last call. A cancelled move has none.
func (w tripWatch) see(now time.Duration, st *state.State) []time.Duration {
	var out []time.Duration
	for name, t := range w {
		i, ok := st.Instance(name)
		if ok && i.Grant != nil && i.Grant.Offset == t.grant {
			continue
		}
		if ok && t.known && i.Pool == t.target && i.Available() {
			out = append(out, now-t.start)
		}
		delete(w, name)
	}
	for i := range st.Instances() {
		if i.Grant == nil || i.Grant.Target == "" {
			continue
		}
		if _, ok := w[i.Name]; !ok {
			w[i.Name] = trip{i.Grant.Offset, i.Grant.Target, now, true}
		}
	}
	return out
}
