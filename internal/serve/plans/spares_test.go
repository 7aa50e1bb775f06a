package plans

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/fake/worker"
	"chervilgauge.example/chervilgauge/internal/fleet/spare"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/setup/config"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// newSpareRig returns a rig with pools plan and book of two instances of 8 slots each,
// and a pool named extra of three.
func newSpareRig(t *testing.T, isSpare bool) *rig {
	r := newRig(t, 0, worker.Faults{})
	for pool, n := range map[string]int{"plan": 2, "book": 2, "extra": 3} {
		r.put(&recpb.Record{Body: &recpb.Record_Pool{Pool: &recpb.Pool{Edit: &recpb.Edit{}, Name: pool,
			Budget: &recpb.Budget{Total: 1}, Spare: isSpare && pool == "extra"}}})
		for i := range n {
			name := fmt.Sprintf("%s-%d", pool, i)
			r.put(&recpb.Record{Body: &recpb.Record_Instance{Instance: &recpb.Instance{
				Edit: &recpb.Edit{}, Name: name, Addr: "127.0.0.1:1", Pool: pool, Slots: 8}}})
			r.put(&recpb.Record{Body: &recpb.Record_Health{Health: &recpb.Health{Name: name, Up: true, Boot: 1}}})
		}
	}
	return r
}

// serving says whether a number of instances serve in a pool.
func (r *rig) serving(pool string, n int) func() bool {
	return func() bool {
		return int(r.st.PoolCount(pool).Available) == n
	}
}

func (r *rig) flood(pool string, requests int) {
	r.demand = map[string]ctrl.Demand{pool: {Waiting: max(0, requests-16), Running: min(requests, 16)}}
}

// succeed lets a new entry take over after the planner has left, so that drains don't
// wait for it.
func (r *rig) succeed() {
	old := r.p.Self
	r.put(&recpb.Record{Body: &recpb.Record_Leave{Leave: &recpb.Leave{Name: old.Name, Incarnation: old.Number}}})
	r.replace()
}

// TestPeakMovesSparesAndBack guards against a peak that no spare instance serves, more
// moves than the peak or the budget of a pool asks for, and instances that stay.
func TestPeakMovesSparesAndBack(t *testing.T) {
	r := newSpareRig(t, true)
	r.run(5 * time.Second)
	r.flood("plan", 31)
	r.until(30*time.Second, r.serving("plan", 4))
	r.run(10 * time.Second)
	assert.Assert(t, r.serving("plan", 4)() && r.serving("book", 2)(), "two spares suffice")
	r.flood("plan", 12)
	before := r.n
	for d := time.Duration(0); !r.serving("extra", 3)(); d += interval {
		assert.Assert(t, d < time.Minute, "the spares do not return")
		assert.Assert(t, r.st.PoolCount("plan").Unavailable() <= 1)
		r.run(interval)
	}
	assert.Assert(t, r.serving("plan", 2)())
	leases := uint64(15)
	assert.Assert(t, r.n-before < 2*4+leases, "%d records", r.n-before)
}

// TestNoSparePool guards against moves of instances that are no spares.
func TestNoSparePool(t *testing.T) {
	r := newSpareRig(t, false)
	r.flood("plan", 500)
	r.run(40 * time.Second)
	assert.Assert(t, r.serving("plan", 2)() && r.serving("extra", 3)())
	assert.Assert(t, r.p.spares == nil)
}

// TestTakeOverReturnsSpares guards against spares that a new planner leaves in a pool
// without need, because only the lost planner knew where they came from, and against a
// return while the peak lasts.
func TestTakeOverReturnsSpares(t *testing.T) {
	r := newSpareRig(t, true)
	r.flood("book", 40)
	r.until(30*time.Second, r.serving("book", 5))
	r.succeed()
	r.run(30 * time.Second)
	assert.Assert(t, r.serving("book", 5)())
	r.flood("plan", 12)
	r.succeed()
	r.until(time.Minute, r.serving("extra", 3))
}

// TestRefusedMoveIsRepeated guards against a move that is given up after its record was
// lost, and against a second instance that is sent in its place meanwhile.
func TestRefusedMoveIsRepeated(t *testing.T) {
	r := newSpareRig(t, true)
	r.flood("plan", 20)
	r.run(6 * time.Second)
	r.drop = 4
	r.until(30*time.Second, r.serving("plan", 3))
	r.run(10 * time.Second)
	assert.Assert(t, r.serving("plan", 3)())
}

// TestTrips guards against move times that count cancelled moves or those of which the
// planner has not seen the start.
func TestTrips(t *testing.T) {
	r := newSpareRig(t, true)
	drain := func(name string) {
		i, _ := r.st.Instance(name)
		r.put(&recpb.Record{Body: &recpb.Record_Drain{Drain: &recpb.Drain{
			Edit: &recpb.Edit{Base: i.Version}, Name: name, Target: "book"}}})
	}
	w := tripWatch{}
	drain("extra-0")
	w.adopt(r.st)
	drain("plan-0")
	assert.Equal(t, len(w.see(time.Second, r.st)), 0)
	g, _ := r.st.Grant("plan-0")
	r.put(&recpb.Record{Body: &recpb.Record_Cancel{Cancel: &recpb.Cancel{
		Edit: &recpb.Edit{Base: g.Offset}, Name: "plan-0", Grant: g.Offset}}})
	assert.Equal(t, len(w.see(2*time.Second, r.st)), 0)
	drain("plan-1")
	assert.Equal(t, len(w.see(3*time.Second, r.st)), 0)
	r.until(10*time.Second, r.serving("book", 4))
	got := w.see(5*time.Second, r.st)
	assert.DeepEqual(t, got, []time.Duration{2 * time.Second})
	assert.Equal(t, len(w), 0)
}

// TestWeights guards against settings that favour the other deployment's costs.
func TestWeights(t *testing.T) {
	near := func(s config.Spare, want spare.Weights) {
		t.Helper()
		got := Weights(s)
		for _, d := range []float64{got.Keep - want.Keep, got.Buffer - want.Buffer, got.Rollout - want.Rollout, got.Move - want.Move} {
			assert.Assert(t, math.Abs(d) < 1e-9, "%v", got)
		}
	}
	near(config.Spare{Buffer: 0.8, Flood: 0.2}, spare.Lakeshore())
	near(config.Spare{Buffer: 0.2, Flood: 0.8}, spare.Etnea())
	near(config.Default().Spare, spare.Weights{Keep: 1, Buffer: math.Sqrt(0.5), Rollout: math.Sqrt(32), Move: 16})
}

// TestSparesInNeedOfRepair guards against moves of spares that are down or reboot.
func TestSparesInNeedOfRepair(t *testing.T) {
	i := &state.Instance{Name: "a", Pool: "extra", Home: "extra", Phase: state.Serving, Health: state.Down}
	_, ok := spareInstance(i)
	assert.Assert(t, !ok)
	_, ok = spareInstance(i.WithHealth(state.Up, 1).WithPhase(state.Restarting, &state.Grant{}))
	assert.Assert(t, !ok)
	one, ok := spareInstance(i.WithPhase(state.Draining, &state.Grant{Target: "plan"}))
	assert.Assert(t, ok && one.Moving && one.Pool == "plan")
}
