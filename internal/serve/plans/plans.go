// Package plans turns the decisions of the fleet packages into records and orders.
// Every entry acknowledges drains; one entry at a time, the planner, also observes
// instances, advances drains and moves, runs waves, moves spare instances, and places
// jobs. Two planners at once do no harm, because each record's precondition decides.
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

// Control is the control state of the entry.
type Control interface {
	Submit(ctx context.Context, r *recpb.Record) (ctrl.Settled, error)
	View() *ctrl.View
	MaySend() bool
	AskDemand()
	Demand(ctx context.Context) map[string]ctrl.Demand
}

// Engine tells what this entry has in flight.
type Engine interface {
	InFlight(instance string) int
}

// Parts are what the planner works with.
type Parts struct {
	Control   Control
	Engine    Engine
	Instances ports.Instances
	Endpoint  ports.Endpoint
	// Workers runs jobs. It is nil if there are no workers, and jobs stay queued.
	Workers ports.Workers
	Clock   clock.Clock
	Scope   tally.Scope
	Logger  zerolog.Logger
	Self    state.Incarnation
	// Weights state what the moves of spare instances are to optimise.
	Weights spare.Weights
}

const (
	// interval is how often the planner looks at the state.
	interval = 250 * time.Millisecond
	// submitTimeout bounds one append with its read-back.
	submitTimeout = 3 * time.Second
	// renewInterval is how often the planner renews its lease.
	renewInterval = 5 * time.Second
	// leaseStale is the time without a renewal after which another entry takes over.
	leaseStale = 15 * time.Second
)

// Planner is the planning part of one entry.
type Planner struct {
	Parts
	cancel context.CancelFunc
	done   chan struct{}
	work   sync.WaitGroup

	// mu guards busy, the records that are being appended by subject.
	mu   sync.Mutex
	busy map[string]bool

	// The rest belongs to the planner's goroutine.
	lease  leaseWatch
	list   listWatch
	waves  waveWatch
	orders map[string]time.Duration
	drains drainWatch
	// planned is the state that the last step has looked at.
	planned *state.State
	// hasGrants says that the last state had instances under grants.
	hasGrants bool
	jobs      *jobWatch   // nil while another entry is the planner
	spares    *spareWatch // nil while another entry is the planner

	snapshot snapshotWatch
}

// New starts the planner. Close ends it.
func New(ctx context.Context, p Parts) *Planner {
	ctx, cancel := context.WithCancel(ctx)
	pl := &Planner{
		Parts:  p,
		cancel: cancel,
		done:   make(chan struct{}),
		busy:   map[string]bool{},
		list:   newListWatch(),
		waves:  newWaveWatch(),
		orders: map[string]time.Duration{},
	}
	go pl.run(ctx)
	return pl
}

// Close ends the planner and waits for what it has started.
func (p *Planner) Close() {
	p.cancel()
	<-p.done
	p.work.Wait()
}

func (p *Planner) run(ctx context.Context) {
	defer close(p.done)
	sub := p.Clock.Subscribe(interval)
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

// step does what the present state calls for.
func (p *Planner) step(ctx context.Context) {
	v := p.Control.View()
	if !v.Joined {
		return
	}
	p.acknowledge(ctx, v.State)
	if v.State.Skipped().Newer > 0 {
		// This entry can't read all that plans depend on. A newer one takes the lease.
		return
	}
	p.watchLease(ctx, v)
	if !v.State.Planner(p.Self) {
		p.spares = nil
		p.dropJobs()
	}
	if !v.State.Planner(p.Self) || !p.Control.MaySend() {
		return
	}
	p.observe(ctx, v.State)
	fresh := v.State != p.planned
	p.planned = v.State
	if fresh || len(p.orders) > 0 || p.hasGrants {
		p.advance(ctx, v.State)
	}
	p.runWaves(ctx, v.State, fresh)
	p.runSpares(ctx, v.State)
	p.runJobs(ctx, v.State)
	p.writeSnapshot(ctx, v)
}

// acknowledge confirms the drains that this entry has nothing in flight for. The view
// was put into force before it was published, so no new request can follow.
func (p *Planner) acknowledge(ctx context.Context, st *state.State) {
	for _, i := range p.drains.of(st, p.Self) {
		if p.Engine.InFlight(i.Name) > 0 {
			continue
		}
		p.append(ctx, "drained/"+i.Name, &recpb.Record{Body: &recpb.Record_Drained{Drained: &recpb.Drained{
			Name: i.Name, Grant: i.Grant.Offset, Member: p.Self.Name, Incarnation: p.Self.Number}}})
	}
}

// drainWatch holds the instances whose drain waits for this entry, so that the fleet is
// searched once for each state.
type drainWatch struct {
	st   *state.State
	list []*state.Instance
}

func (d *drainWatch) of(st *state.State, self state.Incarnation) []*state.Instance {
	if d.st == st {
		return d.list
	}
	d.st, d.list = st, nil
	for i := range st.Instances() {
		if i.Grant != nil && i.Phase == state.Draining && waitsFor(i.Grant, self) {
			d.list = append(d.list, i)
		}
	}
	return d.list
}

func waitsFor(g *state.Grant, self state.Incarnation) bool {
	for _, m := range g.Waiting {
		if m == self {
			return true
		}
	}
	return false
}

// append submits a record in the background unless one on the same subject is being
// submitted. The next step sees the result in the state.
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

func (p *Planner) submit(ctx context.Context, r *recpb.Record) (ctrl.Settled, bool) {
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
	if p.busy[subject] {
		return false
	}
	p.busy[subject] = true
	return true
}

func (p *Planner) end(subject string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, subject)
}
