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

// Guards against a takeover in which all entries store the jobs that they have in hand one
// by one without the leader: the one that leads by then is asked first. The caller hears
// once that its job is accepted, and it runs once.
func TestJobsInHandGoToTheNextLeader(t *testing.T) {
	r := newRig(t, 3, map[string]int{"pool-a": 2, "pool-b": 2})
	old := r.leader()
	other := (old + 1) % 3
	// The store turns the leader away, so that it can't store the job and loses its lease.
	r.doors[old].Set(fake.Faults{Silent: true})
	status, _, _ := r.call(other, http.MethodPost, path("a", 1), oneStep)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, r.leader() != old)
	assert.Assert(t, !strings.Contains(r.log.String(), "job is stored without the leader"))
	r.until("job is complete", func() bool { return r.state(other, path("a", 1)) == "complete" })
	assert.Equal(t, r.world.Starts(fmt.Sprintf("%016x", 1)), 3)
	r.noFaults()
}
