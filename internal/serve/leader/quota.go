package leader

import (
	"context"

	"slices"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/quota"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/platform"
)

// quotaState is what client accounts use.
type quotaState struct {
	// ledger follows the runs of the tracker.
	ledger quota.Ledger
	// orphans are, by executor, the orphaned runs with charges in its last list.
	orphans map[*member]orphans
	// ended are the ended jobs with orphaned runs.
	ended map[*track.Job]endedUse
	// allKnown is set once no run of an earlier leader is unknown.
	allKnown bool
}

// planWithin plans starts of a service within the limits of the configuration in force, which count the
// starts of the services that were planned before.
func (l *Leader) planWithin(service string, plan func(assign.Allowance) []assign.Start) []assign.Start {
	c := l.Orders.Config()
	if len(c.Accounts) == 0 {
		return plan(nil)
	}
	round := l.quota.ledger.Begin(c, service, l.now)
	defer round.End()
	return plan(round)
}

// countFormerRuns counts the runs of earlier leaders that are not known: for each account the smaller of
// what its unresolved tasks and its ended jobs may have running and the capacity of the executors that
// have not listed their runs.
func (l *Leader) countFormerRuns() {
	if l.quota.allKnown {
		return
	}
	capacity, executors, known := l.unlistedCapacity()
	if known && executors == 0 || l.now >= l.formerRunsEnd() {
		l.tracker.ForgetLeft()
	}
	amounts := map[string]model.Amount{}
	for account, left := range l.tracker.Unlisted() {
		amounts[account] = left.Total()
		if known {
			amounts[account] = left.Bound(capacity)
		}
	}
	l.quota.ledger.SetUnknown(amounts)
	l.quota.allKnown = l.allResolved && !l.tracker.HasLeft()
}

// unlistedCapacity returns the capacity and number of the executors that may run tasks of earlier leaders
// and have not listed all of them, or false if that is not known.
func (l *Leader) unlistedCapacity() (model.Amount, int, bool) {
	var sum model.Amount
	n := 0
	if l.fleet.listedAt == 0 && l.Settings.Cloud.Addr != "" {
		return sum, n, false // executors without a report in the store are not known yet
	}
	for _, m := range l.members {
		if m.Contact == execs.Uncontacted || m.Contact != execs.Dead && m.formerUnlisted {
			sum, n = sum.Plus(m.Capacity), n+1
		}
	}
	for _, us := range l.fleet.unregistered {
		for _, u := range us {
			if l.byID[u.executor] != nil || u.ended {
				continue
			}
			in, ok := l.fleet.instances[u.instance]
			if !ok {
				return sum, n, false
			}
			sum, n = sum.Plus(in.Capacity), n+1
		}
	}
	return sum, n, true
}

// orphans are the orphaned runs on an executor.
type orphans struct {
	rows []model.Run
	// charges are what those with known steps charge each account, and ended bounds what those of each ended
	// job use there.
	charges map[string]model.Amount
	ended   map[*track.Job]model.Amount
}

// endedUse is what the orphaned runs of an ended job charge its account: what the job left, or the sum of the
// bounds on all executors if that is less.
type endedUse struct{ bound, charged model.Amount }

// chargeOrphans replaces the charges for orphaned runs on an executor by those for some rows of a list. If the
// list is partial, the charges for a former orphan that is in neither of its parts don't fall. A run of a job
// that is not known, or of no account, is not charged: an ended job is known for longer than leases last.
func (l *Leader) chargeOrphans(m *member, rows []model.Run, list platform.PollResult) {
	former := l.quota.orphans[m]
	if len(rows)+len(former.rows) == 0 {
		return
	}
	next := l.orphansOn(m, rows)
	if list.IsPartial() {
		for _, f := range former.rows {
			if slices.ContainsFunc(list.Running, func(r model.Run) bool { return r.Task == f.Task && r.Attempt == f.Attempt }) ||
				slices.ContainsFunc(list.Ended, func(e model.End) bool { return e.Task == f.Task && e.Attempt == f.Attempt }) {
				continue
			}
			next.rows = append(next.rows, f)
			if j := l.tracker.Job(f.Task.Job); j != nil && j.Account != "" {
				next.charges[j.Account] = next.charges[j.Account].Max(former.charges[j.Account])
				next.ended[j] = next.ended[j].Max(former.ended[j])
			}
		}
	}
	for account, a := range next.charges {
		l.quota.ledger.Charge(account, a)
	}
	for account, a := range former.charges {
		l.quota.ledger.Release(account, a)
	}
	for j, a := range next.ended {
		l.chargeEnded(j, a.Minus(former.ended[j]))
	}
	for j, a := range former.ended {
		if _, ok := next.ended[j]; !ok {
			l.chargeEnded(j, model.Amount{}.Minus(a))
		}
	}
	delete(l.quota.orphans, m)
	if len(next.charges)+len(next.ended) > 0 {
		if l.quota.orphans == nil {
			l.quota.orphans = map[*member]orphans{}
		}
		l.quota.orphans[m] = next
	}
}

// chargeEnded adds to the bounds of the orphaned runs of an ended job.
func (l *Leader) chargeEnded(j *track.Job, more model.Amount) {
	u := l.quota.ended[j]
	u.bound = u.bound.Plus(more)
	charge := u.bound
	if left := j.Left(); left != (track.Left{}) {
		charge = charge.Min(left.Total())
	}
	l.quota.ledger.Charge(j.Account, charge)
	l.quota.ledger.Release(j.Account, u.charged)
	u.charged = charge
	if u == (endedUse{}) {
		delete(l.quota.ended, j)
		return
	}
	if l.quota.ended == nil {
		l.quota.ended = map[*track.Job]endedUse{}
	}
	l.quota.ended[j] = u
}

// orphansOn returns orphaned runs on an executor with what they may need.
func (l *Leader) orphansOn(m *member, rows []model.Run) orphans {
	out := orphans{slices.Clone(rows), map[string]model.Amount{}, map[*track.Job]model.Amount{}}
	for _, row := range rows {
		j := l.tracker.Job(row.Task.Job)
		if j == nil || j.Account == "" {
			continue
		}
		if n := row.Task.Step; n < len(j.Spec.Steps) {
			out.charges[j.Account] = out.charges[j.Account].Plus(j.Spec.Steps[n].Need)
			continue
		}
		// The steps of an ended job are not known any more, but what its runs needed together is.
		need := m.Free().Max(model.Amount{})
		if left := j.Left(); left != (track.Left{}) {
			need = left.Bound(need)
		}
		out.ended[j] = need
	}
	return out
}

// expireOrphans ends the charges for orphaned runs whose leases have expired, and renews the records of the jobs
// of the others.
func (l *Leader) expireOrphans() {
	for m, o := range l.quota.orphans {
		if m.Contact != execs.Live && l.LastRenewal() >= m.leaseEnd {
			l.chargeOrphans(m, nil, platform.PollResult{})
			continue
		}
		for _, row := range o.rows {
			if j := l.tracker.Job(row.Task.Job); j != nil {
				l.tracker.RenewLeft(j, l.wall)
			}
		}
	}
}

// LimitRefusal returns why a job is refused because of its account's limit, or an empty string: a task or
// a gang needs more than the limit, and could never start. It returns false if there is no memory to decode
// the body.
func LimitRefusal(ctx context.Context, g *guard.Guard, c *model.Config, account string, body []byte) (string, bool) {
	a := limitedAccount(c, account)
	if a == nil {
		return "", true
	}
	release, ok := g.Decode(ctx, body)
	if !ok {
		return "", false
	}
	defer release()
	spec, err := platform.DecodeJob(body)
	if err != nil {
		return "", true // the entry that received the job has checked it
	}
	return quota.Refusal(a, spec.Steps), true
}

// limitedAccount returns an account with a limit, or nil.
func limitedAccount(c *model.Config, name string) *model.Account {
	if c == nil {
		return nil
	}
	a := c.AccountByName(name)
	if a == nil || !a.IsLimited() {
		return nil
	}
	return a
}

// isAtLimit reports whether a step could start but for its account's limit.
func (l *Leader) isAtLimit(s *track.Step) bool {
	j, c := s.Occ.Job, l.Orders.Config()
	return j.Account != "" && c != nil && s.IsReady() && l.quota.ledger.Blocks(c.AccountByName(j.Account), s)
}

// isBlockedAfter reports whether its account's limit keeps a step from starting after other starts of the
// account.
func (l *Leader) isBlockedAfter(s *track.Step, starts model.Amount) bool {
	c := l.Orders.Config()
	return c != nil && l.quota.ledger.BlocksAfter(c.AccountByName(s.Occ.Job.Account), s, starts)
}

// waitsForLimit reports whether tasks of a job wait because of its account's limit.
func (l *Leader) waitsForLimit(j *track.Job) bool {
	for _, o := range j.Open {
		for _, s := range o.Steps {
			if l.isAtLimit(s) && hasWaiting(s) {
				return true
			}
		}
	}
	return false
}
