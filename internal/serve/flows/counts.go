package flows

import "chervilgauge.example/chervilgauge/internal/flow/admit"

// PoolCounts holds the counts of one pool's queue and router.
type PoolCounts struct {
	Pool string
	// Listed is the number of endpoints, NotLeaving the number of those that are not leaving, and
	// Ejected the number of ejected ones among the latter.
	Listed, NotLeaving, Ejected int
	// Services holds the counts of the queue by service.
	Services map[string]admit.Counts
}

// Counts returns the counts of every pool.
func (e *Engine) Counts() []PoolCounts {
	var out []PoolCounts
	for _, p := range e.allPools() {
		out = append(out, p.counts())
	}
	return out
}

func (p *pool) counts() PoolCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := PoolCounts{Pool: p.name, Services: map[string]admit.Counts{}}
	c.Listed, c.NotLeaving, c.Ejected = p.router.TargetCounts()
	for name, one := range p.queue.ServiceCounts() {
		c.Services[name] = one
	}
	return c
}
