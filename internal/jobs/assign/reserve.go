package assign

import (
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// idleWait and busyWait are how long capacity may be kept from a task that could use it at once, for the sake
	// of a better placement, while less than halfUsed of the pool's cores are in use, and otherwise. Waiting work
	// must not stand still for 3 s beside idle capacity.
	idleWait, busyWait = 2 * time.Second, 10 * time.Second
	halfUsed           = 0.5
)

// patience returns how long capacity may be kept from a task that could use it.
func (p *plan) patience() time.Duration {
	if p.maxWait == 0 {
		var used, all int64
		for _, m := range p.members {
			used, all = used+m.Used.Cores, all+m.Capacity.Cores
		}
		p.maxWait = busyWait
		if float64(used) < halfUsed*float64(all) {
			p.maxWait = idleWait
		}
	}
	return p.maxWait
}

// Freed returns what is expected to become free on an executor within a time.
type Freed func(m *execs.Member, within time.Duration) model.Amount

// Option changes a round of placement.
type Option func(*plan)

// WithFreed sets what is expected to become free. Otherwise all work that is not long-running counts as about
// to end.
func WithFreed(f Freed) Option { return func(p *plan) { p.freed = f } }

// fitsSoon reports whether a need will fit on an executor once the work there has ended that is expected to end
// soon.
func (p *plan) fitsSoon(need model.Amount, sl *slot) bool {
	return p.freed == nil || need.FitsIn(sl.free.Plus(p.freed(sl.m, p.patience())))
}

// reserve excludes an executor from the rest of the plan, so that a long-running task can start
// there later. Otherwise smaller tasks of less urgent jobs would take each core that becomes free.
// It chooses the executor with the most free capacity among those where the task may run and will soon fit. Where it
// fits only after work that takes long, it would keep the executor idle for as long. It returns false if there is none.
func (p *plan) reserve(s *track.Step, t *track.Task, placed map[string]int) bool {
	best := -1
	need := s.Reservation()
	for i, sl := range p.slots {
		if !canHost(s, sl.m, placed) || p.policy(s, sl.m) < Approved || p.mustAvoid(s, t, sl.m, placed) || !p.fitsSoon(need, sl) {
			continue
		}
		if best < 0 || need.Share(sl.free) < need.Share(p.slots[best].free) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	p.slots = slices.Delete(p.slots, best, best+1)
	return true
}
