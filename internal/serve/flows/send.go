package flows

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/flow/route"
)

// maxAttempts bounds the attempts of one call.
const maxAttempts = 4

// noEndpointRetryAfter is the time after which a caller may retry if no endpoint could take a call.
const noEndpointRetryAfter = time.Second

// attemptEnd is how one attempt ended.
type attemptEnd struct {
	// final is set if the attempt decides the result of the call.
	final Result
	// provisional is the result of the call if there is no further attempt.
	provisional Result
	// notRun reports that nothing ran, so that even a non-idempotent call may be sent again.
	notRun bool
}

// send makes attempts until one decides the result. It frees the call's slot in the queue.
func (e *Engine) send(ctx context.Context, cs *callState) Result {
	ctx, cancel := context.WithTimeout(ctx, cs.deadline-e.Clock.Now())
	ss := &sendState{engine: e, call: cs, cancel: cancel}
	var avoid []string
	var last Result = NotRun{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter}
	for n := range maxAttempts {
		if n > 0 && !cs.pool.takeRetry(e.Clock.Now(), cs.call.Service) {
			e.meters.retryDenied.Inc(1)
			break
		}
		t, r := e.pickTarget(ctx, cs, avoid)
		if r != nil {
			last = combineResults(last, r, n)
			break
		}
		if n > 0 {
			e.meters.retries.Inc(1)
		}
		avoid = append(avoid, t.Name)
		one := e.sendAttempt(ctx, cs, t, ss)
		if one.final != nil {
			return ss.settle(one.final)
		}
		last = combineResults(last, one.provisional, n)
		if !one.notRun && !cs.call.Idempotent {
			break
		}
	}
	return ss.settle(last)
}

// combineResults combines the results of two attempts: "not run" is reported only if it holds for
// all attempts.
func combineResults(last, next Result, attempts int) Result {
	if _, notRun := next.(NotRun); notRun && attempts > 0 {
		return last
	}
	return next
}

// pickTarget reserves a slot at an endpoint. It waits for one if all are in use.
func (e *Engine) pickTarget(ctx context.Context, cs *callState, avoid []string) (route.Target, Result) {
	for {
		t, freed, err := cs.pool.pick(e.Clock.Now(), avoid)
		if err == nil {
			return t, nil
		}
		if freed == nil {
			return t, NotRun{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter}
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return t, NotRun{Reason: Deadline}
		}
	}
}

// sendAttempt makes one attempt at an endpoint.
func (e *Engine) sendAttempt(ctx context.Context, cs *callState, t route.Target, ss *sendState) attemptEnd {
	if !e.Gate.MaySend() {
		e.meters.unconfirmed.Inc(1)
		cs.pool.release(e.Clock.Now(), t.Name, route.Cancelled, 0)
		return attemptEnd{provisional: NotRun{Reason: Unconfirmed, RetryAfter: noEndpointRetryAfter}, notRun: true}
	}
	ctx, span := e.Tracer.Start(ctx, "endpoint", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("instance", t.Name)))
	defer span.End()
	start := e.Clock.Now()
	a, err := e.Endpoint.Call(ctx, t.Addr, ports.Request{
		ID:          cs.call.RequestID,
		Service:     cs.call.Service,
		ContentType: cs.call.ContentType,
		Body:        cs.call.Body,
		Timeout:     cs.deadline - start,
	})
	if err != nil {
		return e.handleError(ctx, cs, t, start, err)
	}
	return e.handleAnswer(cs, t, start, a, ss)
}

// handleAnswer handles a verified answer, or the verified head of a streamed one.
func (e *Engine) handleAnswer(cs *callState, t route.Target, start time.Duration, a *ports.Answer, ss *sendState) attemptEnd {
	if a.Leaving {
		cs.pool.recordLeaving(e.Clock.Now(), t.Name)
		e.OnLeaving(t.Name)
	}
	out := Answered{Status: a.Status, ContentType: a.ContentType, Length: a.Length, Whole: a.Buffered}
	failed := a.Status >= http.StatusInternalServerError
	if a.Buffered == nil && a.Body != nil {
		out.Body = ss.stream(a.Body, t.Name, start)
	} else {
		cs.pool.release(e.Clock.Now(), t.Name, routeOutcome(failed), e.Clock.Now()-start)
	}
	if !failed {
		return attemptEnd{final: out}
	}
	if cs.call.Idempotent && out.Body == nil {
		return attemptEnd{provisional: Failed{out}}
	}
	return attemptEnd{final: Failed{out}}
}

func routeOutcome(failed bool) route.Outcome {
	if failed {
		return route.Failed
	}
	return route.Answered
}

// handleError handles an attempt without a complete answer.
func (e *Engine) handleError(ctx context.Context, cs *callState, t route.Target, start time.Duration, err error) attemptEnd {
	now := e.Clock.Now()
	var unsent *ports.NotSentError
	var refused *ports.RefusedError
	switch {
	case errors.As(err, &unsent):
		cs.pool.release(now, t.Name, route.NotSent, now-start)
		return attemptEnd{provisional: NotRun{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter}, notRun: true}
	case errors.As(err, &refused):
		cs.pool.release(now, t.Name, route.Refused, now-start)
		if refused.Reason == "leaving" {
			cs.pool.recordLeaving(now, t.Name)
			e.OnLeaving(t.Name)
		}
		return attemptEnd{provisional: NotRun{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter}, notRun: true}
	case errors.Is(ctx.Err(), context.Canceled):
		cs.pool.release(now, t.Name, route.Cancelled, now-start)
		return attemptEnd{final: Unknown{Reason: Broken}}
	}
	cs.pool.release(now, t.Name, route.Broken, now-start)
	return attemptEnd{provisional: Unknown{Reason: Broken}}
}
