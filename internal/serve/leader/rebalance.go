package leader

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/maint"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/scale"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// recordArrival records the work of an accepted job at the time of its acceptance, which was before
// this leader's term for loaded jobs.
func (l *Leader) recordArrival(j *track.Job) {
	work := scale.Work{}
	span := j.Spec.LongestChain(func(i int) time.Duration {
		s := &j.Spec.Steps[i]
		if s.LongRunning || s.BestEffort {
			return 0
		}
		add := s.Reservation().Scale(float64(s.Count) * s.Estimate.Seconds())
		work[s.Label] = work[s.Label].Plus(add)
		return s.Estimate
	})
	service := l.queueOf(j).Service
	if l.fleet.arrivals[service] == nil {
		l.fleet.arrivals[service] = &scale.Arrivals{}
	}
	l.fleet.arrivals[service].Record(work, span, l.now-max(0, l.wall-j.Accepted))
}

// demand returns the capacity that each service's work needs, by label.
func (l *Leader) demand() map[string]scale.Demand {
	out := map[string]scale.Demand{}
	demandOf := func(service string) scale.Demand {
		if out[service] == nil {
			out[service] = scale.Demand{}
		}
		return out[service]
	}
	for s, as := range l.fleet.arrivals {
		d := demandOf(s)
		for label, need := range as.Need(l.now) {
			d[label] = scale.Load{Arrivals: need}
		}
	}
	sizes := l.sizes()
	waiting := map[workKind]time.Duration{}
	for _, j := range l.tracker.Active() {
		s := l.queueOf(j).Service
		d := demandOf(s)
		for _, o := range j.Open {
			for _, st := range o.Steps {
				if !sizes.canFit(st) {
					continue // no instance can run it, so it must not attract any
				}
				if st.Label != "" {
					l.fleet.neededLabels[st.Label] = true
				}
				// Its account's limit keeps its tasks waiting, not the pool.
				addDemand(d, st, l.isAtLimit(st))
				if l.takesCapacity(st) {
					kind := workKind{s, st.Label, st.LongRunning}
					waiting[kind] = growAfter
					if st.LongRunning {
						waiting[kind] = growAfterLongRunning
					}
				}
			}
		}
	}
	for kind := range l.fleet.waitingSince {
		if _, ok := waiting[kind]; !ok {
			delete(l.fleet.waitingSince, kind)
		}
	}
	for kind, after := range waiting {
		if _, ok := l.fleet.waitingSince[kind]; !ok {
			l.fleet.waitingSince[kind] = l.now
		}
		if l.now > l.fleet.waitingSince[kind]+after {
			d := out[kind.service]
			load := d[kind.label]
			load.NeedsInstance = true
			d[kind.label] = load
		}
	}
	return out
}

// workKind is a kind of work: its service, the label that it needs (empty for none), and whether it
// is long-running.
type workKind struct {
	service, label string
	longRunning    bool
}

// sizes is the set of instance capacities by label; all instances are under the empty label.
type sizes map[string]map[model.Amount]bool

func (l *Leader) sizes() sizes {
	out := sizes{}
	add := func(label string, size model.Amount) {
		if out[label] == nil {
			out[label] = map[model.Amount]bool{}
		}
		out[label][size] = true
	}
	for _, in := range l.fleet.instances {
		add("", in.Capacity)
		for _, label := range in.Labels {
			add(label, in.Capacity)
		}
	}
	return out
}

// canFit reports whether any instance could run a task of a step if nothing else ran there.
func (s sizes) canFit(st *track.Step) bool {
	for size := range s[st.Label] {
		if st.Reservation().FitsIn(size) {
			return true
		}
	}
	return false
}

const (
	// growAfter is how long tasks may wait for capacity until their pool gets another instance,
	// even if it has enough free cores in total: large tasks leave gaps too small for another.
	growAfter = 300 * time.Millisecond
	// growAfterLongRunning is the same for long-running tasks. It is longer, since ending work
	// frees capacity within about that time, and they occupy an instance permanently.
	growAfterLongRunning = 1500 * time.Millisecond
)

// addDemand adds the demand of a step. If it is at its account's limit, its waiting tasks need nothing.
func addDemand(d scale.Demand, st *track.Step, atLimit bool) {
	if atLimit && !st.LongRunning {
		return
	}
	waiting := 0
	for _, t := range st.Tasks {
		if t.IsWaiting() {
			waiting++
		}
	}
	load := d[st.Label]
	switch {
	case st.LongRunning:
		n := st.Count
		if atLimit {
			n -= waiting
		}
		load.LongRunning = load.LongRunning.Plus(st.Reservation().Times(int64(n)))
		if st.MaxPerExecutor > 0 {
			load.MinInstances = max(load.MinInstances, (n+st.MaxPerExecutor-1)/st.MaxPerExecutor)
		}
	case st.IsReady():
		load.Backlog = load.Backlog.Plus(st.Reservation().Scale(float64(waiting) * st.Estimate.Seconds()))
	}
	d[st.Label] = load
}

// incomingInstances counts the instances on their way into each pool, by label; the empty label
// counts all of them. An instance stays incoming until its operation ends: the platform lists it
// in its new pool as soon as the move begins.
func (l *Leader) incomingInstances() map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, op := range l.fleet.operations {
		if op.pool == "" {
			continue
		}
		if out[op.pool] == nil {
			out[op.pool] = map[string]int{}
		}
		out[op.pool][""]++
		for _, label := range l.fleet.instances[op.instance].Labels {
			out[op.pool][label]++
		}
	}
	return out
}

// rebalancePools starts moves of instances to the pools that need them.
func (l *Leader) rebalancePools(instances map[string]maint.Instance) {
	c := l.Orders.Config()
	if c == nil {
		return
	}
	demand := l.demand()
	incoming := l.incomingInstances()
	var pools []scale.Pool
	for _, s := range c.Services {
		pools = append(pools, scale.Pool{Name: s.Name, Standby: s.Standby, Demand: demand[s.Name], Incoming: incoming[s.Name]})
	}
	rare := l.rarity()
	var list []scale.Instance
	for name, in := range instances {
		if l.fleet.operations[name] != nil {
			// A moving instance counts as incoming; one in maintenance does not count.
			continue
		}
		m := l.memberOn(in.Instance)
		ready := m != nil && m.CanAcceptTasks(l.now) && m.startsInFlight == 0 && in.Phase == model.Up
		list = append(list, scale.Instance{
			Name: name, Pool: in.Pool, Labels: in.Labels, Size: in.Capacity, LongRunning: in.LongRunning, BusyCores: in.BusyCores,
			ExcludedPools: l.fleet.refusedPools[name], Rarity: rare.Of(in.Labels),
			Free: in.Free && (ready || in.Standby && in.Phase != model.Moving && in.Phase != model.Maintenance && in.Phase != model.Down),
		})
	}
	for _, mv := range l.fleet.planner.Plan(pools, list, l.now) {
		l.beginOperation(&operation{instance: mv.Instance, pool: mv.Pool, since: l.now})
	}
}
