package state

// findInconsistency returns the first part of a decoded state that violates an invariant
// which Apply maintains and relies on, or "" if the state is consistent.
func (s *State) findInconsistency() string {
	switch {
	case !s.hasConsistentPools():
		return "pools"
	case !s.hasConsistentInstances():
		return "instances"
	case !s.hasConsistentWaves():
		return "waves"
	case !s.hasConsistentJobs():
		return "jobs"
	case !s.ids.isConsistent(s.applied) || !s.changes.isConsistent(s.applied):
		return "verdicts"
	case len(s.removed) > maxRemoved || s.epoch > s.applied || s.lastLeave > s.epoch || s.lease.Offset > s.applied:
		return "members"
	}
	return ""
}

func (s *State) hasConsistentPools() bool {
	for p := range s.Pools() {
		if !isValidName(p.Name) || !p.Budget.IsValid() || !s.isApplied(p.Version) {
			return false
		}
	}
	for v := range s.Services() {
		_, ok := s.pools.get(v.Pool)
		if !ok || !isValidName(v.Name) || v.Weight == 0 || !s.isApplied(v.Version) {
			return false
		}
	}
	for t := range s.Teams() {
		if !isValidName(t.Name) || t.Weight == 0 || !s.isApplied(t.Version) {
			return false
		}
	}
	return true
}

// isApplied reports whether an offset is that of an applied record.
func (s *State) isApplied(offset uint64) bool { return offset > 0 && offset <= s.applied }

func (s *State) hasConsistentInstances() bool {
	for i := range s.Instances() {
		_, ok := s.pools.get(i.Pool)
		if !ok || !isValidName(i.Name) || !s.isApplied(i.Version) || i.Health > Down {
			return false
		}
		if !s.hasConsistentGrant(i) {
			return false
		}
	}
	for m := range s.Members() {
		if !isValidName(m.Name) || !s.isApplied(m.Joined) || m.Evicted != (m.EvictedAt > 0) || m.EvictedAt > s.applied {
			return false
		}
	}
	return true
}

// hasConsistentGrant reports whether the phase of an instance agrees with its grant.
func (s *State) hasConsistentGrant(i *Instance) bool {
	g := i.Grant
	if g == nil {
		return i.Phase == Serving
	}
	if !s.isApplied(g.Offset) || g.Moved && (i.Phase != Drained || i.Pool != g.Target) {
		return false
	}
	if _, ok := s.pools.get(g.Target); !ok && g.Target != "" {
		return false
	}
	for at, m := range g.Waiting {
		if !s.isMember(m) || at > 0 && g.Waiting[at-1].Name >= m.Name {
			return false
		}
	}
	if i.Phase == Restarting {
		return len(g.Waiting) == 0 && g.Target == ""
	}
	return i.Phase == phaseOf(g)
}

func (s *State) hasConsistentWaves() bool {
	for w := range s.Waves() {
		if !isValidName(w.Name) || !s.isApplied(w.Version) || w.Phase < Running || w.Phase > Finished {
			return false
		}
		for at, step := range w.Steps {
			if step.Outcome < Todo || step.Outcome > Skipped || at > 0 && w.Steps[at-1].Name >= step.Name {
				return false
			}
		}
		for at := range w.Pools {
			if at > 0 && w.Pools[at-1] >= w.Pools[at] {
				return false
			}
		}
	}
	return true
}

func (s *State) hasConsistentJobs() bool {
	ended := 0
	for j := range s.Jobs() {
		if !isValidName(j.Name) || !s.isApplied(j.Version) || j.Phase < Queued || j.Phase > Cancelled {
			return false
		}
		if j.Phase.IsFinal() != (j.Ended > 0) || j.Ended > s.applied || j.Token > s.applied {
			return false
		}
		if j.Phase.IsFinal() {
			ended++
		}
	}
	return ended <= maxEndedJobs && ended == s.endedJobs.size
}

// isConsistent reports whether the table is within its limit, all offsets are applied
// ones and no two ids have the same offset.
func (t verdictTable) isConsistent(applied uint64) bool {
	if t.size > maxVerdicts || t.size != t.order.size {
		return false
	}
	last := uint64(0)
	for offset := range t.order.all() {
		if offset <= last || offset > applied {
			return false
		}
		last = offset
	}
	return true
}
