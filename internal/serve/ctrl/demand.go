package ctrl

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// demandStale is the age after which a member's demand no longer counts. A member that
// was not heard for that long is evicted, and its callers turn to other entries.
const demandStale = 5 * time.Second

// Demand is the demand of one pool in numbers of requests.
type Demand struct {
	Waiting, Running int
}

// demands holds the newest demand that each member reported, this entry included. The
// own report is of the time of the question as well: requests move between entries, and
// the sum over different times would count some twice and others not at all.
type demands map[state.Incarnation]demandReport

type demandReport struct {
	// sent is when the question was sent.
	sent  time.Duration
	pools []*peerpb.Demand
}

// learn takes in a reply to a question. Replies may arrive out of order.
func (d demands) learn(sent time.Duration, r *peerpb.Digest) {
	id := state.Incarnation{Name: r.GetName(), Number: r.GetIncarnation()}
	if old, ok := d[id]; ok && old.sent > sent {
		return
	}
	d[id] = demandReport{sent, r.GetDemand()}
}

// sum returns the demand by pool over the reports of members that are not stale. It
// forgets the other reports.
func (d demands) sum(now time.Duration, st *state.State) map[string]Demand {
	out := map[string]Demand{}
	for id, r := range d {
		if m, ok := st.Member(id.Name); !ok || m.Incarnation != id || now-r.sent >= demandStale {
			delete(d, id)
			continue
		}
		add(out, r.pools)
	}
	return out
}

func add(sum map[string]Demand, pools []*peerpb.Demand) {
	for _, p := range pools {
		n := sum[p.GetPool()]
		n.Waiting += int(p.GetWaiting())
		n.Running += int(p.GetRunning())
		sum[p.GetPool()] = n
	}
}

// AskDemand notes this entry's demand and asks every other member for its demand in the
// background.
//
// The planner asks, because gossip while the log confirms the view reaches one random
// peer each 0.75 s: with 8 entries, each of them every 5 s on average. To gossip faster
// or to relay demand would cost every entry bytes; this costs only the planner one
// question and one reply per member. With 8 entries and 5 busy pools the reply has 100
// bytes, with the evidence 326. It leaves out idle pools.
func (c *Core) AskDemand() {
	sent, own := c.Clock.Now(), c.OwnDemand()
	c.goroutine(func() { c.do(c.ctx, func(l *loop) { l.demands.learn(sent, own) }) })
	for m := range c.View().State.Members() {
		if m.Name != c.Self.Name {
			c.goroutine(func() { c.askDemand(m.Addr) })
		}
	}
}

func (c *Core) askDemand(addr string) {
	ctx, cancel := context.WithTimeout(c.ctx, gossipTimeout)
	defer cancel()
	sent := c.Clock.Now()
	d, err := c.Peers.To(ctx, addr).Gossip(ctx, &peerpb.DigestAsk{Demand: true})
	if err != nil {
		c.Scope.Counter("demand_failed").Inc(1)
		return
	}
	c.do(ctx, func(l *loop) { l.demands.learn(sent, d) })
}

// Demand returns the demand by pool over all members that told theirs lately after
// AskDemand. It returns nil after Close.
func (c *Core) Demand(ctx context.Context) map[string]Demand {
	var sum map[string]Demand
	c.do(ctx, func(l *loop) { sum = l.demands.sum(c.Clock.Now(), l.state) })
	return sum
}

// OwnDemand returns the digest that tells this entry's demand.
func (c *Core) OwnDemand() *peerpb.Digest {
	return &peerpb.Digest{Name: c.Self.Name, Incarnation: c.Self.Number, Demand: c.Demands()}
}
