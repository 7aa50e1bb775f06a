package admit

import (
	"math"
	"slices"
)

// Configure sets the shares of the services and of the teams within each service. Names that are
// not listed are accounted to the service or team with the empty name, so that arbitrary names from
// callers use no memory. Unless it is listed itself, the empty name has weight 1 and a guaranteed
// share of one slot. The same applies to services and teams that are no longer listed but still
// have tickets.
func (q *Queue) Configure(services, teams map[string]Share) {
	for name := range q.accounts {
		q.setAccount(name, Share{}, false)
	}
	for name := range q.services {
		q.setService(name, Share{}, false)
	}
	for name, sh := range teams {
		q.setAccount(name, sh, true)
	}
	for name, sh := range services {
		q.setService(name, sh, true)
	}
	q.prune()
	q.rebuild()
}

// SetSlots sets the number of slots that this entry may use in the pool. If more tickets are
// running, they keep their slots until they are done.
func (q *Queue) SetSlots(n int) {
	if n == q.slots {
		return
	}
	q.slots = n
	q.rebuild()
}

func (q *Queue) setAccount(name string, sh Share, listed bool) {
	a := q.accounts[name]
	if a == nil {
		a = &teamAccount{}
		q.accounts[name] = a
	}
	a.listed = listed
	a.weight = weightOf(sh.Weight)
	a.quota = int(sh.Quota)
}

func (q *Queue) setService(name string, sh Share, listed bool) {
	s := q.services[name]
	if s == nil {
		s = &service{teams: map[string]*team{}}
		s.name = name
		s.service = s
		s.pos = -1
		s.run = runTime{mean: seconds(q.opt.priorRun), weight: priorSamples}
		q.services[name] = s
	}
	s.listed = listed
	s.weight = weightOf(sh.Weight)
	s.quota = int(sh.Quota)
}

// serviceFor returns the service that name is accounted to.
func (q *Queue) serviceFor(name string) *service {
	if s := q.services[name]; s != nil && s.listed {
		return s
	}
	return q.services[""]
}

// teamFor returns the team within s that name is accounted to and creates it if needed.
func (q *Queue) teamFor(s *service, name string) *team {
	if tm := s.teams[name]; tm != nil && tm.account.listed {
		return tm
	}
	a := q.accounts[name]
	if a == nil || !a.listed {
		name = ""
		a = q.accounts[name]
	}
	if tm := s.teams[name]; tm != nil {
		return tm
	}
	tm := &team{account: a}
	tm.vertex = vertex{name: name, weight: a.weight, service: s, team: tm, pos: -1}
	for i := range tm.leaves {
		tm.leaves[i] = leaf{team: tm, urgency: Urgency(i), weight: q.opt.weight[i]}
	}
	s.teams[name] = tm
	a.members = append(a.members, tm)
	tm.setShare(s.share, q.sumTeamWeights())
	return tm
}

// prune removes services and teams that are not listed and have no tickets.
func (q *Queue) prune() {
	for name, s := range q.services {
		for teamName, tm := range s.teams {
			if tm.isIdle() && (!s.listed || !tm.account.listed) {
				delete(s.teams, teamName)
			}
		}
		if name != "" && !s.listed && len(s.teams) == 0 {
			delete(q.services, name)
		}
	}
	for name, a := range q.accounts {
		a.members = slices.DeleteFunc(a.members, func(tm *team) bool {
			return tm.service.teams[name] != tm
		})
		if name != "" && !a.listed && len(a.members) == 0 {
			delete(q.accounts, name)
		}
	}
}

// rebuild recomputes all values that depend on the shares and the number of slots.
func (q *Queue) rebuild() {
	total := 0.0
	for _, s := range q.services {
		if s.listed {
			total += s.weight
		}
	}
	teamTotal := q.sumTeamWeights()
	q.totals = serviceTotals{}
	for _, s := range q.services {
		s.setShare(float64(q.slots), total)
		s.limit = max(1, int(s.weightedPart(float64(q.opt.maxWaiting), total)))
		q.totals.add(s, 1)
		s.active = 0
		for _, tm := range s.teams {
			tm.weight = tm.account.weight
			tm.setShare(s.share, teamTotal)
			if tm.waiting > 0 {
				s.active += tm.weight
			}
			tm.refresh()
		}
		q.refreshService(s)
	}
}

func (q *Queue) sumTeamWeights() float64 {
	total := 0.0
	for _, a := range q.accounts {
		if a.listed {
			total += a.weight
		}
	}
	return total
}

// isListed reports whether the configuration lists the service, or both the team and its service.
func (v *vertex) isListed() bool {
	if v.team != nil {
		return v.team.account.listed
	}
	return v.service.listed
}

// weightedPart returns the part of n that v receives by weight. total is the sum of the weights of
// all listed vertices; the weight of a vertex that is not listed is added to it.
func (v *vertex) weightedPart(n, total float64) float64 {
	if !v.isListed() {
		total += v.weight
	}
	return n * v.weight / total
}

// setShare computes the guaranteed share of v from the slots and the total weight. A vertex that is
// not listed is guaranteed one slot; without it, the vertex could starve while all listed ones use
// their guaranteed shares.
func (v *vertex) setShare(slots, total float64) {
	v.share = v.weightedPart(slots, total)
	if !v.isListed() && total > 0 {
		v.share = min(v.share, 1)
	}
	v.guarantee = int(v.share)
	if !v.isListed() {
		v.guarantee = max(v.guarantee, 1)
	}
	v.burst = int(math.Ceil(v.share + burstDeviations*math.Sqrt(v.share)))
}

func (v *vertex) isIdle() bool {
	return v.waiting == 0 && v.running == 0
}
