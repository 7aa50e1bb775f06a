package plans

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// leaseWatch notes when the planner's lease was last seen to change.
type leaseWatch struct {
	offset  uint64
	changed time.Duration
	renewed time.Duration
}

// watchLease renews the own lease and takes over one that is not renewed. The record
// names the lease that it replaces, so that one of several takers wins.
func (p *Planner) watchLease(ctx context.Context, v *ctrl.View) {
	now := p.Clock.Now()
	l := v.State.Lease()
	if l.Offset != p.lease.offset || p.lease.changed == 0 {
		p.lease.offset = l.Offset
		p.lease.changed = now
	}
	switch {
	case v.State.Planner(p.Self):
		if now-p.lease.renewed < renewInterval {
			return
		}
	case l.Offset != 0 && v.State.Planner(l.Holder) && now-p.lease.changed < leaseStale:
		return
	case now-p.lease.renewed < time.Second:
		return
	}
	p.lease.renewed = now
	p.append(ctx, "lease", &recpb.Record{Body: &recpb.Record_Lease{Lease: &recpb.Lease{
		Holder: p.Self.Name, Incarnation: p.Self.Number, Prev: l.Offset}}})
}
