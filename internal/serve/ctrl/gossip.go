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
	// fanout is the number of peers asked in a fast round, independent of the number
	// of entries. What a peer has heard is passed on, so that with 8 entries evidence
	// about all of them is under 1 s old.
	fanout = 2
	// gossipTimeout bounds one exchange.
	gossipTimeout = 500 * time.Millisecond
	// leavingKeep is how long an instance is gossiped as leaving. The instance list or
	// the log tells afterwards.
	leavingKeep = time.Minute
	// submitTimeout bounds the appends that the control goroutine starts.
	submitTimeout = 5 * time.Second
	// fetchLimit bounds the records that a peer returns at once.
	fetchLimit = 1024
)

// tick gossips, asks peers for records, and evicts and fences members.
func (l *loop) tick() {
	now := l.core.Clock.Now()
	for _, addr := range l.targets(l.pace(now)) {
		l.core.goroutine(func() { l.core.exchange(addr) })
	}
	l.expireLeaving(now)
	l.catchUp()
	if !l.joined() {
		return
	}
	for _, m := range l.members.Suspects(now) {
		l.core.append(&recpb.Record{Body: &recpb.Record_Evict{
			Evict: &recpb.Evict{Name: m.Name, Incarnation: m.Number}}})
	}
	for _, m := range l.members.Fences(now) {
		l.core.append(&recpb.Record{Body: &recpb.Record_Fence{
			Fence: &recpb.Fence{Name: m.Name, Incarnation: m.Number}}})
	}
	l.publishLive()
}

// publishLive publishes a new view if the live members have changed.
func (l *loop) publishLive() {
	old := l.core.View()
	if !slices.Equal(old.Live, l.live()) {
		l.publish()
		return
	}
	v := *old
	v.Applied = l.members.Applied()
	l.core.view.Store(&v)
}

// pace returns how many peers to ask now: one every third interval while the log
// confirms the view, otherwise two each interval.
func (l *loop) pace(now time.Duration) int {
	l.rounds++
	unlinked := now-time.Duration(l.core.linked.Load()) > calmAge
	if unlinked || int64(now) < l.core.fastUntil.Load() {
		return fanout
	}
	if l.rounds%calmRounds == 0 {
		return 1
	}
	return 0
}

// targets returns the addresses of n peers in turn and of those that were not heard for
// some time, or of random seeds while no peer is known.
func (l *loop) targets(n int) []string {
	if l.state.Applied() == 0 {
		addrs := slices.Clone(l.core.Seeds)
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		return addrs[:min(n, len(addrs))]
	}
	if n == 0 {
		return nil
	}
	var addrs []string
	l.turn++
	for _, m := range l.members.Asks(l.core.Clock.Now(), l.turn, n) {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// exchange asks a peer for its digest. The reply counts as of the time at which the
// question was sent.
func (c *Core) exchange(addr string) {
	ctx, cancel := context.WithTimeout(c.ctx, gossipTimeout)
	defer cancel()
	sent := c.Clock.Now()
	d, err := c.Peers.To(ctx, addr).Gossip(ctx, &peerpb.DigestAsk{})
	if err != nil {
		c.Scope.Counter("gossip_failed").Inc(1)
		return
	}
	c.do(ctx, func(l *loop) { l.reply(addr, sent, d) })
}

// reply takes in a peer's digest.
func (l *loop) reply(addr string, sent time.Duration, d *peerpb.Digest) {
	l.members.Reply(sent, d)
	l.compare(d)
	if len(d.GetLeaving()) > 0 {
		l.core.Leaving(d.GetLeaving())
	}
	if d.GetApplied() > l.state.Applied() {
		l.fetch(addr)
	}
}

// compare raises an alarm if a peer folded the same records into another state.
func (l *loop) compare(d *peerpb.Digest) {
	own, ok := l.marks[d.GetMark()]
	if !ok || own == d.GetHash() {
		return
	}
	l.meters.stateDiffers.Inc(1)
	l.core.Logger.Error().Str("peer", d.GetName()).Uint64("offset", d.GetMark()).
		Msg("state differs from a peer's at the same offset")
}

// digest returns what this entry tells its peers.
func (l *loop) digest() *peerpb.Digest {
	now := l.core.Clock.Now()
	d := l.members.Digest(now)
	d.Linked = l.core.Linked()
	d.Ready = l.joined() && now < l.lease()
	for name := range l.leaving {
		d.Leaving = append(d.Leaving, name)
	}
	return d
}

// logStale is the age of the last complete read after which peers are asked for
// records.
const logStale = 2 * time.Second

func (l *loop) left(instance string) {
	if _, ok := l.leaving[instance]; !ok {
		l.leaving[instance] = l.core.Clock.Now()
	}
}

func (l *loop) expireLeaving(now time.Duration) {
	for name, since := range l.leaving {
		if now-since > leavingKeep {
			delete(l.leaving, name)
		}
	}
}

// catchUp asks a seed for the whole state while the log can't be read at the start.
func (l *loop) catchUp() {
	if l.state.Applied() > 0 || l.core.Linked() || len(l.core.Seeds) == 0 {
		return
	}
	l.fetch(l.core.Seeds[rand.IntN(len(l.core.Seeds))])
}

// fetch asks a peer for the records after the applied offset. The tail goroutine may
// bring the same records, which are then skipped.
func (l *loop) fetch(addr string) {
	if l.fetching {
		return
	}
	l.fetching = true
	from := l.state.Applied() + 1
	l.core.goroutine(func() {
		ctx, cancel := context.WithTimeout(l.core.ctx, gossipTimeout)
		defer cancel()
		r, err := l.core.Peers.To(ctx, addr).Records(ctx, &peerpb.RecordsAsk{From: from, Max: fetchLimit, Whole: true})
		l.core.do(l.core.ctx, func(l *loop) { l.fetched(r, err) })
	})
}

func (l *loop) fetched(r *peerpb.RecordsReply, err error) {
	l.fetching = false
	if err != nil {
		return
	}
	if len(r.GetSnapshot()) > 0 {
		l.adoptWhole(r.GetSnapshot())
	}
	items := make([]ports.Item, 0, len(r.GetItems()))
	for _, i := range r.GetItems() {
		items = append(items, ports.Item{Offset: i.GetOffset(), Data: i.GetData()})
	}
	l.fold(items)
}

func (l *loop) adoptWhole(data []byte) {
	st, err := state.Decode(data)
	if err != nil {
		l.meters.badSnapshots.Inc(1)
		return
	}
	if l.adopt(st) {
		l.publish()
	}
}

// Records answers a peer that can't read the log.
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

// append submits a record in the background. The verdict decides; a refused or
// unsettled record is tried again at a later tick if it is still needed.
func (c *Core) append(r *recpb.Record) {
	c.goroutine(func() {
		ctx, cancel := context.WithTimeout(c.ctx, submitTimeout)
		defer cancel()
		_, _ = c.Submit(ctx, r)
	})
}
