package flows

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
)

// Run runs a call and returns its result. A non-idempotent request that was sent runs to its end
// even if the caller disconnects, so that its outcome can be looked up.
func (e *Engine) Run(ctx context.Context, c *Call) Result {
	e.running.Add(1)
	defer e.running.Done()
	ctx, span := e.Tracer.Start(ctx, "entry", trace.WithAttributes(
		attribute.String("service", c.Service), attribute.String("request", c.RequestID)))
	defer span.End()
	r := e.run(ctx, c)
	e.meters.count(r)
	return r
}

// RecordRefusal counts a call that is refused before it enters the engine, and returns its result.
func (e *Engine) RecordRefusal(r NotRun) Result {
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
		return e.runQueued(ctx, &callState{call: c, pool: p, deadline: deadline})
	}
	return e.runClaimed(ctx, &callState{call: c, pool: p, deadline: deadline})
}

// callState is the state of one call in the engine.
type callState struct {
	call     *Call
	pool     *pool
	deadline time.Duration
	ticket   *admit.Ticket
	// claim is the claim state of a non-idempotent call, nil otherwise.
	claim *claimState
}

// runQueued queues a call and sends it when it has a slot.
func (e *Engine) runQueued(ctx context.Context, cs *callState) Result {
	t, w, err := cs.pool.admit(e.Clock.Now(), cs.call, cs.deadline)
	if err != nil {
		return refusalResult(err)
	}
	cs.ticket = t
	if w.slotsShort {
		e.OnSlotShortage()
	}
	if cs.claim != nil {
		cs.claim.request(ctx, e)
	}
	if r := e.awaitSlot(ctx, cs, w); r != nil {
		return r
	}
	return e.runWithSlot(ctx, cs)
}

// awaitSlot waits until the call has a slot. It returns a result if the call was cancelled or
// dropped, else nil.
func (e *Engine) awaitSlot(ctx context.Context, cs *callState, w *waiter) Result {
	select {
	case run := <-w.run:
		return queueResult(run)
	case <-ctx.Done():
	}
	if cs.pool.cancel(cs.ticket) {
		return NotRun{Reason: Cancelled}
	}
	return queueResult(<-w.run)
}

func queueResult(run bool) Result {
	if run {
		return nil
	}
	return NotRun{Reason: Deadline, RetryAfter: time.Second}
}

// runWithSlot runs a call that has a slot in the queue.
func (e *Engine) runWithSlot(ctx context.Context, cs *callState) Result {
	if cs.claim != nil {
		if r := cs.claim.await(ctx, e, cs.deadline); r != nil {
			cs.pool.finish(e.Clock.Now(), cs.ticket)
			return r
		}
		ctx = context.WithoutCancel(ctx)
	}
	return e.send(ctx, cs)
}

func refusalResult(err error) Result {
	var refused *admit.RefusedError
	if !errors.As(err, &refused) {
		return NotRun{Reason: Busy}
	}
	if refused.Reason == admit.Deadline {
		return NotRun{Reason: Deadline, RetryAfter: refused.RetryAfter}
	}
	return NotRun{Reason: Busy, RetryAfter: refused.RetryAfter}
}
