package place

import (
	"slices"
	"time"
)

// patience is how long a worker has to make room before a stronger means is asked
// for; after two of them another worker is tried. Two workers that do not answer and
// the start on a third take under the 3.1 s in which an urgent job is to start.
const patience = 600 * time.Millisecond

// deafness is how long a worker that made no room in time is not asked again.
const deafness = 30 * time.Second

// yield returns what a running job could give up for an urgent one.
func (j *job) yield() Amount {
	switch {
	case j.status != running || j.Urgency == Urgent || j.pending || j.cancelled:
		return Amount{}
	case j.Checkpoint || j.Idempotent:
		return j.held
	case j.throttled:
		return Amount{}
	}
	return Amount{Cores: j.held.Cores / 2}
}

// makeRoom reserves a worker for an urgent job that fits nowhere now and asks less
// urgent jobs there to make room. It reports whether it found such a worker.
func (p *Placer) makeRoom(now time.Duration, l *lot, j *job) bool {
	need := p.need(j)
	if !j.team.held.plus(need).within(j.team.Quota) {
		return false
	}
	until := p.until(now, j)
	var victims []*job
	i := p.tree.find(1, func(n *node) bool {
		return need.within(n.room) && n.drains >= until
	}, func(i int) bool {
		if j.failed[p.order[i]] {
			return false
		}
		victims = p.order[i].victims(need, j.Need)
		return victims != nil
	})
	if i < 0 {
		return false
	}
	p.pop(l)
	j.status = waiting
	j.asking = now
	j.harder = false
	j.victims = victims
	p.take(j, p.order[i], need)
	p.order[i].waiting++
	p.waiting = append(p.waiting, j)
	throttle := j.worker.throttles(victims)
	for _, v := range victims {
		switch {
		case throttle || !v.Checkpoint && !v.Idempotent:
			p.ask(v, Throttle, j.Name)
		case v.Checkpoint:
			p.ask(v, Checkpoint, j.Name)
		default:
			p.ask(v, Stop, j.Name)
		}
	}
	return true
}

// victims returns jobs whose yield makes room for a need, nil if that is not enough.
// The least urgent and latest ones go first, those that checkpoint before others.
func (w *worker) victims(need, declared Amount) []*job {
	var list []*job
	for j := range w.jobs {
		if j.yield() != (Amount{}) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		switch {
		case a.Urgency != b.Urgency:
			return int(b.Urgency) - int(a.Urgency)
		case a.Checkpoint != b.Checkpoint:
			if a.Checkpoint {
				return -1
			}
			return 1
		case a.began != b.began:
			return int(b.began - a.began)
		}
		return int(b.seq) - int(a.seq)
	})
	free, bound := w.free(), w.bound()
	for n, j := range list {
		free = free.plus(j.yield())
		if j.Checkpoint || j.Idempotent {
			bound = bound.plus(j.Need)
		}
		if need.within(free) && declared.within(bound) {
			return list[:n+1]
		}
	}
	return nil
}

// throttles says whether halving the cores of the victims makes enough room.
func (w *worker) throttles(victims []*job) bool {
	free := w.free()
	for _, v := range victims {
		if v.throttled {
			return false
		}
		free.Cores += v.held.Cores / 2
	}
	return Amount{}.within(free)
}

func (p *Placer) ask(j *job, m Means, whom string) {
	j.asked = m
	j.pending = m != Restore
	p.update(j.worker)
	p.out = append(p.out, &Ask{j.Name, j.worker.Name, j.token, m, whom})
}

// serve starts waiting jobs that have room now, asks for stronger means for those that
// waited too long, and gives up on workers that make no room at all.
func (p *Placer) serve(now time.Duration) {
	for _, j := range slices.Clone(p.waiting) {
		w := j.worker
		switch {
		case w.Closed || w.until > 0 || w.Drains > 0 && w.Drains < p.until(now, j):
			p.leave(j)
			p.release(j)
			p.enqueue(j)
		case w.held.within(w.Size):
			p.leave(j)
			p.start(j)
		case now-j.asking >= 2*patience:
			p.ignored(now, j)
			p.leave(j)
			p.release(j)
			p.enqueue(j)
		case now-j.asking >= patience && !j.harder:
			j.harder = true
			for _, v := range j.victims {
				p.escalate(v, j)
			}
		}
	}
}

// ignored notes that a worker made no room for a job. Its victims may still answer.
func (p *Placer) ignored(now time.Duration, j *job) {
	w := j.worker
	if w.deaf == 0 {
		p.deafs = append(p.deafs, w)
	}
	w.deaf = now + deafness
	for _, v := range j.victims {
		if v.worker == w {
			v.pending = false
		}
	}
}

func (p *Placer) escalate(v, j *job) {
	if v.status != running || v.worker != j.worker {
		return
	}
	switch {
	case v.asked == Throttle && v.Checkpoint:
		p.ask(v, Checkpoint, j.Name)
	case v.asked != Stop && v.Idempotent:
		p.ask(v, Stop, j.Name)
	}
}

// leave takes a job off the list of those that wait for room.
func (p *Placer) leave(j *job) {
	p.waiting = slices.DeleteFunc(p.waiting, func(x *job) bool { return x == j })
	j.worker.waiting--
	j.victims = nil
}

// Throttled reports that a worker halved the cores of a job as asked. It returns a
// *StaleTokenError.
func (p *Placer) Throttled(name string, token uint64) error {
	j, err := p.current(name, token)
	if err != nil {
		return err
	}
	if j.throttled {
		return nil
	}
	j.throttled = true
	j.pending = false
	to := j.held
	to.Cores /= 2
	p.resize(j, to)
	p.freed(j.worker, j.team)
	return nil
}

// restore ends throttles on a worker that has the cores again.
func (p *Placer) restore(w *worker) {
	if w.waiting > 0 {
		return
	}
	for _, j := range w.sorted() {
		if !j.throttled || j.status != running || j.held.Cores > w.free().Cores {
			continue
		}
		j.throttled = false
		to := j.held
		to.Cores *= 2
		p.resize(j, to)
		p.ask(j, Restore, "")
	}
}
