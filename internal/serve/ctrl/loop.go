package ctrl

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/member"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/flow/share"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// gossipInterval is how often this entry asks peers for their digest while it
	// can't read the log.
	gossipInterval = 250 * time.Millisecond
	// calmRounds is the number of intervals between two rounds of gossip while the log
	// confirms the view.
	calmRounds = 3
	// calmAge is the age of the last complete read of the log up to which gossip is
	// calm. A read takes at most readWait, so that it is under twice that in normal
	// operation, and what is left of the view lease is enough for three fast rounds.
	calmAge = 1100 * time.Millisecond
)

// loop is what only the control goroutine touches.
type loop struct {
	core    *Core
	state   *state.State
	members *member.View
	meters  meters

	// recent holds the newest records for peers that can't read the log.
	recent ring
	// collector joins snapshot parts while records before them are not retained.
	collector state.Collector
	// ahead holds records that can't be applied before the state reaches them.
	ahead []ports.Item
	// marks holds state hashes by offset, to compare with peers.
	marks hashes
	// leaving holds when instances were seen to be leaving.
	leaving map[string]time.Duration
	// demands holds what members told about their demand.
	demands demands
	// rounds counts the intervals, and turn the rounds of gossip.
	rounds, turn int
	// fetching says that a peer is being asked for records.
	fetching bool
	// snapshot is the highest offset of a snapshot seen whole in the stream.
	snapshot uint64
	// fenced lists the members that ended without a leave.
	fenced    []share.Fence
	wasMember bool
}

// read is what the tail goroutine hands over.
type read struct {
	batch  ports.Batch
	issued time.Duration
}

func newLoop(c *Core) *loop {
	return &loop{
		core:    c,
		state:   state.New(),
		members: member.New(c.Self),
		meters:  newMeters(c.Scope),
		marks:   hashes{},
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
			l.read(r)
		case f := <-l.core.calls:
			f(l)
		case <-sub.C:
			l.tick()
		}
		l.renew()
	}
}

// read folds what the log returned. A read that ended at the head of the log confirms
// the view as of the time at which it was issued.
func (l *loop) read(r read) {
	l.fold(r.batch.Items)
	if l.state.Applied()+1 != r.batch.Next {
		return
	}
	l.core.linked.Store(int64(r.issued))
	l.members.LogConfirmed(r.issued)
}

// fold applies records in order of offset. Records that are already applied are
// skipped. After a gap nothing is applied until a snapshot closes it.
func (l *loop) fold(items []ports.Item) {
	before := l.state.Applied()
	for _, item := range items {
		l.item(item)
	}
	if l.state.Applied() == before {
		return
	}
	l.marks.add(l.state.Applied(), l.state.Hash())
	l.publish()
}

func (l *loop) item(item ports.Item) {
	r := &recpb.Record{}
	if proto.Unmarshal(item.Data, r) != nil {
		// Apply counts a record without an id as malformed, for every reader alike.
		r = &recpb.Record{}
	}
	if p := r.GetSnapshot(); p != nil {
		l.part(item.Offset, p)
	}
	switch next := l.state.Applied() + 1; {
	case item.Offset < next:
		return
	case item.Offset > next:
		l.ahead = append(l.ahead, item)
		return
	}
	l.apply(item, r)
}

func (l *loop) apply(item ports.Item, r *recpb.Record) {
	st, v := l.state.Apply(item.Offset, r)
	if v.Kind == state.Accepted {
		l.noteFence(l.state, r)
	}
	l.state = st
	l.recent.add(item)
	l.meters.records.Inc(1)
	l.core.waiters.settle(string(r.GetId()), Settled{Offset: item.Offset, Verdict: v})
}

// part collects a part of a snapshot at an offset and adopts the state if records before
// the offset are missing.
func (l *loop) part(offset uint64, p *recpb.Snapshot) {
	st, err := l.collector.Add(p)
	if err != nil {
		l.meters.badSnapshots.Inc(1)
		return
	}
	if st == nil {
		return
	}
	l.snapshot = max(l.snapshot, st.Applied())
	if offset > l.state.Applied()+1 {
		l.adopt(st)
	}
}

// adopt takes over a state that is ahead of the own one, and applies what follows.
// It reports false if the own state is as new.
func (l *loop) adopt(st *state.State) bool {
	if st.Applied() <= l.state.Applied() {
		return false
	}
	l.state = st
	l.recent = ring{}
	// Members may have been fenced in the records that the snapshot replaces.
	l.fence(share.Member{}, l.core.Clock.Now())
	ahead := l.ahead
	l.ahead = nil
	for _, item := range ahead {
		l.item(item)
	}
	return true
}

// publish puts the state into force and then shows it, before the lease is renewed, so
// that nothing is sent under an older view.
func (l *loop) publish() {
	l.members.Update(l.core.Clock.Now(), l.state)
	v := &View{
		State:   l.state,
		Live:    l.live(),
		Joined:  l.joined(),
		Applied: l.members.Applied(),
		Fenced:  slices.Clone(l.fenced),

		Snapshot: l.snapshot,
	}
	// Who sees the view may rely on its being in force: an entry acknowledges a drain once
	// it sees the grant and has nothing in flight.
	l.core.Changed(v)
	l.core.view.Store(v)
	l.noteMembership(v.Joined)
}

// noteMembership ends the lease at once when this entry is no longer a member.
func (l *loop) noteMembership(joined bool) {
	if l.wasMember && !joined {
		l.core.until.Store(0)
		l.core.Logger.Warn().Uint64("offset", l.state.Applied()).Msg("entry is no longer an active member")
	}
	if !l.wasMember && joined {
		l.core.Logger.Info().Uint64("offset", l.state.Applied()).Msg("entry joined")
	}
	l.wasMember = joined
}

// renew publishes the end of the view lease.
func (l *loop) renew() {
	l.core.until.Store(int64(l.lease()))
}

func (l *loop) joined() bool {
	m, ok := l.state.Member(l.core.Self.Name)
	return ok && m.Incarnation == l.core.Self && !m.Evicted
}

// live returns the active members that were heard lately, and this entry.
func (l *loop) live() []*state.Member {
	var out []*state.Member
	now := l.core.Clock.Now()
	for m := range l.state.Members() {
		if m.Evicted {
			continue
		}
		if m.Incarnation == l.core.Self || l.members.Heard(m.Incarnation, now) {
			out = append(out, m)
		}
	}
	return out
}
