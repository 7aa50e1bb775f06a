package state

import (
	"slices"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Grant is the permission to take an instance out of service.
type Grant struct {
	// Offset is the offset of the accepted drain and identifies the grant.
	Offset uint64
	// Wave is the wave that asked, empty for an operator.
	Wave string
	// Target is the pool that the instance moves to, empty for a reboot.
	Target string
	// From is the pool of the instance when it was drained.
	From string
	// Moved says that the instance is in the target pool.
	Moved bool
	// Boot is the newest boot number known when the reboot was ordered.
	Boot uint64
	// Waiting lists the members that have not acknowledged, sorted by name.
	Waiting []Incarnation
}

// WithoutWaiting returns the grant without a member to wait for.
func (g *Grant) WithoutWaiting(m Incarnation) *Grant {
	n := *g
	n.Waiting = nil
	for _, w := range g.Waiting {
		if w != m {
			n.Waiting = append(n.Waiting, w)
		}
	}
	return &n
}

func (g *Grant) code(c *coder) {
	c.u64(&g.Offset)
	c.str(&g.Wave)
	c.str(&g.Target)
	c.str(&g.From)
	c.flag(&g.Moved)
	c.u64(&g.Boot)
	list(c, &g.Waiting, func(c *coder, m *Incarnation) { m.code(c) })
}

func (s *State) drain(offset uint64, r *recpb.Drain) Verdict {
	i, ok := s.instances.get(r.GetName())
	if !ok {
		return refused(NotFound)
	}
	if v, ok := base(r.GetEdit(), i.Version); !ok {
		return v
	}
	if i.Grant != nil {
		return refused(Busy)
	}
	if v := s.drainTarget(i, r); v != accepted {
		return v
	}
	if v := s.drainWave(i, r.GetWave()); v != accepted {
		return v
	}
	if scope, ok := s.Allows(i); !ok {
		return Verdict{Kind: Refused, Reason: OverBudget, Scope: scope}
	}
	g := &Grant{Offset: offset, Wave: r.GetWave(), Target: r.GetTarget(), From: i.Pool}
	// Only members at the grant's offset must acknowledge. A member that joins later
	// applies the grant before its own join, and it serves only after its join.
	for m := range s.Members() {
		g.Waiting = append(g.Waiting, m.Incarnation)
	}
	s.setInstance(i.WithPhase(phaseOf(g), g).WithVersion(offset))
	return accepted
}

// phaseOf returns the phase of an instance under a grant that waits for members.
func phaseOf(g *Grant) Phase {
	if len(g.Waiting) > 0 {
		return Draining
	}
	return Drained
}

func (s *State) drainTarget(i *Instance, r *recpb.Drain) Verdict {
	if r.GetTarget() == "" {
		return accepted
	}
	if _, ok := s.pools.get(r.GetTarget()); !ok || r.GetTarget() == i.Pool {
		return refused(BadTarget)
	}
	return accepted
}

// drainWave checks that the wave runs, still has the instance to do and is below
// its limit of concurrent drains.
func (s *State) drainWave(i *Instance, name string) Verdict {
	if name == "" {
		return accepted
	}
	w, ok := s.waves.get(name)
	if !ok {
		return refused(NotFound)
	}
	if step, ok := w.Step(i.Name); w.Phase != Running || !ok || step != Todo {
		return refused(WrongPhase)
	}
	if w.Limit > 0 && s.grantsOf(name) >= w.Limit {
		return refused(OverLimit)
	}
	return accepted
}

// grantsOf returns the number of instances under a grant of a wave.
func (s *State) grantsOf(wave string) uint32 {
	var n uint32
	for i := range s.Instances() {
		if i.Grant != nil && i.Grant.Wave == wave {
			n++
		}
	}
	return n
}

// granted returns the instance if it is under the grant.
func (s *State) granted(name string, grant uint64) (*Instance, Verdict) {
	i, ok := s.instances.get(name)
	if !ok {
		return nil, refused(NotFound)
	}
	if i.Grant == nil || i.Grant.Offset != grant {
		return nil, refused(WrongGrant)
	}
	return i, accepted
}

func (s *State) drained(r *recpb.Drained) Verdict {
	i, v := s.granted(r.GetName(), r.GetGrant())
	if i == nil {
		return v
	}
	m := Incarnation{r.GetMember(), r.GetIncarnation()}
	if !s.joined(m) {
		return refused(NotMember)
	}
	if !slices.Contains(i.Grant.Waiting, m) {
		return already(i.Grant.Offset)
	}
	s.acknowledge(i, m)
	return accepted
}

// acknowledge removes a member from those that a drain waits for.
func (s *State) acknowledge(i *Instance, m Incarnation) {
	g := i.Grant.WithoutWaiting(m)
	s.setInstance(i.WithPhase(phaseOf(g), g))
}

func (s *State) restart(r *recpb.Restart) Verdict {
	i, v := s.granted(r.GetName(), r.GetGrant())
	if i == nil {
		return v
	}
	if i.Grant.Target != "" {
		return refused(BadTarget)
	}
	if i.Phase == Restarting {
		return already(i.Grant.Offset)
	}
	if i.Phase != Drained {
		return refused(NotDrained)
	}
	g := *i.Grant
	g.Boot = i.Boot
	s.setInstance(i.WithPhase(Restarting, &g))
	return accepted
}

func (s *State) back(offset uint64, r *recpb.Back) Verdict {
	i, v := s.granted(r.GetName(), r.GetGrant())
	if i == nil {
		return v
	}
	if i.Phase != Restarting {
		return refused(WrongPhase)
	}
	if r.GetBoot() <= i.Grant.Boot || r.GetBoot() < i.Boot {
		return refused(OldBoot)
	}
	n := i.WithHealth(Up, r.GetBoot()).WithPhase(Serving, nil)
	s.setInstance(n.WithVersion(offset))
	s.completeStep(i.Grant.Wave, i.Name)
	return accepted
}

// completeStep counts a return for the wave that drained the instance. A record of its
// own would leave a gap in which the planner drains the instance again.
func (s *State) completeStep(wave, name string) {
	w, ok := s.waves.get(wave)
	if !ok || w.Phase == Finished {
		return
	}
	if _, ok := w.Step(name); ok {
		s.setWave(w.WithStep(name, Done))
	}
}

// moved changes the pool. The target's budget does not forbid it, because the move
// takes nothing out of the target; the arriving instance is charged there against
// later drains until it is known to be up.
func (s *State) moved(offset uint64, r *recpb.Moved) Verdict {
	i, v := s.granted(r.GetName(), r.GetGrant())
	if i == nil {
		return v
	}
	if i.Grant.Moved {
		return already(i.Grant.Offset)
	}
	if i.Grant.Target == "" {
		return refused(BadTarget)
	}
	if i.Phase != Drained {
		return refused(NotDrained)
	}
	g := *i.Grant
	g.Moved = true
	// The pool that it leaves may have become a spare pool after the registration.
	n := s.settle(s.settle(i).WithPool(g.Target))
	s.setInstance(n.WithPhase(Drained, &g).WithVersion(offset))
	return accepted
}

func (s *State) cancel(offset uint64, r *recpb.Cancel) Verdict {
	i, ok := s.instances.get(r.GetName())
	if !ok {
		return refused(NotFound)
	}
	if v, ok := base(r.GetEdit(), i.Version); !ok {
		return v
	}
	if _, v := s.granted(r.GetName(), r.GetGrant()); v != accepted {
		return v
	}
	if i.Phase == Restarting || i.Grant.Moved {
		return refused(WrongPhase)
	}
	s.setInstance(i.WithPhase(Serving, nil).WithVersion(offset))
	return accepted
}
