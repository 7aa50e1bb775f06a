package leader

import (
	"cmp"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// commonRestartWindow is the time within which restarts may have a cause in common. That executors
	// return within it after a power failure is an assumption, not measured.
	commonRestartWindow = 5 * time.Second
	// commonRestartShare is the share of a data centre's executors, and minCommonRestarts their least
	// number, that restart within that time because of a common cause. In the days of deploy/days up to
	// 15% of the executors flap on their own account, and the failure of a domain takes 30%.
	commonRestartShare = 0.25
	minCommonRestarts  = 3
	// lateOrderTime is how long after an order for an instance its executor's restart counts as planned.
	// An order was carried out after 12 s in a review (KNOWN-RED.txt), and maintenance takes some seconds.
	lateOrderTime = 30 * time.Second
)

// restart is an unplanned restart of an executor that ended runs.
type restart struct {
	id, centre string
	at         time.Duration
	next       *member
	// withdrawn is set once its fault has been withdrawn.
	withdrawn bool
}

// countLost counts the runs on an executor that end with it, unless its end is planned.
func (l *Leader) countLost(m *member) {
	if m.Contact == execs.Dead || l.isEndPlanned(m) {
		return
	}
	for r := range l.tracker.RunsOn(m.Key) {
		// The next incarnation may have confirmed a run that was ordered around the restart.
		if r.Phase == track.Running && !(m.mayHaveRestarted && r.OrderedAt >= m.restartSeenAt-startTimeout) {
			m.lost++
		}
	}
}

// isEndPlanned reports whether an executor may end because of an order of a leader for its instance, or
// because it is draining.
func (l *Leader) isEndPlanned(m *member) bool {
	if m.Draining || m.Leaving {
		return true
	}
	host := cmp.Or(m.Instance, m.host)
	if l.fleet.operations[host] != nil {
		return true
	}
	if p := l.fleet.instances[host].Phase; p == model.Moving || p == model.Maintenance {
		return true
	}
	o, ok := l.fleet.lastOrders[host]
	return ok && l.wall < o.at+lateOrderTime
}

// recordRestart records the restart of an executor that ended runs. It counts for nobody if many executors
// of its data centre restart at once.
func (l *Leader) recordRestart(old, next *member) {
	if old.lost == 0 {
		return
	}
	was := next.IsSuspect()
	next.RecordRestart(old.lost, old.lostFault, l.now)
	l.restarts = slices.DeleteFunc(l.restarts, func(r restart) bool { return l.now > r.at+commonRestartWindow })
	l.restarts = append(l.restarts, restart{id: old.ID, centre: old.Centre, at: l.now, next: next})
	ids := map[string]bool{}
	for _, r := range l.restarts {
		if r.centre == old.Centre {
			ids[r.id] = true
		}
	}
	if len(ids) >= minCommonRestarts && float64(len(ids)) >= commonRestartShare*float64(l.countInCentre(old.Centre)) {
		for id := range ids {
			l.withdrawRestart(id)
		}
		return
	}
	l.Log.Info().Str("executor", old.ID).Int("lost", old.lost).Float64("rate", next.FailureRate()).Msg("restart ended runs")
	l.noteSuspect(next, was, "it restarts while it has runs")
}

// withdrawRestart withdraws the last restart of an executor, once.
func (l *Leader) withdrawRestart(id string) {
	for i := len(l.restarts) - 1; i >= 0; i-- {
		if r := &l.restarts[i]; r.id == id {
			if r.withdrawn {
				return
			}
			r.withdrawn = true
			r.next.WithdrawRestart()
			if m := l.byID[id]; m != nil && m != r.next {
				m.WithdrawRestart() // it has restarted again, without runs
			}
			return
		}
	}
}

// countInCentre counts the executors of a data centre that have not ended, with those that have not
// answered since a failure.
func (l *Leader) countInCentre(centre string) int {
	ids := map[string]bool{}
	for _, m := range l.members {
		if m.Centre == centre && m.Contact != execs.Dead {
			ids[m.ID] = true
		}
	}
	return len(ids)
}
