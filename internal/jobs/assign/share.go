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
	out, _ := OrderShared(jobs, settings, cores, wall, nil, nil)
	return out
}

// OrderShared is OrderJobs with accounts that are above their fair share, whose jobs go behind those of the
// other accounts in the same class. Jobs that are blocked are not promoted. It also returns the waiting work that is served before another excess
// job, in core-seconds.
func OrderShared(jobs []*track.Job, settings func(*track.Job) *model.Queue, cores int64, wall time.Duration, above map[string]bool, isBlocked Blocked) ([]*track.Job, float64) {
	ranks := make([]rank, 0, len(jobs))
	waiting := 0.0
	for _, j := range jobs {
		r := rankOf(j, settings(j), wall)
		r.applyShares(above)
		ranks = append(ranks, r)
		if r.class != longRunning && r.class != expired {
			waiting += workOf(j, isBlocked)
		}
	}
	slices.SortFunc(ranks, compareRanks)
	if promoteUrgent(ranks, int64(promoteShare*float64(cores)), isBlocked) {
		slices.SortFunc(ranks, compareRanks)
	}
	out := make([]*track.Job, len(ranks))
	for i, r := range ranks {
		out[i] = r.job
	}
	return out, waiting
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
// promoted, since it would use up what other accounts' late jobs need. It reports whether it promoted any.
func promoteUrgent(ranks []rank, cores int64, isBlocked Blocked) bool {
	found := false
	starts := map[string]model.Amount{} // what the promoted jobs of each account may start
	for i := range ranks {
		r := &ranks[i]
		if r.class != late || r.laxity > promoteWithin {
			continue
		}
		need, ok := neededCores(r.job, isBlocked, starts)
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

// Blocked reports whether the limit of an account keeps a task of a step, or a whole gang, from starting
// after other starts of the account. It may be nil if there are no limits.
type Blocked func(s *track.Step, starts model.Amount) bool

// neededCores returns the cores, in thousandths, for all tasks of a job that run or could start, and adds
// what could start to the starts of its account. It returns false if the account's limit keeps all of
// them from starting and none runs.
func neededCores(j *track.Job, isBlocked Blocked, starts map[string]model.Amount) (int64, bool) {
	var sum int64
	needs, waits := false, false
	for _, o := range j.Open {
		for _, s := range o.Steps {
			if !s.IsReady() {
				continue
			}
			n := s.Left
			if isBlocked != nil && j.Account != "" && s.Left > s.Running {
				if isBlocked(s, starts[j.Account]) {
					n, waits = s.Running, true
				} else {
					starts[j.Account] = starts[j.Account].Plus(s.Need.Times(int64(s.Left - s.Running)))
				}
			}
			needs = needs || n > 0
			sum += int64(n) * s.Reservation().Cores
		}
	}
	return sum, needs || !waits
}

// WaitingWork returns the estimated work of the tasks of a job that are not done and don't run, in
// core-seconds.
func WaitingWork(j *track.Job) float64 { return workOf(j, nil) }

// workOf is WaitingWork without the steps whose account's limit keeps them from starting: others are not
// served after them.
func workOf(j *track.Job, isBlocked Blocked) float64 {
	sum := 0.0
	if j.Account == "" {
		isBlocked = nil
	}
	for _, o := range j.Open {
		for _, s := range o.Steps {
			if n := s.Left - s.Running; n > 0 && !s.LongRunning && (isBlocked == nil || !isBlocked(s, model.Amount{})) {
				sum += float64(n) * float64(s.Reservation().Cores) / 1000 * s.Estimate.Seconds()
			}
		}
	}
	return sum
}

// Claims computes which accounts are above their fair share of a pool. It keeps its memory for the next
// computation. The zero value is ready for use.
type Claims struct {
	index   map[string]int
	needs   []share.Need
	above   map[string]bool
	divider share.Divider
	// fair are the fair shares of the last computation, by index.
	fair []float64
	// capacity is what the last computation has divided.
	capacity model.Amount
}

// Above returns the accounts that use clearly more than their fair share of a pool, which weights and the
// needs of the pool's jobs determine. What long-running tasks and jobs without an account use is not
// divided. The result is valid until the next call, and nil if no job has an account.
func (c *Claims) Above(jobs []*track.Job, weight func(account string) float64, capacity model.Amount) map[string]bool {
	if c.index == nil {
		c.index, c.above = map[string]int{}, map[string]bool{}
	}
	clear(c.index)
	clear(c.above)
	c.needs, c.fair, c.capacity = c.needs[:0], nil, model.Amount{}
	for _, j := range jobs {
		running, waiting, lasting := needsOf(j)
		capacity = capacity.Minus(lasting)
		if j.Account == "" {
			capacity = capacity.Minus(running)
			continue
		}
		i, ok := c.index[j.Account]
		if !ok {
			i = len(c.needs)
			c.index[j.Account] = i
			c.needs = append(c.needs, share.Need{Weight: weight(j.Account)})
		}
		n := &c.needs[i]
		n.Running, n.Waiting = n.Running.Plus(running), n.Waiting.Plus(waiting)
		n.Largest = n.Largest.Max(running.Plus(waiting))
	}
	if len(c.needs) == 0 {
		return nil
	}
	c.capacity = capacity
	c.fair = c.divider.Divide(c.needs, capacity)
	for account, i := range c.index {
		n := &c.needs[i]
		if share.IsAbove(n.Running.Share(capacity), c.fair[i], n.Largest.Share(capacity)) {
			c.above[account] = true
		}
	}
	return c.above
}

// Accounts returns the accounts with jobs in the last computation.
func (c *Claims) Accounts() iter.Seq[string] { return maps.Keys(c.index) }

// Capacity returns what the last computation has divided: the pool without what long-running tasks and jobs
// without an account use.
func (c *Claims) Capacity() model.Amount { return c.capacity }

// Fair returns the fair dominant share of that capacity of an account in the last computation, 0 if it needed nothing.
func (c *Claims) Fair(account string) float64 {
	if i, ok := c.index[account]; ok && c.fair != nil {
		return c.fair[i]
	}
	return 0
}

// needsOf returns what the runs of a job reserve, what its tasks that could start need, and what its
// long-running tasks reserve.
func needsOf(j *track.Job) (running, waiting, lasting model.Amount) {
	for _, o := range j.Open {
		for _, s := range o.Steps {
			if s.LongRunning {
				lasting = lasting.Plus(s.Reservation().Times(int64(s.Running)))
				continue
			}
			running = running.Plus(s.Reservation().Times(int64(s.Running)))
			if n := s.Left - s.Running; n > 0 && s.IsReady() {
				waiting = waiting.Plus(s.Reservation().Times(int64(n)))
			}
		}
	}
	return running, waiting, lasting
}
