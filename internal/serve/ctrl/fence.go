package ctrl

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/flow/share"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// maxFenced bounds the fences that are remembered. The oldest ones are long past the
// longest run time by then.
const maxFenced = 64

// noteFence remembers a member that a record ended without its leave. Its requests may
// still run at endpoints.
func (l *loop) noteFence(before *state.State, r *recpb.Record) {
	at := l.core.Clock.Now() - l.age(r)
	switch b := r.GetBody().(type) {
	case *recpb.Record_Fence:
		l.fence(share.Member{Name: b.Fence.GetName(), Incarnation: b.Fence.GetIncarnation()}, at)
	case *recpb.Record_Join:
		if old, ok := before.Member(b.Join.GetName()); ok {
			l.fence(share.Member{Name: old.Name, Incarnation: old.Number}, at)
		}
	}
}

// age returns how long ago a record was written at least, by the wall clocks of its
// writer and of this entry, which may differ by the skew. An entry that replays the
// log would otherwise hold back slots for fences that are long past.
func (l *loop) age(r *recpb.Record) time.Duration {
	age := l.core.Clock.Wall().UnixMilli() - r.GetAt()
	return max(0, time.Duration(age)*time.Millisecond-claim.Skew)
}

func (l *loop) fence(m share.Member, at time.Duration) {
	l.fenced = append(l.fenced, share.Fence{Member: m, At: at})
	l.fenced = l.fenced[max(0, len(l.fenced)-maxFenced):]
}
