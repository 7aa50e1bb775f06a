package admit

import (
	"math"
	"slices"
)

// Configure sets the shares of the services and of the teams within each service. Names that
// are not listed share the service or team with the empty name, so that made-up names cost no
// memory. Unless listed itself, the empty name has weight 1 and a guaranteed share of one
// slot. The same holds for services and teams that are no longer listed but have tickets.
func (q *Queue) Configure(services, teams map[string]Share) {
	for name := range q.groups {
		q.setGroup(name, Share{}, false)
	}
	for name := range q.services {
		q.setService(name, Share{}, false)
	}
	for name, sh := range teams {
		q.setGroup(name, sh, true)
	}
	for name, sh := range services {
		q.setService(name, sh, true)
	}
	q.prune()
	q.rebuild()
}

// SetSlots sets the number of slots that this entry may use for the pool. Running tickets
// beyond it keep their slots until they are done.
func (q *Queue) SetSlots(n int) {
	if n == q.slots {
		return
	}
	q.slots = n
	q.rebuild()
}

func (q *Queue) setGroup(name string, sh Share, listed bool) {
	g := q.groups[name]
	if g == nil {
		g = &group{}
		q.groups[name] = g
	}
	g.listed = listed
	g.weight = weightOf(sh.Weight)
	g.quota = int(sh.Quota)
}

func (q *Queue) setService(name string, sh Share, listed bool) {
	s := q.services[name]
	if s == nil {
		s = &service{teams: map[string]*team{}}
		s.name = name
		s.service = s
		s.pos = -1
		s.run = runTime{mean: seconds(q.opt.run), n: priorSamples}
		q.services[name] = s
	}
	s.listed = listed
	s.weight = weightOf(sh.Weight)
	s.quota = int(sh.Quota)
}

// service returns the service that name is accounted to.
func (q *Queue) service(name string) *service {
	if s := q.services[name]; s != nil && s.listed {
		return s
	}
	return q.services[""]
}

// team returns the team within s that name is accounted to.
func (q *Queue) team(s *service, name string) *team {
	if tm := s.teams[name]; tm != nil && tm.group.listed {
		return tm
	}
	g := q.groups[name]
	if g == nil || !g.listed {
		name = ""
		g = q.groups[name]
	}
	if tm := s.teams[name]; tm != nil {
		return tm
	}
	tm := &team{group: g}
	tm.vertex = vertex{name: name, weight: g.weight, service: s, team: tm, pos: -1}
	for i := range tm.leaves {
		tm.leaves[i] = leaf{team: tm, urgency: Urgency(i), weight: q.opt.weight[i]}
	}
	s.teams[name] = tm
	g.members = append(g.members, tm)
	tm.setShare(s.share, q.teamWeights())
	return tm
}

// prune forgets services and teams that are not listed and have no tickets.
func (q *Queue) prune() {
	for name, s := range q.services {
		for teamName, tm := range s.teams {
			if tm.idle() && (!s.listed || !tm.group.listed) {
				delete(s.teams, teamName)
			}
		}
		if name != "" && !s.listed && len(s.teams) == 0 {
			delete(q.services, name)
		}
	}
	for name, g := range q.groups {
		g.members = slices.DeleteFunc(g.members, func(tm *team) bool {
			return tm.service.teams[name] != tm
		})
		if name != "" && !g.listed && len(g.members) == 0 {
			delete(q.groups, name)
		}
	}
}

// rebuild computes everything that depends on shares and slots.
func (q *Queue) rebuild() {
	total := 0.0
	for _, s := range q.services {
		if s.listed {
			total += s.weight
		}
	}
	teamTotal := q.teamWeights()
	q.flow = flow{}
	for _, s := range q.services {
		s.setShare(float64(q.slots), total)
		s.limit = max(1, int(s.divide(float64(q.opt.maxWaiting), total)))
		q.flow.add(s, 1)
		s.active = 0
		for _, tm := range s.teams {
			tm.weight = tm.group.weight
			tm.setShare(s.share, teamTotal)
			if tm.waiting > 0 {
				s.active += tm.weight
			}
			tm.refresh()
		}
		q.refreshService(s)
	}
}

func (q *Queue) teamWeights() float64 {
	total := 0.0
	for _, g := range q.groups {
		if g.listed {
			total += g.weight
		}
	}
	return total
}

// isListed tells whether the configuration names v.
func (v *vertex) isListed() bool {
	if v.team != nil {
		return v.team.group.listed
	}
	return v.service.listed
}

// divide returns the part of n that v has by weight if all listed ones together have total.
func (v *vertex) divide(n, total float64) float64 {
	if !v.isListed() {
		total += v.weight
	}
	return n * v.weight / total
}

// setShare divides the slots by weight. What is not listed is guaranteed one slot, because
// without any it could starve while all listed ones use their guaranteed shares.
func (v *vertex) setShare(slots, total float64) {
	v.share = v.divide(slots, total)
	if !v.isListed() && total > 0 {
		v.share = min(v.share, 1)
	}
	v.guarantee = int(v.share)
	if !v.isListed() {
		v.guarantee = max(v.guarantee, 1)
	}
	v.burst = int(math.Ceil(v.share + burstDeviations*math.Sqrt(v.share)))
}

func (v *vertex) idle() bool {
	return v.waiting == 0 && v.running == 0
}
