package ctrl

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// fanout is the number of peers contacted in a fast round, independent of the number of
	// entries. Peers relay the evidence that they have received, so with 8 entries the evidence
	// about every member is less than 1 s old.
	fanout = 2
	// gossipTimeout bounds one request to a peer.
	gossipTimeout = 500 * time.Millisecond
	// leavingTTL is how long an instance is gossiped as leaving. Afterwards the instance list or
	// the log reports it.
	leavingTTL = time.Minute
	// submitTimeout bounds the submission of records by the control goroutine.
	submitTimeout = 5 * time.Second
	// fetchLimit is the largest number of records that a peer returns at once.
	fetchLimit = 1024
)

// tick gossips, fetches records from peers, and evicts and fences members.
func (l *loop) tick() {
	now := l.core.Clock.Now()
	for _, addr := range l.gossipTargets(l.gossipCount(now)) {
		l.core.startGoroutine(func() { l.core.requestDigest(addr) })
	}
	l.expireLeaving(now)
	l.catchUp()
	if !l.isMember() {
		return
	}
	for _, m := range l.members.Suspects(now) {
		l.core.submitAsync(&recpb.Record{Body: &recpb.Record_Evict{
			Evict: &recpb.Evict{Name: m.Name, Incarnation: m.Number}}})
	}
	for _, m := range l.members.FenceCandidates(now) {
		l.core.submitAsync(&recpb.Record{Body: &recpb.Record_Fence{
			Fence: &recpb.Fence{Name: m.Name, Incarnation: m.Number}}})
	}
	l.publishLive()
}

// publishLive publishes a new view if the live members have changed.
func (l *loop) publishLive() {
	old := l.core.View()
	if !slices.Equal(old.Live, l.liveMembers()) {
		l.publish()
		return
	}
	v := *old
	v.AppliedOffsets = l.members.AppliedOffsets()
	l.core.view.Store(&v)
}

// gossipCount returns how many peers to contact in this interval: one in every third interval while
// the log confirms the view, otherwise two in each.
func (l *loop) gossipCount(now time.Duration) int {
	l.ticks++
	unlinked := now-time.Duration(l.core.lastFullRead.Load()) > slowGossipMaxAge
	if unlinked || int64(now) < l.core.fastGossipUntil.Load() {
		return fanout
	}
	if l.ticks%slowGossipTicks == 0 {
		return 1
	}
	return 0
}

// gossipTargets returns the addresses of n peers in rotation and of those that were not heard from
// for some time. As long as no record is applied, it returns random seeds.
func (l *loop) gossipTargets(n int) []string {
	if l.state.Applied() == 0 {
		addrs := slices.Clone(l.core.Seeds)
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		return addrs[:min(n, len(addrs))]
	}
	if n == 0 {
		return nil
	}
	var addrs []string
	l.gossipRounds++
	for _, m := range l.members.GossipTargets(l.core.Clock.Now(), l.gossipRounds, n) {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// requestDigest requests a peer's digest. The reply is dated by when the request was sent.
func (c *Core) requestDigest(addr string) {
	ctx, cancel := context.WithTimeout(c.ctx, gossipTimeout)
	defer cancel()
	sent := c.Clock.Now()
	d, err := c.Peers.To(ctx, addr).Gossip(ctx, &peerpb.DigestAsk{})
	if err != nil {
		c.Scope.Counter("gossip_failed").Inc(1)
		return
	}
	c.do(ctx, func(l *loop) { l.handleDigest(addr, sent, d) })
}

// handleDigest processes a peer's digest.
func (l *loop) handleDigest(addr string, sent time.Duration, d *peerpb.Digest) {
	l.members.RecordReply(sent, d)
	l.compareHash(d)
	if len(d.GetLeaving()) > 0 {
		l.core.OnLeaving(d.GetLeaving())
	}
	if d.GetApplied() > l.state.Applied() {
		l.fetchRecords(addr)
	}
}

// compareHash logs an error if a peer has folded the same records into a different state.
func (l *loop) compareHash(d *peerpb.Digest) {
	own, ok := l.hashes[d.GetMark()]
	if !ok || own == d.GetHash() {
		return
	}
	l.meters.stateDiffers.Inc(1)
	l.core.Logger.Error().Str("peer", d.GetName()).Uint64("offset", d.GetMark()).
		Msg("state differs from a peer's at the same offset")
}

// digest returns the digest that this entry sends to its peers.
func (l *loop) digest() *peerpb.Digest {
	now := l.core.Clock.Now()
	d := l.members.Digest(now)
	d.Linked = l.core.IsLogLinked()
	d.Ready = l.isMember() && now < l.viewLeaseExpiry()
	for name := range l.leaving {
		d.Leaving = append(d.Leaving, name)
	}
	return d
}

// logStaleAfter is the age of the last complete read of the log from which on the log counts as
// unavailable.
const logStaleAfter = 2 * time.Second

func (l *loop) recordLeaving(instance string) {
	if _, ok := l.leaving[instance]; !ok {
		l.leaving[instance] = l.core.Clock.Now()
	}
}

func (l *loop) expireLeaving(now time.Duration) {
	for name, since := range l.leaving {
		if now-since > leavingTTL {
			delete(l.leaving, name)
		}
	}
}

// catchUp fetches the whole state from a seed while no record is applied and the log can't be read.
func (l *loop) catchUp() {
	if l.state.Applied() > 0 || l.core.IsLogLinked() || len(l.core.Seeds) == 0 {
		return
	}
	l.fetchRecords(l.core.Seeds[rand.IntN(len(l.core.Seeds))])
}

// fetchRecords requests the records after the applied offset from a peer. Records that the read
// goroutine delivers as well are skipped.
func (l *loop) fetchRecords(addr string) {
	if l.isFetching {
		return
	}
	l.isFetching = true
	from := l.state.Applied() + 1
	l.core.startGoroutine(func() {
		ctx, cancel := context.WithTimeout(l.core.ctx, gossipTimeout)
		defer cancel()
		r, err := l.core.Peers.To(ctx, addr).Records(ctx, &peerpb.RecordsAsk{From: from, Max: fetchLimit, Whole: true})
		l.core.do(l.core.ctx, func(l *loop) { l.handleRecords(r, err) })
	})
}

func (l *loop) handleRecords(r *peerpb.RecordsReply, err error) {
	l.isFetching = false
	if err != nil {
		return
	}
	if len(r.GetSnapshot()) > 0 {
		l.adoptSnapshot(r.GetSnapshot())
	}
	items := make([]ports.Item, 0, len(r.GetItems()))
	for _, i := range r.GetItems() {
		items = append(items, ports.Item{Offset: i.GetOffset(), Data: i.GetData()})
	}
	l.foldItems(items)
}

func (l *loop) adoptSnapshot(data []byte) {
	st, err := state.Decode(data)
	if err != nil {
		l.meters.badSnapshots.Inc(1)
		return
	}
	if l.adopt(st) {
		l.publish()
	}
}

// Records returns control records, or the whole state, to a peer that can't read the log.
func (c *Core) Records(ctx context.Context, a *peerpb.RecordsAsk) *peerpb.RecordsReply {
	out := &peerpb.RecordsReply{}
	c.do(ctx, func(l *loop) {
		items, ok := l.recent.from(a.GetFrom(), int(min(a.GetMax(), fetchLimit)))
		if !ok && a.GetWhole() && l.state.Applied() >= a.GetFrom() {
			out.Snapshot = l.state.Encode()
			out.Offset = l.state.Applied()
		}
		for _, i := range items {
			out.Items = append(out.Items, &peerpb.RecordsReply_Item{Offset: i.Offset, Data: i.Data})
		}
	})
	return out
}

// submitAsync submits a record in the background. Failures are ignored: a refused or unsettled
// record is submitted again at a later tick if it is still needed.
func (c *Core) submitAsync(r *recpb.Record) {
	c.startGoroutine(func() {
		ctx, cancel := context.WithTimeout(c.ctx, submitTimeout)
		defer cancel()
		_, _ = c.Submit(ctx, r)
	})
}
