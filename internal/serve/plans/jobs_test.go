package plans

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/fake/worker"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Guards against a task that runs twice or never because the answer to its start, or to the append
// of its placement, was lost.
func TestLostAnswers(t *testing.T) {
	for _, tc := range []struct {
		name       string
		call       worker.Faults
		lose, drop int
	}{
		{"start carried out", worker.Faults{Run: 2000, LoseAnswers: 1}, 0, 0},
		{"start not carried out", worker.Faults{Run: 2000, DropRequests: 1}, 0, 0},
		{"append carried out", worker.Faults{Run: 2000}, 2, 0},
		{"append not carried out", worker.Faults{Run: 2000}, 0, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 2, tc.call)
			r.lostAnswers, r.lostAppends = tc.lose, tc.drop
			r.submitJob(&recpb.Job{Name: "j", Cores: 1})
			r.runFor(2 * time.Second)
			r.workers.SetFaults(worker.Faults{Run: 2000})
			r.runUntil(10*time.Second, r.allIn(state.Succeeded))
			assert.Equal(t, len(r.workers.Runs("j")), 1)
			assert.Equal(t, r.mustJob("j").Failures, uint32(0))
		})
	}
}

// Guards against counting a result whose worker's lease had lapsed, and against a second placement
// of a job that is not idempotent.
func TestLapsedLease(t *testing.T) {
	r := newRig(t, 2, worker.Faults{Run: 20_000})
	r.submitJob(&recpb.Job{Name: "again", Cores: 3, Idempotent: true})
	r.runUntil(5*time.Second, func() bool { return len(r.workers.Runs("again")) == 1 })
	first := r.mustJob("again")
	r.submitJob(&recpb.Job{Name: "once", Cores: 1})
	r.runUntil(5*time.Second, func() bool { return len(r.workers.Runs("once")) == 1 })
	assert.Equal(t, r.mustJob("once").Worker, first.Worker, "both run on the worker that is paused")
	r.workers.Pause(first.Worker)
	r.runUntil(40*time.Second, func() bool { return len(r.workers.Runs("again")) == 2 })
	second := r.mustJob("again")
	assert.Assert(t, second.Worker != first.Worker && second.Token > first.Token)
	r.workers.Resume(first.Worker)
	r.runFor(5 * time.Second)
	assert.Equal(t, r.workers.Running("again"), 1, "the former holder is stopped")
	r.runUntil(20*time.Second, func() bool { return r.mustJob("again").Phase.IsFinal() })
	assert.Equal(t, r.mustJob("again").Phase, state.Succeeded)
	assert.Equal(t, r.mustJob("again").Token, second.Token)
	assert.Equal(t, r.mustJob("once").Phase, state.Broken)
	assert.Equal(t, len(r.workers.Runs("once")), 1)
}

// Guards against a faulty worker that attracts jobs because it fails them quickly and is free
// again.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	r := newRig(t, 4, worker.Faults{Run: 2000, FailingWorkers: []string{"w1"}})
	for i := range 80 {
		r.submitJob(&recpb.Job{Name: fmt.Sprint("j", i), Cores: 1, Idempotent: true})
	}
	r.runUntil(5*time.Minute, r.allIn(state.Succeeded))
	assert.Equal(t, r.scope.Snapshot().Counters()["workers_quarantined+"].Value(), int64(1))
	failed := 0
	for i := range 80 {
		failed += int(r.mustJob(fmt.Sprint("j", i)).Failures)
	}
	assert.Assert(t, failed <= 16, "%d", failed)
}

// Guards against jobs that are lost or run twice when the planner is replaced in any phase of a
// job.
func TestPlannerReplaced(t *testing.T) {
	for steps := range 16 {
		r := newRig(t, 2, worker.Faults{Run: 1000, Lag: 300, LoseAnswers: 0.3, Seed: uint64(steps)})
		for i := range 6 {
			r.submitJob(&recpb.Job{Name: fmt.Sprint("j", i), Cores: 2, Idempotent: i%2 == 0})
		}
		r.runFor(time.Duration(steps) * stepInterval)
		r.replace()
		r.runUntil(time.Minute, func() bool { return r.countIn(state.Succeeded)+r.countIn(state.Broken) == 6 })
		for i := range 6 {
			name := fmt.Sprint("j", i)
			assert.Assert(t, len(r.workers.Runs(name)) <= 1, "%s after %d steps", name, steps)
			assert.Assert(t, r.mustJob(name).Phase == state.Succeeded || !r.mustJob(name).Idempotent, name)
		}
	}
}

// Guards against tasks that keep running, or are started, after many jobs are cancelled at once.
func TestCancellationWave(t *testing.T) {
	r := newRig(t, 4, worker.Faults{Run: 3600_000, LoseAnswers: 0.2, DropRequests: 0.2})
	names := []string{}
	for i := range 300 {
		names = append(names, fmt.Sprint("j", i))
		r.submitJob(&recpb.Job{Name: names[i], Cores: 1, Idempotent: i%2 == 0})
	}
	started := func() (n int) {
		for _, name := range names {
			n += len(r.workers.Runs(name))
		}
		return n
	}
	r.runUntil(10*time.Second, func() bool { return started() == 16 })
	for _, n := range names {
		r.cancel(n)
	}
	r.runUntil(20*time.Second, r.allIn(state.Cancelled))
	r.runFor(5 * time.Second)
	for _, n := range names {
		assert.Equal(t, r.workers.Running(n), 0, n)
	}
	assert.Equal(t, started(), 16)
}

// Guards against an urgent job that waits although checkpointed jobs could make room for it.
func TestUrgentJobGetsRoom(t *testing.T) {
	r := newRig(t, 2, worker.Faults{Run: 3600_000, Lag: 200})
	for i := range 8 {
		r.submitJob(&recpb.Job{Name: fmt.Sprint("j", i), Cores: 1, Idempotent: true, Checkpoint: true})
	}
	r.runUntil(5*time.Second, func() bool { return r.countIn(state.Placed) == 8 })
	r.runFor(5 * time.Second)
	r.submitJob(&recpb.Job{Name: "u", Cores: 2, Urgency: 2})
	took := r.runUntil(10*time.Second, func() bool { return len(r.workers.Runs("u")) == 1 })
	assert.Assert(t, took <= 3100*time.Millisecond, "%v", took)
}

// Guards against a reboot that interrupts a job that is not idempotent, and against jobs that are
// placed on a worker under a grant.
func TestDrainWaitsForJobs(t *testing.T) {
	r := newRig(t, 2, worker.Faults{Run: 60_000})
	r.submitJob(&recpb.Job{Name: "once", Cores: 1})
	r.submitJob(&recpb.Job{Name: "again", Cores: 1, Idempotent: true, Checkpoint: true})
	r.runUntil(5*time.Second, func() bool { return len(r.workers.Runs("again"))+len(r.workers.Runs("once")) == 2 })
	name := r.mustJob("once").Worker
	assert.Equal(t, r.mustJob("again").Worker, name)
	i, _ := r.st.Instance(name)
	r.put(&recpb.Record{Body: &recpb.Record_Drain{Drain: &recpb.Drain{Edit: &recpb.Edit{Base: i.Version}, Name: name}}})
	r.runUntil(5*time.Second, func() bool { return len(r.workers.Runs("again")) == 2 })
	assert.Assert(t, r.mustJob("again").Worker != name)
	r.runFor(30 * time.Second)
	i, _ = r.st.Instance(name)
	assert.Equal(t, i.Phase, state.Drained)
	r.runUntil(60*time.Second, func() bool { i, _ = r.st.Instance(name); return i.Phase == state.Restarting })
	assert.Equal(t, r.mustJob("once").Phase, state.Succeeded)
}

// Guards against endless retries of a job that fails on every worker, and against losing a job
// because it is larger than every worker.
func TestJobsThatCannotRun(t *testing.T) {
	r := newRig(t, 4, worker.Faults{Run: 500, FailingJobs: []string{"bad"}})
	r.submitJob(&recpb.Job{Name: "bad", Cores: 1, Idempotent: true})
	r.submitJob(&recpb.Job{Name: "large", Cores: 5})
	r.submitJob(&recpb.Job{Name: "late", Cores: 1, Deadline: r.clk.Wall().UnixMilli() - 1})
	r.runUntil(time.Minute, func() bool { return r.countIn(state.Cancelled) == 2 })
	assert.Equal(t, r.mustJob("bad").Failures, uint32(3))
	assert.Equal(t, len(r.workers.Runs("late")), 0)
	assert.Equal(t, r.mustJob("large").Phase, state.Queued)
	assert.Equal(t, len(r.p.jobs.tooLarge), 1)
}

// Guards against discarding a running task although its worker came back before the job was placed
// elsewhere.
func TestHolderRegainsLapsedTask(t *testing.T) {
	r := newRig(t, 1, worker.Faults{Run: 20_000})
	r.submitJob(&recpb.Job{Name: "j", Cores: 3, Idempotent: true})
	r.runUntil(5*time.Second, func() bool { return len(r.workers.Runs("j")) == 1 })
	r.workers.Pause("w0")
	r.runFor(40 * time.Second)
	assert.Equal(t, r.p.jobs.jobs["j"].mode, waiting)
	r.workers.Resume("w0")
	r.runUntil(30*time.Second, r.allIn(state.Succeeded))
	assert.Equal(t, len(r.workers.Runs("j")), 1)
}

// Guards against a throttle that is never lifted because the planner that requested it was
// replaced.
func TestThrottleEndsAfterReplacement(t *testing.T) {
	r := newRig(t, 1, worker.Faults{Run: 60_000})
	throttled := func() bool {
		all, err := r.client.Workers(t.Context())
		assert.NilError(t, err)
		return len(all[0].Tasks) > 0 && all[0].Tasks[0].Job == "once" && all[0].Tasks[0].Throttled
	}
	r.submitJob(&recpb.Job{Name: "once", Cores: 4})
	r.runUntil(5*time.Second, func() bool { return len(r.workers.Runs("once")) == 1 })
	r.runFor(2 * time.Second)
	r.submitJob(&recpb.Job{Name: "u", Cores: 2, Urgency: 2})
	r.runUntil(10*time.Second, func() bool { return len(r.workers.Runs("u")) == 1 })
	assert.Assert(t, throttled())
	r.replace()
	r.cancel("u")
	r.runUntil(10*time.Second, func() bool { return !throttled() })
}
