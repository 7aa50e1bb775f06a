// Package ctrl runs the control goroutine of an entry. It owns the folded state and
// the member view, tails the control stream, gossips with peers, and publishes what
// traffic goroutines read without a lock.
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
	"chervilgauge.example/chervilgauge/internal/flow/share"
	"chervilgauge.example/chervilgauge/internal/serve/follow"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// Stream is the name of the control stream.
const Stream = "control"

// readWait is the longest wait of a read. A read confirms the view as of its start, so
// the wait must be well below the view lease of 2 s.
const readWait = 500 * time.Millisecond

// Peers reaches other entries.
type Peers interface {
	To(ctx context.Context, addr string) peerpb.DRPCPeerClient
}

// Parts are what the control goroutine works with.
type Parts struct {
	Clock  clock.Clock
	Log    ports.Log
	Peers  Peers
	Scope  tally.Scope
	Logger zerolog.Logger
	// Self names this run of the entry.
	Self state.Incarnation
	// Addr is the address for peers, Centre the data centre.
	Addr, Centre string
	// Seeds are addresses of peers to take the state from while the log is down.
	Seeds []string
	// Changed is called in the control goroutine after the view has changed.
	Changed func(*View)
	// Leaving is called with instances that a peer has seen to be leaving.
	Leaving func(instances []string)
	// Demands returns the demand of the pools for which this entry has requests.
	Demands func() []*peerpb.Demand
}

// View is an immutable snapshot of the control state.
type View struct {
	State *state.State
	// Live are the active members that were heard lately, including this entry.
	Live []*state.Member
	// Joined says that this incarnation is a member that is not in eviction.
	Joined bool
	// Snapshot is the highest offset of a snapshot seen whole in the stream.
	Snapshot uint64
	// Fenced lists the members whose end this entry has seen in the log without their
	// leave, with the time at which it saw that.
	Fenced []share.Fence
	// Applied maps members to the highest offset that they reported.
	Applied map[string]uint64
}

// Core is the control state of one entry. Its methods are safe for concurrent use.
type Core struct {
	Parts
	view  atomic.Pointer[View]
	until atomic.Int64
	// linked is when the log was last read to its end.
	linked atomic.Int64
	// fastUntil is the time until which gossip is fast.
	fastUntil atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	work   sync.WaitGroup

	reads   chan read
	calls   chan func(*loop)
	waiters waiters
}

// New starts the control goroutine. Close ends it.
func New(ctx context.Context, p Parts) *Core {
	ctx, cancel := context.WithCancel(ctx)
	c := &Core{
		Parts:   p,
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		reads:   make(chan read),
		calls:   make(chan func(*loop)),
		waiters: waiters{byID: map[string]chan Settled{}},
	}
	c.view.Store(&View{State: state.New()})
	c.linked.Store(int64(never))
	l := newLoop(c)
	c.goroutine(func() {
		follow.Run(ctx, follow.Stream{
			Log: p.Log, Clock: p.Clock, Name: Stream, Wait: readWait,
			Next: func() uint64 { return c.View().State.Applied() + 1 },
			Give: func(b ports.Batch, issued time.Duration) { c.give(ctx, read{b, issued}) },
		})
	})
	go l.run(ctx)
	return c
}

// give hands a batch to the control goroutine.
func (c *Core) give(ctx context.Context, r read) {
	select {
	case c.reads <- r:
	case <-ctx.Done():
	}
}

// Close ends the control goroutine and waits for it and for what it has started.
func (c *Core) Close() {
	c.cancel()
	<-c.done
	c.work.Wait()
}

// goroutine runs a function that Close waits for.
func (c *Core) goroutine(f func()) {
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		f()
	}()
}

// View returns the current snapshot.
func (c *Core) View() *View { return c.view.Load() }

// MaySend says whether the view lease is valid now and this entry is a member.
func (c *Core) MaySend() bool {
	return int64(c.Clock.Now()) < c.until.Load()
}

// Remaining returns how long the view lease is valid from now on, 0 if it is not.
func (c *Core) Remaining() time.Duration {
	return max(0, time.Duration(c.until.Load())-c.Clock.Now())
}

// never is a time before every read of the log.
const never = -time.Hour

// Linked says whether the log was read to its end lately.
func (c *Core) Linked() bool {
	return c.Clock.Now()-time.Duration(c.linked.Load()) < logStale
}

// GossipFast makes gossip fast for a while, because someone waits for what peers report.
func (c *Core) GossipFast() {
	c.fastUntil.Store(int64(c.Clock.Now() + fastTime))
}

// fastTime is how long gossip stays fast after GossipFast.
const fastTime = time.Second

// do runs a function in the control goroutine and waits for it. It reports false if
// the control goroutine or the context has ended.
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

// Left records that an instance was seen to be leaving, for peers to learn.
func (c *Core) Left(instance string) {
	c.goroutine(func() { c.do(c.ctx, func(l *loop) { l.left(instance) }) })
}

// Digest returns what this entry gossips now. It returns nil after Close.
func (c *Core) Digest(ctx context.Context) *peerpb.Digest {
	var d *peerpb.Digest
	c.do(ctx, func(l *loop) { d = l.digest() })
	return d
}

// lease returns the end of the view lease as monotonic time, 0 if this entry may not
// send.
func (l *loop) lease() time.Duration {
	if !l.joined() {
		return 0
	}
	return l.members.Until(l.core.Clock.Now())
}
