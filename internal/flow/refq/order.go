package refq

import (
	"cmp"
	"math"
	"slices"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
)

// updateReady raises the virtual time of each path that became ready to that of its parent.
func (f *Fair) updateReady() {
	for level := service; level <= class; level++ {
		ready := f.readyPaths(level)
		for p, n := range f.nodes {
			if p.level == level && !slices.Contains(ready, p) {
				n.ready = false
			}
		}
		for _, p := range ready {
			n := f.node(p)
			if !n.ready {
				n.vt = max(n.vt, f.node(pathAt(level-1, p.class)).systemVT)
			}
			n.ready = true
		}
	}
}

// readyPaths returns the paths of a level that have a ticket to start. A class is ready even while
// its team or service is at its quota, and a team even while its service is.
func (f *Fair) readyPaths(level int) []treePath {
	var ready []treePath
	for _, e := range f.waiting {
		p := pathAt(level, e.Class)
		if slices.Contains(ready, p) {
			continue
		}
		teamQuota := f.teams[e.Class.Team].Quota
		if level < class && teamQuota > 0 && f.countInTeam(e.Class.Team) >= int(teamQuota) {
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

func (f *Fair) countInTeam(name string) int {
	n := 0
	for _, e := range f.running {
		if e.Class.Team == name {
			n++
		}
	}
	return n
}

// readyChildren returns the ready paths directly below the path of c at level, in order of choice.
func (f *Fair) readyChildren(level int, c admit.Class) []treePath {
	all := f.readyPaths(level + 1)
	below := slices.DeleteFunc(all, func(p treePath) bool {
		return pathAt(level, p.class) != pathAt(level, c)
	})
	slices.SortFunc(below, func(a, b treePath) int {
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
	below := f.readyChildren(level, c)
	if len(below) == 0 {
		return c, false
	}
	return below[0].class, true
}

// smallestVT returns the new virtual time of the parent of c at level: that of the chosen class, or
// the smallest one of its ready teams or services.
func (f *Fair) smallestVT(level int, c admit.Class) float64 {
	below := f.readyChildren(level, c)
	least := f.node(below[0]).vt
	for _, p := range below {
		least = min(least, f.node(p).vt)
	}
	return least
}

// tier returns 0 within the guaranteed share, 1 for a burst beyond it on credit, and 2 for borrowed
// slots.
func (f *Fair) tier(p treePath) int {
	if p.level == class {
		return 0
	}
	running := f.count(f.running, p)
	share := f.guaranteedShare(p)
	burst := int(math.Ceil(share + 3*math.Sqrt(share)))
	switch {
	case running < f.guaranteedSlots(p):
		return 0
	case running < burst && f.node(p).credit > 0:
		return 1
	default:
		return 2
	}
}

// guaranteedShare returns the guaranteed share in slots.
func (f *Fair) guaranteedShare(p treePath) float64 {
	all := f.weightedShare(float64(f.Slots), f.services, p.class.Service)
	if p.level == service {
		return all
	}
	return f.weightedShare(all, f.teams, p.class.Team)
}

// guaranteedSlots returns the guaranteed share in whole slots.
func (f *Fair) guaranteedSlots(p treePath) int {
	_, listed := f.services[p.class.Service]
	if p.level == team {
		_, listed = f.teams[p.class.Team]
	}
	n := int(f.guaranteedShare(p))
	if !listed {
		n = max(n, 1)
	}
	return n
}

func (f *Fair) weightedShare(slots float64, shares map[string]admit.Share, name string) float64 {
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

// canStart reports whether a slot is free for the service of c.
func (f *Fair) canStart(c admit.Class) bool {
	free := f.Slots - len(f.running)
	if f.tier(pathAt(service, c)) == 2 {
		free -= f.reserve()
	}
	return free > 0
}

// reserve returns the number of slots that borrowers must leave free.
func (f *Fair) reserve() int {
	unclaimed := 0
	for name := range f.services {
		p := pathAt(service, admit.Class{Service: name})
		unclaimed += max(f.guaranteedSlots(p)-f.count(f.running, p), 0)
	}
	own := 0
	var ownRate, rate int64
	for _, e := range f.running {
		p := pathAt(service, e.Class)
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
