package pools

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chervilgauge.example/chervilgauge/internal/bench/inproc"
	"chervilgauge.example/chervilgauge/internal/fake/fleet"
	"chervilgauge.example/chervilgauge/internal/fake/oplog"
	"chervilgauge.example/chervilgauge/internal/setup/config"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// maxApplyTime is the longest time until a change is in force on all entries.
const maxApplyTime = 2 * time.Second

func start(t *testing.T, opts ...inproc.Option) *inproc.Deployment {
	t.Helper()
	w, err := inproc.Start(t.Context(), opts...)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, w.Close()) })
	return w
}

func operators(t *testing.T, w *inproc.Deployment, n int) opspb.OperatorsClient {
	t.Helper()
	c, done, err := w.Operators(n)
	assert.NilError(t, err)
	t.Cleanup(done)
	return c
}

func waitUntil(t *testing.T, what string, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

func findInstance(t *testing.T, c opspb.OperatorsClient, name string) *opspb.InstanceStatus {
	t.Helper()
	r, err := c.Status(t.Context(), &opspb.StatusAsk{})
	assert.NilError(t, err)
	for _, i := range r.GetInstances() {
		if i.GetName() == name {
			return i
		}
	}
	t.Fatalf("no instance %q", name)
	return nil
}

// startCallers sends requests through all entries until stop, which returns the number of requests
// by outcome; "cut" stands for requests without a whole answer.
func startCallers(w *inproc.Deployment, service string, n int) (stop func() map[string]int) {
	var mu sync.Mutex
	var work sync.WaitGroup
	ends := map[string]int{}
	ctx, cancel := context.WithCancel(context.Background())
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for k := range n {
		work.Add(1)
		go func() {
			defer work.Done()
			for ; ctx.Err() == nil; k++ {
				addr := w.Entries[k%len(w.Entries)].Addrs().Callers
				r := inproc.Send(context.Background(), h, addr, inproc.Call{Service: service, Idempotent: true})
				end := r.Outcome
				if r.Err != nil {
					end = "cut"
				}
				mu.Lock()
				ends[end]++
				mu.Unlock()
			}
		}()
	}
	return func() map[string]int {
		cancel()
		work.Wait()
		h.CloseIdleConnections()
		return ends
	}
}

// Guards against a wave that makes more instances unavailable at any time than the budget allows,
// drops requests, or reboots an instance twice.
func TestWaveHoldsBudget(t *testing.T) {
	const size, budget = 10, 2
	w := start(t, inproc.WithPools(inproc.Pool{Name: "plan", Instances: size, Budget: budget, Run: 20}))
	w.Fleet.SetFaults(fleet.Faults{Leave: 50, Reboot: 200, LoseAnswers: 0.3, Lag: 100, Seed: 3})
	c := operators(t, w, 0)
	stop := startCallers(w, "plan", 8)
	_, err := c.Order(t.Context(), &recpb.Wave{Name: "w", Pools: []string{"plan"}, Order: recpb.Wave_START})
	assert.NilError(t, err)
	waitUntil(t, "wave does not finish", func() bool {
		r, err := c.Status(t.Context(), &opspb.StatusAsk{})
		assert.NilError(t, err)
		return len(r.GetWaves()) == 1 && r.GetWaves()[0].GetPhase() == "finished"
	})
	ends := stop()
	assert.Equal(t, ends["cut"]+ends["unknown"]+ends["failed"], 0, "%v", ends)
	var names []string
	for n := range size {
		names = append(names, inproc.InstanceName("plan", n))
	}
	assert.Assert(t, w.Fleet.MaxUnavailable(names...) <= budget)
	boots := map[string]uint64{}
	for _, e := range w.Fleet.History() {
		boots[e.Name] = max(boots[e.Name], e.Boot)
	}
	for _, n := range names {
		assert.Equal(t, boots[n], uint64(2), "%s", n)
	}
}

// Guards against a change that is not in force on all entries in time while one entry reads the
// log slowly.
func TestChangeIsInForceInTime(t *testing.T) {
	w := start(t)
	w.Log.SetFaults("entry-2", oplog.Faults{SlowRead: 1500})
	c := operators(t, w, 0)
	for n := range 5 {
		begin := time.Now()
		change, err := c.PutTeam(t.Context(), &recpb.Team{Name: fmt.Sprintf("t%d", n), Weight: 1})
		assert.NilError(t, err)
		r, err := c.Wait(t.Context(), &opspb.WaitAsk{Version: change.GetVersion(), Timeout: 10_000})
		assert.NilError(t, err)
		assert.Assert(t, r.GetReached(), "lagging: %v", r.GetLagging())
		assert.Assert(t, time.Since(begin) < maxApplyTime, "took %v", time.Since(begin))
	}
}

// Guards against two operators whose changes to the same version are both accepted, and against a
// repeated call that makes a second change.
func TestOperatorsRace(t *testing.T) {
	w := start(t)
	results := make(chan error, 2)
	base, err := operators(t, w, 0).PutTeam(t.Context(), &recpb.Team{Name: "a", Weight: 1})
	assert.NilError(t, err)
	for n := range 2 {
		c := operators(t, w, n)
		go func() {
			_, err := c.PutTeam(context.Background(), &recpb.Team{
				Edit: &recpb.Edit{Base: base.GetVersion()}, Name: "a", Weight: uint32(n + 2)})
			results <- err
		}()
	}
	first, second := <-results, <-results
	if first != nil {
		first, second = second, first
	}
	assert.NilError(t, first)
	s := status.Convert(second)
	assert.Equal(t, s.Code(), codes.Aborted)
	assert.Assert(t, s.Details()[0].(*opspb.Conflict).GetCurrent() > base.GetVersion())

	e := &recpb.Edit{Change: "same"}
	one, err := operators(t, w, 0).PutTeam(t.Context(), &recpb.Team{Edit: e, Name: "b", Weight: 1})
	assert.NilError(t, err)
	two, err := operators(t, w, 1).PutTeam(t.Context(), &recpb.Team{Edit: e, Name: "b", Weight: 1})
	assert.NilError(t, err)
	assert.Equal(t, one.GetVersion(), two.GetVersion())
}

// Guards against two operators who both move an instance, to different pools, and against an
// instance that still serves the callers of its old pool after the move.
func TestMoveRace(t *testing.T) {
	w := start(t, inproc.WithPools(
		inproc.Pool{Name: "plan", Instances: 4, Budget: 2, Run: 5},
		inproc.Pool{Name: "book", Instances: 2, Budget: 1, Run: 5},
		inproc.Pool{Name: "bill", Instances: 2, Budget: 1, Run: 5},
	))
	c := operators(t, w, 0)
	base := findInstance(t, c, "plan-00").GetVersion()
	stop := startCallers(w, "plan", 6)
	errs := make(chan error, 2)
	for n, pool := range []string{"book", "bill"} {
		c := operators(t, w, n)
		go func() {
			_, err := c.Drain(context.Background(), &recpb.Drain{
				Edit: &recpb.Edit{Base: base}, Name: "plan-00", Target: pool})
			errs <- err
		}()
	}
	first, second := <-errs, <-errs
	assert.Assert(t, (first == nil) != (second == nil), "%v, %v", first, second)
	waitUntil(t, "instance does not move", func() bool {
		i := findInstance(t, c, "plan-00")
		return i.GetPool() != "plan" && i.GetPhase() == "serving"
	})
	before := w.Endpoints["plan-00"].Counts().Runs
	time.Sleep(200 * time.Millisecond)
	ends := stop()
	assert.Equal(t, w.Endpoints["plan-00"].Counts().Runs, before)
	assert.Equal(t, ends["cut"]+ends["unknown"], 0, "%v", ends)
}

// Guards against configuration changes that are lost when all entries are replaced while the log
// is down, and against an entry that is ready without the log and without peers.
func TestChangeSurvivesRestart(t *testing.T) {
	w := start(t, inproc.WithEntries(2))
	c := operators(t, w, 0)
	change, err := c.PutTeam(t.Context(), &recpb.Team{Name: "a", Weight: 7})
	assert.NilError(t, err)
	w.Log.SetFaults("", oplog.Faults{Down: true})
	for n := range w.Entries {
		assert.NilError(t, w.Entries[n].Close(t.Context()))
	}
	w.Entries = nil
	_, err = w.AddEntry(t.Context(), 5)
	assert.NilError(t, err)
	time.Sleep(time.Second)
	ready, _ := w.Entries[0].Ready()
	assert.Assert(t, !ready, "an entry without the log and without peers is ready")
	w.Log.SetFaults("", oplog.Faults{})
	assert.NilError(t, w.WaitReady(t.Context(), 0))
	r, err := operators(t, w, 0).Status(t.Context(), &opspb.StatusAsk{})
	assert.NilError(t, err)
	assert.Assert(t, r.GetApplied() >= change.GetVersion())
	assert.Equal(t, r.GetTeams()[0].GetWeight(), uint32(7))
}

// Guards against an entry that does not load the state from a peer when it starts without the log,
// or that is ready before it is a member.
func TestStartFromPeer(t *testing.T) {
	w := start(t, inproc.WithEntries(2))
	c := operators(t, w, 0)
	_, err := c.PutTeam(t.Context(), &recpb.Team{Name: "a", Weight: 7})
	assert.NilError(t, err)
	w.Log.SetFaults("", oplog.Faults{Down: true})
	w.SetEntryConfig(func(cfg *config.Config) { cfg.Seeds = []string{w.Entries[0].Addrs().Peers} })
	_, err = w.AddEntry(t.Context(), 2)
	assert.NilError(t, err)
	c = operators(t, w, 2)
	waitUntil(t, "state is not taken from the peer", func() bool {
		r, err := c.Status(t.Context(), &opspb.StatusAsk{})
		return err == nil && len(r.GetTeams()) == 1
	})
	ready, reason := w.Entries[2].Ready()
	assert.Assert(t, !ready)
	assert.Equal(t, reason, "not a member yet")
	w.Log.SetFaults("", oplog.Faults{})
	assert.NilError(t, w.WaitReady(t.Context(), 2))
}
