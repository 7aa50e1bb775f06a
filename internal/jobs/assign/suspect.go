package assign

import (
	"slices"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// failureWeight is the cost of a suspect's failure rate. A failure costs a repeated run, as a run of
// twice the usual time does, and an attempt as well.
const failureWeight = 2 * slownessWeight

// boundsApply reports whether the bounds of suspects apply to a step. They don't if most of the executors
// that can host it are suspects, such as the few with its label.
func boundsApply(pool execs.Pool, s *track.Step, policy Policy) bool {
	if !pool.HasSuspects() {
		return false
	}
	need := s.Reservation()
	return pool.BoundsApply(func(m *execs.Member) bool {
		return m.HasLabel(s.Label) && need.FitsIn(m.Capacity) && policy(s, m) != Denied
	})
}

// isBounded reports whether the bounds of suspects apply to a step.
func (p *plan) isBounded(s *track.Step) bool {
	if p.boundsOf != s {
		p.boundsOf, p.bounded = s, boundsApply(p.pool, s, p.policy)
	}
	return p.bounded
}

// usesRoom reports whether a run of a step counts against the bound of a suspect. The placed members of a
// gang there count as one run: the bound grows only with successes, and a gang that needs several places
// there would never start.
func usesRoom(s *track.Step, m *execs.Member, placed map[string]int) bool {
	return !s.LongRunning && !(s.Gang && placed[m.Key] > 0)
}

// suspectCost returns the cost of a suspect's failure rate, 0 for other executors.
func (p *plan) suspectCost(s *track.Step, m *execs.Member) float64 {
	if !m.IsSuspect() || !p.isBounded(s) {
		return 0
	}
	return failureWeight * m.FailureRate()
}

// avoidsSuspect reports whether a task that has failed before is kept away from a suspect because
// another executor can host it: a second failure there could end its job.
func (p *plan) avoidsSuspect(s *track.Step, t *track.Task, m *execs.Member, placed map[string]int) bool {
	if !m.IsSuspect() || t.Failures() == 0 || !p.isBounded(s) {
		return false
	}
	return slices.ContainsFunc(p.all, func(sl *slot) bool {
		return !sl.m.IsSuspect() && canHost(s, sl.m, placed) && p.policy(s, sl.m) != Denied
	})
}
