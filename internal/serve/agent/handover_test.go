package agent

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against orders that go out twice at a handover: starts, and maintenance of instances. There
// are enough executors that a third entry makes the leader's calls; it still has orders of the
// former leader when its successor takes over.
func TestHandoversSendNoOrderTwice(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(r *rig, old int, a *Agent)
	}{
		{"planned stop", func(r *rig, old int, a *Agent) { assert.Check(r.t, a.Close()) }},
		// It acts until its lease ends, since it still reaches the executors and the instances.
		{"cut off from the store", func(r *rig, old int, _ *Agent) { r.storeProxies[old].Set(fake.Faults{Unresponsive: true}) }},
		{"step-down", func(r *rig, old int, a *Agent) { a.elector.StepDown() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 3, map[string]int{"pool-a": 104, "pool-b": 2})
			r.platform.Plan = func(string, string) fake.RunPlan {
				return fake.RunPlan{Duration: 400 * time.Millisecond, Result: "done"}
			}
			old := r.leader()
			via := (old + 1) % 3
			submit := func(i int) {
				r.until("a job is accepted", func() bool {
					status, _, _ := r.request(via, http.MethodPost, jobPath("a", i), oneStepJob)
					return status == http.StatusOK
				})
			}
			submit(0)
			r.until("others make calls", func() bool { return strings.Contains(r.log.String(), "entries make calls to executors") })
			// Orders are repeated, and are so at the handover.
			r.platform.Cloud.Set(fake.Faults{LoseAnswers: true})
			r.platform.Store.Put(platform.OperatorTopic, "wave/1", []byte(`{"wave":1,"machines":["m-pool-a-0","m-pool-a-1","m-pool-a-2",`+
				`"m-pool-a-3","m-pool-a-4","m-pool-a-5"],"deadline_s":20,"max_count":2}`))
			r.until("the wave has begun", func() bool { return len(r.platform.MaintainedMachines(1)) > 0 })
			ended := make(chan struct{})
			const jobs = 24
			for i := 1; i < jobs; i++ {
				submit(i)
				if i == jobs/3 {
					a := r.entries[old]
					if c.name == "planned stop" {
						r.entries[old] = nil
					}
					go func() {
						defer close(ended)
						c.end(r, old, a)
					}()
				}
			}
			r.until("another entry leads", func() bool { return r.leader() >= 0 && r.leader() != old })
			time.AfterFunc(300*time.Millisecond, func() { r.platform.Cloud.Set(fake.Faults{}) })
			for i := range jobs {
				r.until("a job is complete", func() bool { return r.jobState(via, jobPath("a", i)) == "complete" })
				assert.Equal(t, r.platform.Starts(fmt.Sprintf("%016x", i)), 3)
			}
			r.until("the wave goes on", func() bool { return len(r.platform.MaintainedMachines(1)) == 6 })
			<-ended
			r.assertNoViolations()
		})
	}
}
