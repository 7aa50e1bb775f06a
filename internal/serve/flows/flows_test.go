package flows

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/flow/admit"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/flow/route"
)

var errTest = errors.New("test failure")

// scriptedEndpoint is an endpoint whose attempts end with the listed results in order; the last one
// repeats.
type scriptedEndpoint struct {
	calls   atomic.Int64
	results []func(addr string) (*ports.Answer, error)
}

func (s *scriptedEndpoint) Call(_ context.Context, addr string, _ ports.Request) (*ports.Answer, error) {
	n := int(s.calls.Add(1)) - 1
	return s.results[min(n, len(s.results)-1)](addr)
}

func (s *scriptedEndpoint) Probe(context.Context, string) (bool, error) { return false, nil }

func wholeAnswer(status int) func(string) (*ports.Answer, error) {
	return func(string) (*ports.Answer, error) {
		return &ports.Answer{Status: status, Length: 2, Buffered: []byte("ok")}, nil
	}
}

func brokenAnswer(addr string) (*ports.Answer, error) {
	return nil, &ports.UnknownOutcomeError{Addr: addr, Cause: errTest}
}

func notSent(addr string) (*ports.Answer, error) {
	return nil, &ports.NotSentError{Addr: addr, Cause: errTest}
}

type gateFunc func() bool

func (g gateFunc) MaySend() bool { return g() }

// claimsFunc answers claims with a function. It reports the outcomes of other holders as lost.
type claimsFunc func(ctx context.Context) ClaimResult

func (f claimsFunc) Claim(ctx context.Context, _ claim.ID, _, _ uint64) ClaimResult { return f(ctx) }

func (claimsFunc) Outcome(context.Context, claim.ID, claim.Winner) Reply {
	return Reply{State: ReplyLost}
}

func claimGranted(context.Context) ClaimResult { return ClaimGranted{} }

func claimTimesOut(ctx context.Context) ClaimResult {
	<-ctx.Done()
	return ClaimUnavailable{}
}

// startEngine returns an engine with a pool of four endpoints of two slots each.
func startEngine(t *testing.T, ep ports.Endpoint, gate Gate, claims Claims) *Engine {
	t.Helper()
	e := New(context.Background(), Deps{
		Clock: clock.NewSystem(), Endpoint: ep, Gate: gate, Claims: claims,
		Attempts: claim.NewAttempts(1 << 20), Scope: tally.NoopScope,
		Tracer: noop.NewTracerProvider().Tracer(""), OnSlotShortage: func() {}, OnLeaving: func(string) {},
	}, Limits{QueueTime: time.Second, ClaimTimeout: 50 * time.Millisecond, MaxWaiting: 100})
	t.Cleanup(e.Close)
	plan := PoolPlan{Name: "p", Shares: Shares{Services: map[string]admit.Share{"s": {Weight: 1}}}}
	for _, n := range []string{"a", "b", "c", "d"} {
		plan.Targets = append(plan.Targets, Target{Target: route.Target{Name: n, Addr: n, Slots: 2}, Limit: 2})
	}
	e.Update([]PoolPlan{plan})
	return e
}

var openGate = gateFunc(func() bool { return true })

func newCall(idempotent bool) *Call {
	id := claim.NewID()
	return &Call{ID: id, RequestID: id.String(), Idempotent: idempotent, Service: "s", Timeout: time.Second}
}

// Guards against reporting "not run" when an attempt that was not sent follows one that may have
// run.
func TestNotRunHoldsForAllAttempts(t *testing.T) {
	ep := &scriptedEndpoint{results: []func(string) (*ports.Answer, error){brokenAnswer, notSent}}
	r := startEngine(t, ep, openGate, claimsFunc(claimGranted)).Run(t.Context(), newCall(true))
	assert.Equal(t, r, Result(Unknown{Reason: Broken}))
	assert.Assert(t, ep.calls.Load() > 1)
}

// Guards against sending a non-idempotent request again after an attempt that may have run.
func TestOnceIsNotSentAgain(t *testing.T) {
	ep := &scriptedEndpoint{results: []func(string) (*ports.Answer, error){brokenAnswer, wholeAnswer(200)}}
	e := startEngine(t, ep, openGate, claimsFunc(claimGranted))
	c := newCall(false)
	assert.Equal(t, e.Run(t.Context(), c), Result(Unknown{Reason: Broken}))
	assert.Equal(t, e.Run(t.Context(), c), Result(Unknown{Reason: Broken}))
	assert.Equal(t, ep.calls.Load(), int64(1))
}

// Guards against giving up a non-idempotent request after an attempt that sent nothing.
func TestOnceMovesOnIfNothingWasSent(t *testing.T) {
	ep := &scriptedEndpoint{results: []func(string) (*ports.Answer, error){notSent, wholeAnswer(200)}}
	r := startEngine(t, ep, openGate, claimsFunc(claimGranted)).Run(t.Context(), newCall(false))
	a, ok := r.(Answered)
	assert.Assert(t, ok, "%v", r)
	assert.Equal(t, string(a.Whole), "ok")
}

// Guards against sending a request while the view is not confirmed.
func TestUnconfirmedViewSendsNothing(t *testing.T) {
	ep := &scriptedEndpoint{results: []func(string) (*ports.Answer, error){wholeAnswer(200)}}
	closed := gateFunc(func() bool { return false })
	r := startEngine(t, ep, closed, claimsFunc(claimGranted)).Run(t.Context(), newCall(true))
	n, ok := r.(NotRun)
	assert.Assert(t, ok, "%v", r)
	assert.Equal(t, n.Reason, Unconfirmed)
	assert.Equal(t, ep.calls.Load(), int64(0))
}

// Guards against sending a request without its claim, and against reporting "not run" for an id
// whose earlier request may have run.
func TestUnclaimedSendsNothing(t *testing.T) {
	ep := &scriptedEndpoint{results: []func(string) (*ports.Answer, error){wholeAnswer(200)}}
	e := startEngine(t, ep, openGate, claimsFunc(claimTimesOut))
	c := newCall(false)
	n, ok := e.Run(t.Context(), c).(NotRun)
	assert.Assert(t, ok)
	assert.Equal(t, n.Reason, Unclaimed)
	c.Repeated = true
	assert.Equal(t, e.Run(t.Context(), c), Result(Unknown{Reason: EarlierAttempt}))
	assert.Equal(t, ep.calls.Load(), int64(0))
}

// Guards against running two concurrent calls with the same id.
func TestConcurrentCallsWithOneIDRunOnce(t *testing.T) {
	ep := &scriptedEndpoint{results: []func(string) (*ports.Answer, error){func(string) (*ports.Answer, error) {
		time.Sleep(20 * time.Millisecond)
		return wholeAnswer(200)("")
	}}}
	e := startEngine(t, ep, openGate, claimsFunc(claimGranted))
	c := newCall(false)
	results := make(chan Result, 2)
	for range 2 {
		go func() { results <- e.Run(context.Background(), c) }()
	}
	for range 2 {
		_, ok := (<-results).(Answered)
		assert.Assert(t, ok)
	}
	assert.Equal(t, ep.calls.Load(), int64(1))
}

// Guards against retries that multiply the load of a pool outage: if every attempt breaks, at most
// 10% more attempts than requests are made, beside the floor of 3.
func TestOutageIsNotMultiplied(t *testing.T) {
	ep := &scriptedEndpoint{results: []func(string) (*ports.Answer, error){brokenAnswer}}
	e := startEngine(t, ep, openGate, claimsFunc(claimGranted))
	const n = 500
	for range n {
		e.Run(t.Context(), newCall(true))
	}
	assert.Assert(t, ep.calls.Load() <= n+n/10+3, "%d attempts", ep.calls.Load())
}

// Guards against a streamed answer that frees its slot before the caller has read it, or never.
func TestStreamKeepsItsSlot(t *testing.T) {
	ep := &scriptedEndpoint{results: []func(string) (*ports.Answer, error){func(string) (*ports.Answer, error) {
		return &ports.Answer{Status: 200, Length: 5, Body: io.NopCloser(strings.NewReader("large"))}, nil
	}}}
	e := startEngine(t, ep, openGate, claimsFunc(claimGranted))
	a := e.Run(t.Context(), newCall(true)).(Answered)
	assert.Equal(t, e.Demands()[0].Running, 1)
	_, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	assert.Equal(t, e.Demands()[0].Running, 0)
	assert.Equal(t, e.InFlight("a")+e.InFlight("b")+e.InFlight("c")+e.InFlight("d"), 0)
}
