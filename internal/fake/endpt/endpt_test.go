package endpt

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, opts ...Option) *Endpoint {
	t.Helper()
	e := New(opts...)
	assert.NilError(t, e.Start())
	t.Cleanup(e.Close)
	return e
}

// post sends a request on a connection of its own.
func post(t *testing.T, e *Endpoint, id, query string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Addr()+"/run/plan"+query, strings.NewReader(id))
	assert.NilError(t, err)
	req.Header.Set("Request-Id", id)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, b, err
}

// waitUntil polls until a condition holds.
func waitUntil(ok func() bool) {
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against counters that hide an overload: more requests run than there are slots, or
// refused requests are counted as run.
func TestSlots(t *testing.T) {
	e := start(t, WithSlots(2))
	assert.NilError(t, local.SendControl(http.MethodPut, e.Control()+"/faults", `{"hang":true}`))
	var wg sync.WaitGroup
	for _, id := range []string{"a", "b"} {
		wg.Go(func() { _, _, _ = post(t, e, id, "") })
	}
	waitUntil(func() bool { return e.Counts().Running == 2 })
	resp, _, err := post(t, e, "c", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Refused"), "slots")
	assert.NilError(t, local.SendControl(http.MethodDelete, e.Control()+"/faults", ""))
	wg.Wait()
	_, b, err := post(t, e, "a", "")
	assert.NilError(t, err)
	assert.DeepEqual(t, b, Body("plan", "a", []byte("a"), 0))
	waitUntil(func() bool { return e.Counts().Open == 0 })
	shown, err := http.Get(e.Control() + "/counts?ids=1")
	assert.NilError(t, err)
	defer func() { _ = shown.Body.Close() }()
	var c map[string]any
	assert.NilError(t, json.NewDecoder(shown.Body).Decode(&c))
	http.DefaultClient.CloseIdleConnections()
	assert.DeepEqual(t, c, map[string]any{
		"runs": 3., "running": 0., "maxrun": 2., "open": 0., "maxopen": 3., "late": []any{},
		"again": map[string]any{"a": 2.}, "ids": map[string]any{"a": 2., "b": 1.}, "refused": map[string]any{"slots": 1.},
	})
}

// Guards against requests that arrive after the endpoint was set leaving and are not recorded, or
// are recorded with a wrong time.
func TestLate(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	e := start(t, WithClock(clk))
	clk.Advance(time.Second)
	assert.NilError(t, local.SendControl(http.MethodPut, e.Control()+"/faults", `{"leaving":true}`))
	clk.Advance(3 * time.Second)
	resp, _, err := post(t, e, "a", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get("Leaving"), "true")
	assert.DeepEqual(t, e.Counts().AfterLeaving, []time.Duration{3 * time.Second})
}

// Guards against an endpoint that answers while its instance is down, or that loses the counts of
// executions when it stops.
func TestStop(t *testing.T) {
	e := start(t, WithFaults(Faults{Hang: true}))
	failed := make(chan error)
	go func() {
		_, _, err := post(t, e, "a", "")
		failed <- err
	}()
	waitUntil(func() bool { return e.Counts().Running == 1 })
	assert.NilError(t, local.SendControl(http.MethodPost, e.Control()+"/cut", ""))
	assert.Assert(t, <-failed != nil)
	assert.Equal(t, e.Counts().Running, 1)
	e.Stop()
	assert.Equal(t, e.Counts().Running, 0)
	assert.NilError(t, e.SetFaults(Faults{}))
	_, _, err := post(t, e, "b", "")
	assert.Assert(t, err != nil)
	assert.NilError(t, e.Resume())
	resp, _, err := post(t, e, "c", "?trailer=1")
	assert.NilError(t, err)
	assert.Equal(t, resp.Trailer.Get("Content-Digest"), Digest(Body("plan", "c", []byte("c"), 0)))
	assert.DeepEqual(t, e.Counts().IDs, map[string]int{"a": 1, "c": 1})
}

// Guards against random run times that the seed does not determine.
func TestSeed(t *testing.T) {
	draw := func(seed uint64) (all []float64) {
		e := New(WithFaults(Faults{Run: 200, Exp: true, Seed: seed}))
		for range 5 {
			all = append(all, e.drawPlan().Run)
		}
		return all
	}
	assert.DeepEqual(t, draw(7), draw(7))
	assert.Assert(t, draw(7)[0] != draw(8)[0])
	err := local.SendControl(http.MethodPut, start(t).Control()+"/faults", `{"unknown":1}`)
	assert.Assert(t, local.ErrControl.Has(err), "%v", err)
}
