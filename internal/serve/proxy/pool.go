package proxy

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/fanout"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// chooseEvery is the time between choices of the entries that make calls.
	chooseEvery = 250 * time.Millisecond
	// detourFor is how long the leader looks at an executor itself that did not answer the
	// entry: the way between these two may be cut while the executor is well.
	detourFor = 3 * time.Second
	// detoursMost bounds the executors that are called directly for that reason. Where more
	// do not answer, they or the entry are overloaded, and calls from here as well would add
	// to that.
	detoursMost = 16
)

// Opener opens the stream to an entry.
type Opener func(ctx context.Context, addr string) (Way, error)

// Pool makes a leader's calls to executors: itself, or through other entries where there
// are many executors. It is safe for concurrent use.
type Pool struct {
	direct Executors
	clk    clock.Clock
	log    zerolog.Logger
	self   string
	open   Opener
	ctx    context.Context

	mu      sync.Mutex
	chooser fanout.Chooser
	known   map[string]fanout.Candidate
	sizes   map[string]int
	table   fanout.Callers
	next    time.Duration
	links   map[string]*link
	detours map[string]time.Duration // until when executors are called directly, by id
	ended   sync.WaitGroup
	closed  bool
}

// New returns a pool of an entry with a name. Streams end with the context or Close.
func New(ctx context.Context, direct Executors, clk clock.Clock, log zerolog.Logger, self string, open Opener) *Pool {
	return &Pool{
		direct: direct, clk: clk, log: log, self: self, open: open, ctx: ctx,
		known: map[string]fanout.Candidate{}, links: map[string]*link{}, detours: map[string]time.Duration{},
	}
}

// Close ends all streams and waits.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	ls := slices.Collect(maps.Values(p.links))
	clear(p.links)
	p.mu.Unlock()
	for _, l := range ls {
		l.close()
	}
	p.ended.Wait()
}

// Reset ends all streams, when leading ends: no order of it is sent any more.
func (p *Pool) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sizes, p.table, p.next = nil, nil, 0
	for name := range p.links {
		p.drop(name, (*link).close)
	}
}

// Heard notes an entry that could make calls.
func (p *Pool) Heard(name, addr, zone string, place int) {
	if name == "" || name == p.self {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.known[name]
	if c.Addr != "" && c.Addr != addr {
		c.ExcludedUntil = 0
		p.drop(name, (*link).close)
	}
	p.known[name] = fanout.Candidate{Name: name, Addr: addr, Zone: zone, Rank: place, LastSeen: p.clk.Now(), ExcludedUntil: c.ExcludedUntil}
}

// Left notes that an entry stops: it gets no new orders.
func (p *Pool) Left(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.known[name]; ok {
		delete(p.known, name)
		p.next = 0
	}
}

// Size says how many executors each zone has.
func (p *Pool) Size(zones map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !maps.Equal(p.sizes, zones) {
		p.sizes, p.next = zones, 0
	}
}

// route returns the link to the entry that calls an executor, or nil if this one does.
func (p *Pool) route(to platform.To) (*link, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sizes) == 0 || p.closed {
		return nil, ""
	}
	if now := p.clk.Now(); now >= p.next {
		p.next = now + chooseEvery
		p.choose(now)
		maps.DeleteFunc(p.detours, func(_ string, until time.Duration) bool { return now > until })
	}
	if _, ok := p.detours[to.ID]; ok {
		return nil, ""
	}
	c, ok := p.table.For(to.Zone, to.ID)
	if !ok {
		return nil, ""
	}
	l := p.links[c.Name]
	if l == nil {
		l = newLink(p.ctx, p.clk, func(ctx context.Context) (Way, error) { return p.open(ctx, c.Addr) })
		p.links[c.Name] = l
	}
	return l, c.Name
}

// choose makes a new table. The caller holds mu.
func (p *Pool) choose(now time.Duration) {
	p.table = p.chooser.Choose(p.sizes, slices.Collect(maps.Values(p.known)), now)
	used := map[string]bool{}
	for _, cs := range p.table {
		for _, c := range cs {
			used[c.Name] = true
		}
	}
	changed := false
	for name := range p.links {
		if !used[name] {
			changed = true
			p.drop(name, (*link).retire)
		}
	}
	for name := range used {
		changed = changed || p.links[name] == nil
	}
	if changed {
		p.log.Info().Strs("entries", slices.Sorted(maps.Keys(used))).Int("zones", len(p.table)).Msg("entries make calls to executors")
	}
}

// drop takes a link out of use and has it ended. The caller holds mu.
func (p *Pool) drop(name string, end func(*link)) {
	l := p.links[name]
	if l == nil {
		return
	}
	delete(p.links, name)
	p.ended.Go(func() { end(l) })
}

// blame leaves an entry alone that does not answer.
func (p *Pool) blame(l *link, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[name] != l {
		return
	}
	c := p.known[name]
	c.ExcludedUntil = p.clk.Now() + fanout.ExclusionTime
	p.known[name] = c
	p.next = 0
	p.drop(name, (*link).close)
	p.log.Warn().Str("peer", name).Msg("entry that makes calls to executors does not answer")
}

// through has an order carried out by another entry. It returns false if it certainly was
// not, so that this entry makes the call itself.
func (p *Pool) through(ctx context.Context, to platform.To, w *waiting) (*workpb.Outcome, error, bool) {
	l, name := p.route(to)
	if l == nil {
		return nil, nil, false
	}
	w.reply = make(chan *workpb.Outcome, 1)
	w.until = p.clk.Now() + time.Hour
	if end, ok := ctx.Deadline(); ok {
		w.until = p.clk.Now() + time.Until(end)
	}
	o, sent, bad := l.call(ctx, w)
	if bad {
		p.blame(l, name)
	}
	switch {
	case o != nil:
		return o, outcomeError(o), true
	case sent:
		return &workpb.Outcome{}, unanswered(name), true
	case ctx.Err() != nil:
		return &workpb.Outcome{}, &platform.OrderError{Reason: platform.ReasonLate}, true
	}
	return nil, nil, false
}

// Start starts a run, as platform.Client does.
func (p *Pool) Start(ctx context.Context, to platform.To, s platform.Start) (time.Duration, error) {
	o := newOrder(kindStart, to)
	o.Task, o.Attempt, o.Deadline, o.Saved, o.Ticket = s.Task.String(), uint32(s.Attempt), s.Deadline.Milliseconds(), s.Saved, s.Ticket
	if out, err, ok := p.through(ctx, to, &waiting{order: o, job: s.Task.Job, spec: s.Spec}); ok {
		return time.Duration(out.GetClock()) * time.Microsecond, err
	}
	return p.direct.Start(ctx, to, s)
}

// Stop stops a run, as platform.Client does.
func (p *Pool) Stop(ctx context.Context, to platform.To, t model.TaskID, attempt int) error {
	o := newOrder(kindStop, to)
	o.Task, o.Attempt = t.String(), uint32(attempt)
	if _, err, ok := p.through(ctx, to, &waiting{order: o}); ok {
		return err
	}
	return p.direct.Stop(ctx, to, t, attempt)
}

// Hold looks at an executor, as platform.Client does.
func (p *Pool) Hold(ctx context.Context, to platform.To, deadline time.Duration, acked int64, wait time.Duration) (platform.Held, error) {
	o := newOrder(kindHold, to)
	o.Deadline, o.Acked, o.Wait = deadline.Milliseconds(), acked, uint32(wait.Milliseconds())
	out, err, ok := p.through(ctx, to, &waiting{order: o})
	if !ok {
		return p.direct.Hold(ctx, to, deadline, acked, wait)
	}
	if err != nil {
		if verdict(out.GetVerdict()) == verdictUnknown {
			p.detour(to)
		}
		return platform.Held{}, err
	}
	return heldOf(out), nil
}

// detour has an executor called directly for a while.
func (p *Pool) detour(to platform.To) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.detours) < detoursMost {
		p.detours[to.ID] = p.clk.Now() + detourFor
	}
}
