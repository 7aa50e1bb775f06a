package assign

import (
	"math"
	"slices"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// failureWeight is the cost of a suspect's failure rate. A failure costs a repeated run, as a run of
// twice the usual time does, and an attempt as well.
const failureWeight = 2 * slownessWeight

// roomOf returns a function that says how many more runs an executor may hold, given whether bounds
// apply.
func roomOf(bounded bool) func(*execs.Member) int {
	if bounded {
		return (*execs.Member).Room
	}
	return func(*execs.Member) int { return math.MaxInt }
}

// usesRoom reports whether a run of a step counts against the bound of a suspect. The placed members of a
// gang there count as one run: the bound grows only with successes, and a gang that needs several places
// there would never start.
func usesRoom(s *track.Step, m *execs.Member, placed map[string]int) bool {
	return !s.LongRunning && !(s.Gang && placed[m.Key] > 0)
}

// suspectCost returns the cost of a suspect's failure rate, 0 for other executors.
func (p *plan) suspectCost(m *execs.Member) float64 {
	if !p.bounded || !m.IsSuspect() {
		return 0
	}
	return failureWeight * m.FailureRate()
}

// avoidsSuspect reports whether a task that has failed before is kept away from a suspect because
// another executor can host it: a second failure there could end its job.
func (p *plan) avoidsSuspect(s *track.Step, t *track.Task, m *execs.Member, placed map[string]int) bool {
	if !p.bounded || !m.IsSuspect() || t.Failures() == 0 {
		return false
	}
	return slices.ContainsFunc(p.all, func(sl *slot) bool {
		return !sl.m.IsSuspect() && canHost(s, sl.m, placed) && p.policy(s, sl.m) != Denied
	})
}
