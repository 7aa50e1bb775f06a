package state

import (
	"chervilgauge.example/chervilgauge/internal/fleet/budget"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Pool is a set of instances with an availability budget.
type Pool struct {
	Name    string
	Version uint64
	Budget  budget.Limits
	// Spare is true for a spare pool, whose instances may serve in other pools for a time.
	Spare bool
}

func (p *Pool) key() string { return p.Name }

func (p *Pool) code(c *coder) {
	c.str(&p.Name)
	c.u64(&p.Version)
	c.u32(&p.Budget.Total)
	c.u32(&p.Budget.Rack)
	c.u32(&p.Budget.Centre)
	c.boolean(&p.Spare)
}

// Service is a service that the instances of a pool provide.
type Service struct {
	Name    string
	Version uint64
	Pool    string
	// Weight is the share of the pool's slots relative to other services.
	Weight uint32
}

func (v *Service) key() string { return v.Name }

func (v *Service) code(c *coder) {
	c.str(&v.Name)
	c.u64(&v.Version)
	c.str(&v.Pool)
	c.u32(&v.Weight)
}

// Team is a client account that submits jobs.
type Team struct {
	Name    string
	Version uint64
	Weight  uint32
	// Quota is the maximum number of slots that the team may use, 0 for no limit.
	Quota uint32
}

func (t *Team) key() string { return t.Name }

func (t *Team) code(c *coder) {
	c.str(&t.Name)
	c.u64(&t.Version)
	c.u32(&t.Weight)
	c.u32(&t.Quota)
}

// checkBase checks that a change is based on the current version of its object. It
// returns false and a conflict otherwise.
func checkBase(e *recpb.Edit, current uint64) (Verdict, bool) {
	if e.GetBase() != current {
		return conflict(current), false
	}
	return accepted, true
}

func (s *State) applyPool(offset uint64, r *recpb.Pool) Verdict {
	if !isValidName(r.GetName()) {
		return malformed
	}
	old, ok := s.pools.get(r.GetName())
	if !ok {
		old = &Pool{}
	}
	if v, ok := checkBase(r.GetEdit(), old.Version); !ok {
		return v
	}
	if r.GetEdit().GetRemove() {
		return s.removePool(r.GetName())
	}
	b := r.GetBudget()
	p := &Pool{
		Name:    r.GetName(),
		Version: offset,
		Budget:  budget.Limits{Total: b.GetTotal(), Rack: b.GetRack(), Centre: b.GetCentre()},
		Spare:   r.GetSpare(),
	}
	if !p.Budget.IsValid() {
		return refused(BadBudget)
	}
	s.pools = s.pools.set(p)
	return accepted
}

// removePool refuses to remove a pool that an instance, a service, a move or an
// unfinished wave refers to.
func (s *State) removePool(name string) Verdict {
	if _, ok := s.pools.get(name); !ok {
		return refused(NotFound)
	}
	if s.isPoolInUse(name) {
		return refused(InUse)
	}
	s.pools = s.pools.unset(name)
	return accepted
}

func (s *State) isPoolInUse(name string) bool {
	for i := range s.Instances() {
		if i.Pool == name || i.Grant != nil && i.Grant.Target == name {
			return true
		}
	}
	for range s.ServicesOf(name) {
		return true
	}
	for w := range s.Waves() {
		if w.Phase != Finished && w.HasPool(name) {
			return true
		}
	}
	return false
}

func (s *State) applyService(offset uint64, r *recpb.Service) Verdict {
	if !isValidName(r.GetName()) {
		return malformed
	}
	old, ok := s.services.get(r.GetName())
	if !ok {
		old = &Service{}
	}
	if v, ok := checkBase(r.GetEdit(), old.Version); !ok {
		return v
	}
	if r.GetEdit().GetRemove() {
		if !ok {
			return refused(NotFound)
		}
		s.services = s.services.unset(r.GetName())
		return accepted
	}
	if _, ok := s.pools.get(r.GetPool()); !ok {
		return refused(NotFound)
	}
	if r.GetWeight() == 0 {
		return refused(BadWeight)
	}
	v := &Service{Name: r.GetName(), Version: offset, Pool: r.GetPool(), Weight: r.GetWeight()}
	s.services = s.services.set(v)
	return accepted
}

func (s *State) applyTeam(offset uint64, r *recpb.Team) Verdict {
	if !isValidName(r.GetName()) {
		return malformed
	}
	old, ok := s.teams.get(r.GetName())
	if !ok {
		old = &Team{}
	}
	if v, ok := checkBase(r.GetEdit(), old.Version); !ok {
		return v
	}
	if r.GetEdit().GetRemove() {
		return s.removeTeam(r.GetName())
	}
	if r.GetWeight() == 0 {
		return refused(BadWeight)
	}
	t := &Team{Name: r.GetName(), Version: offset, Weight: r.GetWeight(), Quota: r.GetQuota()}
	s.teams = s.teams.set(t)
	return accepted
}

// removeTeam refuses to remove a team that has unfinished jobs.
func (s *State) removeTeam(name string) Verdict {
	if _, ok := s.teams.get(name); !ok {
		return refused(NotFound)
	}
	for j := range s.Jobs() {
		if j.Team == name && !j.Phase.IsFinal() {
			return refused(InUse)
		}
	}
	s.teams = s.teams.unset(name)
	return accepted
}
