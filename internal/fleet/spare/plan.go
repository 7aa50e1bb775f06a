package spare

import (
	"slices"
	"time"
)

// planner holds the state of one decision.
type planner struct {
	m      *Model
	in     Input
	pools  map[string]Pool
	visits []visit
	// unmet is the number of slots that each visit still lacks.
	unmet       []float64
	drainBudget map[string]int
	// horizon is the end of the planned time.
	horizon time.Duration
}

// Plan returns the moves and slot grants to make now.
func (m *Model) Plan(in Input) Plan {
	p := &planner{m: m, in: in, pools: make(map[string]Pool), drainBudget: make(map[string]int)}
	for _, pool := range in.Pools {
		p.pools[pool.Name] = pool
		p.drainBudget[pool.Name] = pool.DrainBudget
		p.visits = append(p.visits, m.visits(in.Now, pool)...)
	}
	slices.SortFunc(p.visits, func(a, b visit) int { return int(a.end - b.end) })
	p.unmet = make([]float64, len(p.visits))
	p.horizon = in.Now + in.MoveTime
	for i, v := range p.visits {
		p.unmet[i] = v.deficit
		p.horizon = max(p.horizon, v.end)
	}
	var out Plan
	for _, i := range p.instanceOrder() {
		p.planInstance(i, &out)
	}
	return out
}

// instanceOrder returns the instances with those that serve a peak first, so that others
// are not planned for the same peak, and those in the spare pool last.
func (p *planner) instanceOrder() []Instance {
	s := slices.Clone(p.in.Instances)
	rank := func(i Instance) int {
		switch {
		case i.Pool == p.in.SparePool:
			return 2
		case p.pools[i.Pool].Demand > float64(p.pools[i.Pool].Slots):
			return 0
		}
		return 1
	}
	slices.SortStableFunc(s, func(a, b Instance) int { return rank(a) - rank(b) })
	return s
}

// step is a visit in a sequence: in the visit's pool, or by slots granted from the spare
// pool.
type step struct {
	visit   int // index of the visit
	value   float64
	prev    int // index of the step before, -1 for none
	granted bool
	arrival time.Duration
}

// planInstance finds the most valuable sequence of visits for one instance, applies its
// first step and subtracts the instance's slots from the unmet demand of the visits.
func (p *planner) planInstance(i Instance, out *Plan) {
	start := p.in.Now
	if i.Moving {
		start += p.in.MoveTime / 2
	}
	steps := make([]step, 0, 2*len(p.visits))
	best, last := p.finalValue(i, i.Pool, start), -1
	for k := range p.visits {
		for _, granted := range []bool{false, true} {
			s := p.bestStep(i, steps, start, k, granted)
			if s.prev == unreachable {
				continue
			}
			steps = append(steps, s)
			if v := s.value + p.finalValue(i, p.poolOf(k, granted), p.visits[k].end); v > best {
				best, last = v, len(steps)-1
			}
		}
	}
	first := -1
	for k := last; k >= 0; k = steps[k].prev {
		n := steps[k].visit
		p.unmet[n] = max(0, p.unmet[n]-float64(i.Slots))
		first = k
	}
	if i.Moving {
		return
	}
	p.apply(i, steps, first, out)
}

// unreachable is the prev of a step that can't be reached.
const unreachable = -2

func (p *planner) poolOf(k int, granted bool) string {
	if granted {
		return p.in.SparePool
	}
	return p.visits[k].pool
}

// bestStep returns the most valuable step to visit k from any earlier step or from the
// start. Its prev is unreachable if there is none.
func (p *planner) bestStep(i Instance, steps []step, start time.Duration, k int, granted bool) step {
	v := p.visits[k]
	slots := min(float64(i.Slots), p.unmet[k])
	best := step{prev: unreachable}
	if granted && !i.GrantsSlots || slots <= 0 {
		return best
	}
	at := p.poolOf(k, granted)
	yield := p.in.Weights.Keep * v.confidence * slots
	if granted {
		yield *= p.in.GrantYield
	}
	consider := func(prev int, pool string, t time.Duration, value float64) {
		// A move between pools only to wait does not pay: the next peak elsewhere ends the
		// wait. Staying saves one move for each peak.
		if v.waiting && pool != at && pool != p.in.SparePool {
			return
		}
		arrive := max(v.start, t)
		if pool != at {
			arrive = max(v.start, t+p.in.MoveTime)
		}
		useful := v.useful(p.in.Now, arrive).Seconds()
		if useful <= 0 {
			return
		}
		// If the forecast is wrong, the instance is idle.
		gain := yield - (1-v.confidence)*p.in.Weights.Buffer
		value += gain*useful - p.transitionCost(i, pool, at, t, arrive)
		if best.prev == unreachable || value > best.value {
			best = step{k, value, prev, granted, arrive}
		}
	}
	consider(-1, i.Pool, start, 0)
	for n := range steps {
		s := &steps[n]
		if s.visit != k {
			consider(n, p.poolOf(s.visit, s.granted), p.visits[s.visit].end, s.value)
		}
	}
	return best
}

// transitionCost returns the cost of being in pool a from t on and useful in pool b from
// until on.
func (p *planner) transitionCost(i Instance, a, b string, t, until time.Duration) float64 {
	wait := until - t
	if a == b {
		return min(p.idleCost(i, a, wait), p.detourCost(i, a, wait))
	}
	wait -= p.in.MoveTime
	return p.moveCost(i, a) + min(p.idleCost(i, a, wait), p.detourCost(i, a, wait))
}

// idleCost returns the cost of waiting in a pool.
func (p *planner) idleCost(i Instance, pool string, wait time.Duration) float64 {
	if wait <= 0 || pool == p.in.SparePool && !i.GrantsSlots {
		return 0
	}
	return p.in.Weights.Buffer * wait.Seconds()
}

// detourCost returns the cost of moving to the spare pool for the wait and back. If the wait
// is too short or the instance is there already, it is above the idle cost, so that the
// detour is never chosen.
func (p *planner) detourCost(i Instance, pool string, wait time.Duration) float64 {
	if pool == p.in.SparePool || wait < 2*p.in.MoveTime {
		return p.idleCost(i, pool, wait) + 1
	}
	return 2 * p.moveCost(i, pool)
}

// moveCost returns the cost of a move out of a pool.
func (p *planner) moveCost(i Instance, from string) float64 {
	w := p.in.Weights
	c := w.Move + w.Buffer*p.in.MoveTime.Seconds()
	if p.pools[from].InWave {
		c += w.Rollout * p.in.MoveTime.Seconds()
	}
	return c
}

// finalValue returns the value, at most 0, of the time from the last visit to the horizon.
func (p *planner) finalValue(i Instance, pool string, t time.Duration) float64 {
	if pool == p.in.SparePool && !i.GrantsSlots {
		return 0
	}
	stay := -p.idleCost(i, pool, p.horizon-t)
	if pool == p.in.SparePool {
		return stay
	}
	return max(stay, -p.moveCost(i, pool))
}

// apply turns the first step of a sequence into a move, a slot grant or nothing.
func (p *planner) apply(i Instance, steps []step, first int, out *Plan) {
	now := p.in.Now
	to, from, reason := p.in.SparePool, p.horizon, Reason(nil)
	if first >= 0 {
		s := steps[first]
		v := p.visits[s.visit]
		to, from = p.poolOf(s.visit, s.granted), s.arrival
		if s.granted && i.Pool == p.in.SparePool {
			if v.start <= now {
				out.SlotGrants = append(out.SlotGrants, SlotGrant{i.Name, v.pool})
			}
			return
		}
		reason = &Forecast{In: v.start - now, Confidence: v.confidence}
		if v.present {
			reason = &Peak{Remaining: v.end - now}
		}
	}
	wait := from - now
	if first >= 0 && to != i.Pool && wait <= p.in.MoveTime {
		p.orderMove(i, to, reason, out)
		return
	}
	here := p.pools[i.Pool]
	if i.Pool == p.in.SparePool || here.Demand > float64(here.Slots) {
		return
	}
	idle := p.idleCost(i, i.Pool, wait)
	back := p.detourCost(i, i.Pool, wait)
	if first < 0 {
		back = p.moveCost(i, i.Pool)
	}
	// An instance returns only after its idle time has cost as much as the move. This is
	// the break-even rule of the ski rental problem: the cost is at most twice that of a
	// perfect forecast.
	spent := p.idleCost(i, i.Pool, p.m.timeSincePeak(now, i.Pool))
	if back < idle && spent >= p.moveCost(i, i.Pool) {
		p.orderMove(i, p.in.SparePool, &Return{Idle: wait}, out)
	}
}

// orderMove adds a move to the plan unless the budget of the instance's pool allows none.
func (p *planner) orderMove(i Instance, to string, r Reason, out *Plan) {
	if i.Pool != p.in.SparePool {
		if p.drainBudget[i.Pool] <= 0 {
			return
		}
		p.drainBudget[i.Pool]--
	}
	out.Moves = append(out.Moves, Move{i.Name, i.Pool, to, r})
}
