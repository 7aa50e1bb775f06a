package ctrl

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/flow/alloc"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// maxFenced bounds the fences kept in memory. The requests of older ones have exceeded the longest
// run time by then.
const maxFenced = 64

// recordFence records a member whose incarnation a record ended without a leave. Its requests may
// still be running at endpoints.
func (l *loop) recordFence(before *state.State, r *recpb.Record) {
	at := l.core.Clock.Now() - l.minAge(r)
	switch b := r.GetBody().(type) {
	case *recpb.Record_Fence:
		l.addFence(alloc.Member{Name: b.Fence.GetName(), Incarnation: b.Fence.GetIncarnation()}, at)
	case *recpb.Record_Join:
		if old, ok := before.Member(b.Join.GetName()); ok {
			l.addFence(alloc.Member{Name: old.Name, Incarnation: old.Number}, at)
		}
	}
}

// minAge returns a lower bound of the time since a record was written: the difference of the wall
// clocks of its writer and of this entry, less their possible skew. Without it, an entry that
// replays the log would withhold slots for fences long past.
func (l *loop) minAge(r *recpb.Record) time.Duration {
	age := l.core.Clock.Wall().UnixMilli() - r.GetAt()
	return max(0, time.Duration(age)*time.Millisecond-claim.MaxClockSkew)
}

func (l *loop) addFence(m alloc.Member, at time.Duration) {
	l.fenced = append(l.fenced, alloc.Fence{Member: m, At: at})
	l.fenced = l.fenced[max(0, len(l.fenced)-maxFenced):]
}
