package plans

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/place"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
)

// choose takes the next actions of the placer until too many placements are not
// recorded yet.
func (p *Planner) choose(now time.Duration) {
	w := p.jobs
	for w.offers < maxOffers {
		switch a := w.placer.Next(now).(type) {
		case nil:
			return
		case *place.Start:
			w.offer(now, a)
		case *place.Ask:
			w.asked(a)
		case *place.Ended:
			p.left(now, a)
		case *place.Quarantine:
			p.Logger.Warn().Str("worker", a.Worker).Strs("failed", a.Failed).Msg("worker is quarantined")
			p.Scope.Counter("workers_quarantined").Inc(1)
		}
	}
}

func (w *jobWatch) offer(now time.Duration, a *place.Start) {
	h := w.jobs[a.Job]
	if h == nil || h.mode != waiting {
		w.placer.Reject(a.Job)
		w.placer.Cancel(a.Job)
		w.placer.Forget(a.Job)
		return
	}
	h.worker = a.Worker
	h.settled = 0
	h.task = task{since: now}
	if !h.job.Idempotent {
		h.task.boot = w.workers.seen[a.Worker].Boot
	}
	w.set(h, offered)
}

var means = map[place.Means]ports.Means{
	place.Throttle:   ports.Throttle,
	place.Checkpoint: ports.Checkpoint,
	place.Stop:       ports.Stop,
	place.Restore:    ports.Restore,
}

func (w *jobWatch) asked(a *place.Ask) {
	h := w.jobs[a.Job]
	if h == nil || h.mode != running || h.token != a.Token {
		return
	}
	h.task.means = means[a.Means]
	h.task.slow = a.Means == place.Throttle || h.task.slow && a.Means != place.Restore
	h.task.called = 0
}

// left handles a job that the placer will not place. One that is too large at present
// is kept until workers or quotas change; others are cancelled.
func (p *Planner) left(now time.Duration, a *place.Ended) {
	h := p.jobs.jobs[a.Job]
	if h == nil || h.mode != waiting {
		return
	}
	switch a.Reason.(type) {
	case *place.NeverFits, *place.OverQuota:
		p.jobs.set(h, unfit)
	case *place.TooLate, *place.SetAside:
		p.Logger.Info().Str("job", a.Job).Str("reason", a.Reason.Error()).Msg("job is cancelled")
		p.Scope.Counter("jobs_set_aside").Inc(1)
		p.jobs.set(h, dropped)
	case *place.Unknown, *place.GaveUp, *place.Cancelled:
		// The worker was lost before the offer was taken from the placer.
		p.jobs.placer.Forget(a.Job)
		p.submitJob(now, h)
	}
}

// stopStrays stops the listed tasks that no placement in the state holds: those whose
// lease lapsed. Ended ones are taken off the list.
func (p *Planner) stopStrays(ctx context.Context, now time.Duration, st *state.State) {
	w := p.jobs
	if !w.workers.news {
		return
	}
	w.workers.news = false
	for _, s := range w.workers.seen {
		if w.silent(s.Name) > freshness {
			continue
		}
		for i := range s.Tasks {
			t := &s.Tasks[i]
			if t.Token > st.Applied() {
				continue
			}
			if holds(st, s.Name, t) {
				p.regain(now, t)
				continue
			}
			m := ports.Stop
			if t.Phase != ports.TaskRunning {
				m = ports.Forget
			}
			p.stopStray(ctx, ports.TaskKey{Worker: s.Name, Job: t.Job, Token: t.Token}, m)
		}
	}
}

// regain takes back a placement that was given up, if its worker is heard again before
// the job was placed elsewhere.
func (p *Planner) regain(now time.Duration, t *ports.Task) {
	h := p.jobs.jobs[t.Job]
	if h != nil && h.mode == waiting && h.job.Phase == state.Placed && h.job.Token == t.Token {
		p.adopt(now, h)
	}
}

// holds says whether a task is the present placement of its job.
func holds(st *state.State, worker string, t *ports.Task) bool {
	j, ok := st.Job(t.Job)
	if !ok || j.Token != t.Token || j.Worker != worker {
		return false
	}
	return j.Phase == state.Placed || j.Phase == state.Cancelling
}

func (p *Planner) stopStray(ctx context.Context, k ports.TaskKey, m ports.Means) {
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
		_, err := p.Workers.Ask(ctx, k, m)
		p.end(subject)
		w.done <- func(time.Duration) {
			w.calls--
			if err != nil {
				p.Scope.Counter("asks_unconfirmed").Inc(1)
			}
		}
	}()
}
