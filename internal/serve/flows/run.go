package flows

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
)

// Run carries a call to its result. A non-idempotent request that was sent runs to
// its end even if the caller goes away, so that its outcome can be asked for.
func (e *Engine) Run(ctx context.Context, c *Call) Result {
	e.running.Add(1)
	defer e.running.Done()
	ctx, span := e.Tracer.Start(ctx, "entry", trace.WithAttributes(
		attribute.String("service", c.Service), attribute.String("request", c.Text)))
	defer span.End()
	r := e.run(ctx, c)
	e.meters.count(r)
	return r
}

// Refuse counts a call that is refused before it enters the engine.
func (e *Engine) Refuse(r NotRun) Result {
	e.meters.count(r)
	return r
}

func (e *Engine) run(ctx context.Context, c *Call) Result {
	p, ok := e.table.Load().services[c.Service]
	if !ok {
		return NotRun{Reason: UnknownService}
	}
	if c.Pool != "" && c.Pool != p.name {
		return NotRun{Reason: WrongPool}
	}
	deadline := e.Clock.Now() + c.Timeout
	if c.Idempotent {
		return e.admitted(ctx, &job{call: c, pool: p, deadline: deadline})
	}
	return e.once(ctx, &job{call: c, pool: p, deadline: deadline})
}

// job is one call on its way through the engine.
type job struct {
	call     *Call
	pool     *pool
	deadline time.Duration
	ticket   *admit.Ticket
	// once is the attempt of a non-idempotent call, nil otherwise.
	once *onceJob
}

// admitted queues a job and runs it when it has a slot.
func (e *Engine) admitted(ctx context.Context, j *job) Result {
	t, w, err := j.pool.admit(e.Clock.Now(), j.call, j.deadline)
	if err != nil {
		return refusal(err)
	}
	j.ticket = t
	if w.short {
		e.Short()
	}
	if j.once != nil {
		j.once.start(ctx, e)
	}
	if r := e.wait(ctx, j, w); r != nil {
		return r
	}
	return e.slotted(ctx, j)
}

// wait blocks until the job has a slot. It returns a result if it never will.
func (e *Engine) wait(ctx context.Context, j *job, w *waiter) Result {
	select {
	case run := <-w.run:
		return dropped(run)
	case <-ctx.Done():
	}
	if j.pool.cancel(j.ticket) {
		return NotRun{Reason: Cancelled}
	}
	return dropped(<-w.run)
}

func dropped(run bool) Result {
	if run {
		return nil
	}
	return NotRun{Reason: Deadline, After: time.Second}
}

// slotted runs a job that has a slot of the queue.
func (e *Engine) slotted(ctx context.Context, j *job) Result {
	if j.once != nil {
		if r := j.once.granted(ctx, e, j.deadline); r != nil {
			j.pool.finish(e.Clock.Now(), j.ticket)
			return r
		}
		ctx = context.WithoutCancel(ctx)
	}
	return e.send(ctx, j)
}

func refusal(err error) Result {
	var refused *admit.RefusedError
	if !errors.As(err, &refused) {
		return NotRun{Reason: Busy}
	}
	if refused.Reason == admit.Deadline {
		return NotRun{Reason: Deadline, After: refused.After}
	}
	return NotRun{Reason: Busy, After: refused.After}
}
