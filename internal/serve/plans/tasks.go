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
	// inPlacer is set if the placer has the placement.
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
	// command is the command to send to the worker, empty for none.
	command ports.CommandKind
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
	for _, tj := range p.jobs.active {
		if tj.recordOffset > st.Applied() {
			continue
		}
		switch tj.mode {
		case offered:
			p.recordOffer(ctx, tj)
		case running:
			if !p.jobs.isSteady(tj) {
				p.advanceTask(ctx, now, tj)
			}
		case abandoned:
			p.cancelJob(ctx, tj)
		}
	}
}

// isSteady reports whether a task keeps running and its worker's report is unchanged since the last
// step.
func (jt *jobTracker) isSteady(tj *trackedJob) bool {
	t := &tj.task
	return !jt.workers.updated && t.confirmed && !t.ended && t.command == "" &&
		tj.job.Phase == state.Placed && !jt.workers.draining[tj.worker]
}

// recordOffer appends the record of a chosen placement. If the view includes the record and the job
// is still offered, the record was refused.
func (p *Planner) recordOffer(ctx context.Context, tj *trackedJob) {
	jt := p.jobs
	if tj.recordOffset > 0 {
		tj.recordOffset = 0
		jt.placer.Reject(tj.job.Name)
		jt.setMode(tj, waiting)
		return
	}
	worker := tj.worker
	r := &recpb.Placed{Job: tj.job.Name, Worker: worker, Prev: tj.token}
	p.appendJobRecord(ctx, tj, &recpb.Record{Body: &recpb.Record_Placed{Placed: r}}, func(s ctrl.Result) {
		if tj.mode == offered && tj.worker == worker {
			tj.recordOffset = s.Offset
		}
	})
}

// cancelJob cancels a job that will not be placed any more.
func (p *Planner) cancelJob(ctx context.Context, tj *trackedJob) {
	r := &recpb.Job{Edit: &recpb.Edit{Base: tj.job.Version, Remove: true}, Name: tj.job.Name}
	p.appendJobRecord(ctx, tj, &recpb.Record{Body: &recpb.Record_Job{Job: r}}, func(s ctrl.Result) { tj.recordOffset = s.Offset })
}

// advanceTask starts a task, detects its end, and sends pending commands to its worker.
func (p *Planner) advanceTask(ctx context.Context, now time.Duration, tj *trackedJob) {
	t := &tj.task
	if !t.ended {
		p.readReport(now, tj)
	}
	if t.ended {
		p.recordEnd(ctx, tj)
		return
	}
	p.jobs.drainTask(now, tj)
	if tj.job.Phase == state.Cancelling {
		t.command = ports.Stop
	}
	switch {
	case t.calledAt > 0 && now-t.calledAt < callRetryInterval:
	case p.jobs.reportAge(tj.worker) > maxReportAge:
		// A call would time out and use up one of maxCalls.
	case t.command == ports.Stop && !t.contacted && t.chosenHere:
		t.setResult(place.Paused)
	case t.command != "":
		p.sendCommand(ctx, now, tj)
	case !t.confirmed && t.canStart:
		p.startTask(ctx, now, tj)
	}
}

// readReport updates a task from its worker's last report.
func (p *Planner) readReport(now time.Duration, tj *trackedJob) {
	t := &tj.task
	s := p.jobs.workers.reports[tj.worker]
	if s == nil {
		return
	}
	if l := s.tasks[tj.job.Name]; l != nil && l.Token == tj.token {
		t.confirmed, t.confirmedAt = true, s.reportedAt
		if l.Throttled && !t.wantsThrottle && t.command == "" {
			// An earlier planner throttled the task.
			t.command = ports.Restore
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
func (p *Planner) recordEnd(ctx context.Context, tj *trackedJob) {
	r := &recpb.Ended{Job: tj.job.Name, Token: tj.token, Failed: tj.task.result != place.Done}
	p.appendJobRecord(ctx, tj, &recpb.Record{Body: &recpb.Record_Ended{Ended: r}}, func(s ctrl.Result) { tj.recordOffset = s.Offset })
}

// drainTask vacates a worker that is under a grant. Jobs that are not idempotent run to their end,
// and the reboot waits for them.
func (jt *jobTracker) drainTask(now time.Duration, tj *trackedJob) {
	t := &tj.task
	if !jt.workers.draining[tj.worker] || !tj.job.Idempotent {
		t.drainSince = 0
		return
	}
	if t.drainSince == 0 {
		t.drainSince = now
	}
	switch {
	case !t.contacted && t.chosenHere:
		t.setResult(place.Paused)
	case tj.job.Checkpoint:
		t.command = ports.Checkpoint
	case now-t.drainSince > drainGrace:
		t.command = ports.Stop
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
	for _, tj := range p.jobs.active {
		if tj.worker == name && tj.mode == running && !tj.task.ended {
			return true
		}
	}
	return false
}

// startTask starts a task, or repeats the start if its answer was lost.
func (p *Planner) startTask(ctx context.Context, now time.Duration, tj *trackedJob) {
	spec := ports.TaskSpec{
		Boot: tj.task.boot, Lease: taskLease, Checkpoint: tj.job.Checkpoint,
		Need: ports.Resources(p.toPlacerJob(now, tj.job).Need),
	}
	if s := p.jobs.workers.reports[tj.worker]; spec.Boot == 0 && s != nil {
		spec.Boot = s.Boot
	}
	k := ports.TaskKey{Worker: tj.worker, Job: tj.job.Name, Token: tj.token}
	p.callWorker(ctx, now, tj, func(ctx context.Context) error { return p.Workers.Start(ctx, k, spec) }, func(now time.Duration, err error) {
		p.handleStartAnswer(now, tj, err)
	})
}

func (p *Planner) handleStartAnswer(now time.Duration, tj *trackedJob, err error) {
	t := &tj.task
	var stale *ports.StaleTaskError
	var refused *ports.NotStartedError
	switch {
	case err == nil:
		t.confirmed, t.confirmedAt = true, now
		p.Scope.Counter("jobs_started").Inc(1)
	case errors.As(err, &stale):
		if stale.Newest == tj.token {
			t.setResult(place.Stopped)
		}
	case errors.As(err, &refused):
		p.Scope.Counter("jobs_not_started").Inc(1)
		t.setResult(place.NotRun)
	default:
		p.Scope.Counter("starts_unconfirmed").Inc(1)
	}
}

// sendCommand requests a worker to throttle, restore, checkpoint or stop a task. A checkpoint or
// stop is repeated until the task has ended.
func (p *Planner) sendCommand(ctx context.Context, now time.Duration, tj *trackedJob) {
	kind := tj.task.command
	k := ports.TaskKey{Worker: tj.worker, Job: tj.job.Name, Token: tj.token}
	var phase ports.TaskPhase
	p.callWorker(ctx, now, tj, func(ctx context.Context) (err error) {
		phase, err = p.Workers.Command(ctx, k, kind)
		return err
	}, func(_ time.Duration, err error) { p.handleCommandAnswer(tj, kind, phase, err) })
}

func (p *Planner) handleCommandAnswer(tj *trackedJob, kind ports.CommandKind, phase ports.TaskPhase, err error) {
	t := &tj.task
	var none *ports.NoTaskError
	switch {
	case errors.As(err, &none):
		if kind == ports.Stop || kind == ports.Checkpoint {
			t.setResult(place.Stopped)
		}
	case err != nil:
		p.Scope.Counter("asks_unconfirmed").Inc(1)
	case phase != ports.TaskRunning:
		t.applyPhase(phase)
	case kind == ports.Throttle || kind == ports.Restore:
		if t.command == kind {
			t.command = ""
		}
		if kind == ports.Throttle {
			// Fails if the placer has given up the placement, which then frees no capacity.
			_ = p.jobs.placer.ReportThrottled(tj.job.Name, tj.token)
		}
	}
}

// callWorker makes a call about a task unless one is under way or maxCalls is reached. The answer
// counts only if the placement is still the current one.
func (p *Planner) callWorker(ctx context.Context, now time.Duration, tj *trackedJob,
	do func(ctx context.Context) error, answered func(now time.Duration, err error)) {
	jt := p.jobs
	subject := "task/" + tj.job.Name
	if jt.calls >= maxCalls || !p.begin(subject) {
		return
	}
	jt.calls++
	tj.task.calledAt = now
	tj.task.contacted = true
	token := tj.token
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		err := do(ctx)
		p.end(subject)
		jt.callbacks <- func(now time.Duration) {
			jt.calls--
			if jt.jobs[tj.job.Name] == tj && tj.mode == running && tj.token == token {
				answered(now, err)
			}
		}
	}()
}
