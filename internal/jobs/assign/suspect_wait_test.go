package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// suspect puts an executor on probation, past its quarantine.
func (h *harness) suspect(key string) *execs.Member {
	h.t.Helper()
	m := h.byKey[key]
	for i := range 3 {
		m.RecordFailure(fmt.Sprint("other", i), 0)
	}
	assert.Assert(h.t, m.IsSuspect())
	h.now = max(h.now, time.Minute)
	return m
}

// Guards against a task that never starts again: it failed on the only sound executor, which it avoids
// in favour of a suspect, and avoids the suspect in favour of the sound one.
func TestFailedTaskIsNotKeptOffAllExecutors(t *testing.T) {
	for _, attempts := range []int{2, 4} {
		h := newHarness(t, 2, cores(8))
		h.queues["q"].Attempts = attempts
		h.suspect("b")
		j := h.accept("job", model.Step{Need: cores(2), Estimate: time.Second})
		h.failOnce(j)
		h.now += lastAttemptDelay
		starts := h.plan()
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Member.Key, "a")
	}
}
