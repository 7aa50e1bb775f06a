package spare

import (
	"slices"
	"time"
)

// planner holds one decision while it is being made.
type planner struct {
	m      *Model
	in     Input
	pools  map[string]Pool
	visits []visit
	// need is the number of slots that each visit still lacks.
	need []float64
	room map[string]int
	// end is the horizon of the plan.
	end time.Duration
}

// Plan returns the moves to order and the loans to make now.
func (m *Model) Plan(in Input) Plan {
	p := &planner{m: m, in: in, pools: make(map[string]Pool), room: make(map[string]int)}
	for _, pool := range in.Pools {
		p.pools[pool.Name] = pool
		p.room[pool.Name] = pool.Room
		p.visits = append(p.visits, m.visits(in.Now, pool)...)
	}
	slices.SortFunc(p.visits, func(a, b visit) int { return int(a.end - b.end) })
	p.need = make([]float64, len(p.visits))
	p.end = in.Now + in.Trip
	for i, v := range p.visits {
		p.need[i] = v.deficit
		p.end = max(p.end, v.end)
	}
	var out Plan
	for _, i := range p.order() {
		p.place(i, &out)
	}
	return out
}

// order returns the instances that serve a peak first, so that the others do not
// plan to relieve them.
func (p *planner) order() []Instance {
	s := slices.Clone(p.in.Instances)
	rank := func(i Instance) int {
		switch {
		case i.Pool == p.in.Spare:
			return 2
		case p.pools[i.Pool].Demand > float64(p.pools[i.Pool].Slots):
			return 0
		}
		return 1
	}
	slices.SortStableFunc(s, func(a, b Instance) int { return rank(a) - rank(b) })
	return s
}

// step is a visit in a chain: at the visit's pool, or lent from the spare pool.
type step struct {
	visit int // index of the visit
	value float64
	prev  int // index of the step before, -1 for none
	lent  bool
	from  time.Duration
}

// place finds the most valuable chain of visits for one instance, takes the first
// step of it and lowers what the visits lack by the instance's slots.
func (p *planner) place(i Instance, out *Plan) {
	start := p.in.Now
	if i.Moving {
		start += p.in.Trip / 2
	}
	steps := make([]step, 0, 2*len(p.visits))
	best, last := p.rest(i, i.Pool, start), -1
	for k := range p.visits {
		for _, lent := range []bool{false, true} {
			s := p.reach(i, steps, start, k, lent)
			if s.prev == none {
				continue
			}
			steps = append(steps, s)
			if v := s.value + p.rest(i, p.at(k, lent), p.visits[k].end); v > best {
				best, last = v, len(steps)-1
			}
		}
	}
	first := -1
	for k := last; k >= 0; k = steps[k].prev {
		n := steps[k].visit
		p.need[n] = max(0, p.need[n]-float64(i.Slots))
		first = k
	}
	if i.Moving {
		return
	}
	p.act(i, steps, first, out)
}

// none marks a step that can not be reached.
const none = -2

func (p *planner) at(k int, lent bool) string {
	if lent {
		return p.in.Spare
	}
	return p.visits[k].pool
}

// reach returns the best way to visit k after any earlier visit or from the start.
func (p *planner) reach(i Instance, steps []step, start time.Duration, k int, lent bool) step {
	v := p.visits[k]
	slots := min(float64(i.Slots), p.need[k])
	best := step{prev: none}
	if lent && !i.Lends || slots <= 0 {
		return best
	}
	at := p.at(k, lent)
	yield := p.in.Weights.Keep * v.confidence * slots
	if lent {
		yield *= p.in.Yield
	}
	consider := func(prev int, pool string, t time.Duration, value float64) {
		// Moving between pools to wait is not worth it: the next peak elsewhere ends
		// the wait, and one move for each peak is saved.
		if v.stay && pool != at && pool != p.in.Spare {
			return
		}
		arrive := max(v.start, t)
		if pool != at {
			arrive = max(v.start, t+p.in.Trip)
		}
		useful := v.useful(p.in.Now, arrive).Seconds()
		if useful <= 0 {
			return
		}
		// A forecast that fails leaves the instance idle.
		gain := yield - (1-v.confidence)*p.in.Weights.Buffer
		value += gain*useful - p.cost(i, pool, at, t, arrive)
		if best.prev == none || value > best.value {
			best = step{k, value, prev, lent, arrive}
		}
	}
	consider(-1, i.Pool, start, 0)
	for n := range steps {
		s := &steps[n]
		if s.visit != k {
			consider(n, p.at(s.visit, s.lent), p.visits[s.visit].end, s.value)
		}
	}
	return best
}

// cost returns the cost of being in pool a from t and useful in pool b from until.
func (p *planner) cost(i Instance, a, b string, t, until time.Duration) float64 {
	wait := until - t
	if a == b {
		return min(p.idle(i, a, wait), p.detour(i, a, wait))
	}
	wait -= p.in.Trip
	return p.move(i, a) + min(p.idle(i, a, wait), p.detour(i, a, wait))
}

// idle returns the cost of waiting in a pool.
func (p *planner) idle(i Instance, pool string, wait time.Duration) float64 {
	if wait <= 0 || pool == p.in.Spare && !i.Lends {
		return 0
	}
	return p.in.Weights.Buffer * wait.Seconds()
}

// detour returns the cost of spending the wait in the spare pool.
func (p *planner) detour(i Instance, pool string, wait time.Duration) float64 {
	if pool == p.in.Spare || wait < 2*p.in.Trip {
		return p.idle(i, pool, wait) + 1
	}
	return 2 * p.move(i, pool)
}

// move returns the cost of a move out of a pool.
func (p *planner) move(i Instance, from string) float64 {
	w := p.in.Weights
	c := w.Move + w.Buffer*p.in.Trip.Seconds()
	if p.pools[from].Wave {
		c += w.Rollout * p.in.Trip.Seconds()
	}
	return c
}

// rest returns the value of the time after the last visit until the horizon.
func (p *planner) rest(i Instance, pool string, t time.Duration) float64 {
	if pool == p.in.Spare && !i.Lends {
		return 0
	}
	stay := -p.idle(i, pool, p.end-t)
	if pool == p.in.Spare {
		return stay
	}
	return max(stay, -p.move(i, pool))
}

// act turns the first step of a chain into a move, a loan or nothing.
func (p *planner) act(i Instance, steps []step, first int, out *Plan) {
	now := p.in.Now
	to, from, reason := p.in.Spare, p.end, Reason(nil)
	if first >= 0 {
		s := steps[first]
		v := p.visits[s.visit]
		to, from = p.at(s.visit, s.lent), s.from
		if s.lent && i.Pool == p.in.Spare {
			if v.start <= now {
				out.Loans = append(out.Loans, Loan{i.Name, v.pool})
			}
			return
		}
		reason = &Forecast{In: v.start - now, Confidence: v.confidence}
		if v.present {
			reason = &Peak{Remaining: v.end - now}
		}
	}
	wait := from - now
	if first >= 0 && to != i.Pool && wait <= p.in.Trip {
		p.send(i, to, reason, out)
		return
	}
	here := p.pools[i.Pool]
	if i.Pool == p.in.Spare || here.Demand > float64(here.Slots) {
		return
	}
	idle := p.idle(i, i.Pool, wait)
	back := p.detour(i, i.Pool, wait)
	if first < 0 {
		back = p.move(i, i.Pool)
	}
	// As with renting or buying, an instance returns only after it was idle for as
	// long as the move costs: at worst that doubles the cost of a perfect forecast.
	spent := p.idle(i, i.Pool, p.m.idle(now, i.Pool))
	if back < idle && spent >= p.move(i, i.Pool) {
		p.send(i, p.in.Spare, &Return{Idle: wait}, out)
	}
}

// send orders a move unless the budget of the pool allows none.
func (p *planner) send(i Instance, to string, r Reason, out *Plan) {
	if i.Pool != p.in.Spare {
		if p.room[i.Pool] <= 0 {
			return
		}
		p.room[i.Pool]--
	}
	out.Moves = append(out.Moves, Move{i.Name, i.Pool, to, r})
}
