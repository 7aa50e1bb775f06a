package plans

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/worker"
	"chervilgauge.example/chervilgauge/internal/fleet/spare"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	plat "chervilgauge.example/chervilgauge/internal/plat/worker"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig runs a planner on a fake clock with fake workers of 4 cores and an in-memory log.
type rig struct {
	t       testing.TB
	clk     *clock.Fake
	workers *worker.Workers
	client  *plat.Client
	scope   tally.TestScope
	p       *Planner

	mu sync.Mutex
	st *state.State
	n  uint64
	// lostAnswers is the number of further appends that take effect but return an error, and
	// lostAppends of those that do not take effect.
	lostAnswers, lostAppends int
	// lateAppends and lateStarts are the numbers of further appends and starts that take effect
	// only when applyLate runs the functions in late.
	lateAppends, lateStarts int
	late                    []func()
	// demand is the demand of all entries together.
	demand map[string]ctrl.Demand
}

func newRig(t testing.TB, workers int, o worker.Faults) *rig {
	t.Helper()
	r := &rig{t: t, clk: clock.NewFake(time.Unix(1_000_000, 0)), scope: tally.NewTestScope("", nil), st: state.New()}
	var all []ports.Worker
	r.put(&recpb.Record{Body: &recpb.Record_Pool{Pool: &recpb.Pool{Edit: &recpb.Edit{}, Name: "batch",
		Budget: &recpb.Budget{Total: 1, Rack: 1, Centre: 1}}}})
	r.put(&recpb.Record{Body: &recpb.Record_Team{Team: &recpb.Team{Edit: &recpb.Edit{}, Name: "t", Weight: 1}}})
	for i := range workers {
		name := fmt.Sprintf("w%d", i)
		all = append(all, ports.Worker{Name: name, Size: ports.Resources{Cores: 4000, Memory: 8 << 30}})
		r.put(&recpb.Record{Body: &recpb.Record_Instance{Instance: &recpb.Instance{Edit: &recpb.Edit{}, Name: name, Addr: "127.0.0.1:1", Pool: "batch"}}})
		r.put(&recpb.Record{Body: &recpb.Record_Health{Health: &recpb.Health{Name: name, Up: true, Boot: 1}}})
	}
	r.workers = worker.New(worker.WithClock(r.clk), worker.WithWorkers(all...), worker.WithFaults(o))
	base, err := r.workers.Start()
	assert.NilError(t, err)
	r.client, err = plat.New(base)
	assert.NilError(t, err)
	t.Cleanup(func() { r.client.Close(); r.workers.Close() })
	r.replace()
	return r
}

// replace makes a new entry take over the planner's lease.
func (r *rig) replace() {
	self := state.Incarnation{Name: fmt.Sprint("e", r.n), Number: r.n}
	r.put(&recpb.Record{Body: &recpb.Record_Join{Join: &recpb.Join{Name: self.Name, Incarnation: self.Number, Addr: "127.0.0.1:2"}}})
	r.put(&recpb.Record{Body: &recpb.Record_Lease{Lease: &recpb.Lease{Holder: self.Name, Incarnation: self.Number, Prev: r.st.Lease().Offset}}})
	parts := Deps{Control: r, Engine: r, Instances: r, Endpoint: r, Workers: lateWorkers{r.client, r}, Clock: r.clk,
		Scope: r.scope, Logger: zerolog.Nop(), Self: self, Weights: spare.IdleCostWeights()}
	r.p = &Planner{Deps: parts, inProgress: map[string]bool{}, observed: newInstanceTracker(), waves: newWaveTracker(), rebootOrders: map[string]time.Duration{}}
}

// runFor steps the planner for a duration and waits for the goroutines of each step.
func (r *rig) runFor(d time.Duration) {
	r.t.Helper()
	for ; d > 0; d -= stepInterval {
		r.clk.Advance(stepInterval)
		r.p.step(r.t.Context())
		r.p.work.Wait()
	}
}

// runUntil steps the planner until the condition holds and returns how long that took.
func (r *rig) runUntil(limit time.Duration, ok func() bool) time.Duration {
	r.t.Helper()
	for d := time.Duration(0); d <= limit; d += stepInterval {
		if ok() {
			return d
		}
		r.runFor(stepInterval)
	}
	r.t.Fatalf("not reached within %v", limit)
	return 0
}

// apply appends a record to the state. The caller holds mu, or runs no step meanwhile.
func (r *rig) apply(rec *recpb.Record) ctrl.Result {
	r.n++
	rec.Id = binary.BigEndian.AppendUint64(make([]byte, 8), r.n)
	rec.Schema = state.Schema
	var v state.Verdict
	r.st, v = r.st.Apply(r.n, rec)
	return ctrl.Result{Offset: r.n, Verdict: v}
}

func (r *rig) put(rec *recpb.Record) {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.apply(rec)
	assert.Assert(r.t, s.Verdict.OK(), "%v", s.Verdict)
}

// submitJob submits a job of team t.
func (r *rig) submitJob(j *recpb.Job) {
	r.t.Helper()
	j.Edit, j.Team = &recpb.Edit{}, "t"
	if old, ok := r.st.Job(j.Name); ok {
		j.Edit.Base = old.Version
	}
	r.put(&recpb.Record{Body: &recpb.Record_Job{Job: j}})
}

func (r *rig) cancel(name string) {
	r.t.Helper()
	r.put(&recpb.Record{Body: &recpb.Record_Job{Job: &recpb.Job{Name: name, Edit: &recpb.Edit{Base: r.mustJob(name).Version, Remove: true}}}})
}

func (r *rig) mustJob(name string) *state.Job {
	r.t.Helper()
	j, ok := r.st.Job(name)
	assert.Assert(r.t, ok, name)
	return j
}

// allIn returns a condition that holds if all jobs are in a phase.
func (r *rig) allIn(p state.JobPhase) func() bool {
	return func() bool {
		for j := range r.st.Jobs() {
			if j.Phase != p {
				return false
			}
		}
		return true
	}
}

func (r *rig) countIn(p state.JobPhase) int {
	n := 0
	for j := range r.st.Jobs() {
		if j.Phase == p {
			n++
		}
	}
	return n
}

func (r *rig) Submit(_ context.Context, rec *recpb.Record) (ctrl.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostAppends > 0 {
		r.lostAppends--
		return ctrl.Result{}, &ctrl.UnsettledError{}
	}
	if r.lateAppends > 0 {
		r.lateAppends--
		r.late = append(r.late, func() { r.apply(rec) })
		return ctrl.Result{}, &ctrl.UnsettledError{}
	}
	s := r.apply(rec)
	if r.lostAnswers > 0 {
		r.lostAnswers--
		return ctrl.Result{}, &ctrl.UnsettledError{}
	}
	return s, nil
}

// applyLate carries out the delayed appends and starts.
func (r *rig) applyLate() {
	late := r.late
	r.late = nil
	for _, f := range late {
		f()
	}
}

// lateWorkers delays starts.
type lateWorkers struct {
	*plat.Client
	r *rig
}

func (w lateWorkers) Start(ctx context.Context, k ports.TaskKey, s ports.TaskSpec) error {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	if w.r.lateStarts > 0 {
		w.r.lateStarts--
		// The caller gets no answer to the start.
		w.r.late = append(w.r.late, func() { _ = w.Client.Start(w.r.t.Context(), k, s) })
		return ports.ErrWorkers.New("late")
	}
	return w.Client.Start(ctx, k, s)
}

func (r *rig) View() *ctrl.View {
	st := r.state()
	return &ctrl.View{State: st, Joined: true, SnapshotOffset: st.Applied()}
}

// state returns the folded state, which background appends replace.
func (r *rig) state() *state.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.st
}

func (r *rig) RequestDemand() {}

func (r *rig) Demand(context.Context) map[string]ctrl.Demand { return r.demand }

func (r *rig) MaySend() bool       { return true }
func (r *rig) InFlight(string) int { return 0 }

func (r *rig) List(context.Context) ([]ports.Instance, error) {
	var all []ports.Instance
	for i := range r.state().Instances() {
		all = append(all, ports.Instance{Name: i.Name, Phase: ports.Live, Boot: 1})
	}
	return all, nil
}

func (r *rig) Reboot(context.Context, string) error { return nil }

func (r *rig) Call(context.Context, string, ports.Request) (*ports.Answer, error) {
	return nil, &ports.NotSentError{}
}

func (r *rig) Probe(context.Context, string) (bool, error) { return false, nil }
