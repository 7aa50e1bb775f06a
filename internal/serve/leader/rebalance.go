package leader

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/shift"
	"chervilgauge.example/chervilgauge/internal/jobs/upkeep"
)

// arrival is work that came in: its room times its run time in seconds, by the label
// that it needs.
type arrival struct {
	at   time.Duration
	work map[string]model.Amount
}

// noteArrival counts work that came in.
func (l *Leader) noteArrival(j *book.Job) {
	work := map[string]model.Amount{}
	for i := range j.Work.Steps {
		s := &j.Work.Steps[i]
		if s.Lasts || s.Fills {
			continue
		}
		add := s.Room().Scale(float64(s.Count) * s.Estimate.Seconds())
		work[s.Label] = work[s.Label].Plus(add)
	}
	service := l.rules(j).Service
	l.duty.arrived[service] = append(l.duty.arrived[service], arrival{l.now, work})
}

// demand returns what each service's work asks for.
func (l *Leader) demand() map[string]shift.Demand {
	out := map[string]shift.Demand{}
	of := func(service string) shift.Demand {
		if out[service] == nil {
			out[service] = shift.Demand{}
		}
		return out[service]
	}
	for s, as := range l.duty.arrived {
		for len(as) > 0 && as[0].at < l.now-arrivalWindow {
			as = as[1:]
		}
		l.duty.arrived[s] = as
		d := of(s)
		for _, a := range as {
			for label, work := range a.work {
				load := d[label]
				load.Arrivals = load.Arrivals.Plus(work.Scale(1 / arrivalWindow.Seconds()))
				d[label] = load
			}
		}
	}
	sizes := l.sizes()
	waits := map[need]time.Duration{}
	for _, j := range l.book.Active() {
		s := l.rules(j).Service
		d := of(s)
		for _, o := range j.Open {
			for _, st := range o.Steps {
				if !sizes.fit(st) {
					continue // what can never be done must not draw instances
				}
				if st.Label != "" {
					l.duty.labels[st.Label] = true
				}
				addDemand(d, st)
				if st.IsReady() && hasWaiting(st) {
					n := need{s, st.Label, st.Lasts}
					waits[n] = moreAfter
					if st.Lasts {
						waits[n] = moreAfterLasting
					}
				}
			}
		}
	}
	for n := range l.duty.waits {
		if _, ok := waits[n]; !ok {
			delete(l.duty.waits, n)
		}
	}
	for n, after := range waits {
		if _, ok := l.duty.waits[n]; !ok {
			l.duty.waits[n] = l.now
		}
		if l.now > l.duty.waits[n]+after {
			d := out[n.service]
			load := d[n.label]
			load.More = true
			d[n.label] = load
		}
	}
	return out
}

// need is a kind of work: of a service, with a label that it needs, empty for none, and
// whether it lasts.
type need struct {
	service, label string
	lasts          bool
}

// sizes are the sizes of the instances by label, each size once.
type sizes map[string]map[model.Amount]bool

func (l *Leader) sizes() sizes {
	out := sizes{}
	add := func(label string, size model.Amount) {
		if out[label] == nil {
			out[label] = map[model.Amount]bool{}
		}
		out[label][size] = true
	}
	for _, in := range l.duty.fleet {
		add("", in.Capacity)
		for _, label := range in.Labels {
			add(label, in.Capacity)
		}
	}
	return out
}

// fit says whether any instance could run a task of a step if nothing else ran there.
func (s sizes) fit(st *book.Step) bool {
	for size := range s[st.Label] {
		if st.Room().Within(size) {
			return true
		}
	}
	return false
}

const (
	// moreAfter is how long tasks may wait for room until their pool gets another instance,
	// whatever its cores say: large tasks leave gaps that none of them fits into.
	moreAfter = 300 * time.Millisecond
	// moreAfterLasting is the same for tasks that last. Work that ends makes room within
	// about that time, and they hold an instance for good.
	moreAfterLasting = 1500 * time.Millisecond
)

func addDemand(d shift.Demand, st *book.Step) {
	waiting := 0
	for _, t := range st.Tasks {
		if t.IsWaiting() {
			waiting++
		}
	}
	load := d[st.Label]
	switch {
	case st.Lasts:
		load.Lasting = load.Lasting.Plus(st.Room().Times(int64(st.Count)))
		if st.Spread > 0 {
			load.Spread = max(load.Spread, (st.Count+st.Spread-1)/st.Spread)
		}
	case st.IsReady():
		load.Backlog = load.Backlog.Plus(st.Room().Scale(float64(waiting) * st.Estimate.Seconds()))
	}
	d[st.Label] = load
}

// shiftPools moves instances to where work is.
func (l *Leader) shiftPools(fleet map[string]upkeep.Instance) {
	c := l.Orders.Config()
	if c == nil {
		return
	}
	demand := l.demand()
	coming := map[string]map[string]int{}
	for _, e := range l.duty.errands {
		in := fleet[e.instance]
		if e.pool == "" || in.Pool == e.pool {
			continue
		}
		if coming[e.pool] == nil {
			coming[e.pool] = map[string]int{}
		}
		coming[e.pool][""]++
		for _, label := range in.Labels {
			coming[e.pool][label]++
		}
	}
	var pools []shift.Pool
	for _, s := range c.Services {
		pools = append(pools, shift.Pool{Name: s.Name, Standby: s.Standby, Demand: demand[s.Name], Coming: coming[s.Name]})
	}
	rare := l.rarity()
	var list []shift.Instance
	for name, in := range fleet {
		if l.duty.errands[name] != nil {
			continue // it counts where it goes, and not while it is down
		}
		m := l.memberOn(in.Instance)
		ready := m != nil && m.Takes(l.now) && m.starting == 0 && in.Phase == model.Up
		list = append(list, shift.Instance{
			Name: name, Pool: in.Pool, Labels: in.Labels, Size: in.Capacity, Lasting: in.Lasting, Work: in.Work,
			Barred: l.duty.refused[name], Rarity: rare.Of(in.Labels),
			Free: in.Free && (ready || in.Standby && in.Phase != model.Moving && in.Phase != model.Upkeep && in.Phase != model.Down),
		})
	}
	for _, mv := range l.duty.planner.Plan(pools, list, l.now) {
		l.begin(&errand{instance: mv.Instance, pool: mv.Pool, since: l.now})
	}
}
