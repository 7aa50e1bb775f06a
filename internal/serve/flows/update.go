package flows

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/route"
)

// Target is an instance that may receive work.
type Target struct {
	route.Target
	// Boot is the highest known boot number.
	Boot uint64
	// Limit is the number of the instance's slots that this entry may use.
	Limit int
}

// PoolPlan is the configuration of one pool.
type PoolPlan struct {
	Name    string
	Shares  Shares
	Targets []Target
}

// Update puts a configuration into force. When it returns, no request is sent to an instance that
// the plan does not list, except those that InFlight already counts.
func (e *Engine) Update(plan []PoolPlan) {
	next := &table{services: map[string]*pool{}}
	keep := map[string]bool{}
	for _, pp := range plan {
		p := e.findOrAddPool(pp.Name)
		p.update(e.Clock.Now(), pp)
		keep[pp.Name] = true
		for service := range pp.Shares.Services {
			next.services[service] = p
		}
	}
	e.table.Store(next)
	for _, p := range e.allPools() {
		if !keep[p.name] {
			p.update(e.Clock.Now(), PoolPlan{Name: p.name})
			e.retire(p)
		}
	}
}

func (e *Engine) findOrAddPool(name string) *pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.pools[name]
	if !ok {
		p = newPool(name, e.Centre, e.limits)
		e.pools[name] = p
	}
	return p
}

// retire removes a pool that is no longer configured if it is idle. A later Update removes a busy
// one.
func (e *Engine) retire(p *pool) {
	d := p.demand()
	if d.Waiting+d.Running > 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pools, p.name)
}

func (p *pool) update(now time.Duration, plan PoolPlan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Configure(plan.Shares.Services, plan.Shares.Teams)
	targets := make([]route.Target, 0, len(plan.Targets))
	for _, t := range plan.Targets {
		targets = append(targets, t.Target)
	}
	p.router.SetTargets(now, targets)
	p.targetCount = len(targets)
	for _, t := range plan.Targets {
		p.recordBoot(t)
		p.router.SetLimit(t.Name, t.Limit)
	}
	p.wakeWaiters()
	p.dispatch(now)
}

// recordBoot ends the leaving state of an instance that has a new boot number.
func (p *pool) recordBoot(t Target) {
	if old, ok := p.bootNumbers[t.Name]; ok && t.Boot > old {
		p.router.MarkReturned(t.Name)
	}
	p.bootNumbers[t.Name] = t.Boot
}

// SetLimits sets the number of slots that this entry may use at instances.
func (e *Engine) SetLimits(limits map[string]int) {
	for _, p := range e.allPools() {
		p.setLimits(e.Clock.Now(), limits)
	}
}

func (p *pool) setLimits(now time.Duration, limits map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, n := range limits {
		if _, ok := p.bootNumbers[name]; ok {
			p.router.SetLimit(name, n)
		}
	}
	p.wakeWaiters()
	p.dispatch(now)
}
