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
	// repeatCall is the pause before a call to a worker about a job is repeated.
	repeatCall = time.Second
	// reportMargin is how much newer than the answer to a start a report must be to
	// show that the worker has lost the task. It covers the error of a report's age.
	reportMargin = time.Second
	// drainPatience is how long an idempotent job without a checkpoint may run on on
	// a worker that drains.
	drainPatience = 30 * time.Second
)

// task is the present placement of a job.
type task struct {
	since time.Duration
	// inside says that the placer knows the placement.
	inside bool
	// own says that this planner chose the placement.
	own bool
	// mayStart says that the planner may start the task, which it must not do if the
	// worker may have run it and lost it since.
	mayStart bool
	// boot is the worker's boot number when it was chosen, 0 for any.
	boot uint64
	// sent says that a start may have reached the worker, known that the worker has
	// confirmed or listed the task at the time seen.
	sent, known bool
	seen        time.Duration
	called      time.Duration // time of the last call
	// means is what the worker is asked to do, empty for nothing.
	means ports.Means
	// slow says that this planner wants the task to be throttled.
	slow bool
	// over says that the placement has ended with a result.
	over   bool
	result place.Outcome
	// drains is when the worker was first seen to drain.
	drains time.Duration
}

// end notes the result of the placement.
func (t *task) end(o place.Outcome) {
	if !t.over {
		t.over, t.result = true, o
	}
}

// reached notes the phase of the task on its worker.
func (t *task) reached(p ports.TaskPhase) {
	switch p {
	case ports.TaskSucceeded:
		t.end(place.Done)
	case ports.TaskFailed:
		t.end(place.Failed)
	case ports.TaskStopped:
		t.end(place.Stopped)
	case ports.TaskRunning:
	}
}

// outcome returns the result, or another if the placement was ended by someone else.
func (t *task) outcome(other place.Outcome) place.Outcome {
	if t.over {
		return t.result
	}
	return other
}

// maintain takes every offered, running and dropped job one step further.
func (p *Planner) maintain(ctx context.Context, now time.Duration, st *state.State) {
	for _, h := range p.jobs.active {
		if h.settled > st.Applied() {
			continue
		}
		switch h.mode {
		case offered:
			p.tendOffer(ctx, h)
		case running:
			if !p.jobs.steady(h) {
				p.tendTask(ctx, now, h)
			}
		case dropped:
			p.cancelJob(ctx, h)
		}
	}
}

// steady says whether a task runs on and nothing was heard of it since the last step.
func (w *jobWatch) steady(h *heldJob) bool {
	t := &h.task
	return !w.workers.news && t.known && !t.over && t.means == "" &&
		h.job.Phase == state.Placed && !w.workers.draining[h.worker]
}

// tendOffer records a placement. If the view includes the record and the job is still
// on offer, the record was refused.
func (p *Planner) tendOffer(ctx context.Context, h *heldJob) {
	w := p.jobs
	if h.settled > 0 {
		h.settled = 0
		w.placer.Reject(h.job.Name)
		w.set(h, waiting)
		return
	}
	worker := h.worker
	r := &recpb.Placed{Job: h.job.Name, Worker: worker, Prev: h.token}
	p.record(ctx, h, &recpb.Record{Body: &recpb.Record_Placed{Placed: r}}, func(s ctrl.Settled) {
		if h.mode == offered && h.worker == worker {
			h.settled = s.Offset
		}
	})
}

// cancelJob cancels a job that will not be placed any more.
func (p *Planner) cancelJob(ctx context.Context, h *heldJob) {
	r := &recpb.Job{Edit: &recpb.Edit{Base: h.job.Version, Remove: true}, Name: h.job.Name}
	p.record(ctx, h, &recpb.Record{Body: &recpb.Record_Job{Job: r}}, func(s ctrl.Settled) { h.settled = s.Offset })
}

// tendTask starts a task, looks for its end, and asks its worker to do what is
// called for.
func (p *Planner) tendTask(ctx context.Context, now time.Duration, h *heldJob) {
	t := &h.task
	if !t.over {
		p.look(now, h)
	}
	if t.over {
		p.recordEnd(ctx, h)
		return
	}
	p.jobs.drainTask(now, h)
	if h.job.Phase == state.Cancelling {
		t.means = ports.Stop
	}
	switch {
	case t.called > 0 && now-t.called < repeatCall:
	case p.jobs.silent(h.worker) > freshness:
		// A call would wait for its timeout and take the place of others.
	case t.means == ports.Stop && !t.sent && t.own:
		t.end(place.Paused)
	case t.means != "":
		p.ask(ctx, now, h)
	case !t.known && t.mayStart:
		p.start(ctx, now, h)
	}
}

// look reads what the worker last reported about a task.
func (p *Planner) look(now time.Duration, h *heldJob) {
	t := &h.task
	s := p.jobs.workers.seen[h.worker]
	if s == nil {
		return
	}
	if l := s.tasks[h.job.Name]; l != nil && l.Token == h.token {
		t.known, t.seen = true, s.reported
		if l.Throttled && !t.slow && t.means == "" {
			// A former planner throttled it.
			t.means = ports.Restore
		}
		t.reached(l.Phase)
		return
	}
	switch {
	case t.known && s.reported > t.seen+reportMargin:
		// The worker has lost the task.
		t.end(place.Stopped)
	case !t.known && !t.mayStart && now-t.since > taskLease && s.reported > t.since+reportMargin:
		// The previous planner may or may not have started it.
		t.end(place.Stopped)
	}
}

// recordEnd records the end of a placement.
func (p *Planner) recordEnd(ctx context.Context, h *heldJob) {
	r := &recpb.Ended{Job: h.job.Name, Token: h.token, Failed: h.task.result != place.Done}
	p.record(ctx, h, &recpb.Record{Body: &recpb.Record_Ended{Ended: r}}, func(s ctrl.Settled) { h.settled = s.Offset })
}

// drainTask frees a worker that is under a grant. Jobs that are not idempotent run to
// their end, and the reboot waits for them.
func (w *jobWatch) drainTask(now time.Duration, h *heldJob) {
	t := &h.task
	if !w.workers.draining[h.worker] || !h.job.Idempotent {
		t.drains = 0
		return
	}
	if t.drains == 0 {
		t.drains = now
	}
	switch {
	case !t.sent && t.own:
		t.end(place.Paused)
	case h.job.Checkpoint:
		t.means = ports.Checkpoint
	case now-t.drains > drainPatience:
		t.means = ports.Stop
	}
}

// occupied says whether a job may be running on an instance. Before the workers were
// listed, every placement in the state counts.
func (p *Planner) occupied(st *state.State, name string) bool {
	if p.Workers == nil {
		return false
	}
	if p.jobs == nil || !p.jobs.workers.known || p.jobs.applied == 0 {
		for j := range st.Jobs() {
			if j.Worker == name && (j.Phase == state.Placed || j.Phase == state.Cancelling) {
				return true
			}
		}
		return false
	}
	for _, h := range p.jobs.active {
		if h.worker == name && h.mode == running && !h.task.over {
			return true
		}
	}
	return false
}

// start starts a task, once more if the answer to the last start was lost.
func (p *Planner) start(ctx context.Context, now time.Duration, h *heldJob) {
	spec := ports.TaskSpec{
		Boot: h.task.boot, Lease: taskLease, Checkpoint: h.job.Checkpoint,
		Need: ports.Size(p.placeJob(now, h.job).Need),
	}
	if s := p.jobs.workers.seen[h.worker]; spec.Boot == 0 && s != nil {
		spec.Boot = s.Boot
	}
	k := ports.TaskKey{Worker: h.worker, Job: h.job.Name, Token: h.token}
	p.call(ctx, now, h, func(ctx context.Context) error { return p.Workers.Start(ctx, k, spec) }, func(now time.Duration, err error) {
		p.startAnswered(now, h, err)
	})
}

func (p *Planner) startAnswered(now time.Duration, h *heldJob, err error) {
	t := &h.task
	var stale *ports.StaleTaskError
	var refused *ports.NotStartedError
	switch {
	case err == nil:
		t.known, t.seen = true, now
		p.Scope.Counter("jobs_started").Inc(1)
	case errors.As(err, &stale):
		if stale.Newest == h.token {
			t.end(place.Stopped)
		}
	case errors.As(err, &refused):
		p.Scope.Counter("jobs_not_started").Inc(1)
		t.end(place.NotRun)
	default:
		p.Scope.Counter("starts_unconfirmed").Inc(1)
	}
}

// ask asks a worker to throttle, restore, checkpoint or stop a task. A checkpoint or
// stop is repeated until the task has ended.
func (p *Planner) ask(ctx context.Context, now time.Duration, h *heldJob) {
	m := h.task.means
	k := ports.TaskKey{Worker: h.worker, Job: h.job.Name, Token: h.token}
	var phase ports.TaskPhase
	p.call(ctx, now, h, func(ctx context.Context) (err error) {
		phase, err = p.Workers.Ask(ctx, k, m)
		return err
	}, func(_ time.Duration, err error) { p.askAnswered(h, m, phase, err) })
}

func (p *Planner) askAnswered(h *heldJob, m ports.Means, phase ports.TaskPhase, err error) {
	t := &h.task
	var none *ports.NoTaskError
	switch {
	case errors.As(err, &none):
		if m == ports.Stop || m == ports.Checkpoint {
			t.end(place.Stopped)
		}
	case err != nil:
		p.Scope.Counter("asks_unconfirmed").Inc(1)
	case phase != ports.TaskRunning:
		t.reached(phase)
	case m == ports.Throttle || m == ports.Restore:
		if t.means == m {
			t.means = ""
		}
		if m == ports.Throttle {
			// A placement that the placer has given up makes no room any more.
			_ = p.jobs.placer.Throttled(h.job.Name, h.token)
		}
	}
}

// call makes a call about a task unless one is under way. The answer counts only if
// the placement is still the present one.
func (p *Planner) call(ctx context.Context, now time.Duration, h *heldJob,
	do func(ctx context.Context) error, answered func(now time.Duration, err error)) {
	w := p.jobs
	subject := "task/" + h.job.Name
	if w.calls >= maxCalls || !p.begin(subject) {
		return
	}
	w.calls++
	h.task.called = now
	h.task.sent = true
	token := h.token
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		err := do(ctx)
		p.end(subject)
		w.done <- func(now time.Duration) {
			w.calls--
			if w.jobs[h.job.Name] == h && h.mode == running && h.token == token {
				answered(now, err)
			}
		}
	}()
}
