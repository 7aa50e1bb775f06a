package agent

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against tasks that run twice, or not at all, when an entry that makes the leader's
// calls to executors ends, and then the leader itself, with orders under way.
func TestEntriesThatMakeCallsEndWhileJobsRun(t *testing.T) {
	r := newRig(t, 4, map[string]int{"pool-a": 110})
	r.world.Plan = func(string, string) fake.RunEnd { return fake.RunEnd{After: 300 * time.Millisecond, How: "done"} }
	const jobs = 60
	submit := func(from, n int) {
		for i := from; i < from+n; i++ {
			r.until("a job is accepted", func() bool {
				status, _, _ := r.call(r.leader(), http.MethodPost, path("a", i), oneStep)
				return status == http.StatusOK
			})
		}
	}
	submit(0, jobs/3)
	r.until("others make calls", func() bool { return strings.Contains(r.log.String(), "entries make calls to executors") })
	makes := -1
	for i, a := range r.entries {
		if i != r.leader() && strings.Contains(r.log.String(), fmt.Sprintf(`"entries":["%s"]`, a.set.Node)) {
			makes = i
		}
	}
	assert.Assert(t, makes >= 0)
	r.kill(r.entries[makes])
	r.entries[makes] = nil
	submit(jobs/3, jobs/3)
	lead := r.leader()
	r.kill(r.entries[lead])
	r.entries[lead] = nil
	r.until("another entry leads", func() bool { return r.leader() >= 0 })
	submit(2*jobs/3, jobs/3)
	for i := range jobs {
		r.until("a job is complete", func() bool { return r.state(r.leader(), path("a", i)) == "complete" })
	}
	r.noFaults()
}
