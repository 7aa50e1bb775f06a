package place

import "time"

// currentJob returns the running job with the given name and token, or a *StaleTokenError.
func (p *Placer) currentJob(name string, token uint64) (*job, error) {
	j := p.jobs[name]
	if j == nil {
		return nil, &StaleTokenError{Job: name, Token: token}
	}
	if j.status != running || j.token != token {
		return nil, &StaleTokenError{name, token, j.token}
	}
	return j, nil
}

// Confirm reports that a Start was recorded under a token. From then on the job counts as
// running. Confirm returns a *StaleTokenError if the job is no longer offered or the token
// is not greater than the previous one.
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
	j.startedAt = now
	j.peakUse = Amount{}
	p.updateTree(j.worker)
	if p.urgentQueued > 0 {
		// From now on, urgent jobs can preempt this job.
		p.recordFreed(j.worker, nil)
	}
	if j.cancelled {
		p.command(j, Stop, "")
	}
	return nil
}

// Reject reports that a Start was not recorded and will not be: the job did not run.
func (p *Placer) Reject(name string) {
	j := p.jobs[name]
	if j == nil || j.status != offered {
		return
	}
	p.release(j)
	p.requeue(j)
}

// requeue queues a job without allocation again, or ends it if it was cancelled.
func (p *Placer) requeue(j *job) {
	if j.cancelled {
		p.end(j, &Cancelled{j.Name})
		return
	}
	p.enqueue(j)
}

// ReportResult reports the outcome of a placement. It returns a *StaleTokenError for a late
// result of an earlier placement, which is ignored.
func (p *Placer) ReportResult(now time.Duration, name string, token uint64, o Outcome) error {
	j, err := p.currentJob(name, token)
	if err != nil {
		return err
	}
	w := j.worker
	p.release(j)
	switch o {
	case Done:
		p.recordSuccess(now, j, w)
		p.end(j, nil)
	case Failed:
		p.attributeFailure(now, j, w)
		p.retry(j, w)
	case NotRun:
		p.attributeFailure(now, j, w)
		p.requeue(j)
	case Stopped:
		p.retry(j, w)
	case Paused:
		p.requeue(j)
	}
	return nil
}

// retry queues a job again that ran without a result, or ends it if it must not run again.
func (p *Placer) retry(j *job, w *worker) {
	switch {
	case j.cancelled:
		p.end(j, &Cancelled{j.Name})
	case !j.Idempotent:
		p.end(j, &NotRetryable{j.Name, w.Name})
	default:
		if r := j.failedOnHealthy(); len(r) >= failureLimit || len(j.failedOn) >= len(p.fillOrder) {
			p.end(j, &RetriesExhausted{j.Name, r})
			return
		}
		p.enqueue(j)
	}
}

// ReportLost reports that a worker and everything that runs there is lost. Idempotent jobs
// are queued again. The outcome of others is unknown, so they are not placed again.
func (p *Placer) ReportLost(_ time.Duration, name string) {
	w := p.workers[name]
	if w == nil {
		return
	}
	w.Closed = true
	p.updateTree(w)
	for _, j := range w.jobsBySubmission() {
		if j.status == waiting {
			p.stopWaiting(j)
		}
		mayRun := j.status == offered || j.status == running
		p.release(j)
		if mayRun && !j.Idempotent {
			p.end(j, &OutcomeUnknown{j.Name, name})
			continue
		}
		p.requeue(j)
	}
}

// ReportUsage records a measured use. It returns a *StaleTokenError if the job does not run
// under the report's token. Measurements from before the end of the warmup are ignored. A
// use above the job's allocation raises the allocation at once. A lower one counts only for
// later jobs, because the job's use may still grow.
func (p *Placer) ReportUsage(u Usage) error {
	j, err := p.currentJob(u.Job, u.Token)
	if err != nil {
		return err
	}
	if u.At < j.startedAt+warmup {
		return nil
	}
	j.peakUse = j.peakUse.max(u.Used)
	to := j.allocated.max(Amount{u.Used.Cores, u.Used.Memory, 0})
	if j.throttled {
		to.Cores = j.allocated.Cores
	}
	if to != j.allocated {
		p.resize(j, to)
	}
	return nil
}

// Adopt adds a job that already runs, as a new planner finds it in the replicated state.
// It returns the errors of Submit, or a *StaleTokenError for an unknown worker.
func (p *Placer) Adopt(now time.Duration, j Job, worker string, token uint64) error {
	w := p.workers[worker]
	if w == nil {
		return &StaleTokenError{Job: j.Name, Token: token}
	}
	if err := p.Submit(j); err != nil {
		return err
	}
	x := p.jobs[j.Name]
	p.countQueued(x, -1)
	q := x.bucket
	x.bucket = nil
	q.noteRemoved()
	x.status = running
	x.token = token
	x.startedAt = now
	p.allocate(x, w, x.Need)
	return nil
}
