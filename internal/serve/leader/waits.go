package leader

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// waitLines is the number of log lines a second, for all jobs, that attribute a wait to an account's limit or
	// share. A job beyond that gets its line later, if it still waits then.
	waitLines = 20
	// waitInterval is the time between searches of a service's jobs for waits that have no line.
	waitInterval = 200 * time.Millisecond
)

// waitState is which waits were logged.
type waitState struct {
	lines  *rate.Limiter
	logged map[*track.Job]waitCauses
	next   map[string]time.Duration // of the searches, by service
}

// waitCauses are the causes of a job's waits that were logged.
type waitCauses struct{ limit, share bool }

// explainWaits logs, once a job and cause, that tasks of a job that placement has left out wait because of their
// account's limit, or behind other accounts' tasks in a full pool.
func (l *Leader) explainWaits(service string, order *jobOrder) {
	c := l.Orders.Config()
	if !c.ChecksKeys || l.now < l.waits.next[service] {
		return
	}
	if l.waits.lines == nil {
		l.waits = waitState{rate.NewLimiter(waitLines, waitLines), map[*track.Job]waitCauses{}, map[string]time.Duration{}}
	}
	l.waits.next[service] = l.now + waitInterval
	load := l.shares.loads[service]
	full := load != nil && load.Full
	for _, j := range order.jobs {
		if j.Account == "" {
			continue
		}
		logged := l.waits.logged[j]
		a := c.AccountByName(j.Account)
		canBeLimited := !logged.limit && a != nil && a.IsLimited()
		canBeBehind := !logged.share && full && (j.Excess || order.above[j.Account])
		if !canBeLimited && !canBeBehind {
			continue
		}
		limit, share := l.waitsOf(j, a)
		switch {
		case limit && canBeLimited:
			logged.limit = l.logWait(j, a, "job waits for the limit of its account")
		case share && canBeBehind && order.above[j.Account]:
			logged.share = l.logWait(j, a, "job waits behind other accounts: its account is above its share")
		case share && canBeBehind:
			logged.share = l.logWait(j, a, "job waits behind other accounts: its account is beyond its rate")
		}
		if logged != (waitCauses{}) {
			l.waits.logged[j] = logged
		}
	}
}

// waitsOf reports whether tasks of a job wait for the limit of its account, and whether others wait that are
// ordered by shares.
func (l *Leader) waitsOf(j *track.Job, a *model.Account) (limit, share bool) {
	for _, o := range j.Open {
		for _, s := range o.Steps {
			if s.Left <= s.Running || !s.IsReady() || !hasWaiting(s) || !mayBeTried(s) {
				continue
			}
			if l.quota.ledger.Blocks(a, s) {
				limit = true
			} else if !s.LongRunning {
				share = true
			}
		}
	}
	return limit, share
}

// logWait logs why a job waits, and reports whether there was room for the line.
func (l *Leader) logWait(j *track.Job, a *model.Account, message string) bool {
	if !l.waits.lines.AllowN(time.Unix(0, int64(l.now)), 1) {
		return false
	}
	limit := model.Amount{}
	if a != nil {
		limit = a.Limit
	}
	l.Log.Info().Str("job", j.ID).Str("account", fmt.Sprintf("%.64s", j.Account)).
		Str("used", amountText(l.quota.ledger.Used(j.Account))).Str("limit", amountText(limit)).Msg(message)
	return true
}

// amountText returns an amount in thousandths of a core, MiB and accelerators.
func amountText(a model.Amount) string {
	return fmt.Sprintf("%d,%d,%d", a.Cores, a.Memory, a.Accelerators)
}

// forgetWaits forgets the waits of jobs that are over.
func (l *Leader) forgetWaits() {
	for j := range l.waits.logged {
		if j.IsOver() || l.tracker.Job(j.ID) != j {
			delete(l.waits.logged, j)
		}
	}
}
