package plans

import (
	"fmt"
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/fake/worker"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// BenchmarkJobsStep measures one step of the planner with 1,500 full workers and a queue of 100,000
// jobs, after a change of the state. In "placed" only the placed jobs are compared with the state,
// in "queue" all jobs are, and in "list" the workers are listed as well, by a fake in the same
// process.
func BenchmarkJobsStep(b *testing.B) {
	const workers, queue = 1500, 100_000
	r := newRig(b, workers, worker.Faults{Run: 1e9})
	for i := range 4*workers + queue {
		r.submitJob(&recpb.Job{Name: fmt.Sprint("j", i), Cores: 1, Idempotent: true})
	}
	r.runUntil(time.Hour, func() bool { return r.p.jobs != nil && len(r.p.jobs.active) == 4*workers })
	for _, tc := range []struct {
		name        string
		queue, list bool
	}{{"placed", false, false}, {"queue", true, false}, {"list", true, true}} {
		b.Run(tc.name, func(b *testing.B) {
			for range b.N {
				r.put(&recpb.Record{Body: &recpb.Record_Health{Health: &recpb.Health{Name: "w0", Up: true, Boot: 1}}})
				if r.p.jobs.nextScan = 0; !tc.queue {
					r.p.jobs.nextScan = r.clk.Now() + time.Hour
				}
				if r.p.jobs.workers.requestedAt = r.clk.Now(); tc.list {
					r.p.jobs.workers.requestedAt = 0
				}
				r.runFor(stepInterval)
			}
		})
	}
}
