package assign

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// lastAttemptDelay is how long a task waits with its last attempt on an executor where it has failed.
// Executors that fail all their runs recover within that time as a rule.
const lastAttemptDelay = 10 * time.Second

// isRetryDue reports whether a task may start again on an executor where it has failed. With its last
// attempt it waits until a run that was ordered after the failure has succeeded there, or the delay
// has passed: an executor that still fails what it starts would make its job fail.
func isRetryDue(t *track.Task, m *execs.Member, now time.Duration) bool {
	if t.LastFailure == 0 || !t.HasLastAttempt() {
		return true
	}
	return m.LastGoodStart > t.LastFailure || now >= t.LastFailure+lastAttemptDelay
}
