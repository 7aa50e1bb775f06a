// Package member decides when an entry's view is confirmed, and which members to
// evict and to fence.
package member

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// ViewLease is how long a confirmed view may be used.
const ViewLease = 2 * time.Second

const suspicion = 5 * time.Second

type evidence struct {
	at      time.Duration
	applied uint64
}

// View is the member view of one entry.
type View struct {
	self  state.Incarnation
	st    *state.State
	log   time.Duration
	seen  map[state.Incarnation]evidence
	since time.Duration
}

// New returns a view.
func New(self state.Incarnation) *View {
	return &View{self: self, st: state.New(), log: -time.Hour, seen: map[state.Incarnation]evidence{}}
}

// SetState sets the folded state.
func (v *View) SetState(st *state.State) { v.st = st }

// LogConfirmed notes a read.
func (v *View) LogConfirmed(issued time.Duration) { v.log = max(v.log, issued) }

// Reply takes in a digest.
func (v *View) Reply(sent time.Duration, d *peerpb.Digest) {
	v.note(state.Incarnation{Name: d.GetName(), Number: d.GetIncarnation()}, evidence{sent, d.GetApplied()})
	for _, h := range d.GetHeard() {
		at := sent - time.Duration(h.GetAge())*time.Millisecond
		v.note(state.Incarnation{Name: h.GetName(), Number: h.GetIncarnation()}, evidence{at, h.GetApplied()})
	}
}

func (v *View) note(id state.Incarnation, e evidence) {
	old, ok := v.seen[id]
	if !ok || e.at > old.at {
		e.applied = max(e.applied, old.applied)
		v.seen[id] = e
	}
}

// Until returns the end of the view lease.
func (v *View) Until(time.Duration) time.Duration { return v.log + ViewLease }

// Heard says whether a member was heard lately.
func (v *View) Heard(id state.Incarnation, now time.Duration) bool {
	e, ok := v.seen[id]
	return ok && now-e.at < suspicion
}

// Applied returns the highest offsets reported.
func (v *View) Applied() map[string]uint64 {
	out := map[string]uint64{}
	for id, e := range v.seen {
		out[id.Name] = e.applied
	}
	return out
}

// Suspects returns members to evict.
func (v *View) Suspects(time.Duration) []state.Incarnation { return nil }

// Fences returns members to fence.
func (v *View) Fences(time.Duration) []state.Incarnation { return nil }

// Digest returns the digest.
func (v *View) Digest(now time.Duration) *peerpb.Digest {
	d := &peerpb.Digest{Name: v.self.Name, Incarnation: v.self.Number, Applied: v.st.Applied()}
	for id, e := range v.seen {
		d.Heard = append(d.Heard, &peerpb.Heard{Name: id.Name, Incarnation: id.Number,
			Age: uint32((now - e.at).Milliseconds()), Applied: e.applied})
	}
	return d
}
