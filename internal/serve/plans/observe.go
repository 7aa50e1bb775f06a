package plans

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// listInterval is how often the instance list is read.
	listInterval = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// probesPerStep bounds the probes of instances that look healthy, so that the
	// planner's traffic does not grow with the fleet.
	probesPerStep = 2
	// failedProbes is the number of failed probes in a row that make an instance down.
	failedProbes = 2
)

// listWatch is what the planner knows about instances beside the folded state.
type listWatch struct {
	read   time.Duration
	listed map[string]ports.Listed
	fails  map[string]int
	probes chan probed
	busy   map[string]bool
	cursor string
}

// probed is the end of a probe.
type probed struct {
	name    string
	boot    uint64
	ok      bool
	leaving bool
}

// maxProbes bounds the probes that run at a time.
const maxProbes = 16

func newListWatch() listWatch {
	return listWatch{
		listed: map[string]ports.Listed{},
		fails:  map[string]int{},
		probes: make(chan probed, maxProbes),
		busy:   map[string]bool{},
		read:   -time.Hour,
	}
}

// observe turns the instance list and probes into health records. An instance is up
// only if it is listed as live and answers a probe.
func (p *Planner) observe(ctx context.Context, st *state.State) {
	p.collect(ctx, st)
	now := p.Clock.Now()
	if now-p.list.read < listInterval {
		return
	}
	p.list.read = now
	list, err := p.Instances.List(ctx)
	if err != nil {
		p.Scope.Counter("list_failed").Inc(1)
		return
	}
	clear(p.list.listed)
	for _, l := range list {
		p.list.listed[l.Name] = l
	}
	for i := range st.Instances() {
		p.judge(ctx, i)
	}
	p.sample(ctx, st)
}

// judge records what the list says about an instance, or probes it.
func (p *Planner) judge(ctx context.Context, i *state.Instance) {
	l, ok := p.list.listed[i.Name]
	live := ok && l.Phase == ports.Live
	if !live {
		p.down(ctx, i, max(l.Boot, i.Boot))
		return
	}
	if unsettled(i, l.Boot) {
		p.probe(ctx, i, l.Boot)
	}
}

// unsettled says whether an instance needs a record that it is up. One that was moved
// serves only once it is known to be up in its new pool.
func unsettled(i *state.Instance, boot uint64) bool {
	return i.Health != state.Up || boot > i.Boot || i.Arriving()
}

// down records that an instance is not available, once.
func (p *Planner) down(ctx context.Context, i *state.Instance, boot uint64) {
	if i.Health == state.Down {
		return
	}
	p.append(ctx, "health/"+i.Name, &recpb.Record{Body: &recpb.Record_Health{
		Health: &recpb.Health{Name: i.Name, Boot: boot}}})
}

// sample probes a few instances that look healthy, in turn.
func (p *Planner) sample(ctx context.Context, st *state.State) {
	n := 0
	last := ""
	for i := range st.Instances() {
		if i.Name <= p.list.cursor || !i.Available() {
			continue
		}
		p.probe(ctx, i, i.Boot)
		last = i.Name
		if n++; n == probesPerStep {
			break
		}
	}
	p.list.cursor = last
}

func (p *Planner) probe(ctx context.Context, i *state.Instance, boot uint64) {
	if p.list.busy[i.Name] || len(p.list.busy) >= maxProbes {
		return
	}
	p.list.busy[i.Name] = true
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		leaving, err := p.Endpoint.Probe(ctx, i.Addr)
		p.list.probes <- probed{name: i.Name, boot: boot, ok: err == nil, leaving: leaving}
	}()
}

// collect takes in the probes that have ended.
func (p *Planner) collect(ctx context.Context, st *state.State) {
	for {
		select {
		case r := <-p.list.probes:
			delete(p.list.busy, r.name)
			if i, ok := st.Instance(r.name); ok {
				p.ended(ctx, st, i, r)
			}
		default:
			return
		}
	}
}

func (p *Planner) ended(ctx context.Context, st *state.State, i *state.Instance, r probed) {
	if !r.ok || r.leaving {
		p.list.fails[i.Name]++
		if p.list.fails[i.Name] >= failedProbes || r.leaving {
			p.down(ctx, i, max(r.boot, i.Boot))
		}
		return
	}
	delete(p.list.fails, i.Name)
	if i.Phase == state.Restarting {
		p.returned(ctx, i, r.boot)
		return
	}
	if unsettled(i, r.boot) {
		p.append(ctx, "health/"+i.Name, &recpb.Record{Body: &recpb.Record_Health{
			Health: &recpb.Health{Name: i.Name, Up: true, Boot: r.boot}}})
	}
}

// returned ends a reboot once the list shows a new boot number and a probe answered.
func (p *Planner) returned(ctx context.Context, i *state.Instance, boot uint64) {
	if boot <= i.Grant.Boot {
		return
	}
	p.append(ctx, "back/"+i.Name, &recpb.Record{Body: &recpb.Record_Back{
		Back: &recpb.Back{Name: i.Name, Grant: i.Grant.Offset, Boot: boot}}})
}
