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

// faultSeeds is the number of random fault sequences.
const faultSeeds = 10

// Guards against a second run of a job that is not idempotent, and against a job that never ends,
// when calls, appends, workers and the planner fail at the same time.
func TestJobsUnderFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runFaultSequence(t, seed) })
	}
}

const faultWorkers, faultJobs = 3, 24

func runFaultSequence(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	r := newRig(t, faultWorkers, worker.Faults{Run: 3000, Lag: 400, Seed: seed})
	for i := range faultJobs {
		r.submitJob(&recpb.Job{Name: fmt.Sprint("j", i), Cores: 1 + rng.Uint32N(2), Idempotent: i%2 == 0,
			Checkpoint: rng.IntN(2) == 0, Urgency: rng.Uint32N(3)})
	}
	for range 60 {
		r.injectFault(rng)
		r.runFor(time.Duration(1+rng.IntN(16)) * stepInterval)
		r.checkSingleRuns()
	}
	r.workers.SetFaults(worker.Faults{Run: 3000, Lag: 400})
	r.applyLate()
	r.lateAppends, r.lateStarts = 0, 0
	for i := range faultWorkers {
		r.workers.Resume(fmt.Sprint("w", i))
	}
	r.runUntil(5*time.Minute, func() bool {
		for j := range r.st.Jobs() {
			if !j.Phase.IsFinal() {
				return false
			}
		}
		return true
	})
	r.checkSingleRuns()
	r.runFor(5 * time.Second)
	for j := range r.st.Jobs() {
		assert.Equal(t, r.workers.Running(j.Name), 0, j.Name)
		if j.Phase == state.Succeeded {
			assert.Assert(t, len(r.workers.Runs(j.Name)) > 0, j.Name)
		}
	}
}

// injectFault applies one random fault or repair.
func (r *rig) injectFault(rng *rand.Rand) {
	r.t.Helper()
	w := fmt.Sprint("w", rng.IntN(faultWorkers))
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
		o.LoseAnswers, o.DropRequests = 0.5*rng.Float64(), 0.5*rng.Float64()
		o.FailingWorkers, o.IgnoreCommands = []string{w}[:rng.IntN(2)], []string{w}[:rng.IntN(2)]
		o.UseFactor = map[string]float64{"j0": 3, "j1": 0.1, "j2": 2}
		r.workers.SetFaults(o)
	case 6:
		o := r.workers.Faults()
		o.Down = !o.Down
		r.workers.SetFaults(o)
	case 7:
		r.lostAnswers, r.lostAppends = rng.IntN(4), rng.IntN(4)
	case 8:
		r.lateAppends, r.lateStarts = rng.IntN(4), rng.IntN(4)
	case 9:
		r.applyLate()
	case 10:
		j := r.mustJob(fmt.Sprint("j", rng.IntN(faultJobs)))
		if j.Phase == state.Queued || j.Phase == state.Placed {
			r.cancel(j.Name)
		}
	}
}

// checkSingleRuns checks that no job that is not idempotent was started twice.
func (r *rig) checkSingleRuns() {
	r.t.Helper()
	for j := range r.st.Jobs() {
		if n := len(r.workers.Runs(j.Name)); !j.Idempotent && n > 1 {
			r.t.Fatalf("%s was started %d times", j.Name, n)
		}
	}
}
