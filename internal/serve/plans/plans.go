// Package plans turns the decisions of the fleet packages into log records and orders. Every entry
// acknowledges drains. One entry at a time, the planner, also monitors instances, advances drains
// and moves, runs waves, moves spare instances and places jobs. Two concurrent planners are safe,
// because every record carries a precondition that is checked when it is applied.
package plans

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/spare"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Control is the replicated control state of this entry.
type Control interface {
	Submit(ctx context.Context, r *recpb.Record) (ctrl.Result, error)
	View() *ctrl.View
	MaySend() bool
	RequestDemand()
	Demand(ctx context.Context) map[string]ctrl.Demand
}

// Engine reports the requests that this entry has in flight.
type Engine interface {
	InFlight(instance string) int
}

// Deps are the dependencies of a Planner.
type Deps struct {
	Control   Control
	Engine    Engine
	Instances ports.Instances
	Endpoint  ports.Endpoint
	// Workers runs jobs. If it is nil, there are no workers, and jobs stay queued.
	Workers ports.Workers
	Clock   clock.Clock
	Scope   tally.Scope
	Logger  zerolog.Logger
	Self    state.Incarnation
	// Weights are the costs that moves of spare instances minimise.
	Weights spare.Weights
}

const (
	// stepInterval is the time between two steps of the planner.
	stepInterval = 250 * time.Millisecond
	// submitTimeout bounds an append including its read-back, and a call to a worker or an
	// instance.
	submitTimeout = 3 * time.Second
	// renewInterval is the time between two renewals of the planner's lease.
	renewInterval = 5 * time.Second
	// leaseTimeout is the time without a renewal after which another entry claims the lease.
	leaseTimeout = 15 * time.Second
)

// Planner acknowledges drains for one entry and does the planning while that entry holds the
// planner's lease.
type Planner struct {
	Deps
	cancel context.CancelFunc
	done   chan struct{}
	work   sync.WaitGroup

	// mu guards inProgress, the subjects for which an append or a call is under way.
	mu         sync.Mutex
	inProgress map[string]bool

	// The fields below belong to the planner's goroutine.
	lease        leaseTracker
	observed     instanceTracker
	waves        waveTracker
	rebootOrders map[string]time.Duration
	drains       drainTracker
	// lastState is the state that the last step processed.
	lastState *state.State
	// hasGrants is set if the last processed state had instances under grants.
	hasGrants bool
	jobs      *jobTracker   // nil while another entry is the planner
	spares    *spareTracker // nil while another entry is the planner

	snapshot snapshotTracker
}

// New starts a planner. Close stops it.
func New(ctx context.Context, p Deps) *Planner {
	ctx, cancel := context.WithCancel(ctx)
	pl := &Planner{
		Deps:         p,
		cancel:       cancel,
		done:         make(chan struct{}),
		inProgress:   map[string]bool{},
		observed:     newInstanceTracker(),
		waves:        newWaveTracker(),
		rebootOrders: map[string]time.Duration{},
	}
	go pl.run(ctx)
	return pl
}

// Close stops the planner and waits for its goroutines.
func (p *Planner) Close() {
	p.cancel()
	<-p.done
	p.work.Wait()
}

func (p *Planner) run(ctx context.Context) {
	defer close(p.done)
	sub := p.Clock.Subscribe(stepInterval)
	defer sub.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
			p.step(ctx)
		}
	}
}

// step processes the current view once.
func (p *Planner) step(ctx context.Context) {
	v := p.Control.View()
	if !v.Joined {
		return
	}
	p.acknowledge(ctx, v.State)
	if v.State.Skipped().Newer > 0 {
		// A newer entry wrote records that this one can't read, so its state is incomplete. It
		// doesn't renew the lease, and a newer entry claims it.
		return
	}
	p.maintainLease(ctx, v)
	if !v.State.IsPlanner(p.Self) {
		p.spares = nil
		p.forgetJobs()
	}
	if !v.State.IsPlanner(p.Self) || !p.Control.MaySend() {
		return
	}
	p.observe(ctx, v.State)
	changed := v.State != p.lastState
	p.lastState = v.State
	if changed || len(p.rebootOrders) > 0 || p.hasGrants {
		p.advance(ctx, v.State)
	}
	p.runWaves(ctx, v.State, changed)
	p.runSpares(ctx, v.State)
	p.runJobs(ctx, v.State)
	p.writeSnapshot(ctx, v)
}

// acknowledge confirms the drains of instances for which this entry has no request in flight. A
// view takes effect before it is published, so no new request can follow.
func (p *Planner) acknowledge(ctx context.Context, st *state.State) {
	for _, i := range p.drains.waitingFor(st, p.Self) {
		if p.Engine.InFlight(i.Name) > 0 {
			continue
		}
		p.append(ctx, "drained/"+i.Name, &recpb.Record{Body: &recpb.Record_Drained{Drained: &recpb.Drained{
			Name: i.Name, Grant: i.Grant.Offset, Member: p.Self.Name, Incarnation: p.Self.Number}}})
	}
}

// drainTracker caches the instances whose drain waits for this entry, so that the instances are
// searched only once per state.
type drainTracker struct {
	st   *state.State
	list []*state.Instance
}

func (d *drainTracker) waitingFor(st *state.State, self state.Incarnation) []*state.Instance {
	if d.st == st {
		return d.list
	}
	d.st, d.list = st, nil
	for i := range st.Instances() {
		if i.Grant != nil && i.Phase == state.Draining && isWaitingFor(i.Grant, self) {
			d.list = append(d.list, i)
		}
	}
	return d.list
}

func isWaitingFor(g *state.Grant, self state.Incarnation) bool {
	for _, m := range g.Waiting {
		if m == self {
			return true
		}
	}
	return false
}

// append submits a record in the background unless one on the same subject is under way. The next
// step sees the result in the state.
func (p *Planner) append(ctx context.Context, subject string, r *recpb.Record) {
	if !p.begin(subject) {
		return
	}
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		defer p.end(subject)
		p.submit(ctx, r)
	}()
}

func (p *Planner) submit(ctx context.Context, r *recpb.Record) (ctrl.Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	s, err := p.Control.Submit(ctx, r)
	if err != nil {
		p.Scope.Counter("plans_unsettled").Inc(1)
		return s, false
	}
	if !s.Verdict.OK() {
		p.Scope.Counter("plans_refused").Inc(1)
	}
	return s, s.Verdict.OK()
}

func (p *Planner) begin(subject string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress[subject] {
		return false
	}
	p.inProgress[subject] = true
	return true
}

func (p *Planner) end(subject string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inProgress, subject)
}
