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
	jt := p.jobs
	for jt.offers < maxOffers {
		switch a := jt.placer.Next(now).(type) {
		case nil:
			return
		case *place.Start:
			jt.handleStart(now, a)
		case *place.Command:
			jt.handleCommand(a)
		case *place.Ended:
			p.handleEnded(now, a)
		case *place.Quarantine:
			p.Logger.Warn().Str("worker", a.Worker).Strs("failed", a.Failed).Msg("worker is quarantined")
			p.Scope.Counter("workers_quarantined").Inc(1)
		}
	}
}

func (jt *jobTracker) handleStart(now time.Duration, a *place.Start) {
	tj := jt.jobs[a.Job]
	if tj == nil || tj.mode != waiting {
		jt.placer.Reject(a.Job)
		jt.placer.Cancel(a.Job)
		jt.placer.Forget(a.Job)
		return
	}
	tj.worker = a.Worker
	tj.recordOffset = 0
	tj.task = task{trackedSince: now}
	if !tj.job.Idempotent {
		tj.task.boot = jt.workers.reports[a.Worker].Boot
	}
	jt.setMode(tj, offered)
}

var portCommands = map[place.CommandKind]ports.CommandKind{
	place.Throttle:   ports.Throttle,
	place.Checkpoint: ports.Checkpoint,
	place.Stop:       ports.Stop,
	place.Restore:    ports.Restore,
}

func (jt *jobTracker) handleCommand(a *place.Command) {
	tj := jt.jobs[a.Job]
	if tj == nil || tj.mode != running || tj.token != a.Token {
		return
	}
	tj.task.command = portCommands[a.Kind]
	tj.task.wantsThrottle = a.Kind == place.Throttle || tj.task.wantsThrottle && a.Kind != place.Restore
	tj.task.calledAt = 0
}

// handleEnded handles a job that the placer will not place. A job that is too large at present is
// kept until workers or quotas change. Jobs that are past their deadline or failed on healthy
// workers are cancelled.
func (p *Planner) handleEnded(now time.Duration, a *place.Ended) {
	tj := p.jobs.jobs[a.Job]
	if tj == nil || tj.mode != waiting {
		return
	}
	switch a.Reason.(type) {
	case *place.NeverFits, *place.OverQuota:
		p.jobs.setMode(tj, tooLarge)
	case *place.DeadlinePassed, *place.RetriesExhausted:
		p.Logger.Info().Str("job", a.Job).Str("reason", a.Reason.Error()).Msg("job is cancelled")
		p.Scope.Counter("jobs_set_aside").Inc(1)
		p.jobs.setMode(tj, abandoned)
	case *place.OutcomeUnknown, *place.NotRetryable, *place.Cancelled:
		// The worker was lost before the offer was fetched from the placer.
		p.jobs.placer.Forget(a.Job)
		p.submitJob(now, tj)
	}
}

// stopOrphans stops the listed tasks that are not the current placement of their job, such as those
// whose lease lapsed. Tasks that have ended are removed from their worker's list.
func (p *Planner) stopOrphans(ctx context.Context, now time.Duration, st *state.State) {
	jt := p.jobs
	if !jt.workers.updated {
		return
	}
	jt.workers.updated = false
	for _, s := range jt.workers.reports {
		if jt.reportAge(s.Name) > maxReportAge {
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
			kind := ports.Stop
			if t.Phase != ports.TaskRunning {
				kind = ports.Forget
			}
			p.stopOrphan(ctx, ports.TaskKey{Worker: s.Name, Job: t.Job, Token: t.Token}, kind)
		}
	}
}

// regainPlacement adopts again a placement that was given up, if its worker reports the task again
// before the job was placed elsewhere.
func (p *Planner) regainPlacement(now time.Duration, t *ports.Task) {
	tj := p.jobs.jobs[t.Job]
	if tj != nil && tj.mode == waiting && tj.job.Phase == state.Placed && tj.job.Token == t.Token {
		p.adoptPlacement(now, tj)
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

func (p *Planner) stopOrphan(ctx context.Context, k ports.TaskKey, kind ports.CommandKind) {
	jt := p.jobs
	subject := "stray/" + k.Worker + "/" + k.Job
	if jt.calls >= maxCalls || !p.begin(subject) {
		return
	}
	jt.calls++
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		_, err := p.Workers.Command(ctx, k, kind)
		p.end(subject)
		jt.callbacks <- func(time.Duration) {
			jt.calls--
			if err != nil {
				p.Scope.Counter("asks_unconfirmed").Inc(1)
			}
		}
	}()
}
