package plans

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/place"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
)

// handlePlacerActions processes the placer's actions until maxOffers placements are not recorded
// yet.
func (p *Planner) handlePlacerActions(now time.Duration) {
	w := p.jobs
	for w.offers < maxOffers {
		switch a := w.placer.Next(now).(type) {
		case nil:
			return
		case *place.Start:
			w.handleStart(now, a)
		case *place.Command:
			w.handleAsk(a)
		case *place.Ended:
			p.handleEnded(now, a)
		case *place.Quarantine:
			p.Logger.Warn().Str("worker", a.Worker).Strs("failed", a.Failed).Msg("worker is quarantined")
			p.Scope.Counter("workers_quarantined").Inc(1)
		}
	}
}

func (w *jobTracker) handleStart(now time.Duration, a *place.Start) {
	h := w.jobs[a.Job]
	if h == nil || h.mode != waiting {
		w.placer.Reject(a.Job)
		w.placer.Cancel(a.Job)
		w.placer.Forget(a.Job)
		return
	}
	h.worker = a.Worker
	h.recordOffset = 0
	h.task = task{trackedSince: now}
	if !h.job.Idempotent {
		h.task.boot = w.workers.reports[a.Worker].Boot
	}
	w.setMode(h, offered)
}

var portMeans = map[place.CommandKind]ports.CommandKind{
	place.Throttle:   ports.Throttle,
	place.Checkpoint: ports.Checkpoint,
	place.Stop:       ports.Stop,
	place.Restore:    ports.Restore,
}

func (w *jobTracker) handleAsk(a *place.Command) {
	h := w.jobs[a.Job]
	if h == nil || h.mode != running || h.token != a.Token {
		return
	}
	h.task.order = portMeans[a.Kind]
	h.task.wantsThrottle = a.Kind == place.Throttle || h.task.wantsThrottle && a.Kind != place.Restore
	h.task.calledAt = 0
}

// handleEnded handles a job that the placer will not place. A job that is too large at present is
// kept until workers or quotas change. Jobs that are past their deadline or failed on healthy
// workers are cancelled.
func (p *Planner) handleEnded(now time.Duration, a *place.Ended) {
	h := p.jobs.jobs[a.Job]
	if h == nil || h.mode != waiting {
		return
	}
	switch a.Reason.(type) {
	case *place.NeverFits, *place.OverQuota:
		p.jobs.setMode(h, tooLarge)
	case *place.DeadlinePassed, *place.RetriesExhausted:
		p.Logger.Info().Str("job", a.Job).Str("reason", a.Reason.Error()).Msg("job is cancelled")
		p.Scope.Counter("jobs_set_aside").Inc(1)
		p.jobs.setMode(h, abandoned)
	case *place.OutcomeUnknown, *place.NotRetryable, *place.Cancelled:
		// The worker was lost before the offer was fetched from the placer.
		p.jobs.placer.Forget(a.Job)
		p.submitJob(now, h)
	}
}

// stopOrphans stops the listed tasks that are not the current placement of their job, such as those
// whose lease lapsed. Tasks that have ended are removed from their worker's list.
func (p *Planner) stopOrphans(ctx context.Context, now time.Duration, st *state.State) {
	w := p.jobs
	if !w.workers.updated {
		return
	}
	w.workers.updated = false
	for _, s := range w.workers.reports {
		if w.reportAge(s.Name) > maxReportAge {
			continue
		}
		for i := range s.Tasks {
			t := &s.Tasks[i]
			if t.Token > st.Applied() {
				continue
			}
			if isCurrentPlacement(st, s.Name, t) {
				p.regainPlacement(now, t)
				continue
			}
			m := ports.Stop
			if t.Phase != ports.TaskRunning {
				m = ports.Forget
			}
			p.stopOrphan(ctx, ports.TaskKey{Worker: s.Name, Job: t.Job, Token: t.Token}, m)
		}
	}
}

// regainPlacement adopts again a placement that was given up, if its worker reports the task again
// before the job was placed elsewhere.
func (p *Planner) regainPlacement(now time.Duration, t *ports.Task) {
	h := p.jobs.jobs[t.Job]
	if h != nil && h.mode == waiting && h.job.Phase == state.Placed && h.job.Token == t.Token {
		p.adoptPlacement(now, h)
	}
}

// isCurrentPlacement reports whether a task is the current placement of its job.
func isCurrentPlacement(st *state.State, worker string, t *ports.Task) bool {
	j, ok := st.Job(t.Job)
	if !ok || j.Token != t.Token || j.Worker != worker {
		return false
	}
	return j.Phase == state.Placed || j.Phase == state.Cancelling
}

func (p *Planner) stopOrphan(ctx context.Context, k ports.TaskKey, m ports.CommandKind) {
	w := p.jobs
	subject := "stray/" + k.Worker + "/" + k.Job
	if w.calls >= maxCalls || !p.begin(subject) {
		return
	}
	w.calls++
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		_, err := p.Workers.Command(ctx, k, m)
		p.end(subject)
		w.callbacks <- func(time.Duration) {
			w.calls--
			if err != nil {
				p.Scope.Counter("asks_unconfirmed").Inc(1)
			}
		}
	}()
}
