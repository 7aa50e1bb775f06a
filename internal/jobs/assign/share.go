package assign

import (
	"iter"
	"maps"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/share"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// OrderJobs returns jobs in the order in which they get capacity. cores is the size of the pool in
// thousandths of a core, wall is in Unix time.
func OrderJobs(jobs []*track.Job, settings func(*track.Job) *model.Queue, cores int64, wall time.Duration) []*track.Job {
	return order(jobs, settings, cores, wall, nil, nil)
}

// OrderShared is OrderJobs with accounts that are above their fair share, whose jobs go behind those of the
// other accounts in the same class. Jobs that are blocked are not promoted. It also returns the waiting work
// that is served before another excess job.
func OrderShared(jobs []*track.Job, settings func(*track.Job) *model.Queue, cores int64, wall time.Duration, above map[string]bool, isBlocked Blocked) ([]*track.Job, *Backlog) {
	b := &Backlog{}
	return b.Order(jobs, settings, cores, wall, above, isBlocked), b
}

// Order is OrderShared that reuses the memory of an earlier backlog.
func (b *Backlog) Order(jobs []*track.Job, settings func(*track.Job) *model.Queue, cores int64, wall time.Duration, above map[string]bool, isBlocked Blocked) []*track.Job {
	b.reset(isBlocked)
	b.promoted.reset(isBlocked)
	b.unlimited = 0
	return order(jobs, settings, cores, wall, above, b)
}

// order orders jobs and counts those that wait in a backlog, which is nil if there are no accounts.
func order(jobs []*track.Job, settings func(*track.Job) *model.Queue, cores int64, wall time.Duration, above map[string]bool, backlog *Backlog) []*track.Job {
	ranks := make([]rank, 0, len(jobs))
	for _, j := range jobs {
		r := rankOf(j, settings(j), wall)
		r.applyShares(above)
		ranks = append(ranks, r)
		if backlog != nil {
			backlog.count(j, r.class != longRunning && r.class != expired)
		}
	}
	slices.SortFunc(ranks, compareRanks)
	starts := &demand{}
	if backlog != nil {
		starts = &backlog.promoted
	}
	if promoteUrgent(ranks, int64(promoteShare*float64(cores)), starts) {
		slices.SortFunc(ranks, compareRanks)
	}
	out := make([]*track.Job, len(ranks))
	for i, r := range ranks {
		out[i] = r.job
	}
	return out
}

// applyShares moves a job behind those of other accounts if it is excess or its account is above its fair
// share. Long-running jobs are not ordered by shares. Expired jobs are neither: they are of no use
// to any caller, and by age each of them is served in the end.
func (r *rank) applyShares(above map[string]bool) {
	j := r.job
	if j.Account == "" || r.class == longRunning || r.class == expired {
		return
	}
	r.above = above[j.Account]
	switch {
	case j.Excess && r.class == timely:
		r.class = excessTimely
	case j.Excess && r.class == late:
		r.class = excessLate
	}
}

// promoteUrgent promotes the late jobs that would soon be of no use, in order, as long as their
// total need is at most cores, in thousandths. A job that its account's limit keeps from starting is not
// promoted, since it would use up what other accounts' late jobs need. starts counts what the promoted jobs of each
// account may start. It reports whether it promoted any.
func promoteUrgent(ranks []rank, cores int64, starts *demand) bool {
	found := false
	for i := range ranks {
		r := &ranks[i]
		if r.class != late || r.laxity > promoteWithin {
			continue
		}
		need, ok := neededCores(r.job, starts)
		if !ok {
			continue
		}
		if cores -= need; cores < 0 {
			break
		}
		r.class, found = promoted, true
	}
	return found
}

// neededCores returns the cores, in thousandths, for all tasks of a job that run or could start, and adds
// what could start to the starts of its account. It returns false if the account's limit keeps all of
// them from starting and none runs.
func neededCores(j *track.Job, starts *demand) (int64, bool) {
	var sum int64
	needs, waits := false, false
	account, p := 0, pending{}
	if j.Account != "" {
		account, p = starts.of(j.Account), pendingOf(j)
	}
	for _, o := range j.Open {
		for _, s := range o.Steps {
			if !s.IsReady() {
				continue
			}
			n := s.Left
			if j.Account != "" {
				k := starts.take(account, s, p.in(s))
				n, waits = s.Running+k, waits || k == 0
			}
			needs = needs || n > 0
			sum += int64(n) * s.Reservation().Cores
		}
	}
	return sum, needs || !waits
}

// Claims computes which accounts are above their fair share of a pool. It keeps its memory for the next
// computation. The zero value is ready for use.
type Claims struct {
	needs   []share.Need
	above   map[string]bool
	divider share.Divider
	demand  demand
	// fair are the fair shares of the last computation, by index.
	fair []float64
	// capacity is what the last computation has divided.
	capacity model.Amount
}

// Above returns the accounts that use clearly more than their fair share of a pool, which weights and the
// needs of the pool's jobs determine. What an account's limit keeps from starting is no need, and what
// long-running tasks and jobs without an account use is not divided. The result is valid until the next call,
// and nil if no job has an account.
func (c *Claims) Above(jobs []*track.Job, weight func(account string) float64, capacity model.Amount, isBlocked Blocked) map[string]bool {
	if c.above == nil {
		c.above = map[string]bool{}
	}
	clear(c.above)
	c.demand.reset(isBlocked)
	c.needs, c.fair, c.capacity = c.needs[:0], nil, model.Amount{}
	for _, j := range jobs {
		running, lasting := usedBy(j)
		capacity = capacity.Minus(lasting)
		if j.Account == "" {
			capacity = capacity.Minus(running)
			continue
		}
		i := c.demand.of(j.Account)
		if i == len(c.needs) {
			c.needs = append(c.needs, share.Need{Weight: weight(j.Account)})
		}
		n := &c.needs[i]
		startable, waiting := c.waitingOf(j, i)
		n.Running, n.Waiting = n.Running.Plus(running), n.Waiting.Plus(startable)
		n.Largest = n.Largest.Max(running.Plus(waiting))
	}
	if len(c.needs) == 0 {
		return nil
	}
	c.capacity = capacity
	c.fair = c.divider.Divide(c.needs, capacity)
	for account, i := range c.demand.index {
		n := &c.needs[i]
		if share.IsAbove(n.Running.Share(capacity), c.fair[i], n.Largest.Share(capacity)) {
			c.above[account] = true
		}
	}
	return c.above
}

// Accounts returns the accounts with jobs in the last computation.
func (c *Claims) Accounts() iter.Seq[string] { return maps.Keys(c.demand.index) }

// Capacity returns what the last computation has divided: the pool without what long-running tasks and jobs
// without an account use.
func (c *Claims) Capacity() model.Amount { return c.capacity }

// Fair returns the fair dominant share of that capacity of an account in the last computation, 0 if it needed nothing.
func (c *Claims) Fair(account string) float64 {
	if i, ok := c.demand.index[account]; ok && c.fair != nil {
		return c.fair[i]
	}
	return 0
}

// usedBy returns what the runs of a job reserve, and what its long-running tasks reserve.
func usedBy(j *track.Job) (running, lasting model.Amount) {
	for _, o := range j.Open {
		for _, s := range o.Steps {
			used := s.Reservation().Times(int64(s.Running))
			if s.LongRunning {
				lasting = lasting.Plus(used)
			} else {
				running = running.Plus(used)
			}
		}
	}
	return running, lasting
}

// waitingOf returns what the waiting tasks of a job need that could start within its account's limit, and what
// all of them need.
func (c *Claims) waitingOf(j *track.Job, account int) (startable, waiting model.Amount) {
	p := pendingOf(j)
	for _, o := range j.Open {
		for _, s := range o.Steps {
			n := p.in(s)
			if n == 0 || s.LongRunning || !s.IsReady() {
				continue
			}
			need := s.Reservation()
			startable = startable.Plus(need.Times(int64(c.demand.take(account, s, n))))
			waiting = waiting.Plus(need.Times(int64(n)))
		}
	}
	return startable, waiting
}
