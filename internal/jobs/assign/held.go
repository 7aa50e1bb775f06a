package assign

import (
	"slices"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// noteHeld records since when tasks of a step are kept away from executors with capacity.
func (p *plan) noteHeld(s *track.Step) {
	switch {
	case !p.held:
		s.HeldSince = 0
	case s.HeldSince == 0:
		s.HeldSince = max(p.now, 1)
	}
}

// isRelaxed reports whether tasks of a step have been kept away from executors with capacity for as long as they may.
// The better ones may be full for hours.
func (p *plan) isRelaxed(s *track.Step) bool {
	return !p.strict && s.HeldSince > 0 && p.now >= s.HeldSince+p.patience()
}

// mayRelax reports whether a task may start on an executor that it is kept away from, if there is no better one.
// Where much of the pool is in use, a suspect keeps its bound: jobs would lose attempts there, and others need the
// capacity that becomes free.
func (p *plan) mayRelax(s *track.Step, t *track.Task, m *execs.Member, isPastBound bool) bool {
	if isPastBound && p.patience() > idleWait || slices.Contains(t.Avoided, m.Key) && !isRetryDue(t, m, p.now) {
		return false
	}
	return p.isRelaxed(s)
}
