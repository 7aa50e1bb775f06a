package quota

import (
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Round is the placement of the tasks of one service within the limits in force. It implements
// assign.Allowance.
type Round struct {
	ledger  *Ledger
	config  *model.Config
	service string
	now     time.Duration
	// planning are the accounts with starts in the round.
	planning []*usage
	// step is the step that was last asked about, account its account, nil without a limit, and used
	// and need the account's usage and what starts together. Steps are asked about task by task.
	step    *track.Step
	account *model.Account
	used    *usage
	need    model.Amount
}

// Begin begins a round for a service. End must be called before the starts are made, which charges
// them to the ledger.
func (l *Ledger) Begin(c *model.Config, service string, now time.Duration) *Round {
	l.dropStale(now)
	return &Round{ledger: l, config: c, service: service, now: now}
}

// End ends the round: its starts are not counted any more.
func (r *Round) End() {
	for _, u := range r.planning {
		u.planned = model.Amount{}
	}
	r.planning = r.planning[:0]
}

// isLimited finds the account of a step and reports whether it has a limit.
func (r *Round) isLimited(s *track.Step) bool {
	if r.step != s {
		r.step, r.account = s, nil
		if name := s.Occ.Job.Account; name != "" {
			if a := r.config.AccountByName(name); a != nil && a.IsLimited() {
				r.account, r.used, r.need = a, r.ledger.of(name), needOf(s)
			}
		}
	}
	return r.account != nil
}

// Fits reports whether a task of a step, or a whole gang, can start within the limit of its account.
func (r *Round) Fits(s *track.Step) bool {
	if !r.isLimited(s) {
		return true
	}
	u := r.used
	fits := u.fits(r.account, s, r.need)
	if s.Gang {
		r.ledger.update(u, r.account, s, r.need, fits, r.now)
	}
	if !fits && !slices.Contains(u.blocked, r.service) {
		u.blocked = append(u.blocked, r.service)
	}
	return fits
}

// Take counts the start of a task of a step, or of a whole gang.
func (r *Round) Take(s *track.Step) {
	if !r.isLimited(s) {
		return
	}
	u := r.used
	if u.planned == (model.Amount{}) {
		r.planning = append(r.planning, u)
	}
	u.planned = u.planned.Plus(r.need)
	if u.gang == s {
		r.ledger.drop(r.account.Name, u)
	}
}

// Yield records that there is no capacity, or no place in the round, for a gang that is within the limit. After a while its
// account's other tasks may use the room.
func (r *Round) Yield(s *track.Step) {
	if !r.isLimited(s) {
		return
	}
	if u := r.used; u.gang == s && r.now > u.fitAt+capacityWait {
		u.pausedUntil = r.now + holdPause
		r.ledger.drop(r.account.Name, u)
	}
}
