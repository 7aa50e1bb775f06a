package place

import "time"

// current returns the running job that a token belongs to.
func (p *Placer) current(name string, token uint64) (*job, error) {
	j := p.jobs[name]
	if j == nil {
		return nil, &StaleTokenError{Job: name, Token: token}
	}
	if j.status != running || j.token != token {
		return nil, &StaleTokenError{name, token, j.token}
	}
	return j, nil
}

// Confirm says that a Start was recorded under a token, from which on the job runs.
// It returns a *StaleTokenError if the job is not on offer any more or the token is
// not greater than the previous one.
func (p *Placer) Confirm(now time.Duration, name string, token uint64) error {
	j := p.jobs[name]
	if j == nil {
		return &StaleTokenError{Job: name, Token: token}
	}
	if j.status != offered || token <= j.token {
		return &StaleTokenError{name, token, j.token}
	}
	j.token = token
	j.status = running
	j.began = now
	j.peak = Amount{}
	p.update(j.worker)
	if p.backlog > 0 {
		// Urgent jobs may make room at this job's cost now.
		p.freed(j.worker, nil)
	}
	if j.cancelled {
		p.ask(j, Stop, "")
	}
	return nil
}

// Reject says that a Start was not recorded and will not be: the job did not run.
func (p *Placer) Reject(name string) {
	j := p.jobs[name]
	if j == nil || j.status != offered {
		return
	}
	p.release(j)
	p.again(j)
}

// again queues a job that holds nothing any more, or ends it if it was cancelled.
func (p *Placer) again(j *job) {
	if j.cancelled {
		p.end(j, &Cancelled{j.Name})
		return
	}
	p.enqueue(j)
}

// Result reports the outcome of a placement. It returns a *StaleTokenError for a late
// result of an earlier placement, which is ignored.
func (p *Placer) Result(now time.Duration, name string, token uint64, o Outcome) error {
	j, err := p.current(name, token)
	if err != nil {
		return err
	}
	w := j.worker
	p.release(j)
	switch o {
	case Done:
		p.succeeded(now, j, w)
		p.end(j, nil)
	case Failed:
		p.blame(now, j, w)
		p.retry(j, w)
	case NotRun:
		p.blame(now, j, w)
		p.again(j)
	case Stopped:
		p.retry(j, w)
	case Paused:
		p.again(j)
	}
	return nil
}

// retry queues a job that ran without a result again if that is allowed.
func (p *Placer) retry(j *job, w *worker) {
	switch {
	case j.cancelled:
		p.end(j, &Cancelled{j.Name})
	case !j.Idempotent:
		p.end(j, &GaveUp{j.Name, w.Name})
	default:
		if r := j.healthy(); len(r) >= strikes || len(j.failed) >= len(p.order) {
			p.end(j, &SetAside{j.Name, r})
			return
		}
		p.enqueue(j)
	}
}

// Lost reports that a worker and all that runs there is lost. Idempotent jobs are
// queued again; the outcome of others is unknown, and they are not placed again.
func (p *Placer) Lost(_ time.Duration, name string) {
	w := p.workers[name]
	if w == nil {
		return
	}
	w.Closed = true
	p.update(w)
	for _, j := range w.sorted() {
		if j.status == waiting {
			p.leave(j)
		}
		mayRun := j.status == offered || j.status == running
		p.release(j)
		if mayRun && !j.Idempotent {
			p.end(j, &Unknown{j.Name, name})
			continue
		}
		p.again(j)
	}
}

// Report records a measured use. It returns a *StaleTokenError. A report from before
// the placement or its first seconds says nothing about the job's use. A use above
// what the job holds raises that at once; a lower one only counts for later jobs,
// because the job's use may still grow.
func (p *Placer) Report(u Usage) error {
	j, err := p.current(u.Job, u.Token)
	if err != nil {
		return err
	}
	if u.At < j.began+settle {
		return nil
	}
	j.peak = j.peak.most(u.Used)
	to := j.held.most(Amount{u.Used.Cores, u.Used.Memory, 0})
	if j.throttled {
		to.Cores = j.held.Cores
	}
	if to != j.held {
		p.resize(j, to)
	}
	return nil
}

// Adopt takes over a job that runs already, as a new planner finds it in the folded
// state. It returns the errors of Submit, or a *StaleTokenError for an unknown worker.
func (p *Placer) Adopt(now time.Duration, j Job, worker string, token uint64) error {
	w := p.workers[worker]
	if w == nil {
		return &StaleTokenError{Job: j.Name, Token: token}
	}
	if err := p.Submit(j); err != nil {
		return err
	}
	x := p.jobs[j.Name]
	p.counted(x, -1)
	l := x.lot
	x.lot = nil
	l.drop()
	x.status = running
	x.token = token
	x.began = now
	p.take(x, w, x.Need)
	return nil
}
