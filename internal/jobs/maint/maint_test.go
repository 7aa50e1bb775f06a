package maint

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

// Guards against more instances down than the wave allows, against a whole pool that is unavailable
// while there is enough time, and against a wave that is late. The wave takes half the fleet down
// in 27 s, 9 instances at a time.
func TestWaveIsInTimeAndWithinLimits(t *testing.T) {
	f, names := fleet(map[string]int{"a": 9, "b": 9, "c": 11, "d": 12, "rest": 8})
	w := Wave{Wave: model.Wave{Instances: names[:24], MaxConcurrent: 9, Window: 27 * time.Second}, Ordered: map[string]bool{}, Unavailable: map[string]bool{}}
	back := map[string]time.Duration{}
	now := time.Duration(0)
	for ; !IsComplete(w, f); now += 100 * time.Millisecond {
		assert.Assert(t, now < w.Window, "the wave is late: %d of %d", len(w.Ordered), len(w.Instances))
		for name, at := range back {
			if now >= at {
				delete(w.Unavailable, name)
				delete(back, name)
			}
		}
		w.TimeLeft = w.Window - now
		for _, name := range NextInstances(w, f) {
			w.Unavailable[name] = true
			w.Ordered[name] = true
			back[name] = now + maintenanceTime
		}
		assert.Assert(t, len(w.Unavailable) <= w.MaxConcurrent)
		out := map[string]int{}
		for name := range w.Unavailable {
			out[f[name].Pool]++
		}
		if now < 3*time.Second {
			for pool, n := range out {
				assert.Assert(t, pool == "rest" || n <= 4, "%d of pool %s are unavailable", n, pool)
			}
		}
	}
	t.Logf("complete after %s", now)
}

// Guards against a wave that is complete although an instance that still exists has not been down,
// and against one that waits for an instance that is gone.
func TestCompleteCountsOnlyInstancesThatStay(t *testing.T) {
	f, names := fleet(map[string]int{"a": 2})
	w := Wave{Wave: model.Wave{Instances: append(names, "gone")}, Ordered: map[string]bool{names[0]: true}}
	assert.Assert(t, !IsComplete(w, f))
	w.Ordered[names[1]] = true
	assert.Assert(t, IsComplete(w, f))
}
