package plans

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/spare"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// spareInterval is how often demand is observed and moves are planned.
	spareInterval = time.Second
	// firstTrip is the assumed time of a move until one was observed. The figures in
	// docs/fleet.md were made with it.
	firstTrip = 6 * time.Second
	// askPools is the number of pools for which members are asked for their demand at
	// each interval. A busy pool takes 16 bytes of a reply: with 8 entries and 30 pools,
	// a reply of each member every second would exceed the 3 KB/s of an entry.
	askPools = 16
	// askLimit is the longest time between two asks. A member's demand counts for 5 s.
	askLimit = 3 * time.Second
	// home is the name of every instance's own spare pool in the input of the policy,
	// which knows a single one. No pool has this name.
	home = ""
)

// spareWatch holds what the planner has observed since it took over.
type spareWatch struct {
	model *spare.Model
	times spare.Times
	trips tripWatch
	quiet quietWatch
	// orders holds the moves whose drain may not be in the state yet, by instance.
	orders map[string]moveOrder
	last   time.Duration // of the last plan
	asked  time.Duration // when members were last asked for their demand
}

// moveOrder is a move that was appended for a version of its instance.
type moveOrder struct {
	target  string
	version uint64
	at      time.Duration
}

func newSpareWatch(now time.Duration) *spareWatch {
	return &spareWatch{
		model:  spare.NewModel(),
		trips:  tripWatch{},
		quiet:  newQuietWatch(),
		orders: map[string]moveOrder{},
		last:   now - spareInterval,
		asked:  now - askLimit,
	}
}

// runSpares moves spare instances as the policy decides. Without a spare pool it does
// nothing.
func (p *Planner) runSpares(ctx context.Context, st *state.State) {
	if !hasSpare(st) {
		p.spares = nil
		return
	}
	now := p.Clock.Now()
	if p.spares == nil {
		p.spares = newSpareWatch(now)
		p.spares.trips.adopt(st)
	}
	s := p.spares
	for _, d := range s.trips.see(now, st) {
		s.times.Add(d)
		p.Scope.Timer("spare_trip").Record(d)
	}
	if now-s.asked >= askInterval(st) {
		// The answers are there at the next step.
		s.asked = now
		p.Control.AskDemand()
		return
	}
	if now-s.last < spareInterval {
		return
	}
	s.last = now
	s.expire(now, st)
	in := s.input(now, st, p.Control.Demand(ctx))
	in.Trip = s.times.Trip(firstTrip)
	in.Weights = p.Weights
	s.model.Observe(now, in.Pools)
	s.quiet.see(now, in.Pools)
	moves := s.model.Plan(in).Moves
	moves = append(moves, s.quiet.returns(in, moves)...)
	for _, m := range moves {
		p.move(ctx, st, m)
	}
}

// askInterval returns how often members are asked for their demand.
func askInterval(st *state.State) time.Duration {
	n := 0
	for range st.Pools() {
		n++
	}
	return min(time.Duration(1+n/askPools)*spareInterval, askLimit)
}

func hasSpare(st *state.State) bool {
	for pool := range st.Pools() {
		if pool.Spare {
			return true
		}
	}
	return false
}

// expire forgets the orders that are settled or have run out of time, so that a refused
// move is planned again.
func (s *spareWatch) expire(now time.Duration, st *state.State) {
	for name, o := range s.orders {
		i, ok := st.Instance(name)
		if !ok || i.Version != o.version || now-o.at >= submitTimeout {
			delete(s.orders, name)
		}
	}
}

// input fills the observed part of the policy's input.
func (s *spareWatch) input(now time.Duration, st *state.State, demand map[string]ctrl.Demand) spare.Input {
	in := spare.Input{Now: now, Spare: home}
	slots, ordered := map[string]int{}, map[string]int{}
	for i := range st.Instances() {
		if homeOf(st, i) == "" {
			slots[i.Pool] += ownSlots(i)
			continue
		}
		one, ok := spareInstance(i)
		if o, found := s.orders[i.Name]; found {
			one.Pool, one.Moving = policyPool(i, o.target), true
			ordered[i.Pool]++
		}
		if ok {
			in.Instances = append(in.Instances, one)
		}
	}
	wave := waving(st)
	for pool := range st.Pools() {
		if pool.Spare {
			continue
		}
		d := demand[pool.Name]
		in.Pools = append(in.Pools, spare.Pool{
			Name:   pool.Name,
			Demand: float64(d.Waiting + d.Running),
			Slots:  slots[pool.Name],
			Room:   max(0, room(st, pool)-ordered[pool.Name]),
			Wave:   wave[pool.Name],
		})
	}
	return in
}

// homeOf returns the spare pool that an instance returns to, empty if there is none.
func homeOf(st *state.State, i *state.Instance) string {
	if pool, ok := st.Pool(i.Home); ok && pool.Spare {
		return i.Home
	}
	return ""
}

func ownSlots(i *state.Instance) int {
	if !i.Available() {
		return 0
	}
	return int(i.Slots)
}

// spareInstance returns an instance as the policy sees it. It reports false for one that
// can't be moved because it reboots or is not known to be up.
func spareInstance(i *state.Instance) (spare.Instance, bool) {
	one := spare.Instance{Name: i.Name, Pool: policyPool(i, i.Pool), Slots: int(i.Slots)}
	if i.Grant != nil && i.Grant.Target != "" {
		one.Pool, one.Moving = policyPool(i, i.Grant.Target), true
		return one, true
	}
	return one, i.Available()
}

// policyPool returns the name of a pool in the policy's input for an instance.
func policyPool(i *state.Instance, pool string) string {
	if pool == i.Home {
		return home
	}
	return pool
}

// room returns the number of instances that the budget of a pool lets leave it now,
// negative if it is exceeded. The limits of racks and data centres are checked for each
// move.
func room(st *state.State, pool *state.Pool) int {
	return int(pool.Budget.Total) - int(st.PoolCount(pool.Name).Unavailable())
}

// waving returns the pools in which a wave runs.
func waving(st *state.State) map[string]bool {
	out := map[string]bool{}
	for w := range st.Waves() {
		if w.Phase != state.Running {
			continue
		}
		for _, name := range w.Pools {
			out[name] = true
		}
	}
	return out
}

// move appends the drain of a move that the budget allows. One that is refused or not
// settled is planned again from the state of a later interval.
func (p *Planner) move(ctx context.Context, st *state.State, m spare.Move) {
	i, ok := st.Instance(m.Instance)
	if !ok {
		return
	}
	if scope, ok := st.Allows(i); !ok {
		p.Scope.Tagged(map[string]string{"scope": scope.String()}).Counter("spare_moves_held").Inc(1)
		return
	}
	target := m.To
	if target == home {
		target = i.Home
	}
	p.spares.orders[i.Name] = moveOrder{target, i.Version, p.Clock.Now()}
	p.Scope.Tagged(map[string]string{"reason": reason(m.Reason)}).Counter("spare_moves").Inc(1)
	p.Logger.Info().Str("instance", i.Name).Str("from", i.Pool).Str("to", target).
		Str("reason", reason(m.Reason)).Msg("spare instance moves")
	p.append(ctx, "drain/"+i.Name, &recpb.Record{Body: &recpb.Record_Drain{Drain: &recpb.Drain{
		Edit: &recpb.Edit{Base: i.Version}, Name: i.Name, Target: target}}})
}

func reason(r spare.Reason) string {
	switch r.(type) {
	case *spare.Peak:
		return "peak"
	case *spare.Forecast:
		return "forecast"
	case *spare.Return:
		return "return"
	}
	return "unknown"
}
