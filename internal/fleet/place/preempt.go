package place

import (
	"slices"
	"time"
)

// preemptTimeout is the time that a worker has to free resources before stronger commands
// are sent. After twice that time another worker is tried. Two workers that do not answer
// and the start on a third take less than the 3.1 s in which an urgent job has to start.
const preemptTimeout = 600 * time.Millisecond

// unresponsiveTime is how long a worker that did not free resources in time is excluded
// from preemption.
const unresponsiveTime = 30 * time.Second

// preemptible returns what a running job could release for an urgent one.
func (j *job) preemptible() Amount {
	switch {
	case j.status != running || j.Urgency == Urgent || j.commandPending || j.cancelled:
		return Amount{}
	case j.CanCheckpoint || j.Idempotent:
		return j.allocated
	case j.throttled:
		return Amount{}
	}
	return Amount{Cores: j.allocated.Cores / 2}
}

// preempt reserves a worker for an urgent job that fits nowhere now and preempts less urgent
// jobs there. It reports whether it found such a worker.
func (p *Placer) preempt(now time.Duration, q *bucket, j *job) bool {
	need := p.expectedNeed(j)
	if !j.team.allocated.plus(need).fitsIn(j.team.Quota) {
		return false
	}
	until := p.earliestDrain(now, j)
	var victims []*job
	i := p.tree.find(1, func(n *node) bool {
		return need.fitsIn(n.preemptible) && n.drainsAt >= until
	}, func(i int) bool {
		if j.failedOn[p.fillOrder[i]] {
			return false
		}
		victims = p.fillOrder[i].chooseVictims(need, j.Need)
		return victims != nil
	})
	if i < 0 {
		return false
	}
	p.pop(q)
	j.status = waiting
	j.waitingSince = now
	j.escalated = false
	j.victims = victims
	p.allocate(j, p.fillOrder[i], need)
	p.fillOrder[i].waiting++
	p.waiting = append(p.waiting, j)
	throttle := j.worker.isThrottlingEnough(victims)
	for _, v := range victims {
		switch {
		case throttle || !v.CanCheckpoint && !v.Idempotent:
			p.command(v, Throttle, j.Name)
		case v.CanCheckpoint:
			p.command(v, Checkpoint, j.Name)
		default:
			p.command(v, Stop, j.Name)
		}
	}
	return true
}

// chooseVictims returns jobs whose preemption frees enough for a need, nil if all together
// do not. The order is least urgent first, then jobs with a checkpoint before others, then
// the latest started first.
func (w *worker) chooseVictims(need, declared Amount) []*job {
	var list []*job
	for j := range w.jobs {
		if j.preemptible() != (Amount{}) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		switch {
		case a.Urgency != b.Urgency:
			return int(b.Urgency) - int(a.Urgency)
		case a.CanCheckpoint != b.CanCheckpoint:
			if a.CanCheckpoint {
				return -1
			}
			return 1
		case a.startedAt != b.startedAt:
			return int(b.startedAt - a.startedAt)
		}
		return int(b.seq) - int(a.seq)
	})
	free, bound := w.free(), w.declarable()
	for n, j := range list {
		free = free.plus(j.preemptible())
		if j.CanCheckpoint || j.Idempotent {
			bound = bound.plus(j.Need)
		}
		if need.fitsIn(free) && declared.fitsIn(bound) {
			return list[:n+1]
		}
	}
	return nil
}

// isThrottlingEnough reports whether halving the cores of the victims frees enough.
func (w *worker) isThrottlingEnough(victims []*job) bool {
	free := w.free()
	for _, v := range victims {
		if v.throttled {
			return false
		}
		free.Cores += v.allocated.Cores / 2
	}
	return Amount{}.fitsIn(free)
}

func (p *Placer) command(j *job, kind CommandKind, urgentJob string) {
	j.commandKind = kind
	j.commandPending = kind != Restore
	p.updateTree(j.worker)
	p.actions = append(p.actions, &Command{j.Name, j.worker.Name, j.token, kind, urgentJob})
}

// serveWaiting offers waiting jobs whose resources are free now, sends stronger commands
// for those that waited too long, and abandons workers that free nothing in time.
func (p *Placer) serveWaiting(now time.Duration) {
	for _, j := range slices.Clone(p.waiting) {
		w := j.worker
		switch {
		case w.Closed || w.quarantinedUntil > 0 || w.DrainsAt > 0 && w.DrainsAt < p.earliestDrain(now, j):
			p.stopWaiting(j)
			p.release(j)
			p.enqueue(j)
		case w.allocated.fitsIn(w.Size):
			p.stopWaiting(j)
			p.offer(j)
		case now-j.waitingSince >= 2*preemptTimeout:
			p.markUnresponsive(now, j)
			p.stopWaiting(j)
			p.release(j)
			p.enqueue(j)
		case now-j.waitingSince >= preemptTimeout && !j.escalated:
			j.escalated = true
			for _, v := range j.victims {
				p.escalate(v, j)
			}
		}
	}
}

// markUnresponsive excludes a worker that freed nothing for a job from preemption. Its
// victims may still report that they stopped.
func (p *Placer) markUnresponsive(now time.Duration, j *job) {
	w := j.worker
	if w.unresponsiveUntil == 0 {
		p.unresponsive = append(p.unresponsive, w)
	}
	w.unresponsiveUntil = now + unresponsiveTime
	for _, v := range j.victims {
		if v.worker == w {
			v.commandPending = false
		}
	}
}

func (p *Placer) escalate(v, j *job) {
	if v.status != running || v.worker != j.worker {
		return
	}
	switch {
	case v.commandKind == Throttle && v.CanCheckpoint:
		p.command(v, Checkpoint, j.Name)
	case v.commandKind != Stop && v.Idempotent:
		p.command(v, Stop, j.Name)
	}
}

// stopWaiting removes a job from the list of those that wait for preempted resources.
func (p *Placer) stopWaiting(j *job) {
	p.waiting = slices.DeleteFunc(p.waiting, func(x *job) bool { return x == j })
	j.worker.waiting--
	j.victims = nil
}

// ReportThrottled reports that a worker halved the cores of a job as ordered. It returns a
// *StaleTokenError if the job does not run under the token.
func (p *Placer) ReportThrottled(name string, token uint64) error {
	j, err := p.currentJob(name, token)
	if err != nil {
		return err
	}
	if j.throttled {
		return nil
	}
	j.throttled = true
	j.commandPending = false
	to := j.allocated
	to.Cores /= 2
	p.resize(j, to)
	p.recordFreed(j.worker, j.team)
	return nil
}

// endThrottles ends throttles on a worker that has enough free cores again.
func (p *Placer) endThrottles(w *worker) {
	if w.waiting > 0 {
		return
	}
	for _, j := range w.jobsBySubmission() {
		if !j.throttled || j.status != running || j.allocated.Cores > w.free().Cores {
			continue
		}
		j.throttled = false
		to := j.allocated
		to.Cores *= 2
		p.resize(j, to)
		p.command(j, Restore, "")
	}
}
