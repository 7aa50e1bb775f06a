// Package quota decides whether a start stays within the limit of its client account. It reads no
// clock and makes no calls.
package quota

import (
	"maps"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Ledger holds what each account may have running. As a track.Usage it follows the runs of a
// tracker. The zero value is empty. A Ledger is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*usage
	// freed are the services with tasks that were skipped for the limits of accounts whose usage has
	// fallen since.
	freed map[string]struct{}
	// holds are the accounts with room that is reserved for a gang.
	holds map[string]*usage
	// checkedAt is when the reservations were last checked.
	checkedAt time.Duration
}

// usage is what an account uses.
type usage struct {
	// held is the usage of the runs that are known, and lasting the part of it for runs that last until
	// they are cancelled. unknown bounds the usage of the runs of earlier leaders that are not known.
	// planned is that of the starts in the current round.
	held, lasting, unknown, planned model.Amount
	hold
	// blocked are the services with tasks that were skipped since usage last fell.
	blocked []string
}

func (l *Ledger) of(account string) *usage {
	u := l.accounts[account]
	if u == nil {
		if l.accounts == nil {
			l.accounts = map[string]*usage{}
		}
		u = &usage{}
		l.accounts[account] = u
	}
	return u
}

// RunBegins counts a run of a step.
func (l *Ledger) RunBegins(s *track.Step) {
	account := s.Occ.Job.Account
	if l.Charge(account, s.Need); s.LongRunning && account != "" {
		u := l.of(account)
		u.lasting = u.lasting.Plus(s.Need)
	}
}

// RunEnded releases a run of a step.
func (l *Ledger) RunEnded(s *track.Step) {
	account := s.Occ.Job.Account
	if l.Release(account, s.Need); s.LongRunning && account != "" {
		u := l.of(account)
		u.lasting = u.lasting.Minus(s.Need)
	}
}

// Charge adds to the usage of an account. Without an account it does nothing.
func (l *Ledger) Charge(account string, a model.Amount) {
	if account != "" {
		u := l.of(account)
		u.held = u.held.Plus(a)
	}
}

// Release takes back what was charged, once its end is certain.
func (l *Ledger) Release(account string, a model.Amount) {
	if account != "" {
		u := l.of(account)
		u.held = u.held.Minus(a)
		l.free(u)
	}
}

// free records that the usage of an account has fallen.
func (l *Ledger) free(u *usage) {
	for _, s := range u.blocked {
		if l.freed == nil {
			l.freed = map[string]struct{}{}
		}
		l.freed[s] = struct{}{}
	}
	u.blocked = u.blocked[:0]
}

// SetUnknown sets, by account, what the runs of earlier leaders that are not known may use.
func (l *Ledger) SetUnknown(amounts map[string]model.Amount) {
	for name := range amounts {
		l.of(name)
	}
	for name, u := range l.accounts {
		if a := amounts[name]; a != u.unknown {
			u.unknown = a
			l.free(u)
		}
	}
}

// Used returns what counts against the limit of an account.
func (l *Ledger) Used(account string) model.Amount {
	if u := l.accounts[account]; u != nil {
		return u.total()
	}
	return model.Amount{}
}

// Freed returns the services with tasks that were skipped for the limits of accounts whose usage has
// fallen since, and forgets them.
func (l *Ledger) Freed() []string {
	if len(l.freed) == 0 {
		return nil
	}
	out := slices.Collect(maps.Keys(l.freed))
	clear(l.freed)
	return out
}

// Blocks reports whether the limit of an account keeps a task of a step, or a whole gang, from starting.
func (l *Ledger) Blocks(a *model.Account, s *track.Step) bool {
	return l.BlocksAfter(a, s, model.Amount{})
}

// BlocksAfter is Blocks after other starts of the account.
func (l *Ledger) BlocksAfter(a *model.Account, s *track.Step, starts model.Amount) bool {
	if a == nil || !a.IsLimited() {
		return false
	}
	u := l.accounts[a.Name]
	if u == nil {
		u = &usage{}
	}
	return !u.fits(a, s, starts.Plus(needOf(s)))
}

// needOf returns what starts together: a gang, or one task of another step.
func needOf(s *track.Step) model.Amount {
	if s.Gang {
		return s.Need.Times(int64(len(s.Tasks)))
	}
	return s.Need
}

func (u *usage) total() model.Amount { return u.held.Plus(u.unknown).Plus(u.planned) }

// fits reports whether a need of a step is within a limit, with the room that is reserved for another.
func (u *usage) fits(a *model.Account, s *track.Step, need model.Amount) bool {
	sum := u.total().Plus(need)
	if u.gang != nil && u.gang != s {
		sum = sum.Plus(u.gangNeed)
	}
	return a.Allows(sum)
}
