package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a task that no leader starts again: no poll of its executor is sent in time until its lease
// has lapsed, and the executor still counts as live.
func TestLeasesExpireIfNoPollIsSentInTime(t *testing.T) {
	l, m, r, _ := newRunningLeader(t)
	l.onStarted(startedRun{m: m, run: r})
	m.Contact, m.adopted = execs.Live, true
	late := &platform.OrderError{Reason: platform.ReasonLate}
	for end := m.leaseEnd + elect.RunLease; l.now < end; l.now += time.Second {
		l.onPolled(polled{m: m, sent: l.now, err: late})
	}
	l.LastRenewal = func() time.Duration { return l.now }
	l.expireLeases()
	assert.Assert(t, r.Task.IsWaiting())
}

// Guards against first polls that a busy leader never sends: they expire before their turn, and the next ones
// get no more time.
func TestPollsThatExpireBeforeTheyAreSentGetMoreTime(t *testing.T) {
	l, m, _ := newTestLeader(t)
	m.Contact, m.adopted = execs.Uncontacted, false
	short := elect.PollTimeout(m.pollFailures)
	for range 2 * elect.QuickPolls {
		l.onPolled(polled{m: m, sent: l.now, err: &platform.OrderError{Reason: platform.ReasonLate}})
	}
	assert.Assert(t, elect.PollTimeout(m.pollFailures) > short)
}
