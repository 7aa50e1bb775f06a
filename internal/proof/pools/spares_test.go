package pools

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/bench/world"
	"chervilgauge.example/chervilgauge/internal/setup/config"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
)

// Guards against a flood that spare instances don't serve or keep when it is over, moves
// that cut off requests or exceed a budget, and an instance that serves the callers of
// two pools or of none.
func TestFloodMovesSpares(t *testing.T) {
	w := start(t, world.WithPools(
		world.Pool{Name: "plan", Instances: 2, Budget: 1, Run: 100},
		world.Pool{Name: "book", Instances: 2, Budget: 1, Run: 100},
		world.Pool{Name: "extra", Instances: 2, Budget: 2, Run: 100, Spare: true},
	), world.WithSettings(func(c *config.Config) { c.Spare = config.Spare{Buffer: 0.8, Flood: 0.2} }))
	c := operators(t, w, 0)
	// serving counts the spares that serve in a pool and checks the rest of the fleet.
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
	book := callers(w, "book", 4)
	flood := callers(w, "plan", 30)
	assert.Equal(t, runs(), 0)
	until(t, "no spare serves the flood", func() bool { return serving("plan") == 2 && runs() > 0 })
	floodEnds := flood()
	until(t, "the spares do not return", func() bool { return serving("extra") == 2 })
	own := w.Endpoints["plan-00"]
	before, ownBefore := runs(), own.Counts().Runs
	after := callers(w, "plan", 8)
	until(t, "plan is not served", func() bool { return own.Counts().Runs >= ownBefore+10 })
	for _, ends := range []map[string]int{floodEnds, after(), book()} {
		assert.Equal(t, ends["cut"]+ends["unknown"]+ends["failed"], 0, "%v", ends)
		assert.Assert(t, ends["answered"] > 0, "%v", ends)
	}
	assert.Equal(t, runs(), before)
}
