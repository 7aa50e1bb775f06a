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

// maxTries bounds the attempts of one call.
const maxTries = 4

// noEndpointAfter is when another try makes sense if no endpoint could take a call.
const noEndpointAfter = time.Second

// trial is what one attempt ended with.
type trial struct {
	// result is set if the attempt decides what the caller is told.
	result Result
	// last is what the caller is told if there is no further attempt.
	last Result
	// free says that nothing ran, so that even a non-idempotent call may be sent again.
	free bool
}

// send makes attempts until one decides the result. It owns the queue's slot.
func (e *Engine) send(ctx context.Context, j *job) Result {
	ctx, cancel := context.WithTimeout(ctx, j.deadline-e.Clock.Now())
	held := &hold{engine: e, job: j, cancel: cancel}
	var avoid []string
	var last Result = NotRun{Reason: NoEndpoint, After: noEndpointAfter}
	for n := range maxTries {
		if n > 0 && !j.pool.mayRetry(e.Clock.Now(), j.call.Service) {
			e.meters.retryDenied.Inc(1)
			break
		}
		t, r := e.target(ctx, j, avoid)
		if r != nil {
			last = worst(last, r, n)
			break
		}
		if n > 0 {
			e.meters.retries.Inc(1)
		}
		avoid = append(avoid, t.Name)
		one := e.try(ctx, j, t, held)
		if one.result != nil {
			return held.settle(one.result)
		}
		last = worst(last, one.last, n)
		if !one.free && !j.call.Idempotent {
			break
		}
	}
	return held.settle(last)
}

// worst combines the ends of two attempts: "not run" is told only if it holds for all
// of them.
func worst(last, next Result, tries int) Result {
	if _, notRun := next.(NotRun); notRun && tries > 0 {
		return last
	}
	return next
}

// target takes a slot at an endpoint, waiting for one if all are in use.
func (e *Engine) target(ctx context.Context, j *job, avoid []string) (route.Target, Result) {
	for {
		t, freed, err := j.pool.pick(e.Clock.Now(), avoid)
		if err == nil {
			return t, nil
		}
		if freed == nil {
			return t, NotRun{Reason: NoEndpoint, After: noEndpointAfter}
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return t, NotRun{Reason: Deadline}
		}
	}
}

// try makes one attempt at an endpoint.
func (e *Engine) try(ctx context.Context, j *job, t route.Target, held *hold) trial {
	if !e.Gate.MaySend() {
		e.meters.unconfirmed.Inc(1)
		j.pool.release(e.Clock.Now(), t.Name, route.Cancelled, 0)
		return trial{last: NotRun{Reason: Unconfirmed, After: noEndpointAfter}, free: true}
	}
	ctx, span := e.Tracer.Start(ctx, "endpoint", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("instance", t.Name)))
	defer span.End()
	start := e.Clock.Now()
	a, err := e.Endpoint.Call(ctx, t.Addr, ports.Request{
		ID:      j.call.Text,
		Service: j.call.Service,
		Kind:    j.call.Kind,
		Body:    j.call.Body,
		Timeout: j.deadline - start,
	})
	if err != nil {
		return e.failed(ctx, j, t, start, err)
	}
	return e.answered(j, t, start, a, held)
}

// answered handles a verified answer, or the verified head of a streamed one.
func (e *Engine) answered(j *job, t route.Target, start time.Duration, a *ports.Answer, held *hold) trial {
	if a.Leaving {
		j.pool.leave(e.Clock.Now(), t.Name)
		e.Leaving(t.Name)
	}
	out := Answered{Status: a.Status, Kind: a.Kind, Length: a.Length, Whole: a.Whole}
	failed := a.Status >= http.StatusInternalServerError
	if a.Whole == nil && a.Body != nil {
		out.Body = held.stream(a.Body, t.Name, start)
	} else {
		j.pool.release(e.Clock.Now(), t.Name, outcomeOf(failed), e.Clock.Now()-start)
	}
	if !failed {
		return trial{result: out}
	}
	if j.call.Idempotent && out.Body == nil {
		return trial{last: Failed{out}}
	}
	return trial{result: Failed{out}}
}

func outcomeOf(failed bool) route.Outcome {
	if failed {
		return route.Failed
	}
	return route.Answered
}

// failed handles an attempt without a whole answer.
func (e *Engine) failed(ctx context.Context, j *job, t route.Target, start time.Duration, err error) trial {
	now := e.Clock.Now()
	var unsent *ports.NotSentError
	var refused *ports.RefusedError
	switch {
	case errors.As(err, &unsent):
		j.pool.release(now, t.Name, route.NotSent, now-start)
		return trial{last: NotRun{Reason: NoEndpoint, After: noEndpointAfter}, free: true}
	case errors.As(err, &refused):
		j.pool.release(now, t.Name, route.Refused, now-start)
		if refused.Reason == "leaving" {
			j.pool.leave(now, t.Name)
			e.Leaving(t.Name)
		}
		return trial{last: NotRun{Reason: NoEndpoint, After: noEndpointAfter}, free: true}
	case errors.Is(ctx.Err(), context.Canceled):
		j.pool.release(now, t.Name, route.Cancelled, now-start)
		return trial{result: Unknown{Reason: Broken}}
	}
	j.pool.release(now, t.Name, route.Broken, now-start)
	return trial{last: Unknown{Reason: Broken}}
}
