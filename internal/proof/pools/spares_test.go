package pools

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/bench/inproc"
	"chervilgauge.example/chervilgauge/internal/setup/config"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
)

// Guards against spare instances that don't move to a flooded pool, or don't return after the
// flood, against moves that drop requests or exceed a budget, and against an instance that is
// listed twice or still serves the callers of a pool that it has left.
func TestFloodMovesSpares(t *testing.T) {
	w := start(t, inproc.WithPools(
		inproc.Pool{Name: "plan", Instances: 2, Budget: 1, Run: 100},
		inproc.Pool{Name: "book", Instances: 2, Budget: 1, Run: 100},
		inproc.Pool{Name: "extra", Instances: 2, Budget: 2, Run: 100, Spare: true},
	), inproc.WithSettings(func(c *config.Config) { c.Spare = config.Spare{Buffer: 0.8, Flood: 0.2} }))
	c := operators(t, w, 0)
	// serving returns the number of spares that serve in a pool. It also checks that no other
	// instance moves and that the moves keep the budgets.
	serving := func(pool string) int {
		r, err := c.Status(t.Context(), &opspb.StatusAsk{})
		assert.NilError(t, err)
		seen, n, out := map[string]bool{}, 0, map[string]int{}
		for _, i := range r.GetInstances() {
			assert.Assert(t, !seen[i.GetName()], "%s is listed twice", i.GetName())
			seen[i.GetName()] = true
			isSpare := strings.HasPrefix(i.GetName(), "extra")
			assert.Assert(t, isSpare || strings.HasPrefix(i.GetName(), i.GetPool()), "%s moved", i.GetName())
			switch {
			case i.GetPhase() == "serving" && isSpare && i.GetPool() == pool:
				n++
			case i.GetPhase() != "serving" && i.GetTarget() != i.GetPool():
				out[i.GetPool()]++
			}
		}
		assert.Assert(t, out["plan"] <= 1 && out["book"] == 0, "%v", out)
		return n
	}
	runs := func() int {
		return int(w.Endpoints["extra-00"].Counts().Runs + w.Endpoints["extra-01"].Counts().Runs)
	}
	book := startCallers(w, "book", 4)
	flood := startCallers(w, "plan", 30)
	assert.Equal(t, runs(), 0)
	waitUntil(t, "no spare serves the flood", func() bool { return serving("plan") == 2 && runs() > 0 })
	floodEnds := flood()
	waitUntil(t, "the spares do not return", func() bool { return serving("extra") == 2 })
	own := w.Endpoints["plan-00"]
	before, ownBefore := runs(), own.Counts().Runs
	after := startCallers(w, "plan", 8)
	waitUntil(t, "plan is not served", func() bool { return own.Counts().Runs >= ownBefore+10 })
	for _, ends := range []map[string]int{floodEnds, after(), book()} {
		assert.Equal(t, ends["cut"]+ends["unknown"]+ends["failed"], 0, "%v", ends)
		assert.Assert(t, ends["answered"] > 0, "%v", ends)
	}
	assert.Equal(t, runs(), before)
}
