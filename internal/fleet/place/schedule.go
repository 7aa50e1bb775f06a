package place

import (
	"container/heap"
	"time"
)

// Next returns the next action, or nil if there is none until something changes or the
// time of NextWakeup is reached.
func (p *Placer) Next(now time.Duration) Action {
	if p.treeStale {
		p.rebuild()
	}
	p.endExclusions(now)
	p.fireTimers(now)
	p.serveWaiting(now)
	if len(p.actions) == 0 && !p.idle {
		p.idle = !p.placeNext(now)
	}
	if len(p.actions) == 0 {
		return nil
	}
	a := p.actions[0]
	p.actions = p.actions[1:]
	if len(p.actions) == 0 {
		p.actions = nil
	}
	return a
}

// placeNext places one job or ends one that can't run. It reports whether it did so.
func (p *Placer) placeNext(now time.Duration) bool {
	first := p.urgentAllocated.dominantShare(p.totalSize) < urgentShareLimit
	if first && p.placeFromClass(now, Urgent, true) {
		return true
	}
	if p.placeFromClass(now, Normal, false) || !first && p.placeFromClass(now, Urgent, false) {
		return true
	}
	return p.placeFromClass(now, Deferrable, false)
}

// placeFromClass tries the teams in ascending order of their allocation relative to their
// weight. A team of which no bucket fits is not tried again until resources become free
// that one of its buckets could use.
func (p *Placer) placeFromClass(now time.Duration, u Urgency, canPreempt bool) bool {
	p.ranks = p.ranks[:0]
	for n, t := range p.teamList {
		c := &t.queues[u]
		if c.count == 0 || c.blockedEpoch == p.epoch {
			continue
		}
		if p.stillBlocked(c.blockedEpoch, c.minNeed, t, canPreempt) {
			c.blockedEpoch = p.epoch
			continue
		}
		p.ranks = append(p.ranks, teamRank{t.allocated.dominantShare(p.totalSize) / max(t.Weight, 0.001), n})
	}
	heap.Init(&p.ranks)
	for len(p.ranks) > 0 {
		c := &p.teamList[p.ranks[0].team].queues[u]
		if p.placeFromBuckets(now, c, canPreempt) {
			return true
		}
		c.compact()
		c.blockedEpoch = p.epoch
		heap.Remove(&p.ranks, 0)
	}
	return false
}

// teamRank is the rank of a team: its weighted share, then its index in teamList.
type teamRank struct {
	share float64
	team  int
}

type teamRanks []teamRank

func (r teamRanks) Len() int      { return len(r) }
func (r teamRanks) Swap(a, b int) { r[a], r[b] = r[b], r[a] }
func (r teamRanks) Less(a, b int) bool {
	return r[a].share < r[b].share || r[a].share == r[b].share && r[a].team < r[b].team
}
func (r *teamRanks) Push(x any) { *r = append(*r, x.(teamRank)) }

// Pop removes the last element. The result is not used.
func (r *teamRanks) Pop() any {
	*r = (*r)[:len(*r)-1]
	return nil
}

// placeFromBuckets tries the first job of each bucket of a class and places the one with
// the earliest deadline among those that fit.
func (p *Placer) placeFromBuckets(now time.Duration, c *classQueue, canPreempt bool) bool {
	var best *bucket
	var at *worker
	for _, q := range c.order {
		j := q.head()
		if j == nil || q.blockedJob == j && p.stillBlocked(q.blockedEpoch, q.blockedNeed, j.team, canPreempt) {
			continue
		}
		if best != nil && best.head().before(j) {
			continue
		}
		w := p.findWorker(now, j)
		if w == nil {
			if p.endIfTooLarge(q, j) || canPreempt && p.preempt(now, q, j) {
				return true
			}
			q.blockedJob, q.blockedEpoch, q.blockedNeed = j, p.epoch, p.expectedNeed(j)
			continue
		}
		best, at = q, w
	}
	if best == nil {
		return false
	}
	j := p.pop(best)
	p.allocate(j, at, p.expectedNeed(j))
	p.offer(j)
	return true
}

// endIfTooLarge ends a job that no longer fits any worker or its team's quota because these
// changed. It reports whether it did so.
func (p *Placer) endIfTooLarge(q *bucket, j *job) bool {
	if !j.Need.fitsIn(j.team.Quota) {
		p.end(p.pop(q), &OverQuota{j.Name, j.Team, j.Need, j.team.Quota})
		return true
	}
	if err, ok := p.checkSize(&j.Job).(*NeverFits); ok {
		p.end(p.pop(q), err)
		return true
	}
	return false
}

func (p *Placer) offer(j *job) {
	j.status = offered
	p.actions = append(p.actions, &Start{j.Name, j.worker.Name, j.token})
}

// expectedNeed returns what a job is expected to use.
func (p *Placer) expectedNeed(j *job) Amount {
	if at := [2]int{j.stats.runs, p.fleetVersion}; j.cachedFor != at {
		j.cachedFor = at
		j.cachedNeed = j.stats.expectedNeed(j.Need, p.maxSize)
	}
	return j.cachedNeed
}

// findWorker returns the first worker in fill order that can run a job now, or nil.
func (p *Placer) findWorker(now time.Duration, j *job) *worker {
	need := p.expectedNeed(j)
	if !j.team.allocated.plus(need).fitsIn(j.team.Quota) {
		return nil
	}
	until := p.earliestDrain(now, j)
	i := p.tree.find(1, func(n *node) bool {
		return need.fitsIn(n.free) && j.Need.fitsIn(n.declarable) && n.drainsAt >= until
	}, func(i int) bool { return !j.failedOn[p.fillOrder[i]] })
	if i < 0 {
		return nil
	}
	return p.fillOrder[i]
}

// earliestDrain returns the earliest time at which a worker of the job may start to drain.
func (p *Placer) earliestDrain(now time.Duration, j *job) time.Duration {
	if j.CanCheckpoint {
		return now
	}
	return now + j.stats.expectedLength(j.Length)
}

// NextWakeup returns when Next must be called again even if nothing is reported, and
// whether there is such a time.
func (p *Placer) NextWakeup() (time.Duration, bool) {
	at := never
	if len(p.timers) > 0 {
		at = p.timers[0].timerAt
	}
	for _, j := range p.waiting {
		after := preemptTimeout
		if j.escalated {
			after = 2 * preemptTimeout
		}
		at = min(at, j.waitingSince+after)
	}
	for _, w := range p.quarantined {
		at = min(at, w.quarantinedUntil)
	}
	return at, at != never
}
