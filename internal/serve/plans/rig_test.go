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

// rig is a planner on a fake clock with fake workers of 4 cores and an in-memory log.
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
	// lose and drop are the numbers of appends whose answer is lost after and before
	// they take effect.
	lose, drop int
	// lateAppends and lateStarts are the numbers of appends and starts that take effect
	// only when late is flushed.
	lateAppends, lateStarts int
	late                    []func()
	// demand is what all entries together have.
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
		all = append(all, ports.Worker{Name: name, Size: ports.Size{Cores: 4000, Memory: 8 << 30}})
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

// replace lets a new entry take over the planner's lease.
func (r *rig) replace() {
	self := state.Incarnation{Name: fmt.Sprint("e", r.n), Number: r.n}
	r.put(&recpb.Record{Body: &recpb.Record_Join{Join: &recpb.Join{Name: self.Name, Incarnation: self.Number, Addr: "127.0.0.1:2"}}})
	r.put(&recpb.Record{Body: &recpb.Record_Lease{Lease: &recpb.Lease{Holder: self.Name, Incarnation: self.Number, Prev: r.st.Lease().Offset}}})
	parts := Parts{Control: r, Engine: r, Instances: r, Endpoint: r, Workers: lateWorkers{r.client, r}, Clock: r.clk,
		Scope: r.scope, Logger: zerolog.Nop(), Self: self, Weights: spare.Lakeshore()}
	r.p = &Planner{Parts: parts, busy: map[string]bool{}, list: newListWatch(), waves: newWaveWatch(), orders: map[string]time.Duration{}}
}

// run makes steps for a time and waits for what each of them started.
func (r *rig) run(d time.Duration) {
	r.t.Helper()
	for ; d > 0; d -= interval {
		r.clk.Advance(interval)
		r.p.step(r.t.Context())
		r.p.work.Wait()
	}
}

// until runs until the condition holds and returns how long that took.
func (r *rig) until(limit time.Duration, ok func() bool) time.Duration {
	r.t.Helper()
	for d := time.Duration(0); d <= limit; d += interval {
		if ok() {
			return d
		}
		r.run(interval)
	}
	r.t.Fatalf("not reached within %v", limit)
	return 0
}

// apply appends a record.
func (r *rig) apply(rec *recpb.Record) ctrl.Settled {
	r.n++
	rec.Id = binary.BigEndian.AppendUint64(make([]byte, 8), r.n)
	rec.Schema = state.Schema
	var v state.Verdict
	r.st, v = r.st.Apply(r.n, rec)
	return ctrl.Settled{Offset: r.n, Verdict: v}
}

func (r *rig) put(rec *recpb.Record) {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.apply(rec)
	assert.Assert(r.t, s.Verdict.OK(), "%v", s.Verdict)
}

// job submits a job of team t.
func (r *rig) job(j *recpb.Job) {
	r.t.Helper()
	j.Edit, j.Team = &recpb.Edit{}, "t"
	if old, ok := r.st.Job(j.Name); ok {
		j.Edit.Base = old.Version
	}
	r.put(&recpb.Record{Body: &recpb.Record_Job{Job: j}})
}

func (r *rig) cancel(name string) {
	r.t.Helper()
	r.put(&recpb.Record{Body: &recpb.Record_Job{Job: &recpb.Job{Name: name, Edit: &recpb.Edit{Base: r.see(name).Version, Remove: true}}}})
}

func (r *rig) see(name string) *state.Job {
	r.t.Helper()
	j, ok := r.st.Job(name)
	assert.Assert(r.t, ok, name)
	return j
}

// all says whether all jobs are in a phase.
func (r *rig) all(p state.JobPhase) func() bool {
	return func() bool {
		for j := range r.st.Jobs() {
			if j.Phase != p {
				return false
			}
		}
		return true
	}
}

func (r *rig) count(p state.JobPhase) int {
	n := 0
	for j := range r.st.Jobs() {
		if j.Phase == p {
			n++
		}
	}
	return n
}

func (r *rig) Submit(_ context.Context, rec *recpb.Record) (ctrl.Settled, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drop > 0 {
		r.drop--
		return ctrl.Settled{}, &ctrl.UnsettledError{}
	}
	if r.lateAppends > 0 {
		r.lateAppends--
		r.late = append(r.late, func() { r.apply(rec) })
		return ctrl.Settled{}, &ctrl.UnsettledError{}
	}
	s := r.apply(rec)
	if r.lose > 0 {
		r.lose--
		return ctrl.Settled{}, &ctrl.UnsettledError{}
	}
	return s, nil
}

// flush carries out what was late.
func (r *rig) flush() {
	late := r.late
	r.late = nil
	for _, f := range late {
		f()
	}
}

// lateWorkers holds starts back.
type lateWorkers struct {
	*plat.Client
	r *rig
}

func (w lateWorkers) Start(ctx context.Context, k ports.TaskKey, s ports.TaskSpec) error {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	if w.r.lateStarts > 0 {
		w.r.lateStarts--
		// Its answer is lost.
		w.r.late = append(w.r.late, func() { _ = w.Client.Start(w.r.t.Context(), k, s) })
		return ports.ErrWorkers.New("late")
	}
	return w.Client.Start(ctx, k, s)
}

func (r *rig) View() *ctrl.View {
	st := r.state()
	return &ctrl.View{State: st, Joined: true, Snapshot: st.Applied()}
}

// state returns the folded state, which appends in the background replace.
func (r *rig) state() *state.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.st
}

func (r *rig) AskDemand() {}

func (r *rig) Demand(context.Context) map[string]ctrl.Demand { return r.demand }

func (r *rig) MaySend() bool       { return true }
func (r *rig) InFlight(string) int { return 0 }

func (r *rig) List(context.Context) ([]ports.Listed, error) {
	var all []ports.Listed
	for i := range r.state().Instances() {
		all = append(all, ports.Listed{Name: i.Name, Phase: ports.Live, Boot: 1})
	}
	return all, nil
}

func (r *rig) Reboot(context.Context, string) error { return nil }

func (r *rig) Call(context.Context, string, ports.Request) (*ports.Answer, error) {
	return nil, &ports.NotSentError{}
}

func (r *rig) Probe(context.Context, string) (bool, error) { return false, nil }
