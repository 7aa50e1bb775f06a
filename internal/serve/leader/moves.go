package leader

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/shift"
	"chervilgauge.example/chervilgauge/internal/jobs/upkeep"
)

type arrival struct {
	at   time.Duration
	work int64 // thousandths of core seconds
}

// noteArrival counts work that came in.
func (l *Leader) noteArrival(j *book.Job) {
	var work int64
	for i := range j.Work.Steps {
		s := &j.Work.Steps[i]
		if !s.Lasts && !s.Fills {
			work += int64(s.Count) * int64(float64(s.Need.Cores)*s.Estimate.Seconds())
		}
	}
	service := l.rules(j).Service
	l.duty.arrived[service] = append(l.duty.arrived[service], arrival{l.now, work})
}

// demand returns what each service's work asks for.
func (l *Leader) demand() map[string]shift.Demand {
	out := map[string]shift.Demand{}
	for s, as := range l.duty.arrived {
		for len(as) > 0 && as[0].at < l.now-arrivalWindow {
			as = as[1:]
		}
		l.duty.arrived[s] = as
		d := shift.Demand{}
		for _, a := range as {
			d.Arrivals += a.work
		}
		d.Arrivals = int64(float64(d.Arrivals) / arrivalWindow.Seconds())
		out[s] = d
	}
	waits := map[string]bool{}
	for _, j := range l.book.Active() {
		s := l.rules(j).Service
		d := out[s]
		for _, o := range j.Open {
			for _, st := range o.Steps {
				addDemand(&d, st)
				waits[s] = waits[s] || st.Lasts && st.IsReady() && hasWaiting(st) && l.fitsEmpty(s, st)
			}
		}
		out[s] = d
	}
	for s, d := range out {
		if !waits[s] {
			delete(l.duty.waits, s)
			continue
		}
		if _, ok := l.duty.waits[s]; !ok {
			l.duty.waits[s] = l.now
		}
		d.More = l.now > l.duty.waits[s]+moreAfter
		out[s] = d
	}
	return out
}

// fitsEmpty says whether an executor of a service could run a task of a step if nothing
// else ran there. Jobs that can never be done must not draw instances.
func (l *Leader) fitsEmpty(service string, st *book.Step) bool {
	for _, m := range l.members {
		if m.Service == service && m.Contact != crew.Dead && m.HasLabel(st.Label) && st.Room().Within(m.Capacity) {
			return true
		}
	}
	return false
}

// moreAfter is how long tasks that last may wait for room until their pool gets another
// instance. Work that ends makes room within about that time.
const moreAfter = 1500 * time.Millisecond

func addDemand(d *shift.Demand, st *book.Step) {
	if st.Lasts {
		d.Lasting += st.Room().Cores * int64(st.Count)
		if st.Spread > 0 {
			d.Spread = max(d.Spread, (st.Count+st.Spread-1)/st.Spread)
		}
		return
	}
	if !st.IsReady() {
		return
	}
	waiting := 0
	for _, t := range st.Tasks {
		if t.IsWaiting() {
			waiting++
		}
	}
	d.Backlog += int64(float64(int64(waiting)*st.Room().Cores) * st.Estimate.Seconds())
}

// shiftPools moves instances to where work is.
func (l *Leader) shiftPools(fleet map[string]upkeep.Instance) {
	c := l.Orders.Config()
	if c == nil {
		return
	}
	demand := l.demand()
	coming := map[string]int{}
	for _, e := range l.duty.errands {
		if e.pool != "" && fleet[e.instance].Pool != e.pool {
			coming[e.pool]++
		}
	}
	var pools []shift.Pool
	for _, s := range c.Services {
		pools = append(pools, shift.Pool{Name: s.Name, Standby: s.Standby, Demand: demand[s.Name], Coming: coming[s.Name]})
	}
	var list []shift.Instance
	var cores int64
	for name, in := range fleet {
		if l.duty.errands[name] != nil {
			continue // it counts where it goes, and not while it is down
		}
		cores = max(cores, in.Capacity.Cores)
		m := l.memberOn(in.Instance)
		ready := m != nil && m.Takes(l.now) && m.starting == 0 && in.Phase == model.Up
		list = append(list, shift.Instance{
			Name: name, Pool: in.Pool, Cores: in.Capacity.Cores, Lasting: in.Lasting, Work: in.Work,
			Free: in.Free && (ready || in.Standby && in.Phase != model.Moving && in.Phase != model.Upkeep && in.Phase != model.Down),
		})
	}
	for _, mv := range l.duty.planner.Plan(pools, list, cores, l.now) {
		if !l.duty.refused[mv.Instance+" "+mv.Pool] {
			l.begin(&errand{instance: mv.Instance, pool: mv.Pool, since: l.now})
		}
	}
}
