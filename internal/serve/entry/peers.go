package entry

import (
	"context"

	"chervilgauge.example/chervilgauge/internal/serve/claims"
	"chervilgauge.example/chervilgauge/internal/serve/flows"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// peerHandler handles the requests of other entries.
type peerHandler struct {
	peerpb.DRPCPeerUnimplementedServer
	entry *Entry
}

// Gossip returns this entry's digest, or only its demand if that is requested. The request carries
// no digest of the sender: it may be buffered for any time, so it would be no evidence of the
// sender's present state.
func (h peerHandler) Gossip(ctx context.Context, a *peerpb.DigestAsk) (*peerpb.Digest, error) {
	if a.GetDemand() {
		return h.entry.core.DemandDigest(), nil
	}
	d := h.entry.core.Digest(ctx)
	if d == nil {
		return nil, Err.New("entry is stopping")
	}
	return d, nil
}

// Claim claims an id for another entry.
func (h peerHandler) Claim(ctx context.Context, a *peerpb.ClaimAsk) (*peerpb.ClaimReply, error) {
	return h.entry.claims.AnswerClaim(ctx, a), nil
}

// Outcome returns the outcome of an attempt of this entry.
func (h peerHandler) Outcome(ctx context.Context, a *peerpb.OutcomeAsk) (*peerpb.OutcomeReply, error) {
	return h.entry.claims.AnswerOutcome(ctx, a), nil
}

// Slots handles a request for slots.
func (h peerHandler) Slots(_ context.Context, a *peerpb.SlotAsk) (*peerpb.SlotReply, error) {
	return h.entry.slots.HandleAsk(a), nil
}

// Notify makes this entry contact an allocator that has a change for it.
func (h peerHandler) Notify(_ context.Context, a *peerpb.NotifyAsk) (*peerpb.NotifyReply, error) {
	h.entry.slots.HandleNotice(a.GetName())
	return &peerpb.NotifyReply{}, nil
}

// Records returns control records or the whole state.
func (h peerHandler) Records(ctx context.Context, a *peerpb.RecordsAsk) (*peerpb.RecordsReply, error) {
	return h.entry.core.Records(ctx, a), nil
}

// gate implements flows.Gate by the view lease.
type gate struct{ entry *Entry }

// MaySend reports whether this entry may send requests now.
func (g gate) MaySend() bool { return g.entry.core.MaySend() }

// peersByName returns clients for entries by name.
type peersByName struct{ entry *Entry }

// ClientOf returns a client for the member of that name. It returns false if there is none.
func (n peersByName) ClientOf(ctx context.Context, name string) (peerpb.DRPCPeerClient, bool) {
	m, ok := n.entry.core.View().State.Member(name)
	if !ok {
		return nil, false
	}
	return n.entry.client.To(ctx, m.Addr), true
}

func (e *Entry) liveMembers() []claims.Entry {
	v := e.core.View()
	out := make([]claims.Entry, 0, len(v.Live))
	for _, m := range v.Live {
		out = append(out, claims.Entry{Name: m.Name, Incarnation: m.Number, Addr: m.Addr})
	}
	return out
}

func (e *Entry) findMember(name string) (claims.Entry, bool) {
	m, ok := e.core.View().State.Member(name)
	if !ok {
		return claims.Entry{}, false
	}
	return claims.Entry{Name: m.Name, Incarnation: m.Number, Addr: m.Addr}, true
}

// recordLeaving records the instances that a peer reported as leaving.
func (e *Entry) recordLeaving(instances []string) {
	for _, name := range instances {
		e.engine.RecordLeaving(name)
	}
}

// ownDemands returns the demand of this entry, without idle pools.
func (e *Entry) ownDemands() []*peerpb.Demand {
	var out []*peerpb.Demand
	for _, d := range e.engine.Demands() {
		if d.Waiting+d.Running > 0 {
			out = append(out, &peerpb.Demand{Pool: d.Pool, Waiting: uint32(d.Waiting), Running: uint32(d.Running)})
		}
	}
	return out
}

// Run runs a call and returns its result. It refuses the call while the entry is not a member.
func (e *Entry) Run(ctx context.Context, c *flows.Call) flows.Result {
	if !e.core.View().Joined {
		return e.engine.RecordRefusal(flows.NotRun{Reason: flows.Unconfirmed, RetryAfter: joinRetryPause})
	}
	return e.engine.Run(ctx, c)
}
