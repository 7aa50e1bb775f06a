package plans

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// leaseTracker holds the offset of the planner's lease, when that was last seen to change, and when
// this entry last appended a lease record.
type leaseTracker struct {
	offset    uint64
	changedAt time.Duration
	renewedAt time.Duration
}

// maintainLease renews this entry's own lease, and claims one that its holder does not renew. The
// record contains the offset of the lease that it replaces, so that only one of several claims
// succeeds.
func (p *Planner) maintainLease(ctx context.Context, v *ctrl.View) {
	now := p.Clock.Now()
	l := v.State.Lease()
	if l.Offset != p.lease.offset || p.lease.changedAt == 0 {
		p.lease.offset = l.Offset
		p.lease.changedAt = now
	}
	switch {
	case v.State.IsPlanner(p.Self):
		if now-p.lease.renewedAt < renewInterval {
			return
		}
	case l.Offset != 0 && v.State.IsPlanner(l.Holder) && now-p.lease.changedAt < leaseTimeout:
		return
	case now-p.lease.renewedAt < time.Second:
		return
	}
	p.lease.renewedAt = now
	p.append(ctx, "lease", &recpb.Record{Body: &recpb.Record_Lease{Lease: &recpb.Lease{
		Holder: p.Self.Name, Incarnation: p.Self.Number, Prev: l.Offset}}})
}
