package state

import (
	"slices"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Grant is the permission to take an instance out of service, given by an accepted drain.
type Grant struct {
	// Offset is the offset of the accepted drain and identifies the grant.
	Offset uint64
	// Wave is the wave that requested the drain, empty for an operator's drain.
	Wave string
	// Target is the pool that the instance moves to, empty for a reboot.
	Target string
	// From is the pool of the instance when it was drained.
	From string
	// Moved is true once the instance is in the target pool.
	Moved bool
	// Boot is the newest boot number observed before the reboot was ordered.
	Boot uint64
	// Waiting lists the members that have not acknowledged the drain, sorted by name.
	Waiting []Incarnation
}

// WithoutWaiting returns the grant with a member removed from Waiting.
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
	c.boolean(&g.Moved)
	c.u64(&g.Boot)
	codeList(c, &g.Waiting, func(c *coder, m *Incarnation) { m.code(c) })
}

func (s *State) applyDrain(offset uint64, r *recpb.Drain) Verdict {
	i, ok := s.instances.get(r.GetName())
	if !ok {
		return refused(NotFound)
	}
	if v, ok := checkBase(r.GetEdit(), i.Version); !ok {
		return v
	}
	if i.Grant != nil {
		return refused(UnderGrant)
	}
	if v := s.checkTarget(i, r); v != accepted {
		return v
	}
	if v := s.checkWave(i, r.GetWave()); v != accepted {
		return v
	}
	if scope, ok := s.BudgetAllows(i); !ok {
		return Verdict{Kind: Refused, Reason: OverBudget, Scope: scope}
	}
	g := &Grant{Offset: offset, Wave: r.GetWave(), Target: r.GetTarget(), From: i.Pool}
	// Only the members at the grant's offset must acknowledge. An entry that joins later
	// applies the grant before its own join, and sends no work before it has joined.
	for m := range s.Members() {
		g.Waiting = append(g.Waiting, m.Incarnation)
	}
	s.setInstance(i.WithPhase(phaseOf(g), g).WithVersion(offset))
	return accepted
}

// phaseOf returns Draining while a grant waits for members, otherwise Drained.
func phaseOf(g *Grant) Phase {
	if len(g.Waiting) > 0 {
		return Draining
	}
	return Drained
}

func (s *State) checkTarget(i *Instance, r *recpb.Drain) Verdict {
	if r.GetTarget() == "" {
		return accepted
	}
	if _, ok := s.pools.get(r.GetTarget()); !ok || r.GetTarget() == i.Pool {
		return refused(BadTarget)
	}
	return accepted
}

// checkWave checks that the wave is running, that its step for the instance is still to
// be done and that the wave is below its limit of concurrent drains.
func (s *State) checkWave(i *Instance, name string) Verdict {
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
	if w.Limit > 0 && s.countGrants(name) >= w.Limit {
		return refused(OverLimit)
	}
	return accepted
}

// countGrants returns the number of instances under a grant of a wave.
func (s *State) countGrants(wave string) uint32 {
	var n uint32
	for i := range s.Instances() {
		if i.Grant != nil && i.Grant.Wave == wave {
			n++
		}
	}
	return n
}

// instanceUnderGrant returns the instance if it is under the grant with that offset,
// otherwise nil and the verdict that refuses the record.
func (s *State) instanceUnderGrant(name string, grant uint64) (*Instance, Verdict) {
	i, ok := s.instances.get(name)
	if !ok {
		return nil, refused(NotFound)
	}
	if i.Grant == nil || i.Grant.Offset != grant {
		return nil, refused(WrongGrant)
	}
	return i, accepted
}

func (s *State) applyDrained(r *recpb.Drained) Verdict {
	i, v := s.instanceUnderGrant(r.GetName(), r.GetGrant())
	if i == nil {
		return v
	}
	m := Incarnation{r.GetMember(), r.GetIncarnation()}
	if !s.isMember(m) {
		return refused(NotMember)
	}
	if !slices.Contains(i.Grant.Waiting, m) {
		return duplicateOf(i.Grant.Offset)
	}
	s.acknowledge(i, m)
	return accepted
}

// acknowledge removes a member from those that a drain waits for. The instance becomes
// drained when none is left.
func (s *State) acknowledge(i *Instance, m Incarnation) {
	g := i.Grant.WithoutWaiting(m)
	s.setInstance(i.WithPhase(phaseOf(g), g))
}

func (s *State) applyRestart(r *recpb.Restart) Verdict {
	i, v := s.instanceUnderGrant(r.GetName(), r.GetGrant())
	if i == nil {
		return v
	}
	if i.Grant.Target != "" {
		return refused(BadTarget)
	}
	if i.Phase == Restarting {
		return duplicateOf(i.Grant.Offset)
	}
	if i.Phase != Drained {
		return refused(NotDrained)
	}
	g := *i.Grant
	g.Boot = i.Boot
	s.setInstance(i.WithPhase(Restarting, &g))
	return accepted
}

func (s *State) applyBack(offset uint64, r *recpb.Back) Verdict {
	i, v := s.instanceUnderGrant(r.GetName(), r.GetGrant())
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

// completeStep marks the step of the wave that drained the instance as done. A separate
// record for the step would leave a gap in which the planner drains the instance again.
func (s *State) completeStep(wave, name string) {
	w, ok := s.waves.get(wave)
	if !ok || w.Phase == Finished {
		return
	}
	if _, ok := w.Step(name); ok {
		s.setWave(w.WithStep(name, Done))
	}
}

// applyMoved moves a drained instance to its target pool. The target's budget can't
// refuse the move, because the move takes no instance of the target out of service.
// Until the instance is observed to be up, it counts there as unavailable when later
// drains are judged.
func (s *State) applyMoved(offset uint64, r *recpb.Moved) Verdict {
	i, v := s.instanceUnderGrant(r.GetName(), r.GetGrant())
	if i == nil {
		return v
	}
	if i.Grant.Moved {
		return duplicateOf(i.Grant.Offset)
	}
	if i.Grant.Target == "" {
		return refused(BadTarget)
	}
	if i.Phase != Drained {
		return refused(NotDrained)
	}
	g := *i.Grant
	g.Moved = true
	// The old pool may have become a spare pool after the instance was registered in it.
	n := s.withSpareHome(s.withSpareHome(i).WithPool(g.Target))
	s.setInstance(n.WithPhase(Drained, &g).WithVersion(offset))
	return accepted
}

func (s *State) applyCancel(offset uint64, r *recpb.Cancel) Verdict {
	i, ok := s.instances.get(r.GetName())
	if !ok {
		return refused(NotFound)
	}
	if v, ok := checkBase(r.GetEdit(), i.Version); !ok {
		return v
	}
	if _, v := s.instanceUnderGrant(r.GetName(), r.GetGrant()); v != accepted {
		return v
	}
	if i.Phase == Restarting || i.Grant.Moved {
		return refused(WrongPhase)
	}
	s.setInstance(i.WithPhase(Serving, nil).WithVersion(offset))
	return accepted
}
