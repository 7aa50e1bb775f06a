package plans

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// listInterval is the time between two reads of the instance list.
	listInterval = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// probesPerList bounds the probes of healthy instances per read of the list, so that the
	// planner's traffic does not grow with the number of instances.
	probesPerList = 2
	// downAfterFailures is the number of consecutive failed probes after which an instance counts
	// as down.
	downAfterFailures = 2
)

// instanceTracker holds what the planner has observed about instances besides the folded state.
type instanceTracker struct {
	listedAt time.Duration
	listed   map[string]ports.Instance
	// failures counts the consecutive failed probes by instance.
	failures map[string]int
	results  chan probeResult
	probing  map[string]bool
	// cursor is the name of the available instance that was probed last.
	cursor string
}

// probeResult is the result of a probe.
type probeResult struct {
	name    string
	boot    uint64
	ok      bool
	leaving bool
}

// maxProbes bounds the concurrent probes.
const maxProbes = 16

func newInstanceTracker() instanceTracker {
	return instanceTracker{
		listed:   map[string]ports.Instance{},
		failures: map[string]int{},
		results:  make(chan probeResult, maxProbes),
		probing:  map[string]bool{},
		listedAt: -time.Hour,
	}
}

// observe turns the instance list and probes into health records. An instance is up only if it is
// listed as live and answers a probe.
func (p *Planner) observe(ctx context.Context, st *state.State) {
	p.collectProbes(ctx, st)
	now := p.Clock.Now()
	if now-p.observed.listedAt < listInterval {
		return
	}
	p.observed.listedAt = now
	list, err := p.Instances.List(ctx)
	if err != nil {
		p.Scope.Counter("list_failed").Inc(1)
		return
	}
	clear(p.observed.listed)
	for _, l := range list {
		p.observed.listed[l.Name] = l
	}
	for i := range st.Instances() {
		p.checkInstance(ctx, i)
	}
	p.probeSample(ctx, st)
}

// checkInstance records that an instance is down if it is not listed as live, and otherwise probes
// it if it needs an up record.
func (p *Planner) checkInstance(ctx context.Context, i *state.Instance) {
	l, ok := p.observed.listed[i.Name]
	live := ok && l.Phase == ports.Live
	if !live {
		p.recordDown(ctx, i, max(l.Boot, i.Boot))
		return
	}
	if needsUpRecord(i, l.Boot) {
		p.probe(ctx, i, l.Boot)
	}
}

// needsUpRecord reports whether an instance needs a record that it is up. An instance that was
// moved serves only once it is known to be up in its new pool.
func needsUpRecord(i *state.Instance, boot uint64) bool {
	return i.Health != state.Up || boot > i.Boot || i.IsArriving()
}

// recordDown records that an instance is down, unless the state has that already.
func (p *Planner) recordDown(ctx context.Context, i *state.Instance, boot uint64) {
	if i.Health == state.Down {
		return
	}
	p.append(ctx, "health/"+i.Name, &recpb.Record{Body: &recpb.Record_Health{
		Health: &recpb.Health{Name: i.Name, Boot: boot}}})
}

// probeSample probes a few available instances, in rotation by name.
func (p *Planner) probeSample(ctx context.Context, st *state.State) {
	n := 0
	last := ""
	for i := range st.Instances() {
		if i.Name <= p.observed.cursor || !i.IsAvailable() {
			continue
		}
		p.probe(ctx, i, i.Boot)
		last = i.Name
		if n++; n == probesPerList {
			break
		}
	}
	p.observed.cursor = last
}

func (p *Planner) probe(ctx context.Context, i *state.Instance, boot uint64) {
	if p.observed.probing[i.Name] || len(p.observed.probing) >= maxProbes {
		return
	}
	p.observed.probing[i.Name] = true
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		leaving, err := p.Endpoint.Probe(ctx, i.Addr)
		p.observed.results <- probeResult{name: i.Name, boot: boot, ok: err == nil, leaving: leaving}
	}()
}

// collectProbes processes the probes that have ended.
func (p *Planner) collectProbes(ctx context.Context, st *state.State) {
	for {
		select {
		case r := <-p.observed.results:
			delete(p.observed.probing, r.name)
			if i, ok := st.Instance(r.name); ok {
				p.handleProbe(ctx, st, i, r)
			}
		default:
			return
		}
	}
}

func (p *Planner) handleProbe(ctx context.Context, st *state.State, i *state.Instance, r probeResult) {
	if !r.ok || r.leaving {
		p.observed.failures[i.Name]++
		if p.observed.failures[i.Name] >= downAfterFailures || r.leaving {
			p.recordDown(ctx, i, max(r.boot, i.Boot))
		}
		return
	}
	delete(p.observed.failures, i.Name)
	if i.Phase == state.Restarting {
		p.recordReturn(ctx, i, r.boot)
		return
	}
	if needsUpRecord(i, r.boot) {
		p.append(ctx, "health/"+i.Name, &recpb.Record{Body: &recpb.Record_Health{
			Health: &recpb.Health{Name: i.Name, Up: true, Boot: r.boot}}})
	}
}

// recordReturn records the end of a reboot once the list shows a new boot number and a probe has
// succeeded.
func (p *Planner) recordReturn(ctx context.Context, i *state.Instance, boot uint64) {
	if boot <= i.Grant.Boot {
		return
	}
	p.append(ctx, "back/"+i.Name, &recpb.Record{Body: &recpb.Record_Back{
		Back: &recpb.Back{Name: i.Name, Grant: i.Grant.Offset, Boot: boot}}})
}
