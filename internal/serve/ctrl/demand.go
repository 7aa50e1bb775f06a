package ctrl

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// demandTTL is the age from which a member's demand no longer counts. A member that was not heard
// from for that long is evicted, and its callers move to other entries.
const demandTTL = 5 * time.Second

// Demand is the demand for one pool in numbers of requests.
type Demand struct {
	Waiting, Running int
}

// demands holds the newest demand that each member reported, including this entry. This entry's
// demand is sampled when the requests are sent: requests move between entries, so a sum over
// different times would count some twice and others not at all.
type demands map[state.Incarnation]demandReport

type demandReport struct {
	// requestedAt is when the request for the report was sent.
	requestedAt time.Duration
	pools       []*peerpb.Demand
}

// record stores a reply to a request that was sent at a time. Replies may arrive out of order.
func (d demands) record(sent time.Duration, r *peerpb.Digest) {
	id := state.Incarnation{Name: r.GetName(), Number: r.GetIncarnation()}
	if old, ok := d[id]; ok && old.requestedAt > sent {
		return
	}
	d[id] = demandReport{sent, r.GetDemand()}
}

// sum returns the demand by pool over the reports of current members that are younger than
// demandTTL. It deletes the other reports.
func (d demands) sum(now time.Duration, st *state.State) map[string]Demand {
	out := map[string]Demand{}
	for id, r := range d {
		if m, ok := st.Member(id.Name); !ok || m.Incarnation != id || now-r.requestedAt >= demandTTL {
			delete(d, id)
			continue
		}
		addPools(out, r.pools)
	}
	return out
}

func addPools(sum map[string]Demand, pools []*peerpb.Demand) {
	for _, p := range pools {
		n := sum[p.GetPool()]
		n.Waiting += int(p.GetWaiting())
		n.Running += int(p.GetRunning())
		sum[p.GetPool()] = n
	}
}

// RequestDemand records this entry's demand and requests the demand of every other member in the
// background.
//
// The planner requests it because gossip is too slow: while the log confirms the view, gossip
// contacts one peer each 0.75 s, so with 8 entries each peer every 5 s on average. Faster gossip or
// relayed demand would cost every entry bandwidth; this costs only the planner one request and one
// reply per member. The reply omits idle pools and the gossip evidence: with 8 entries and 5 busy
// pools it has 100 bytes instead of 326.
func (c *Core) RequestDemand() {
	sent, own := c.Clock.Now(), c.DemandDigest()
	c.startGoroutine(func() { c.do(c.ctx, func(l *loop) { l.demands.record(sent, own) }) })
	for m := range c.View().State.Members() {
		if m.Name != c.Self.Name {
			c.startGoroutine(func() { c.requestDemandFrom(m.Addr) })
		}
	}
}

func (c *Core) requestDemandFrom(addr string) {
	ctx, cancel := context.WithTimeout(c.ctx, gossipTimeout)
	defer cancel()
	sent := c.Clock.Now()
	d, err := c.Peers.To(ctx, addr).Gossip(ctx, &peerpb.DigestAsk{Demand: true})
	if err != nil {
		c.Scope.Counter("demand_failed").Inc(1)
		return
	}
	c.do(ctx, func(l *loop) { l.demands.record(sent, d) })
}

// Demand returns the demand by pool over all members that replied to RequestDemand within
// demandTTL. It returns nil after Close.
func (c *Core) Demand(ctx context.Context) map[string]Demand {
	var sum map[string]Demand
	c.do(ctx, func(l *loop) { sum = l.demands.sum(c.Clock.Now(), l.state) })
	return sum
}

// DemandDigest returns a digest that carries only this entry's demand.
func (c *Core) DemandDigest() *peerpb.Digest {
	return &peerpb.Digest{Name: c.Self.Name, Incarnation: c.Self.Number, Demand: c.Demands()}
}
