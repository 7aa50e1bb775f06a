package plans

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/fake/worker"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// chaosSeeds is the number of fault sequences that are tried.
const chaosSeeds = 10

// Guards against a second run of a job that must not run again, and against a job that
// does not end, under sequences of faults at the same time.
func TestJobsUnderFaults(t *testing.T) {
	for seed := range uint64(chaosSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { chaos(t, seed) })
	}
}

const chaosWorkers, chaosJobs = 3, 24

func chaos(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	r := newRig(t, chaosWorkers, worker.Faults{Run: 3000, Lag: 400, Seed: seed})
	for i := range chaosJobs {
		r.job(&recpb.Job{Name: fmt.Sprint("j", i), Cores: 1 + rng.Uint32N(2), Idempotent: i%2 == 0,
			Checkpoint: rng.IntN(2) == 0, Urgency: rng.Uint32N(3)})
	}
	for range 60 {
		r.fault(rng)
		r.run(time.Duration(1+rng.IntN(16)) * interval)
		r.onceOnly()
	}
	r.workers.SetFaults(worker.Faults{Run: 3000, Lag: 400})
	r.flush()
	r.lateAppends, r.lateStarts = 0, 0
	for i := range chaosWorkers {
		r.workers.Resume(fmt.Sprint("w", i))
	}
	r.until(5*time.Minute, func() bool {
		for j := range r.st.Jobs() {
			if !j.Phase.Final() {
				return false
			}
		}
		return true
	})
	r.onceOnly()
	r.run(5 * time.Second)
	for j := range r.st.Jobs() {
		assert.Equal(t, r.workers.Running(j.Name), 0, j.Name)
		if j.Phase == state.Succeeded {
			assert.Assert(t, len(r.workers.Runs(j.Name)) > 0, j.Name)
		}
	}
}

// fault gives one random order.
func (r *rig) fault(rng *rand.Rand) {
	r.t.Helper()
	w := fmt.Sprint("w", rng.IntN(chaosWorkers))
	switch rng.IntN(11) {
	case 0:
		r.workers.Pause(w)
	case 1, 2:
		r.workers.Resume(w)
	case 3:
		r.workers.Restart(w)
	case 4:
		r.replace()
	case 5:
		o := r.workers.Faults()
		o.Lose, o.Drop = 0.5*rng.Float64(), 0.5*rng.Float64()
		o.Fail, o.Deaf = []string{w}[:rng.IntN(2)], []string{w}[:rng.IntN(2)]
		o.Factor = map[string]float64{"j0": 3, "j1": 0.1, "j2": 2}
		r.workers.SetFaults(o)
	case 6:
		o := r.workers.Faults()
		o.Down = !o.Down
		r.workers.SetFaults(o)
	case 7:
		r.lose, r.drop = rng.IntN(4), rng.IntN(4)
	case 8:
		r.lateAppends, r.lateStarts = rng.IntN(4), rng.IntN(4)
	case 9:
		r.flush()
	case 10:
		j := r.see(fmt.Sprint("j", rng.IntN(chaosJobs)))
		if j.Phase == state.Queued || j.Phase == state.Placed {
			r.cancel(j.Name)
		}
	}
}

// onceOnly checks that no job that is not idempotent was started twice.
func (r *rig) onceOnly() {
	r.t.Helper()
	for j := range r.st.Jobs() {
		if n := len(r.workers.Runs(j.Name)); !j.Idempotent && n > 1 {
			r.t.Fatalf("%s was started %d times", j.Name, n)
		}
	}
}
