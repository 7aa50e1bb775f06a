package place

import (
	"container/heap"
	"time"
)

// Next returns the next action, or nil if there is none until something changes or
// Wake passes.
func (p *Placer) Next(now time.Duration) Action {
	if p.stale {
		p.rebuild()
	}
	p.free(now)
	p.ring(now)
	p.serve(now)
	if len(p.out) == 0 && !p.idle {
		p.idle = !p.choose(now)
	}
	if len(p.out) == 0 {
		return nil
	}
	a := p.out[0]
	p.out = p.out[1:]
	if len(p.out) == 0 {
		p.out = nil
	}
	return a
}

// choose places one job or ends one that can not run. It reports whether it did.
func (p *Placer) choose(now time.Duration) bool {
	first := p.urgent.share(p.total) < urgentShare
	if first && p.class(now, Urgent, true) {
		return true
	}
	if p.class(now, Normal, false) || !first && p.class(now, Urgent, false) {
		return true
	}
	return p.class(now, Morning, false)
}

// class tries the teams in the order of what they hold relative to their weight. A
// team whose lots are all found not to fit is not tried again until something comes
// free that one of them could use.
func (p *Placer) class(now time.Duration, u Urgency, room bool) bool {
	p.ranks = p.ranks[:0]
	for n, t := range p.list {
		c := &t.classes[u]
		if c.count == 0 || c.tried == p.epoch {
			continue
		}
		if p.unchanged(c.tried, c.least, t, room) {
			c.tried = p.epoch
			continue
		}
		p.ranks = append(p.ranks, rank{t.held.share(p.total) / max(t.Weight, 0.001), n})
	}
	heap.Init(&p.ranks)
	for len(p.ranks) > 0 {
		c := &p.list[p.ranks[0].team].classes[u]
		if p.lots(now, c, room) {
			return true
		}
		c.clean()
		c.tried = p.epoch
		heap.Remove(&p.ranks, 0)
	}
	return false
}

// rank is the position of a team in the order of choice.
type rank struct {
	share float64
	team  int
}

type ranks []rank

func (r ranks) Len() int      { return len(r) }
func (r ranks) Swap(a, b int) { r[a], r[b] = r[b], r[a] }
func (r ranks) Less(a, b int) bool {
	return r[a].share < r[b].share || r[a].share == r[b].share && r[a].team < r[b].team
}
func (r *ranks) Push(x any) { *r = append(*r, x.(rank)) }

// Pop removes the last element.
func (r *ranks) Pop() any {
	*r = (*r)[:len(*r)-1]
	return nil
}

// lots tries the first job of each lot of a class, earliest deadline first among
// those that fit.
func (p *Placer) lots(now time.Duration, c *class, room bool) bool {
	var best *lot
	var at *worker
	for _, l := range c.order {
		j := l.head()
		if j == nil || l.first == j && p.unchanged(l.blocked, l.need, j.team, room) {
			continue
		}
		if best != nil && best.head().before(j) {
			continue
		}
		w := p.fit(now, j)
		if w == nil {
			if p.larger(l, j) || room && p.makeRoom(now, l, j) {
				return true
			}
			l.first, l.blocked, l.need = j, p.epoch, p.need(j)
			continue
		}
		best, at = l, w
	}
	if best == nil {
		return false
	}
	j := p.pop(best)
	p.take(j, at, p.need(j))
	p.start(j)
	return true
}

// larger ends a job that fits no worker or quota since they changed.
func (p *Placer) larger(l *lot, j *job) bool {
	if !j.Need.within(j.team.Quota) {
		p.end(p.pop(l), &OverQuota{j.Name, j.Team, j.Need, j.team.Quota})
		return true
	}
	if err, ok := p.fitsEver(&j.Job).(*NeverFits); ok {
		p.end(p.pop(l), err)
		return true
	}
	return false
}

func (p *Placer) start(j *job) {
	j.status = offered
	p.out = append(p.out, &Start{j.Name, j.worker.Name, j.token})
}

// need returns what a job is expected to use.
func (p *Placer) need(j *job) Amount {
	if at := [2]int{j.kind.runs, p.fleet}; j.wantAt != at {
		j.wantAt = at
		j.want = j.kind.need(j.Need, p.largest)
	}
	return j.want
}

// fit returns the worker for a job, or nil.
func (p *Placer) fit(now time.Duration, j *job) *worker {
	need := p.need(j)
	if !j.team.held.plus(need).within(j.team.Quota) {
		return nil
	}
	until := p.until(now, j)
	i := p.tree.find(1, func(n *node) bool {
		return need.within(n.free) && j.Need.within(n.bound) && n.drains >= until
	}, func(i int) bool { return !j.failed[p.order[i]] })
	if i < 0 {
		return nil
	}
	return p.order[i]
}

// until returns when a worker may start to drain at the earliest if it takes a job.
func (p *Placer) until(now time.Duration, j *job) time.Duration {
	if j.Checkpoint {
		return now
	}
	return now + j.kind.lasts(j.Length)
}

// Wake returns when Next is to be called again even if nothing is reported, and
// whether there is such a time.
func (p *Placer) Wake() (time.Duration, bool) {
	at := never
	if len(p.due) > 0 {
		at = p.due[0].due
	}
	for _, j := range p.waiting {
		after := patience
		if j.harder {
			after = 2 * patience
		}
		at = min(at, j.asking+after)
	}
	for _, w := range p.paroles {
		at = min(at, w.until)
	}
	return at, at != never
}
