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
	// spareInterval is the time between two plans of moves.
	spareInterval = time.Second
	// defaultMoveTime is the assumed duration of a move until one was observed. The figures in
	// docs/fleet.md assume it.
	defaultMoveTime = 6 * time.Second
	// poolsPerInterval is the number of pools by which the time between two demand requests grows
	// by one spareInterval. A busy pool takes 16 bytes of a reply: with 8 entries and 30 pools, a
	// reply of each member every second would exceed the bandwidth of 3 KB/s that an entry may use.
	poolsPerInterval = 16
	// maxDemandInterval is the longest time between two demand requests. A member's reported demand
	// is valid for 5 s.
	maxDemandInterval = 3 * time.Second
	// ownSparePool stands for each instance's own spare pool in the input of the policy, which
	// handles a single one. No real pool has this name.
	ownSparePool = ""
)

// spareTracker holds what the planner has observed about spare instances since it took over.
type spareTracker struct {
	model         *spare.Model
	moveTimes     spare.MoveTimes
	movesUnderWay moveTracker
	idle          idleTracker
	// pending holds the moves whose drain may not be in the state yet, by instance.
	pending           map[string]pendingMove
	plannedAt         time.Duration // time of the last plan
	demandRequestedAt time.Duration // time of the last demand request
}

// pendingMove is a move that was appended for a version of its instance.
type pendingMove struct {
	target  string
	version uint64
	at      time.Duration
}

func newSpareTracker(now time.Duration) *spareTracker {
	return &spareTracker{
		model:             spare.NewModel(),
		movesUnderWay:     moveTracker{},
		idle:              newIdleTracker(),
		pending:           map[string]pendingMove{},
		plannedAt:         now - spareInterval,
		demandRequestedAt: now - maxDemandInterval,
	}
}

// runSpares moves spare instances as the policy decides. Without a spare pool it does nothing.
func (p *Planner) runSpares(ctx context.Context, st *state.State) {
	if !hasSpare(st) {
		p.spares = nil
		return
	}
	now := p.Clock.Now()
	if p.spares == nil {
		p.spares = newSpareTracker(now)
		p.spares.movesUnderWay.adopt(st)
	}
	s := p.spares
	for _, d := range s.movesUnderWay.observe(now, st) {
		s.moveTimes.Add(d)
		p.Scope.Timer("spare_trip").Record(d)
	}
	if now-s.demandRequestedAt >= demandInterval(st) {
		// The replies are available in the next step.
		s.demandRequestedAt = now
		p.Control.RequestDemand()
		return
	}
	if now-s.plannedAt < spareInterval {
		return
	}
	s.plannedAt = now
	s.expirePending(now, st)
	in := s.policyInput(now, st, p.Control.Demand(ctx))
	in.MoveTime = s.moveTimes.Estimate(defaultMoveTime)
	in.Weights = p.Weights
	s.model.Observe(now, in.Pools)
	s.idle.observe(now, in.Pools)
	moves := s.model.Plan(in).Moves
	moves = append(moves, s.idle.planReturns(in, moves)...)
	for _, m := range moves {
		p.appendMove(ctx, st, m)
	}
}

// demandInterval returns the time between two demand requests.
func demandInterval(st *state.State) time.Duration {
	n := 0
	for range st.Pools() {
		n++
	}
	return min(time.Duration(1+n/poolsPerInterval)*spareInterval, maxDemandInterval)
}

func hasSpare(st *state.State) bool {
	for pool := range st.Pools() {
		if pool.Spare {
			return true
		}
	}
	return false
}

// expirePending removes the moves that are settled or have timed out, so that a refused move is
// planned again.
func (s *spareTracker) expirePending(now time.Duration, st *state.State) {
	for name, o := range s.pending {
		i, ok := st.Instance(name)
		if !ok || i.Version != o.version || now-o.at >= submitTimeout {
			delete(s.pending, name)
		}
	}
}

// policyInput builds the observed part of the policy's input.
func (s *spareTracker) policyInput(now time.Duration, st *state.State, demand map[string]ctrl.Demand) spare.Input {
	in := spare.Input{Now: now, SparePool: ownSparePool}
	slots, ordered := map[string]int{}, map[string]int{}
	for i := range st.Instances() {
		if sparePoolOf(st, i) == "" {
			slots[i.Pool] += availableSlots(i)
			continue
		}
		inst, ok := toPolicyInstance(i)
		if o, found := s.pending[i.Name]; found {
			inst.Pool, inst.Moving = policyPool(i, o.target), true
			ordered[i.Pool]++
		}
		if ok {
			in.Instances = append(in.Instances, inst)
		}
	}
	wave := poolsInWaves(st)
	for pool := range st.Pools() {
		if pool.Spare {
			continue
		}
		d := demand[pool.Name]
		in.Pools = append(in.Pools, spare.Pool{
			Name:        pool.Name,
			Demand:      float64(d.Waiting + d.Running),
			Slots:       slots[pool.Name],
			DrainBudget: max(0, budgetRoom(st, pool)-ordered[pool.Name]),
			InWave:      wave[pool.Name],
		})
	}
	return in
}

// sparePoolOf returns the spare pool that an instance returns to, or "" if there is none.
func sparePoolOf(st *state.State, i *state.Instance) string {
	if pool, ok := st.Pool(i.Home); ok && pool.Spare {
		return i.Home
	}
	return ""
}

func availableSlots(i *state.Instance) int {
	if !i.IsAvailable() {
		return 0
	}
	return int(i.Slots)
}

// toPolicyInstance converts an instance for the policy. It returns false for one that can't be
// moved because it reboots or is not known to be up.
func toPolicyInstance(i *state.Instance) (spare.Instance, bool) {
	inst := spare.Instance{Name: i.Name, Pool: policyPool(i, i.Pool), Slots: int(i.Slots)}
	if i.Grant != nil && i.Grant.Target != "" {
		inst.Pool, inst.Moving = policyPool(i, i.Grant.Target), true
		return inst, true
	}
	return inst, i.IsAvailable()
}

// policyPool returns the name of a pool in the policy's input for an instance.
func policyPool(i *state.Instance, pool string) string {
	if pool == i.Home {
		return ownSparePool
	}
	return pool
}

// budgetRoom returns the number of further instances that the total budget of a pool allows to be
// unavailable, negative if it is exceeded. The limits of racks and data centres are checked for
// each move.
func budgetRoom(st *state.State, pool *state.Pool) int {
	return int(pool.Budget.Total) - int(st.PoolCount(pool.Name).Unavailable())
}

// poolsInWaves returns the pools in which a wave runs.
func poolsInWaves(st *state.State) map[string]bool {
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

// appendMove appends the drain of a move that the budget allows. A move that is refused or not
// settled is planned again from the state of a later interval.
func (p *Planner) appendMove(ctx context.Context, st *state.State, m spare.Move) {
	i, ok := st.Instance(m.Instance)
	if !ok {
		return
	}
	if scope, ok := st.BudgetAllows(i); !ok {
		p.Scope.Tagged(map[string]string{"scope": scope.String()}).Counter("spare_moves_held").Inc(1)
		return
	}
	target := m.To
	if target == ownSparePool {
		target = i.Home
	}
	p.spares.pending[i.Name] = pendingMove{target, i.Version, p.Clock.Now()}
	p.Scope.Tagged(map[string]string{"reason": reasonLabel(m.Reason)}).Counter("spare_moves").Inc(1)
	p.Logger.Info().Str("instance", i.Name).Str("from", i.Pool).Str("to", target).
		Str("reason", reasonLabel(m.Reason)).Msg("spare instance moves")
	p.append(ctx, "drain/"+i.Name, &recpb.Record{Body: &recpb.Record_Drain{Drain: &recpb.Drain{
		Edit: &recpb.Edit{Base: i.Version}, Name: i.Name, Target: target}}})
}

func reasonLabel(r spare.Reason) string {
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
