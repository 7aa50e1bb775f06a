package pools

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/bench/inproc"
	"chervilgauge.example/chervilgauge/internal/fake/fleet"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Guards against new work for an instance under a grant, and against a reboot that is started while
// an entry has requests in flight at the instance: the endpoint loses them 50 ms later. They are
// not idempotent, so that no retry hides the loss.
func TestDrainWaitsForRequests(t *testing.T) {
	w := start(t, inproc.WithPools(inproc.Pool{Name: "plan", Instances: 2, Budget: 1, Run: 1500}))
	w.Fleet.SetFaults(fleet.Faults{Leave: 50, Reboot: 200})
	const n, more = 12, 6
	h := &http.Client{}
	defer h.CloseIdleConnections()
	replies := make(chan inproc.Reply, n+more)
	send := func(k int) {
		replies <- inproc.Send(context.Background(), h, w.Entries[k%len(w.Entries)].Addrs().Callers,
			inproc.Call{Service: "plan", ID: inproc.NewID(), Timeout: 8 * time.Second})
	}
	for k := range n {
		go send(k)
	}
	ep := w.Endpoints["plan-00"]
	waitUntil(t, "no request runs", func() bool { return ep.Counts().Running >= 3 })
	c := operators(t, w, 0)
	_, err := c.Drain(t.Context(), &recpb.Drain{
		Edit: &recpb.Edit{Base: findInstance(t, c, "plan-00").GetVersion()}, Name: "plan-00"})
	assert.NilError(t, err)
	time.Sleep(300 * time.Millisecond)
	before := ep.Counts().Runs
	for k := range more {
		go send(k)
	}
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, ep.Counts().Runs, before, "work was sent to a draining instance")
	answered := 0
	for range n + more {
		r := <-replies
		// Requests that get no slot in time are refused, which does not count as a loss.
		assert.Assert(t, r.Outcome == "answered" || r.Outcome == "not-run", "%v %s", r.Err, r.Body)
		if r.Outcome == "answered" {
			answered++
		}
	}
	assert.Assert(t, answered >= 3, "%d answered", answered)
	waitUntil(t, "instance does not reboot", func() bool {
		h := w.Fleet.History()
		return h[len(h)-1].Boot == 2 && findInstance(t, c, "plan-00").GetPhase() == "serving"
	})
}

// Guards against concurrent drains by several operators, through different entries, that together
// exceed the budget.
func TestDrainsRaceForBudget(t *testing.T) {
	const size = 4
	w := start(t, inproc.WithPools(inproc.Pool{Name: "plan", Instances: size, Budget: 1, Run: 5}))
	w.Fleet.SetFaults(fleet.Faults{Leave: 50, Reboot: 1000})
	errs := make(chan error, size)
	for n := range size {
		c := operators(t, w, n%len(w.Entries))
		name := inproc.InstanceName("plan", n)
		base := findInstance(t, c, name).GetVersion()
		go func() {
			_, err := c.Drain(context.Background(), &recpb.Drain{Edit: &recpb.Edit{Base: base}, Name: name})
			errs <- err
		}()
	}
	accepted := 0
	for range size {
		if <-errs == nil {
			accepted++
		}
	}
	assert.Assert(t, accepted >= 1)
	waitUntil(t, "instances do not return", func() bool {
		return w.Entries[0].AvailableInstances() == size && w.Fleet.MaxUnavailable() > 0
	})
	assert.Equal(t, w.Fleet.MaxUnavailable(), 1)
}
