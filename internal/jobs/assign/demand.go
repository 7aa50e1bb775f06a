package assign

import (
	"sort"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/share"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Blocked reports whether the limit of an account keeps a task of a step, or a whole gang, from starting
// after other starts of the account. It may be nil if there are no limits.
type Blocked func(s *track.Step, starts model.Amount) bool

// demand counts the tasks of each account that could start within its limit, one after the other. It keeps
// its memory when it is reset.
type demand struct {
	isBlocked Blocked
	index     map[string]int
	accounts  []accountDemand
}

// accountDemand is the demand of an account.
type accountDemand struct {
	// starts are the tasks that were counted as startable.
	starts model.Amount
	// work is that of all waiting tasks in core-seconds, and startable the part of it that could start. cores are
	// what its runs and startable tasks use, in thousandths. held is set if its limit keeps tasks from starting.
	work, startable float64
	cores           int64
	held            bool
}

func (d *demand) reset(isBlocked Blocked) {
	d.isBlocked, d.accounts = isBlocked, d.accounts[:0]
	clear(d.index)
}

// of returns the position of an account.
func (d *demand) of(account string) int {
	i, ok := d.index[account]
	if !ok {
		if d.index == nil {
			d.index = map[string]int{}
		}
		i = len(d.accounts)
		d.index[account] = i
		d.accounts = append(d.accounts, accountDemand{})
	}
	return i
}

// take returns how many of n waiting tasks of a step could start after those that were taken before, and takes
// them. Of a gang it is all or none.
func (d *demand) take(account int, s *track.Step, n int) int {
	if d.isBlocked == nil || n <= 0 {
		return max(n, 0)
	}
	starts := &d.accounts[account].starts
	isBlocked := func(k int) bool { return d.isBlocked(s, starts.Plus(s.Need.Times(int64(k)))) }
	switch {
	case isBlocked(0):
		return 0
	case !s.Gang && n > 1 && isBlocked(n-1):
		// The first task fits and the last one does not.
		n = 1 + sort.Search(n-2, func(k int) bool { return isBlocked(k + 1) })
	}
	*starts = starts.Plus(s.Need.Times(int64(n)))
	return n
}

// pending tells which tasks of a job wait for capacity. Those of a poison job wait for the outcome of the one
// that is tried.
type pending struct {
	isPoison bool
	probe    *track.Task
}

func pendingOf(j *track.Job) pending {
	if !j.IsPoison() {
		return pending{}
	}
	return pending{true, j.Probe()}
}

// in returns the number of such tasks of a step.
func (p pending) in(s *track.Step) int {
	switch {
	case p.isPoison && (p.probe == nil || p.probe.Step != s):
		return 0
	case p.isPoison && !s.Gang:
		return 1
	}
	return max(s.Left-s.Running, 0)
}

// workOf returns the estimated work of n tasks of a step in core-seconds.
func workOf(s *track.Step, n int) float64 {
	return float64(n) * float64(s.Reservation().Cores) / 1000 * s.Estimate.Seconds()
}

// Backlog is the waiting work of a pool that is served before another excess job. What an account's limit holds
// back delays others only as far as the account's runs, which it follows, do.
type Backlog struct {
	demand
	// unlimited is the work of the jobs without an account, in core-seconds.
	unlimited float64
	// promoted are the starts of promoted jobs, and limited is memory for Work.
	promoted demand
	limited  []share.Limited
}

// count counts the waiting work of a job, unless it is served after another excess job, and what it runs.
func (b *Backlog) count(j *track.Job, waits bool) {
	p := pendingOf(j)
	a := -1
	if j.Account != "" {
		a = b.of(j.Account)
	}
	for _, o := range j.Open {
		for _, s := range o.Steps {
			if s.LongRunning {
				continue
			}
			n := 0
			if waits {
				n = p.in(s)
			}
			if a < 0 {
				b.unlimited += workOf(s, n)
				continue
			}
			u := &b.accounts[a]
			u.work += workOf(s, n)
			starts := 0
			if n > 0 && s.IsReady() {
				starts = b.take(a, s, n)
				u.startable += workOf(s, starts)
				u.held = u.held || starts < n
			}
			u.cores += int64(s.Running+starts) * s.Reservation().Cores
		}
	}
}

// Work returns the work that is served before another excess job by a pool of some cores, in thousandths, in
// core-seconds.
func (b *Backlog) Work(cores int64) float64 {
	unlimited, startable := b.unlimited, 0.0
	b.limited = b.limited[:0]
	for _, u := range b.accounts {
		if u.held {
			b.limited = append(b.limited, share.Limited{Work: u.work, Cores: u.cores})
			startable += u.startable
		} else {
			unlimited += u.work
		}
	}
	// However short that takes, tasks that could start go first.
	return max(share.WorkBefore(unlimited, b.limited, cores), unlimited+startable)
}

// Accept counts a job that was accepted since the order was computed, and returns the work of its tasks that could start
// within its account's limit, in core-seconds. Starts since then count twice, in favour of the next submission.
func (b *Backlog) Accept(j *track.Job) float64 {
	p := pendingOf(j)
	sum := 0.0
	for _, o := range j.Open {
		for _, s := range o.Steps {
			n := p.in(s)
			if j.Account != "" && s.IsReady() {
				n = b.take(b.of(j.Account), s, n)
			}
			if !s.LongRunning {
				sum += workOf(s, n)
			}
		}
	}
	return sum
}
