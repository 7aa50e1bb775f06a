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
	// assignInterval is the time between assignments of executors to entries.
	assignInterval = 250 * time.Millisecond
	// directPeriod is how long the leader itself calls an executor that did not answer the assigned
	// entry: the network path between these two may be cut while the executor is healthy.
	directPeriod = 3 * time.Second
	// maxDirect bounds the executors that are called directly for that reason. If more do not
	// answer, they or the entry are overloaded, and calls by the leader would add to the load.
	maxDirect = 16
	// maxPeers bounds the entries that are remembered: any client can poll under new names. A deployment has at
	// most some 150.
	maxPeers = 1024
)

// Opener opens the stream to the entry at an address.
type Opener func(ctx context.Context, addr string) (ClientStream, error)

// Pool makes a leader's calls to executors, itself or, where there are many executors, through
// other entries. It is safe for concurrent use.
type Pool struct {
	direct Executors
	clk    clock.Clock
	log    zerolog.Logger
	self   string
	open   Opener
	ctx    context.Context

	mu          sync.Mutex
	chooser     fanout.Chooser
	peers       map[string]fanout.Candidate
	centreSizes map[string]int
	callers     fanout.Callers
	nextAssign  time.Duration
	links       map[string]*link
	directUntil map[string]time.Duration // end of the direct calls to an executor, by its id
	closing     sync.WaitGroup
	closed      bool
}

// New returns a pool for the entry named self. Streams end with the context or Close.
func New(ctx context.Context, direct Executors, clk clock.Clock, log zerolog.Logger, self string, open Opener) *Pool {
	return &Pool{
		direct: direct, clk: clk, log: log, self: self, open: open, ctx: ctx,
		peers: map[string]fanout.Candidate{}, links: map[string]*link{}, directUntil: map[string]time.Duration{},
	}
}

// Close ends all streams and waits for them.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	ls := slices.Collect(maps.Values(p.links))
	clear(p.links)
	p.mu.Unlock()
	for _, l := range ls {
		l.close()
	}
	p.closing.Wait()
}

// Reset ends all streams when this entry stops leading, so that none of its orders is sent any
// more.
func (p *Pool) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.centreSizes, p.callers, p.nextAssign = nil, nil, 0
	for name := range p.links {
		p.removeLink(name, (*link).close)
	}
}

// RecordPeer records an entry that can make calls. rank is its rank as a candidate for leader.
func (p *Pool) RecordPeer(name, addr, centre string, rank int) {
	if name == "" || name == p.self {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.peers[name]
	if !ok && len(p.peers) >= maxPeers {
		p.forgetOldest()
	}
	if c.Addr != "" && c.Addr != addr {
		c.ExcludedUntil = 0
		p.removeLink(name, (*link).close)
	}
	p.peers[name] = fanout.Candidate{Name: name, Addr: addr, Centre: centre, Rank: rank, LastSeen: p.clk.Now(), ExcludedUntil: c.ExcludedUntil}
}

// forgetOldest forgets the entry that has not been recorded for the longest time. The caller holds mu.
func (p *Pool) forgetOldest() {
	oldest := ""
	for name, c := range p.peers {
		if oldest == "" || c.LastSeen < p.peers[oldest].LastSeen {
			oldest = name
		}
	}
	delete(p.peers, oldest)
}

// RemovePeer removes an entry that is stopping, so that it gets no new orders.
func (p *Pool) RemovePeer(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.peers[name]; ok {
		delete(p.peers, name)
		p.nextAssign = 0
	}
}

// SetCentreSizes sets the number of executors of each data centre.
func (p *Pool) SetCentreSizes(centres map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !maps.Equal(p.centreSizes, centres) {
		p.centreSizes, p.nextAssign = centres, 0
	}
}

// route returns the link to the entry that is assigned to an executor and that entry's name, or nil
// if this entry calls the executor itself.
func (p *Pool) route(to platform.Target) (*link, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.centreSizes) == 0 || p.closed {
		return nil, ""
	}
	if now := p.clk.Now(); now >= p.nextAssign {
		p.nextAssign = now + assignInterval
		p.assign(now)
		maps.DeleteFunc(p.directUntil, func(_ string, until time.Duration) bool { return now > until })
	}
	if _, ok := p.directUntil[to.ID]; ok {
		return nil, ""
	}
	c, ok := p.callers.For(to.Centre, to.ID)
	if !ok {
		return nil, ""
	}
	l := p.links[c.Name]
	if l == nil {
		l = newLink(p.ctx, p.clk, func(ctx context.Context) (ClientStream, error) { return p.open(ctx, c.Addr) })
		p.links[c.Name] = l
	}
	return l, c.Name
}

// Caller returns the name of the entry that makes the calls to an executor.
func (p *Pool) Caller(to platform.Target) string {
	if _, name := p.route(to); name != "" {
		return name
	}
	return p.self
}

// assign chooses the entries that call the executors of each data centre. The caller holds mu.
func (p *Pool) assign(now time.Duration) {
	p.callers = p.chooser.Choose(p.centreSizes, slices.Collect(maps.Values(p.peers)), now)
	used := map[string]bool{}
	for _, cs := range p.callers {
		for _, c := range cs {
			used[c.Name] = true
		}
	}
	changed := false
	for name := range p.links {
		if !used[name] {
			changed = true
			p.removeLink(name, (*link).retire)
		}
	}
	for name := range used {
		changed = changed || p.links[name] == nil
	}
	if changed {
		p.log.Info().Strs("entries", slices.Sorted(maps.Keys(used))).Int("zones", len(p.callers)).Msg("entries make calls to executors")
	}
}

// removeLink removes a link and closes it in the background. The caller holds mu.
func (p *Pool) removeLink(name string, closeLink func(*link)) {
	l := p.links[name]
	if l == nil {
		return
	}
	delete(p.links, name)
	p.closing.Go(func() { closeLink(l) })
}

// exclude excludes an unresponsive entry from assignments for fanout.ExclusionTime.
func (p *Pool) exclude(l *link, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[name] != l {
		return
	}
	c := p.peers[name]
	c.ExcludedUntil = p.clk.Now() + fanout.ExclusionTime
	p.peers[name] = c
	p.nextAssign = 0
	p.removeLink(name, (*link).close)
	p.log.Warn().Str("peer", name).Msg("entry that makes calls to executors does not answer")
}

// forward has an order carried out by another entry. It returns false if the order was certainly
// not sent, so that this entry can make the call itself.
func (p *Pool) forward(ctx context.Context, to platform.Target, po *pendingOrder) (*workpb.Outcome, error, bool) {
	l, name := p.route(to)
	if l == nil {
		return nil, nil, false
	}
	po.reply = make(chan *workpb.Outcome, 1)
	po.expires = p.clk.Now() + time.Hour
	if end, ok := ctx.Deadline(); ok {
		po.expires = p.clk.Now() + time.Until(end)
	}
	if po.until = po.expires; to.Expires > 0 {
		po.until = min(po.until, to.Expires)
	}
	if p.clk.Now() >= po.until {
		return &workpb.Outcome{}, &platform.OrderError{Reason: platform.ReasonLate}, true
	}
	o, sent, failed := l.call(ctx, po)
	if failed {
		p.exclude(l, name)
	}
	if o != nil {
		return o, outcomeError(o), true
	}
	switch fanout.FateOf(sent, ctx.Err() != nil) {
	case fanout.Unknown:
		return &workpb.Outcome{}, errUnanswered(name), true
	case fanout.Expired:
		return &workpb.Outcome{}, &platform.OrderError{Reason: platform.ReasonLate}, true
	case fanout.Unsent:
	}
	return nil, nil, false
}

// Start starts a run. It is equivalent to platform.Client.Start.
func (p *Pool) Start(ctx context.Context, to platform.Target, s platform.Start) (time.Duration, error) {
	o := newOrder(kindStart, to)
	o.Task, o.Attempt, o.Deadline, o.Saved, o.Ticket = s.Task.String(), uint32(s.Attempt), s.Deadline.Milliseconds(), s.Checkpoint, s.Ticket
	if out, err, ok := p.forward(ctx, to, &pendingOrder{order: o, job: s.Task.Job, spec: s.Spec}); ok {
		return clockOf(out), err
	}
	return p.direct.Start(ctx, to, s)
}

// Stop stops a run. It is equivalent to platform.Client.Stop.
func (p *Pool) Stop(ctx context.Context, to platform.Target, t model.TaskID, attempt int) error {
	o := newOrder(kindStop, to)
	o.Task, o.Attempt = t.String(), uint32(attempt)
	if _, err, ok := p.forward(ctx, to, &pendingOrder{order: o}); ok {
		return err
	}
	return p.direct.Stop(ctx, to, t, attempt)
}

// Poll polls an executor. It is equivalent to platform.Client.Poll.
func (p *Pool) Poll(ctx context.Context, to platform.Target, deadline time.Duration, acked int64, wait time.Duration) (platform.PollResult, error) {
	o := newOrder(kindPoll, to)
	o.Deadline, o.Acked, o.Wait = deadline.Milliseconds(), acked, uint32(wait.Milliseconds())
	out, err, ok := p.forward(ctx, to, &pendingOrder{order: o})
	if !ok {
		return p.direct.Poll(ctx, to, deadline, acked, wait)
	}
	if err != nil {
		if verdict(out.GetVerdict()) == verdictUnknown {
			p.callDirectly(to)
		}
		return platform.PollResult{}, err
	}
	return decodeLists(out), nil
}

// callDirectly has an executor called directly for directPeriod.
func (p *Pool) callDirectly(to platform.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.directUntil) < maxDirect {
		p.directUntil[to.ID] = p.clk.Now() + directPeriod
	}
}
