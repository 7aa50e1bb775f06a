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

// newSpareRig returns a rig with the pools plan and book of two instances with 8 slots each, and a
// pool extra of three.
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

// isServing returns a condition that holds if n instances are available in a pool.
func (r *rig) isServing(pool string, n int) func() bool {
	return func() bool {
		return int(r.st.PoolCount(pool).Available) == n
	}
}

func (r *rig) setDemand(pool string, requests int) {
	r.demand = map[string]ctrl.Demand{pool: {Waiting: max(0, requests-16), Running: min(requests, 16)}}
}

// replaceAfterLeave makes a new entry take over after the planner's entry has left, so that drains
// don't wait for the old one.
func (r *rig) replaceAfterLeave() {
	old := r.p.Self
	r.put(&recpb.Record{Body: &recpb.Record_Leave{Leave: &recpb.Leave{Name: old.Name, Incarnation: old.Number}}})
	r.replace()
}

// TestPeakMovesSparesAndBack guards against a peak that gets no spare instance, against more moves
// than the peak needs or the pool's budget allows, and against spares that don't return.
func TestPeakMovesSparesAndBack(t *testing.T) {
	r := newSpareRig(t, true)
	r.runFor(5 * time.Second)
	r.setDemand("plan", 31)
	r.runUntil(30*time.Second, r.isServing("plan", 4))
	r.runFor(10 * time.Second)
	assert.Assert(t, r.isServing("plan", 4)() && r.isServing("book", 2)(), "two spares suffice")
	r.setDemand("plan", 12)
	before := r.n
	for d := time.Duration(0); !r.isServing("extra", 3)(); d += stepInterval {
		assert.Assert(t, d < time.Minute, "the spares do not return")
		assert.Assert(t, r.st.PoolCount("plan").Unavailable() <= 1)
		r.runFor(stepInterval)
	}
	assert.Assert(t, r.isServing("plan", 2)())
	leases := uint64(15)
	assert.Assert(t, r.n-before < 2*4+leases, "%d records", r.n-before)
}

// TestNoSparePool guards against moves of instances that are not spares.
func TestNoSparePool(t *testing.T) {
	r := newSpareRig(t, false)
	r.setDemand("plan", 500)
	r.runFor(40 * time.Second)
	assert.Assert(t, r.isServing("plan", 2)() && r.isServing("extra", 3)())
	assert.Assert(t, r.p.spares == nil)
}

// TestTakeOverReturnsSpares guards against a new planner that leaves spares in a pool without need,
// because only the previous one knew their spare pool, and against a return during the peak.
func TestTakeOverReturnsSpares(t *testing.T) {
	r := newSpareRig(t, true)
	r.setDemand("book", 40)
	r.runUntil(30*time.Second, r.isServing("book", 5))
	r.replaceAfterLeave()
	r.runFor(30 * time.Second)
	assert.Assert(t, r.isServing("book", 5)())
	r.setDemand("plan", 12)
	r.replaceAfterLeave()
	r.runUntil(time.Minute, r.isServing("extra", 3))
}

// TestRefusedMoveIsRepeated guards against a move that is given up after its record was lost, and
// against a second instance that is moved in its place meanwhile.
func TestRefusedMoveIsRepeated(t *testing.T) {
	r := newSpareRig(t, true)
	r.setDemand("plan", 20)
	r.runFor(6 * time.Second)
	r.lostAppends = 4
	r.runUntil(30*time.Second, r.isServing("plan", 3))
	r.runFor(10 * time.Second)
	assert.Assert(t, r.isServing("plan", 3)())
}

// TestMoveTimes guards against durations of cancelled moves or of moves whose start the planner has
// not seen.
func TestMoveTimes(t *testing.T) {
	r := newSpareRig(t, true)
	drain := func(name string) {
		i, _ := r.st.Instance(name)
		r.put(&recpb.Record{Body: &recpb.Record_Drain{Drain: &recpb.Drain{
			Edit: &recpb.Edit{Base: i.Version}, Name: name, Target: "book"}}})
	}
	mt := moveTracker{}
	drain("extra-0")
	mt.adopt(r.st)
	drain("plan-0")
	assert.Equal(t, len(mt.observe(time.Second, r.st)), 0)
	g, _ := r.st.Grant("plan-0")
	r.put(&recpb.Record{Body: &recpb.Record_Cancel{Cancel: &recpb.Cancel{
		Edit: &recpb.Edit{Base: g.Offset}, Name: "plan-0", Grant: g.Offset}}})
	assert.Equal(t, len(mt.observe(2*time.Second, r.st)), 0)
	drain("plan-1")
	assert.Equal(t, len(mt.observe(3*time.Second, r.st)), 0)
	r.runUntil(10*time.Second, r.isServing("book", 4))
	got := mt.observe(5*time.Second, r.st)
	assert.DeepEqual(t, got, []time.Duration{2 * time.Second})
	assert.Equal(t, len(mt), 0)
}

// TestWeights guards against settings that select the other deployment's costs.
func TestWeights(t *testing.T) {
	near := func(s config.Spare, want spare.Weights) {
		t.Helper()
		got := Weights(s)
		for _, d := range []float64{got.Keep - want.Keep, got.Buffer - want.Buffer, got.Rollout - want.Rollout, got.Move - want.Move} {
			assert.Assert(t, math.Abs(d) < 1e-9, "%v", got)
		}
	}
	near(config.Spare{Buffer: 0.8, Flood: 0.2}, spare.IdleCostWeights())
	near(config.Spare{Buffer: 0.2, Flood: 0.8}, spare.KeptWorkWeights())
	near(config.Default().Spare, spare.Weights{Keep: 1, Buffer: math.Sqrt(0.5), Rollout: math.Sqrt(32), Move: 16})
}

// TestSparesInNeedOfRepair guards against moves of spares that are down or rebooting.
func TestSparesInNeedOfRepair(t *testing.T) {
	i := &state.Instance{Name: "a", Pool: "extra", Home: "extra", Phase: state.Serving, Health: state.Down}
	_, ok := toPolicyInstance(i)
	assert.Assert(t, !ok)
	_, ok = toPolicyInstance(i.WithHealth(state.Up, 1).WithPhase(state.Restarting, &state.Grant{}))
	assert.Assert(t, !ok)
	inst, ok := toPolicyInstance(i.WithPhase(state.Draining, &state.Grant{Target: "plan"}))
	assert.Assert(t, ok && inst.Moving && inst.Pool == "plan")
}
