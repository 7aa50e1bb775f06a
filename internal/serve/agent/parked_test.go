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

// Guards against accepted jobs that are lost, or tasks that run twice, when an entry takes over that has no memory
// for all of them.
func TestTakeoverByASmallerEntryLosesNothing(t *testing.T) {
	const jobs, tasks = 100, 200
	r := newRig(t, 1, map[string]int{"pool-a": 4, "pool-b": 1}, func(s *platform.Settings) { s.Memory = 536 })
	r.platform.Plan = func(string, string) fake.RunPlan {
		return fake.RunPlan{Duration: 300 * time.Millisecond, Result: "done"}
	}
	body := fmt.Sprintf(`{"phases":[{"count":%d,"cpu":50,"mem_mb":1,"estimate_ms":300}]}`, tasks)
	for i := range jobs {
		status, _, _ := r.request(0, http.MethodPost, jobPath("a", i), body)
		assert.Equal(t, status, http.StatusOK)
	}
	r.kill(r.entries[0])
	r.settings[0].Memory = 16
	r.start(0)
	r.until("jobs are put off", func() bool { return strings.Contains(r.log.String(), "jobs are put off") })
	for i := range jobs {
		r.until("the job is complete", func() bool { return r.jobState(0, jobPath("a", i)) == "complete" })
		assert.Equal(t, r.platform.Done(fmt.Sprintf("%016x", i)), tasks)
	}
	r.assertNoViolations()
}
