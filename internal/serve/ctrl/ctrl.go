// Package ctrl runs the control goroutine of an entry. It owns the state that is folded from the
// control stream and the member view, reads the stream, gossips with peers, and publishes an
// immutable view that request goroutines read without a lock.
package ctrl

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/flow/alloc"
	"chervilgauge.example/chervilgauge/internal/serve/follow"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// Stream is the name of the control stream.
const Stream = "control"

// readWait is the longest time that a read waits for new records. A read confirms the view as of
// its start, so the wait must be well below the view lease of 2 s.
const readWait = 500 * time.Millisecond

// Peers returns clients for other entries.
type Peers interface {
	To(ctx context.Context, addr string) peerpb.DRPCPeerClient
}

// Deps are the dependencies and settings of the control goroutine.
type Deps struct {
	Clock  clock.Clock
	Log    ports.Log
	Peers  Peers
	Scope  tally.Scope
	Logger zerolog.Logger
	// Self identifies this run of the entry.
	Self state.Incarnation
	// Addr is this entry's address for peers, Centre its data centre.
	Addr, Centre string
	// Seeds are addresses of peers from which the state is fetched while the log is down.
	Seeds []string
	// OnChange is called in the control goroutine with the new view, before it is published.
	OnChange func(*View)
	// OnLeaving is called with instances that a peer reported as leaving.
	OnLeaving func(instances []string)
	// Demands returns the demand of the pools for which this entry has requests.
	Demands func() []*peerpb.Demand
}

// View is an immutable snapshot of the control state.
type View struct {
	State *state.State
	// Live are the active members that were heard from within the suspicion time, and this entry.
	Live []*state.Member
	// Joined reports whether this incarnation is a member and not evicted.
	Joined bool
	// SnapshotOffset is the highest offset of a snapshot that was read completely from the stream.
	SnapshotOffset uint64
	// Fenced lists the members whose incarnation ended in the log without a leave record, with the
	// time at which this entry read that.
	Fenced []alloc.Fence
	// AppliedOffsets maps members to the highest offset that they reported as applied.
	AppliedOffsets map[string]uint64
}

// Core runs the control goroutine of one entry. Its methods are safe for concurrent use.
type Core struct {
	Deps
	view        atomic.Pointer[View]
	leaseExpiry atomic.Int64
	// lastFullRead is when the last read that reached the end of the log was issued.
	lastFullRead atomic.Int64
	// fastGossipUntil is the end of the fast gossip that GossipFast requested.
	fastGossipUntil atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	work   sync.WaitGroup

	reads   chan readResult
	calls   chan func(*loop)
	waiters waiters
}

// New starts the control goroutine. Close stops it.
func New(ctx context.Context, d Deps) *Core {
	ctx, cancel := context.WithCancel(ctx)
	c := &Core{
		Deps:    d,
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		reads:   make(chan readResult),
		calls:   make(chan func(*loop)),
		waiters: waiters{byID: map[string]chan Result{}},
	}
	c.view.Store(&View{State: state.New()})
	c.lastFullRead.Store(int64(neverRead))
	l := newLoop(c)
	c.startGoroutine(func() {
		follow.Run(ctx, follow.Stream{
			Log: d.Log, Clock: d.Clock, Name: Stream, Wait: readWait,
			NextOffset: func() uint64 { return c.View().State.Applied() + 1 },
			Deliver:    func(b ports.Batch, issued time.Duration) { c.deliver(ctx, readResult{b, issued}) },
		})
	})
	go l.run(ctx)
	return c
}

// deliver passes a batch to the control goroutine.
func (c *Core) deliver(ctx context.Context, r readResult) {
	select {
	case c.reads <- r:
	case <-ctx.Done():
	}
}

// Close stops the control goroutine and waits for it and the goroutines that it started.
func (c *Core) Close() {
	c.cancel()
	<-c.done
	c.work.Wait()
}

// startGoroutine runs a function in a goroutine that Close waits for.
func (c *Core) startGoroutine(f func()) {
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		f()
	}()
}

// View returns the current view.
func (c *Core) View() *View { return c.view.Load() }

// MaySend reports whether this entry is a member and its view lease is valid now.
func (c *Core) MaySend() bool {
	return int64(c.Clock.Now()) < c.leaseExpiry.Load()
}

// LeaseRemaining returns how long the view lease stays valid, 0 if it has expired.
func (c *Core) LeaseRemaining() time.Duration {
	return max(0, time.Duration(c.leaseExpiry.Load())-c.Clock.Now())
}

// neverRead is the time of the last complete read before there was one.
const neverRead = -time.Hour

// IsLogLinked reports whether the log was read to its end within the last logStaleAfter.
func (c *Core) IsLogLinked() bool {
	return c.Clock.Now()-time.Duration(c.lastFullRead.Load()) < logStaleAfter
}

// GossipFast speeds gossip up for fastGossipTime, because a caller waits for what peers report.
func (c *Core) GossipFast() {
	c.fastGossipUntil.Store(int64(c.Clock.Now() + fastGossipTime))
}

// fastGossipTime is how long gossip stays fast after GossipFast.
const fastGossipTime = time.Second

// do runs a function in the control goroutine and waits for it. It returns false if the control
// goroutine or the context has ended.
func (c *Core) do(ctx context.Context, f func(*loop)) bool {
	ran := make(chan struct{})
	select {
	case c.calls <- func(l *loop) { f(l); close(ran) }:
	case <-ctx.Done():
		return false
	case <-c.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-c.done:
		return false
	}
}

// RecordLeaving records that an instance is leaving, so that gossip passes it on to peers.
func (c *Core) RecordLeaving(instance string) {
	c.startGoroutine(func() { c.do(c.ctx, func(l *loop) { l.recordLeaving(instance) }) })
}

// Digest returns the gossip digest of this entry, nil after Close.
func (c *Core) Digest(ctx context.Context) *peerpb.Digest {
	var d *peerpb.Digest
	c.do(ctx, func(l *loop) { d = l.digest() })
	return d
}

// viewLeaseExpiry returns the end of the view lease as monotonic time, 0 if this entry is not a
// member.
func (l *loop) viewLeaseExpiry() time.Duration {
	if !l.isMember() {
		return 0
	}
	return l.members.LeaseExpiry(l.core.Clock.Now())
}
