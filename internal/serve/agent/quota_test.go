package agent

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// limitAccount gives the account "a" a limit and waits until it is in force on all entries.
func (r *rig) limitAccount(cores int) {
	r.t.Helper()
	r.key = "k"
	r.accounts = fmt.Sprintf(`,"tenants":[{"name":"a","api_keys":["k"],"weight":1,"max_count":{"cpu":%d,"mem_mb":0,"gpu":0}}]`, cores)
	r.configure("")
	for _, a := range r.entries {
		r.until("the configuration is in force", func() bool { return a.configVersion() == int64(r.version) })
	}
}

// submitFor has an entry store a job of the account "a".
func (r *rig) submitFor(entry int, queue string, n, tasks, cores int, gang bool) relay.Answer {
	r.t.Helper()
	a := r.entries[entry]
	body := fmt.Sprintf(`{"spec":"x","phases":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":200,"gang":%t}]}`, tasks, cores, gang)
	ctx, cancel := context.WithTimeout(context.Background(), untilTimeout)
	defer cancel()
	return a.Submit(ctx, relay.Submission{ID: fmt.Sprintf("%016x", n), Queue: queue, Account: "a", Body: []byte(body)}, a.Config().Queue(queue))
}

// Guards against an account that exceeds its limit while the leader changes: the only executor that runs its
// tasks does not answer the next leader, and executors of another service do. Also guards against work that
// never ends.
func TestLimitHoldsOverATakeover(t *testing.T) {
	const limit = 6
	r := newRig(t, 3, map[string]int{"pool-a": 1, "pool-b": 2})
	r.platform.Plan = func(string, string) fake.RunPlan {
		return fake.RunPlan{Duration: 3 * time.Second, Result: "done", Cores: 1000, Account: "a", AccountCores: limit * 1000}
	}
	r.limitAccount(limit * 1000)
	first := r.leader()
	other := (first + 1) % 3
	jobs := []string{"qa", "qb", "qa"}
	for n, queue := range jobs {
		assert.Equal(t, r.submitFor(other, queue, n, limit, 1000, false).Verdict, relay.Stored)
		r.until("the account is at its limit", func() bool { return r.platform.Running(fmt.Sprintf("%016x", 0)) == limit })
	}
	lossy := r.platform.Executor("m-pool-a-0")
	lossy.Set(fake.Faults{LoseAnswers: true})
	killed := r.entries[first]
	r.entries[first] = nil
	r.kill(killed)
	time.AfterFunc(2500*time.Millisecond, func() { lossy.Set(fake.Faults{}) })
	for n, queue := range jobs {
		r.until("job is complete", func() bool { return r.jobState(other, jobPath(queue[1:], n)) == "complete" })
	}
	r.assertNoViolations()
}

// Guards against a job that an entry stores without the leader although it can never start within its
// account's limit, and against a limit that refuses other jobs then.
func TestJobsLargerThanTheLimitAreRefusedWithoutALeader(t *testing.T) {
	r := startFollower(t, serveStandIn(t, relay.NotLeader).addr)
	r.limitAccount(4000)
	for n, c := range []struct {
		tasks, cores int
		gang         bool
		want         relay.Verdict
	}{{1, 4001, false, relay.Limited}, {5, 1000, true, relay.Limited}, {5, 1000, false, relay.Stored}, {4, 1000, true, relay.Stored}} {
		ans := r.submitFor(0, "qa", n, c.tasks, c.cores, c.gang)
		assert.Equal(t, ans.Verdict, c.want)
		assert.Equal(t, strings.Contains(ans.Cause, `"a"`) && ans.RetryAfter == 0, c.want == relay.Limited)
	}
}
