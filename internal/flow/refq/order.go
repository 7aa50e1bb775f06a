package naive

import (
	"cmp"
	"math"
	"slices"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
)

// settle raises the virtual time of what became ready to that of its parent.
func (f *Fair) settle() {
	for level := service; level <= class; level++ {
		ready := f.paths(level)
		for p, n := range f.nodes {
			if p.level == level && !slices.Contains(ready, p) {
				n.ready = false
			}
		}
		for _, p := range ready {
			n := f.node(p)
			if !n.ready {
				n.vt = max(n.vt, f.node(at(level-1, p.class)).base)
			}
			n.ready = true
		}
	}
}

// paths returns the paths of a level that have something to run. A class counts even while
// its team or service is at its quota, a team even while its service is.
func (f *Fair) paths(level int) []path {
	var ready []path
	for _, e := range f.waiting {
		p := at(level, e.Class)
		if slices.Contains(ready, p) {
			continue
		}
		teamQuota := f.teams[e.Class.Team].Quota
		if level < class && teamQuota > 0 && f.inTeam(e.Class.Team) >= int(teamQuota) {
			continue
		}
		quota := f.services[e.Class.Service].Quota
		if level < team && quota > 0 && f.count(f.running, p) >= int(quota) {
			continue
		}
		ready = append(ready, p)
	}
	return ready
}

func (f *Fair) inTeam(name string) int {
	n := 0
	for _, e := range f.running {
		if e.Class.Team == name {
			n++
		}
	}
	return n
}

// children returns the ready paths right below the path of c at level, in order of choice.
func (f *Fair) children(level int, c admit.Class) []path {
	all := f.paths(level + 1)
	below := slices.DeleteFunc(all, func(p path) bool {
		return at(level, p.class) != at(level, c)
	})
	slices.SortFunc(below, func(a, b path) int {
		return cmp.Or(
			cmp.Compare(f.tier(a), f.tier(b)),
			cmp.Compare(f.node(a).vt, f.node(b).vt),
			cmp.Compare(b.class.Urgency, a.class.Urgency),
			cmp.Compare(a.class.Service, b.class.Service),
			cmp.Compare(a.class.Team, b.class.Team),
		)
	})
	return below
}

func (f *Fair) choose(level int, c admit.Class) (admit.Class, bool) {
	below := f.children(level, c)
	if len(below) == 0 {
		return c, false
	}
	return below[0].class, true
}

// least returns the virtual time of the parent of c at level: that of the chosen class, or
// the least one of its ready teams or services.
func (f *Fair) least(level int, c admit.Class) float64 {
	below := f.children(level, c)
	least := f.node(below[0]).vt
	for _, p := range below {
		least = min(least, f.node(p).vt)
	}
	return least
}

// tier is 0 within the guaranteed share, 1 for a burst beyond it on credit and 2 beyond that.
func (f *Fair) tier(p path) int {
	if p.level == class {
		return 0
	}
	running := f.count(f.running, p)
	share := f.slots(p)
	burst := int(math.Ceil(share + 3*math.Sqrt(share)))
	switch {
	case running < f.guarantee(p):
		return 0
	case running < burst && f.node(p).credit > 0:
		return 1
	default:
		return 2
	}
}

// slots returns the guaranteed share.
func (f *Fair) slots(p path) float64 {
	all := f.share(float64(f.Slots), f.services, p.class.Service)
	if p.level == service {
		return all
	}
	return f.share(all, f.teams, p.class.Team)
}

// guarantee returns the guaranteed share in whole slots.
func (f *Fair) guarantee(p path) int {
	_, listed := f.services[p.class.Service]
	if p.level == team {
		_, listed = f.teams[p.class.Team]
	}
	n := int(f.slots(p))
	if !listed {
		n = max(n, 1)
	}
	return n
}

func (f *Fair) share(slots float64, shares map[string]admit.Share, name string) float64 {
	total := 0.0
	for _, sh := range shares {
		total += float64(max(sh.Weight, 1))
	}
	weight := float64(max(shares[name].Weight, 1))
	if _, ok := shares[name]; ok {
		return slots * weight / total
	}
	if total == 0 {
		return slots
	}
	return min(slots*weight/(total+weight), 1)
}

// free tells whether a slot is free for the service of c.
func (f *Fair) free(c admit.Class) bool {
	free := f.Slots - len(f.running)
	if f.tier(at(service, c)) == 2 {
		free -= f.reserve()
	}
	return free > 0
}

// reserve returns the number of slots that borrowers leave free.
func (f *Fair) reserve() int {
	unclaimed := 0
	for name := range f.services {
		p := at(service, admit.Class{Service: name})
		unclaimed += max(f.guarantee(p)-f.count(f.running, p), 0)
	}
	own := 0
	var ownRate, rate int64
	for _, e := range f.running {
		p := at(service, e.Class)
		r := int64(1e6 / f.node(p).mean)
		rate += r
		if f.tier(p) < 2 {
			own++
			ownRate += r
		}
	}
	ratio := float64(ownRate) / float64(max(rate, 1))
	best := 0
	wait := 1.0
	idle := 0.0
	for n := 1; n <= unclaimed && wait > 0.004; n++ {
		wait *= ratio
		idle += 1 - wait
		if idle <= f.Reserve*float64(f.Slots-own) {
			best = n
		}
	}
	return best
}
