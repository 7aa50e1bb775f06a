package flows

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/flow/admit"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/flow/route"
)

// Gate reports whether this entry's view is confirmed, so that it may send requests now.
type Gate interface {
	MaySend() bool
}

// Deps are the dependencies and settings of an engine.
type Deps struct {
	Clock    clock.Clock
	Endpoint ports.Endpoint
	Gate     Gate
	Claims   Claims
	Attempts *claim.Attempts
	Scope    tally.Scope
	Tracer   trace.Tracer
	// Centre is the data centre of the entry.
	Centre string
	// OnSlotShortage is called when a request has to wait for a slot.
	OnSlotShortage func()
	// OnLeaving is called with the name of an instance that an answer, a refusal or a probe
	// reported as leaving.
	OnLeaving func(instance string)
}

// Engine queues calls and sends them to endpoints. It is safe for concurrent use.
type Engine struct {
	Deps
	limits  Limits
	meters  meters
	table   atomic.Pointer[table]
	cancel  context.CancelFunc
	done    chan struct{}
	running sync.WaitGroup

	mu    sync.Mutex
	pools map[string]*pool
}

// Limits bounds the waiting times and the length of the queues.
type Limits struct {
	// QueueTime is the longest time that a request waits for a slot.
	QueueTime time.Duration
	// ClaimTimeout is the longest time to wait for a claim.
	ClaimTimeout time.Duration
	// MaxWaiting is the largest number of requests in one pool's queue.
	MaxWaiting int
}

// table maps services to pools. Requests read it without a lock.
type table struct {
	services map[string]*pool
}

// tickInterval is how often queues are checked for expired requests and ejected endpoints for due
// probes.
const tickInterval = 50 * time.Millisecond

// New returns a running engine without pools. Close stops it.
func New(ctx context.Context, d Deps, l Limits) *Engine {
	ctx, cancel := context.WithCancel(ctx)
	e := &Engine{
		Deps:   d,
		limits: l,
		meters: newMeters(d.Scope),
		cancel: cancel,
		done:   make(chan struct{}),
		pools:  map[string]*pool{},
	}
	e.table.Store(&table{})
	go e.tick(ctx)
	return e
}

// Close waits for the calls in progress and stops the engine's goroutine.
func (e *Engine) Close() {
	e.running.Wait()
	e.cancel()
	<-e.done
}

// tick drops expired requests and probes endpoints until the context ends.
func (e *Engine) tick(ctx context.Context) {
	defer close(e.done)
	sub := e.Clock.Subscribe(tickInterval)
	defer sub.Close()
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
			for _, p := range e.allPools() {
				e.tickPool(ctx, p, &probes)
			}
		}
	}
}

func (e *Engine) allPools() []*pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*pool, 0, len(e.pools))
	for _, p := range e.pools {
		out = append(out, p)
	}
	return out
}

func (e *Engine) tickPool(ctx context.Context, p *pool, probes *sync.WaitGroup) {
	now := e.Clock.Now()
	for _, t := range p.tick(now) {
		probes.Add(1)
		go e.probe(ctx, p, t, probes)
	}
}

// probeTimeout bounds one probe of an ejected endpoint.
const probeTimeout = time.Second

func (e *Engine) probe(ctx context.Context, p *pool, t route.Target, probes *sync.WaitGroup) {
	defer probes.Done()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	leaving, err := e.Endpoint.Probe(ctx, t.Addr)
	p.recordProbe(e.Clock.Now(), t.Name, leaving, err == nil)
	if leaving {
		e.OnLeaving(t.Name)
	}
}

// meters are the counters of calls by result, and of retries and claims.
type meters struct {
	scope                                tally.Scope
	answered, failed, notRun, unknown    tally.Counter
	retries, retryDenied, unconfirmed    tally.Counter
	granted, claimHeld, claimUnavailable tally.Counter
}

func newMeters(s tally.Scope) meters {
	return meters{
		scope:            s,
		answered:         s.Counter("calls_answered"),
		failed:           s.Counter("calls_failed"),
		notRun:           s.Counter("calls_not_run"),
		unknown:          s.Counter("calls_unknown"),
		retries:          s.Counter("retries"),
		retryDenied:      s.Counter("retries_denied"),
		unconfirmed:      s.Counter("sends_unconfirmed"),
		granted:          s.Counter("claims_granted"),
		claimHeld:        s.Counter("claims_held_elsewhere"),
		claimUnavailable: s.Counter("claims_unavailable"),
	}
}

func (m *meters) count(r Result) {
	switch r := r.(type) {
	case Answered:
		m.answered.Inc(1)
	case Failed:
		m.failed.Inc(1)
	case NotRun:
		m.notRun.Inc(1)
		m.scope.Tagged(map[string]string{"reason": string(r.Reason)}).Counter("refused").Inc(1)
	case Unknown:
		m.unknown.Inc(1)
	}
}

// Demand is the demand for one pool.
type Demand struct {
	Pool string
	// Waiting and Running are numbers of requests.
	Waiting, Running int
}

// Demands returns the demand of every pool.
func (e *Engine) Demands() []Demand {
	var out []Demand
	for _, p := range e.allPools() {
		out = append(out, p.demand())
	}
	return out
}

// InFlight returns the number of requests that this entry has in flight at an instance.
func (e *Engine) InFlight(instance string) int {
	n := 0
	for _, p := range e.allPools() {
		n += p.inFlight(instance)
	}
	return n
}

// InFlightByInstance returns the number of requests in flight by instance, without idle instances.
func (e *Engine) InFlightByInstance() map[string]int {
	out := map[string]int{}
	for _, p := range e.allPools() {
		p.addInFlight(out)
	}
	return out
}

// RecordLeaving records that an instance is leaving, whatever the source of that report.
func (e *Engine) RecordLeaving(instance string) {
	for _, p := range e.allPools() {
		p.recordLeaving(e.Clock.Now(), instance)
	}
}

// Shares holds the admission shares of one pool's services and of the teams.
type Shares struct {
	Services map[string]admit.Share
	Teams    map[string]admit.Share
}
