package state

// inconsistent names the first part of a decoded state that Apply could not have
// made. Apply relies on these properties.
func (s *State) inconsistent() string {
	switch {
	case !s.consistentPools():
		return "pools"
	case !s.consistentInstances():
		return "instances"
	case !s.consistentWaves():
		return "waves"
	case !s.consistentJobs():
		return "jobs"
	case !s.ids.consistent(s.applied) || !s.changes.consistent(s.applied):
		return "verdicts"
	case len(s.gone) > maxGone || s.epoch > s.applied || s.left > s.epoch || s.lease.Offset > s.applied:
		return "members"
	}
	return ""
}

func (s *State) consistentPools() bool {
	for p := range s.Pools() {
		if !named(p.Name) || !p.Budget.Valid() || !s.past(p.Version) {
			return false
		}
	}
	for v := range s.Services() {
		_, ok := s.pools.get(v.Pool)
		if !ok || !named(v.Name) || v.Weight == 0 || !s.past(v.Version) {
			return false
		}
	}
	for t := range s.Teams() {
		if !named(t.Name) || t.Weight == 0 || !s.past(t.Version) {
			return false
		}
	}
	return true
}

// past says whether an offset is that of an applied record.
func (s *State) past(offset uint64) bool { return offset > 0 && offset <= s.applied }

func (s *State) consistentInstances() bool {
	for i := range s.Instances() {
		_, ok := s.pools.get(i.Pool)
		if !ok || !named(i.Name) || !s.past(i.Version) || i.Health > Down {
			return false
		}
		if !s.consistentGrant(i) {
			return false
		}
	}
	for m := range s.Members() {
		if !named(m.Name) || !s.past(m.Joined) || m.Evicted != (m.Since > 0) || m.Since > s.applied {
			return false
		}
	}
	return true
}

// consistentGrant says whether the phase of an instance agrees with its grant.
func (s *State) consistentGrant(i *Instance) bool {
	g := i.Grant
	if g == nil {
		return i.Phase == Serving
	}
	if !s.past(g.Offset) || g.Moved && (i.Phase != Drained || i.Pool != g.Target) {
		return false
	}
	if _, ok := s.pools.get(g.Target); !ok && g.Target != "" {
		return false
	}
	for at, m := range g.Waiting {
		if !s.joined(m) || at > 0 && g.Waiting[at-1].Name >= m.Name {
			return false
		}
	}
	if i.Phase == Restarting {
		return len(g.Waiting) == 0 && g.Target == ""
	}
	return i.Phase == phaseOf(g)
}

func (s *State) consistentWaves() bool {
	for w := range s.Waves() {
		if !named(w.Name) || !s.past(w.Version) || w.Phase < Running || w.Phase > Finished {
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

func (s *State) consistentJobs() bool {
	final := 0
	for j := range s.Jobs() {
		if !named(j.Name) || !s.past(j.Version) || j.Phase < Queued || j.Phase > Cancelled {
			return false
		}
		if j.Phase.Final() != (j.Ended > 0) || j.Ended > s.applied || j.Token > s.applied {
			return false
		}
		if j.Phase.Final() {
			final++
		}
	}
	return final <= maxEnded && final == s.ended.size
}

// consistent says whether the offsets are past and no two ids have the same one.
func (m memory) consistent(applied uint64) bool {
	if m.size > maxSeen || m.size != m.order.size {
		return false
	}
	last := uint64(0)
	for offset := range m.order.all() {
		if offset <= last || offset > applied {
			return false
		}
		last = offset
	}
	return true
}
