package entry_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chervilgauge.example/chervilgauge/internal/bench/inproc"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/worker"
	"chervilgauge.example/chervilgauge/internal/setup/config"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Guards against an entry that does not use the workers named in its settings, and against a job
// that is lost when an entry stops.
func TestJobsRunFromTheSettings(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	name := inproc.InstanceName("plan", 0)
	f := worker.New(worker.WithFaults(worker.Faults{Run: 2000}),
		worker.WithWorkers(ports.Worker{Name: name, Size: ports.Resources{Cores: 4000, Memory: 1 << 30}}))
	base, err := f.Start()
	assert.NilError(t, err)
	defer f.Close()
	w, err := inproc.Start(ctx, inproc.WithEntries(2), inproc.WithSettings(func(c *config.Config) { c.Workers.URL = base }))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, w.Close()) }()
	ops, done, err := w.Operators(1)
	assert.NilError(t, err)
	defer done()
	_, err = ops.PutTeam(ctx, &recpb.Team{Name: "night", Weight: 1})
	assert.NilError(t, err)
	_, err = ops.Submit(ctx, &recpb.Job{Name: "study", Team: "night", Cores: 2, Idempotent: true})
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.Runs("study")) == 0 {
			return poll.Continue("not started")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	first := w.Entries[0]
	w.Entries = w.Entries[1:]
	assert.NilError(t, first.Close(ctx))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s, err := ops.Status(ctx, &opspb.StatusAsk{})
		if err != nil {
			return poll.Error(err)
		}
		if p := s.GetJobs()[0].GetPhase(); p != "succeeded" {
			return poll.Continue("job is %s", p)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	assert.Equal(t, len(f.Runs("study")), 1)
}
