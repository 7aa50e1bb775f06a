package upkeep

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

func fleet(pools map[string]int) (map[string]Instance, []string) {
	out := map[string]Instance{}
	var names []string
	for pool, n := range pools {
		for i := range n {
			name := fmt.Sprintf("%s-%d", pool, i)
			out[name] = Instance{
				Instance: model.Instance{Name: name, Pool: pool, Phase: model.Up}, Standby: pool == "rest", Free: true,
			}
			names = append(names, name)
		}
	}
	return out, names
}

// Guards against more instances down than the wave allows, against a pool that is out as
// a whole while there is time, and against a wave that is late. The load is a wave of
// half the fleet in 27 s, 9 at once, as on the quiet day of lra-tankrun.
func TestWaveIsInTimeAndWithinLimits(t *testing.T) {
	f, names := fleet(map[string]int{"a": 9, "b": 9, "c": 11, "d": 12, "rest": 8})
	w := Wave{Wave: model.Wave{Instances: names[:24], AtOnce: 9, Within: 27 * time.Second}, Done: map[string]bool{}, Out: map[string]bool{}}
	back := map[string]time.Duration{}
	now := time.Duration(0)
	for ; !IsComplete(w, f); now += 100 * time.Millisecond {
		assert.Assert(t, now < w.Within, "the wave is late: %d of %d", len(w.Done), len(w.Instances))
		for name, at := range back {
			if now >= at {
				delete(w.Out, name)
				delete(back, name)
			}
		}
		w.Left = w.Within - now
		for _, name := range Next(w, f) {
			w.Out[name] = true
			w.Done[name] = true
			back[name] = now + roundTime
		}
		assert.Assert(t, len(w.Out) <= w.AtOnce)
		out := map[string]int{}
		for name := range w.Out {
			out[f[name].Pool]++
		}
		if now < 3*time.Second {
			for pool, n := range out {
				assert.Assert(t, pool == "rest" || n <= 4, "%d of pool %s are out", n, pool)
			}
		}
	}
	t.Logf("complete after %s", now)
}

// Guards against a wave that is complete while an instance of it stays that has not been
// down, or that waits for one that is gone.
func TestCompleteCountsOnlyInstancesThatStay(t *testing.T) {
	f, names := fleet(map[string]int{"a": 2})
	w := Wave{Wave: model.Wave{Instances: append(names, "gone")}, Done: map[string]bool{names[0]: true}}
	assert.Assert(t, !IsComplete(w, f))
	w.Done[names[1]] = true
	assert.Assert(t, IsComplete(w, f))
}
