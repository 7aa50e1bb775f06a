package flows

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/claim"
)

// minFailedStatus is the lowest status with which a service reports a failure.
const minFailedStatus = http.StatusInternalServerError

// Claims acquires claims and looks up outcomes.
type Claims interface {
	// Claim requests a claim in the log. A prev other than 0 is the token of a void claim that the
	// new one replaces.
	Claim(ctx context.Context, id claim.ID, token, prev uint64) ClaimResult
	// Outcome requests the state of a request from the holder of its claim.
	Outcome(ctx context.Context, id claim.ID, h claim.Winner) Reply
}

// ClaimResult is the result of requesting a claim: ClaimGranted, ClaimHeld, ClaimForgotten or
// ClaimUnavailable.
type ClaimResult interface{ isClaimResult() }

// ClaimGranted reports that the claim was acquired.
type ClaimGranted struct{}

// ClaimHeld carries the earlier claim that holds the id.
type ClaimHeld struct{ Winner claim.Winner }

// ClaimForgotten reports that an earlier claim of the id can't be excluded.
type ClaimForgotten struct{}

// ClaimUnavailable reports that the claim was not confirmed in time.
type ClaimUnavailable struct{}

func (ClaimGranted) isClaimResult()     {}
func (ClaimHeld) isClaimResult()        {}
func (ClaimForgotten) isClaimResult()   {}
func (ClaimUnavailable) isClaimResult() {}

// Reply is the answer of a claim's holder.
type Reply struct {
	State   ReplyState
	Outcome claim.Outcome
}

// ReplyState is the state of an attempt as reported by the holder of its claim.
type ReplyState uint8

// States of an attempt.
const (
	// ReplyLost means that the holder can't be reached or has no record of the attempt.
	ReplyLost ReplyState = iota
	ReplyRunning
	ReplyVoid
	ReplyDone
)

// maxVoidClaims bounds how many void claims of an id one call replaces.
const maxVoidClaims = 4

// claimState is the claim and the attempt of a non-idempotent call.
type claimState struct {
	attempt *claim.Attempt
	result  chan Result
	cancel  context.CancelFunc
	// won reports that the claim was acquired, which shows that no earlier attempt ran.
	won bool
}

// runClaimed runs a non-idempotent call, or waits for the attempt that another call with the same
// id started in this entry. A void attempt doesn't exclude a claim of another entry, so the call
// then starts an attempt of its own, which requests a claim.
func (e *Engine) runClaimed(ctx context.Context, cs *callState) Result {
	if cs.call.ID.AgeAt(e.Clock.Wall().UnixMilli()) == claim.Old {
		return Unknown{Reason: TooOld}
	}
	for {
		a, _, fresh := e.Attempts.Begin(cs.call.ID, newToken())
		if fresh {
			return e.runOwnAttempt(ctx, cs, a)
		}
		if r := e.awaitAttempt(ctx, cs, a); r != nil {
			return r
		}
	}
}

// runOwnAttempt runs a call under its own attempt.
func (e *Engine) runOwnAttempt(ctx context.Context, cs *callState, a *claim.Attempt) Result {
	cl := &claimState{attempt: a, result: make(chan Result, 1)}
	cs.claim = cl
	r := e.runQueued(ctx, cs)
	cl.cancelRequest()
	if _, notRun := r.(NotRun); !notRun {
		return r
	}
	// Has no effect on an attempt that has ended.
	a.Void()
	if cs.call.Repeated && !cl.won {
		return Unknown{Reason: EarlierAttempt}
	}
	return r
}

func newToken() uint64 { return rand.Uint64() | 1 }

// awaitAttempt waits for another call's attempt. It returns nil if that attempt is void.
func (e *Engine) awaitAttempt(ctx context.Context, cs *callState, a *claim.Attempt) Result {
	ctx, cancel := context.WithTimeout(ctx, cs.deadline-e.Clock.Now())
	defer cancel()
	select {
	case <-a.Ended():
	case <-ctx.Done():
		return Unknown{Reason: Running}
	}
	phase, outcome := a.State()
	if phase == claim.Void {
		return nil
	}
	return resultOfOutcome(outcome)
}

// request requests the claim in the background while the call waits for a slot.
func (cl *claimState) request(ctx context.Context, e *Engine) {
	ctx, cl.cancel = context.WithTimeout(ctx, e.limits.ClaimTimeout)
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		cl.result <- e.acquireClaim(ctx, cl.attempt)
	}()
}

func (cl *claimState) cancelRequest() {
	if cl.cancel != nil {
		cl.cancel()
	}
}

// await waits for the claim. It returns nil if the request may be sent now.
func (cl *claimState) await(ctx context.Context, e *Engine, deadline time.Duration) Result {
	ctx, cancel := context.WithTimeout(ctx, deadline-e.Clock.Now())
	defer cancel()
	select {
	case r := <-cl.result:
		if r != nil {
			return cl.void(r)
		}
	case <-ctx.Done():
		return cl.void(NotRun{Reason: Unclaimed, RetryAfter: time.Second})
	}
	if !cl.attempt.Grant() {
		return NotRun{Reason: Unclaimed, RetryAfter: time.Second}
	}
	cl.won = true
	e.meters.granted.Inc(1)
	return nil
}

// void ends the attempt as one that sends nothing and returns the result unchanged.
func (cl *claimState) void(r Result) Result {
	cl.attempt.Void()
	return r
}

// recordOutcome records the outcome of an attempt whose claim was granted.
func (cl *claimState) recordOutcome(r Result) {
	if outcome, ok := keptOutcome(r); ok {
		cl.attempt.Finish(outcome)
		return
	}
	cl.attempt.Void()
}

// acquireClaim requests the claim until it is granted or another attempt's outcome decides the
// result. It returns nil if the claim was granted.
func (e *Engine) acquireClaim(ctx context.Context, a *claim.Attempt) Result {
	var prev uint64
	for range maxVoidClaims {
		switch r := e.Claims.Claim(ctx, a.ID, a.Token, prev).(type) {
		case ClaimGranted:
			return nil
		case ClaimForgotten:
			return Unknown{Reason: TooOld}
		case ClaimUnavailable:
			e.meters.claimUnavailable.Inc(1)
			return NotRun{Reason: Unclaimed, RetryAfter: time.Second}
		case ClaimHeld:
			e.meters.claimHeld.Inc(1)
			reply := e.Claims.Outcome(ctx, a.ID, r.Winner)
			if reply.State != ReplyVoid {
				return resultOfReply(reply)
			}
			prev = r.Winner.Token
		}
	}
	return NotRun{Reason: Unclaimed, RetryAfter: time.Second}
}

func resultOfReply(r Reply) Result {
	switch r.State {
	case ReplyDone:
		return resultOfOutcome(r.Outcome)
	case ReplyRunning:
		return Unknown{Reason: Running}
	}
	return Unknown{Reason: HolderLost}
}
