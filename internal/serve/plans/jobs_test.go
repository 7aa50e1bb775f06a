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

// Guards against a task that runs twice or never because the answer to its start, or
// to the append of its placement, was lost.
func TestLostAnswers(t *testing.T) {
	for _, one := range []struct {
		name       string
		call       worker.Faults
		lose, drop int
	}{
		{"start carried out", worker.Faults{Run: 2000, Lose: 1}, 0, 0},
		{"start not carried out", worker.Faults{Run: 2000, Drop: 1}, 0, 0},
		{"append carried out", worker.Faults{Run: 2000}, 2, 0},
		{"append not carried out", worker.Faults{Run: 2000}, 0, 2},
	} {
		t.Run(one.name, func(t *testing.T) {
			r := newRig(t, 2, one.call)
			r.lose, r.drop = one.lose, one.drop
			r.job(&recpb.Job{Name: "j", Cores: 1})
			r.run(2 * time.Second)
			r.workers.SetFaults(worker.Faults{Run: 2000})
			r.until(10*time.Second, r.all(state.Succeeded))
			assert.Equal(t, len(r.workers.Runs("j")), 1)
			assert.Equal(t, r.see("j").Failures, uint32(0))
		})
	}
}

// Guards against a result that counts although the lease of its holder lapsed, and
// against a second holder of a job that is not idempotent.
func TestLapsedLease(t *testing.T) {
	r := newRig(t, 2, worker.Faults{Run: 20_000})
	r.job(&recpb.Job{Name: "again", Cores: 3, Idempotent: true})
	r.until(5*time.Second, func() bool { return len(r.workers.Runs("again")) == 1 })
	first := r.see("again")
	r.job(&recpb.Job{Name: "once", Cores: 1})
	r.until(5*time.Second, func() bool { return len(r.workers.Runs("once")) == 1 })
	assert.Equal(t, r.see("once").Worker, first.Worker, "both run on the worker that is paused")
	r.workers.Pause(first.Worker)
	r.until(40*time.Second, func() bool { return len(r.workers.Runs("again")) == 2 })
	second := r.see("again")
	assert.Assert(t, second.Worker != first.Worker && second.Token > first.Token)
	r.workers.Resume(first.Worker)
	r.run(5 * time.Second)
	assert.Equal(t, r.workers.Running("again"), 1, "the former holder is stopped")
	r.until(20*time.Second, func() bool { return r.see("again").Phase.Final() })
	assert.Equal(t, r.see("again").Phase, state.Succeeded)
	assert.Equal(t, r.see("again").Token, second.Token)
	assert.Equal(t, r.see("once").Phase, state.Broken)
	assert.Equal(t, len(r.workers.Runs("once")), 1)
}

// Guards against a worker that draws in jobs because it fails them fast.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	r := newRig(t, 4, worker.Faults{Run: 2000, Fail: []string{"w1"}})
	for i := range 80 {
		r.job(&recpb.Job{Name: fmt.Sprint("j", i), Cores: 1, Idempotent: true})
	}
	r.until(5*time.Minute, r.all(state.Succeeded))
	assert.Equal(t, r.scope.Snapshot().Counters()["workers_quarantined+"].Value(), int64(1))
	failed := 0
	for i := range 80 {
		failed += int(r.see(fmt.Sprint("j", i)).Failures)
	}
	assert.Assert(t, failed <= 16, "%d", failed)
}

// Guards against jobs that are lost or run twice when the planner is replaced at any
// step of their course.
func TestPlannerReplaced(t *testing.T) {
	for steps := range 16 {
		r := newRig(t, 2, worker.Faults{Run: 1000, Lag: 300, Lose: 0.3, Seed: uint64(steps)})
		for i := range 6 {
			r.job(&recpb.Job{Name: fmt.Sprint("j", i), Cores: 2, Idempotent: i%2 == 0})
		}
		r.run(time.Duration(steps) * interval)
		r.replace()
		r.until(time.Minute, func() bool { return r.count(state.Succeeded)+r.count(state.Broken) == 6 })
		for i := range 6 {
			name := fmt.Sprint("j", i)
			assert.Assert(t, len(r.workers.Runs(name)) <= 1, "%s after %d steps", name, steps)
			assert.Assert(t, r.see(name).Phase == state.Succeeded || !r.see(name).Idempotent, name)
		}
	}
}

// Guards against a cancellation wave that leaves tasks running or starts new ones.
func TestCancellationWave(t *testing.T) {
	r := newRig(t, 4, worker.Faults{Run: 3600_000, Lose: 0.2, Drop: 0.2})
	names := []string{}
	for i := range 300 {
		names = append(names, fmt.Sprint("j", i))
		r.job(&recpb.Job{Name: names[i], Cores: 1, Idempotent: i%2 == 0})
	}
	started := func() (n int) {
		for _, name := range names {
			n += len(r.workers.Runs(name))
		}
		return n
	}
	r.until(10*time.Second, func() bool { return started() == 16 })
	for _, n := range names {
		r.cancel(n)
	}
	r.until(20*time.Second, r.all(state.Cancelled))
	r.run(5 * time.Second)
	for _, n := range names {
		assert.Equal(t, r.workers.Running(n), 0, n)
	}
	assert.Equal(t, started(), 16)
}

// Guards against urgent work that waits behind work that could make room.
func TestUrgentJobGetsRoom(t *testing.T) {
	r := newRig(t, 2, worker.Faults{Run: 3600_000, Lag: 200})
	for i := range 8 {
		r.job(&recpb.Job{Name: fmt.Sprint("j", i), Cores: 1, Idempotent: true, Checkpoint: true})
	}
	r.until(5*time.Second, func() bool { return r.count(state.Placed) == 8 })
	r.run(5 * time.Second)
	r.job(&recpb.Job{Name: "u", Cores: 2, Urgency: 2})
	took := r.until(10*time.Second, func() bool { return len(r.workers.Runs("u")) == 1 })
	assert.Assert(t, took <= 3100*time.Millisecond, "%v", took)
}

// Guards against a reboot that interrupts a job that must not run again, and against
// jobs that are placed on a worker under a grant.
func TestDrainWaitsForJobs(t *testing.T) {
	r := newRig(t, 2, worker.Faults{Run: 60_000})
	r.job(&recpb.Job{Name: "once", Cores: 1})
	r.job(&recpb.Job{Name: "again", Cores: 1, Idempotent: true, Checkpoint: true})
	r.until(5*time.Second, func() bool { return len(r.workers.Runs("again"))+len(r.workers.Runs("once")) == 2 })
	name := r.see("once").Worker
	assert.Equal(t, r.see("again").Worker, name)
	i, _ := r.st.Instance(name)
	r.put(&recpb.Record{Body: &recpb.Record_Drain{Drain: &recpb.Drain{Edit: &recpb.Edit{Base: i.Version}, Name: name}}})
	r.until(5*time.Second, func() bool { return len(r.workers.Runs("again")) == 2 })
	assert.Assert(t, r.see("again").Worker != name)
	r.run(30 * time.Second)
	i, _ = r.st.Instance(name)
	assert.Equal(t, i.Phase, state.Drained)
	r.until(60*time.Second, func() bool { i, _ = r.st.Instance(name); return i.Phase == state.Restarting })
	assert.Equal(t, r.see("once").Phase, state.Succeeded)
}

// Guards against a job that fails everywhere and is tried for ever, and against one
// that is forgotten because it is larger than every worker.
func TestJobsThatCannotRun(t *testing.T) {
	r := newRig(t, 4, worker.Faults{Run: 500, Bad: []string{"bad"}})
	r.job(&recpb.Job{Name: "bad", Cores: 1, Idempotent: true})
	r.job(&recpb.Job{Name: "large", Cores: 5})
	r.job(&recpb.Job{Name: "late", Cores: 1, Deadline: r.clk.Wall().UnixMilli() - 1})
	r.until(time.Minute, func() bool { return r.count(state.Cancelled) == 2 })
	assert.Equal(t, r.see("bad").Failures, uint32(3))
	assert.Equal(t, len(r.workers.Runs("late")), 0)
	assert.Equal(t, r.see("large").Phase, state.Queued)
	assert.Equal(t, len(r.p.jobs.unfit), 1)
}

// Guards against a task that is thrown away although its worker came back before the
// job could be placed elsewhere.
func TestHolderRegainsLapsedTask(t *testing.T) {
	r := newRig(t, 1, worker.Faults{Run: 20_000})
	r.job(&recpb.Job{Name: "j", Cores: 3, Idempotent: true})
	r.until(5*time.Second, func() bool { return len(r.workers.Runs("j")) == 1 })
	r.workers.Pause("w0")
	r.run(40 * time.Second)
	assert.Equal(t, r.p.jobs.jobs["j"].mode, waiting)
	r.workers.Resume("w0")
	r.until(30*time.Second, r.all(state.Succeeded))
	assert.Equal(t, len(r.workers.Runs("j")), 1)
}

// Guards against a throttle that no planner ends because the one that asked for it was
// replaced.
func TestThrottleEndsAfterReplacement(t *testing.T) {
	r := newRig(t, 1, worker.Faults{Run: 60_000})
	throttled := func() bool {
		all, err := r.client.Workers(t.Context())
		assert.NilError(t, err)
		return len(all[0].Tasks) > 0 && all[0].Tasks[0].Job == "once" && all[0].Tasks[0].Throttled
	}
	r.job(&recpb.Job{Name: "once", Cores: 4})
	r.until(5*time.Second, func() bool { return len(r.workers.Runs("once")) == 1 })
	r.run(2 * time.Second)
	r.job(&recpb.Job{Name: "u", Cores: 2, Urgency: 2})
	r.until(10*time.Second, func() bool { return len(r.workers.Runs("u")) == 1 })
	assert.Assert(t, throttled())
	r.replace()
	r.cancel("u")
	r.until(10*time.Second, func() bool { return !throttled() })
}
