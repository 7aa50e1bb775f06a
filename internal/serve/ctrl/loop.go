package ctrl

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/member"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/flow/alloc"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// gossipInterval is the time between two fast rounds of gossip.
	gossipInterval = 250 * time.Millisecond
	// slowGossipTicks is the number of intervals between two rounds of gossip while the log
	// confirms the view.
	slowGossipTicks = 3
	// slowGossipMaxAge is the age of the last complete read of the log up to which gossip stays
	// slow. A read takes at most readWait, so that the age is below twice that in normal operation,
	// and the rest of the view lease is enough for three fast rounds.
	slowGossipMaxAge = 1100 * time.Millisecond
)

// loop is the state of the control goroutine, which alone accesses it.
type loop struct {
	core    *Core
	state   *state.State
	members *member.View
	meters  meters

	// recent holds the newest records for peers that can't read the log.
	recent ring
	// collector assembles snapshot parts while the records before them are not retained.
	collector state.Collector
	// afterGap holds records after a gap, until the state reaches them.
	afterGap []ports.Item
	// hashes holds state hashes by offset, to compare with peers.
	hashes hashHistory
	// leaving maps instances that are leaving to the time at which that was first recorded.
	leaving map[string]time.Duration
	// demands holds the demand that members reported.
	demands demands
	// ticks counts the intervals, and gossipRounds the rounds of gossip.
	ticks, gossipRounds int
	// isFetching reports whether a request for records is in progress.
	isFetching bool
	// snapshotOffset is the highest offset of a snapshot that was read completely.
	snapshotOffset uint64
	// fenced lists the members whose incarnation ended without a leave record.
	fenced    []alloc.Fence
	wasMember bool
}

// readResult is a batch of the log with the time at which its read was issued.
type readResult struct {
	batch  ports.Batch
	issued time.Duration
}

func newLoop(c *Core) *loop {
	return &loop{
		core:    c,
		state:   state.New(),
		members: member.New(c.Self),
		meters:  newMeters(c.Scope),
		hashes:  hashHistory{},
		leaving: map[string]time.Duration{},
		demands: demands{},
	}
}

func (l *loop) run(ctx context.Context) {
	defer close(l.core.done)
	sub := l.core.Clock.Subscribe(gossipInterval)
	defer sub.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-l.core.reads:
			l.applyRead(r)
		case f := <-l.core.calls:
			f(l)
		case <-sub.C:
			l.tick()
		}
		l.publishLease()
	}
}

// applyRead folds a batch into the state. A read that reached the end of the log confirms the view
// as of the time at which it was issued.
func (l *loop) applyRead(r readResult) {
	l.foldItems(r.batch.Items)
	if l.state.Applied()+1 != r.batch.Next {
		return
	}
	l.core.lastFullRead.Store(int64(r.issued))
	l.members.RecordLogRead(r.issued)
}

// foldItems applies records in order of offset. Records that are already applied are skipped. After
// a gap, no record is applied until a snapshot closes the gap.
func (l *loop) foldItems(items []ports.Item) {
	before := l.state.Applied()
	for _, item := range items {
		l.applyItem(item)
	}
	if l.state.Applied() == before {
		return
	}
	l.hashes.add(l.state.Applied(), l.state.Hash())
	l.publish()
}

func (l *loop) applyItem(item ports.Item) {
	r := &recpb.Record{}
	if proto.Unmarshal(item.Data, r) != nil {
		// Apply counts a record without an id as malformed, for every reader alike.
		r = &recpb.Record{}
	}
	if p := r.GetSnapshot(); p != nil {
		l.collectPart(item.Offset, p)
	}
	switch next := l.state.Applied() + 1; {
	case item.Offset < next:
		return
	case item.Offset > next:
		l.afterGap = append(l.afterGap, item)
		return
	}
	l.applyNext(item, r)
}

func (l *loop) applyNext(item ports.Item, r *recpb.Record) {
	st, v := l.state.Apply(item.Offset, r)
	if v.Kind == state.Accepted {
		l.recordFence(l.state, r)
	}
	l.state = st
	l.recent.add(item)
	l.meters.records.Inc(1)
	l.core.waiters.notify(string(r.GetId()), Result{Offset: item.Offset, Verdict: v})
}

// collectPart adds a snapshot part that was read at an offset. It adopts the completed state if
// records before the offset are missing.
func (l *loop) collectPart(offset uint64, p *recpb.Snapshot) {
	st, err := l.collector.Add(p)
	if err != nil {
		l.meters.badSnapshots.Inc(1)
		return
	}
	if st == nil {
		return
	}
	l.snapshotOffset = max(l.snapshotOffset, st.Applied())
	if offset > l.state.Applied()+1 {
		l.adopt(st)
	}
}

// adopt replaces the state with a newer one and applies the records that follow it. It returns
// false if the state is not newer.
func (l *loop) adopt(st *state.State) bool {
	if st.Applied() <= l.state.Applied() {
		return false
	}
	l.state = st
	l.recent = ring{}
	// Members may have been fenced in the records that the snapshot replaces. The empty member
	// stands for them: the allocator withholds slots after any fence, whichever member it names.
	l.addFence(alloc.Member{}, l.core.Clock.Now())
	ahead := l.afterGap
	l.afterGap = nil
	for _, item := range ahead {
		l.applyItem(item)
	}
	return true
}

// publish puts the state into force, then publishes the view, before the view lease is renewed. So
// nothing is sent under an older view.
func (l *loop) publish() {
	l.members.Update(l.core.Clock.Now(), l.state)
	v := &View{
		State:          l.state,
		Live:           l.liveMembers(),
		Joined:         l.isMember(),
		AppliedOffsets: l.members.AppliedOffsets(),
		Fenced:         slices.Clone(l.fenced),

		SnapshotOffset: l.snapshotOffset,
	}
	// Readers of the view rely on its being in force: an entry acknowledges a drain once it sees
	// the grant and has nothing in flight.
	l.core.OnChange(v)
	l.core.view.Store(v)
	l.updateMembership(v.Joined)
}

// updateMembership ends the view lease at once when this entry is no longer a member.
func (l *loop) updateMembership(joined bool) {
	if l.wasMember && !joined {
		l.core.leaseExpiry.Store(0)
		l.core.Logger.Warn().Uint64("offset", l.state.Applied()).Msg("entry is no longer an active member")
	}
	if !l.wasMember && joined {
		l.core.Logger.Info().Uint64("offset", l.state.Applied()).Msg("entry joined")
	}
	l.wasMember = joined
}

// publishLease publishes the end of the view lease.
func (l *loop) publishLease() {
	l.core.leaseExpiry.Store(int64(l.viewLeaseExpiry()))
}

func (l *loop) isMember() bool {
	m, ok := l.state.Member(l.core.Self.Name)
	return ok && m.Incarnation == l.core.Self && !m.Evicted
}

// liveMembers returns the active members that were heard from within the suspicion time, and this
// entry.
func (l *loop) liveMembers() []*state.Member {
	var out []*state.Member
	now := l.core.Clock.Now()
	for m := range l.state.Members() {
		if m.Evicted {
			continue
		}
		if m.Incarnation == l.core.Self || l.members.HasHeardFrom(m.Incarnation, now) {
			out = append(out, m)
		}
	}
	return out
}
