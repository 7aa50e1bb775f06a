package plans

import (
	"context"
	"errors"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/place"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// callRetryInterval is the time before a call to a worker about a job is repeated.
	callRetryInterval = time.Second
	// reportMargin is how much newer than the task's placement or its last confirmation a report
	// without the task must be to show that the worker has lost it. It covers the error of a
	// report's age.
	reportMargin = time.Second
	// drainGrace is how long an idempotent job without a checkpoint may continue on a worker that
	// drains.
	drainGrace = 30 * time.Second
)

// task is the current placement of a job.
type task struct {
	trackedSince time.Duration
	// inPlacer is set if the placer knows the placement.
	inPlacer bool
	// chosenHere is set if this planner chose the placement.
	chosenHere bool
	// canStart is set if the planner may start the task. It must not if the worker may have run the
	// task and lost it since.
	canStart bool
	// boot is the worker's boot number when it was chosen, 0 for any.
	boot uint64
	// contacted is set once a call about the task may have reached the worker. confirmed is set
	// once the worker has confirmed or listed the task, last at confirmedAt.
	contacted, confirmed bool
	confirmedAt          time.Duration
	calledAt             time.Duration // time of the last call
	// order is what the worker is to do with the task, empty for nothing.
	order ports.CommandKind
	// wantsThrottle is set if this planner wants the task to be throttled.
	wantsThrottle bool
	// ended is set once the placement has a result.
	ended  bool
	result place.Outcome
	// drainSince is when the worker was first seen to drain, 0 if it does not drain.
	drainSince time.Duration
}

// setResult sets the result of the placement unless it has one.
func (t *task) setResult(o place.Outcome) {
	if !t.ended {
		t.ended, t.result = true, o
	}
}

// applyPhase sets the result that follows from the task's phase on its worker.
func (t *task) applyPhase(p ports.TaskPhase) {
	switch p {
	case ports.TaskSucceeded:
		t.setResult(place.Done)
	case ports.TaskFailed:
		t.setResult(place.Failed)
	case ports.TaskStopped:
		t.setResult(place.Stopped)
	case ports.TaskRunning:
	}
}

// resultOr returns the result, or fallback if the placement has none because another planner ended
// it.
func (t *task) resultOr(fallback place.Outcome) place.Outcome {
	if t.ended {
		return t.result
	}
	return fallback
}

// processActive advances every offered, running and abandoned job.
func (p *Planner) processActive(ctx context.Context, now time.Duration, st *state.State) {
	for _, h := range p.jobs.active {
		if h.recordOffset > st.Applied() {
			continue
		}
		switch h.mode {
		case offered:
			p.recordOffer(ctx, h)
		case running:
			if !p.jobs.isSteady(h) {
				p.advanceTask(ctx, now, h)
			}
		case abandoned:
			p.cancelJob(ctx, h)
		}
	}
}

// isSteady reports whether a task keeps running and its worker's report is unchanged since the last
// step.
func (w *jobTracker) isSteady(h *trackedJob) bool {
	t := &h.task
	return !w.workers.updated && t.confirmed && !t.ended && t.order == "" &&
		h.job.Phase == state.Placed && !w.workers.draining[h.worker]
}

// recordOffer appends the record of a chosen placement. If the view includes the record and the job
// is still offered, the record was refused.
func (p *Planner) recordOffer(ctx context.Context, h *trackedJob) {
	w := p.jobs
	if h.recordOffset > 0 {
		h.recordOffset = 0
		w.placer.Reject(h.job.Name)
		w.setMode(h, waiting)
		return
	}
	worker := h.worker
	r := &recpb.Placed{Job: h.job.Name, Worker: worker, Prev: h.token}
	p.appendJobRecord(ctx, h, &recpb.Record{Body: &recpb.Record_Placed{Placed: r}}, func(s ctrl.Result) {
		if h.mode == offered && h.worker == worker {
			h.recordOffset = s.Offset
		}
	})
}

// cancelJob cancels a job that will not be placed any more.
func (p *Planner) cancelJob(ctx context.Context, h *trackedJob) {
	r := &recpb.Job{Edit: &recpb.Edit{Base: h.job.Version, Remove: true}, Name: h.job.Name}
	p.appendJobRecord(ctx, h, &recpb.Record{Body: &recpb.Record_Job{Job: r}}, func(s ctrl.Result) { h.recordOffset = s.Offset })
}

// advanceTask starts a task, detects its end, and sends pending orders to its worker.
func (p *Planner) advanceTask(ctx context.Context, now time.Duration, h *trackedJob) {
	t := &h.task
	if !t.ended {
		p.readReport(now, h)
	}
	if t.ended {
		p.recordEnd(ctx, h)
		return
	}
	p.jobs.drainTask(now, h)
	if h.job.Phase == state.Cancelling {
		t.order = ports.Stop
	}
	switch {
	case t.calledAt > 0 && now-t.calledAt < callRetryInterval:
	case p.jobs.reportAge(h.worker) > maxReportAge:
		// A call would time out and use up one of maxCalls.
	case t.order == ports.Stop && !t.contacted && t.chosenHere:
		t.setResult(place.Paused)
	case t.order != "":
		p.sendOrder(ctx, now, h)
	case !t.confirmed && t.canStart:
		p.startTask(ctx, now, h)
	}
}

// readReport updates a task from its worker's last report.
func (p *Planner) readReport(now time.Duration, h *trackedJob) {
	t := &h.task
	s := p.jobs.workers.reports[h.worker]
	if s == nil {
		return
	}
	if l := s.tasks[h.job.Name]; l != nil && l.Token == h.token {
		t.confirmed, t.confirmedAt = true, s.reportedAt
		if l.Throttled && !t.wantsThrottle && t.order == "" {
			// An earlier planner throttled the task.
			t.order = ports.Restore
		}
		t.applyPhase(l.Phase)
		return
	}
	switch {
	case t.confirmed && s.reportedAt > t.confirmedAt+reportMargin:
		// The worker has lost the task.
		t.setResult(place.Stopped)
	case !t.confirmed && !t.canStart && now-t.trackedSince > taskLease && s.reportedAt > t.trackedSince+reportMargin:
		// The previous planner may or may not have started the task.
		t.setResult(place.Stopped)
	}
}

// recordEnd appends the record of the end of a placement.
func (p *Planner) recordEnd(ctx context.Context, h *trackedJob) {
	r := &recpb.Ended{Job: h.job.Name, Token: h.token, Failed: h.task.result != place.Done}
	p.appendJobRecord(ctx, h, &recpb.Record{Body: &recpb.Record_Ended{Ended: r}}, func(s ctrl.Result) { h.recordOffset = s.Offset })
}

// drainTask vacates a worker that is under a grant. Jobs that are not idempotent run to their end,
// and the reboot waits for them.
func (w *jobTracker) drainTask(now time.Duration, h *trackedJob) {
	t := &h.task
	if !w.workers.draining[h.worker] || !h.job.Idempotent {
		t.drainSince = 0
		return
	}
	if t.drainSince == 0 {
		t.drainSince = now
	}
	switch {
	case !t.contacted && t.chosenHere:
		t.setResult(place.Paused)
	case h.job.Checkpoint:
		t.order = ports.Checkpoint
	case now-t.drainSince > drainGrace:
		t.order = ports.Stop
	}
}

// isOccupied reports whether a job may be running on an instance. Before the workers were listed,
// every placement in the state counts.
func (p *Planner) isOccupied(st *state.State, name string) bool {
	if p.Workers == nil {
		return false
	}
	if p.jobs == nil || !p.jobs.workers.listed || p.jobs.scannedOffset == 0 {
		for j := range st.Jobs() {
			if j.Worker == name && (j.Phase == state.Placed || j.Phase == state.Cancelling) {
				return true
			}
		}
		return false
	}
	for _, h := range p.jobs.active {
		if h.worker == name && h.mode == running && !h.task.ended {
			return true
		}
	}
	return false
}

// startTask starts a task, or repeats the start if its answer was lost.
func (p *Planner) startTask(ctx context.Context, now time.Duration, h *trackedJob) {
	spec := ports.TaskSpec{
		Boot: h.task.boot, Lease: taskLease, Checkpoint: h.job.Checkpoint,
		Need: ports.Resources(p.toPlacerJob(now, h.job).Need),
	}
	if s := p.jobs.workers.reports[h.worker]; spec.Boot == 0 && s != nil {
		spec.Boot = s.Boot
	}
	k := ports.TaskKey{Worker: h.worker, Job: h.job.Name, Token: h.token}
	p.callWorker(ctx, now, h, func(ctx context.Context) error { return p.Workers.Start(ctx, k, spec) }, func(now time.Duration, err error) {
		p.handleStartAnswer(now, h, err)
	})
}

func (p *Planner) handleStartAnswer(now time.Duration, h *trackedJob, err error) {
	t := &h.task
	var stale *ports.StaleTaskError
	var refused *ports.NotStartedError
	switch {
	case err == nil:
		t.confirmed, t.confirmedAt = true, now
		p.Scope.Counter("jobs_started").Inc(1)
	case errors.As(err, &stale):
		if stale.Newest == h.token {
			t.setResult(place.Stopped)
		}
	case errors.As(err, &refused):
		p.Scope.Counter("jobs_not_started").Inc(1)
		t.setResult(place.NotRun)
	default:
		p.Scope.Counter("starts_unconfirmed").Inc(1)
	}
}

// sendOrder requests a worker to throttle, restore, checkpoint or stop a task. A checkpoint or stop
// is repeated until the task has ended.
func (p *Planner) sendOrder(ctx context.Context, now time.Duration, h *trackedJob) {
	m := h.task.order
	k := ports.TaskKey{Worker: h.worker, Job: h.job.Name, Token: h.token}
	var phase ports.TaskPhase
	p.callWorker(ctx, now, h, func(ctx context.Context) (err error) {
		phase, err = p.Workers.Command(ctx, k, m)
		return err
	}, func(_ time.Duration, err error) { p.handleOrderAnswer(h, m, phase, err) })
}

func (p *Planner) handleOrderAnswer(h *trackedJob, m ports.CommandKind, phase ports.TaskPhase, err error) {
	t := &h.task
	var none *ports.NoTaskError
	switch {
	case errors.As(err, &none):
		if m == ports.Stop || m == ports.Checkpoint {
			t.setResult(place.Stopped)
		}
	case err != nil:
		p.Scope.Counter("asks_unconfirmed").Inc(1)
	case phase != ports.TaskRunning:
		t.applyPhase(phase)
	case m == ports.Throttle || m == ports.Restore:
		if t.order == m {
			t.order = ""
		}
		if m == ports.Throttle {
			// Fails if the placer has given up the placement, which then frees no capacity.
			_ = p.jobs.placer.ReportThrottled(h.job.Name, h.token)
		}
	}
}

// callWorker makes a call about a task unless one is under way or maxCalls is reached. The answer
// counts only if the placement is still the current one.
func (p *Planner) callWorker(ctx context.Context, now time.Duration, h *trackedJob,
	do func(ctx context.Context) error, answered func(now time.Duration, err error)) {
	w := p.jobs
	subject := "task/" + h.job.Name
	if w.calls >= maxCalls || !p.begin(subject) {
		return
	}
	w.calls++
	h.task.calledAt = now
	h.task.contacted = true
	token := h.token
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		err := do(ctx)
		p.end(subject)
		w.callbacks <- func(now time.Duration) {
			w.calls--
			if w.jobs[h.job.Name] == h && h.mode == running && h.token == token {
				answered(now, err)
			}
		}
	}()
}
