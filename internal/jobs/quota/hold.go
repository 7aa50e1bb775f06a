package quota

import (
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// holdTime is how long room stays reserved for a gang that placement has not reached again. Rounds
	// with waiting tasks are at most 200 ms apart, but placement does not reach a gang whose service has
	// no executors, and its account's other tasks must not wait for that.
	holdTime = 1 * time.Second
	// capacityWait is how long room stays reserved for a gang that is within the limit and for which
	// there is no capacity, and holdPause the time without a reservation after that. Without the pause,
	// a gang that no executors can run would keep its account's usage at half.
	capacityWait = 1 * time.Second
	holdPause    = 3 * time.Second
)

// hold is the room of an account that is reserved for a gang: smaller tasks would take all that
// becomes free. The first waiting gang that placement reaches gets it.
type hold struct {
	// gang is the gang, nil for none, and gangNeed what it needs.
	gang     *track.Step
	gangNeed model.Amount
	// heldAt is when placement last reached the gang. fitting is set while it is within the limit,
	// which it has been since fitAt.
	heldAt, fitAt time.Duration
	fitting       bool
	// pausedUntil is the time before which no room is reserved.
	pausedUntil time.Duration
}

// update begins, renews or ends the reservation for a gang that is reached.
func (l *Ledger) update(u *usage, a *model.Account, s *track.Step, need model.Amount, fits bool, now time.Duration) {
	// Runs that last don't make room for a gang, however long its account's other tasks wait.
	canFit := a.Allows(need.Plus(u.lasting))
	switch {
	case u.gang == s && !canFit:
		l.drop(a.Name, u)
	case u.gang == s:
		u.heldAt = now
		if fits && !u.fitting {
			u.fitAt = now
		}
		u.fitting = fits
	case u.gang == nil && !fits && canFit && now >= u.pausedUntil:
		u.gang, u.gangNeed, u.heldAt, u.fitting = s, need, now, false
		if l.holds == nil {
			l.holds = map[string]*usage{}
		}
		l.holds[a.Name] = u
	}
}

// drop ends a reservation.
func (l *Ledger) drop(account string, u *usage) {
	u.gang, u.gangNeed = nil, model.Amount{}
	delete(l.holds, account)
	l.free(u)
}

// dropStale ends the reservations for gangs that don't wait any more or that placement does not reach. It looks
// at all members of these gangs, once for the services that are planned at the same time.
func (l *Ledger) dropStale(now time.Duration) {
	if now == l.checkedAt {
		return
	}
	l.checkedAt = now
	for name, u := range l.holds {
		if s := u.gang; s.Occ.Job.IsOver() || !s.IsReady() || !isWhole(s) || now > u.heldAt+holdTime {
			l.drop(name, u)
		}
	}
}

// isWhole reports whether all members of a gang wait.
func isWhole(s *track.Step) bool {
	return !slices.ContainsFunc(s.Tasks, func(t *track.Task) bool { return !t.IsWaiting() })
}
