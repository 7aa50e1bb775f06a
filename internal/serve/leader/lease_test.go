package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a process that resumes after its lease has expired and acts as a leader.
func TestLeaderWithoutALeaseMakesNoCalls(t *testing.T) {
	l, m, r, p := newRunningLeader(t)
	l.onStarted(startedRun{m: m, run: r})
	l.ready, l.Clock, l.allResolved = true, clock.NewFake(time.Unix(0, 0)), true
	renewed := l.now - elect.LeadershipTTL
	l.LastRenewal = func() time.Duration { return renewed }
	calls := l.calls
	l.act()
	l.stop(r, "test")
	assert.Equal(t, l.calls, calls)
	assert.Assert(t, !l.mayOrder("m1"))
	renewed++
	l.act()
	l.stop(r, "test")
	assert.Equal(t, l.calls, calls+2)
	assert.Assert(t, l.mayOrder("m1"))
	<-p.acked
}

// Guards against an instance that is taken down while runs go on there: their leases were extended
// during a long load, and the executor does not answer.
func TestInstanceIsNotDrainedBeforeHeldLeasesEnd(t *testing.T) {
	l, m, op, in, rs := newDrainingLeader(t, 1, -1)
	l.dropRun(rs[0])
	m.Contact, m.adopted = execs.Uncontacted, false
	l.heldRunsEnd = elect.FormerRunsEnd(l.start) + 5*time.Second
	for _, known := range []bool{true, false} {
		if !known {
			delete(l.byID, m.ID)
		}
		l.now = l.heldRunsEnd - 1
		assert.Assert(t, !l.tryDrain(op, in), "runs may go on there")
		l.now = l.heldRunsEnd
		assert.Assert(t, l.tryDrain(op, in))
	}
}

// Guards against a second run of a task on an executor that started before its first answer and is
// silent after it: a start that was meant for the former incarnation has granted the longest lease.
func TestLeaseOfAnExecutorThatHasJustStarted(t *testing.T) {
	const longest = 2 * elect.RunLease
	for _, young := range []bool{true, false} {
		l, m, _ := newTestLeader(t)
		l.Settings.Bounds.MaxLease = longest
		m.adopted, m.Contact, m.StartMillis = false, execs.Uncontacted, 1
		l.now = longest
		if young {
			l.now--
		}
		answerPoll(l, m, 1, platform.PollResult{})
		lease := elect.RunLease
		if young {
			lease = longest
		}
		assert.Equal(t, m.leaseEnd, elect.LeaseEnd(l.now, 0, lease))
	}
}

// Guards against a second run of a task on an executor that restarts, carries out a start for its former
// incarnation, which grants the longest lease, and is then cut off before a poll or report shows its restart.
func TestLeaseOfAStartAfterWhichTheClockWentBack(t *testing.T) {
	const longest = 2 * elect.RunLease
	l, m, r, _ := newRunningLeader(t)
	l.Settings.Bounds.MaxLease = longest
	m.Contact, m.adopted = execs.Live, true
	started := l.now
	l.onStarted(startedRun{m: m, run: r, sent: started, clock: 10 * time.Millisecond, least: m.leastClock(started)})
	assert.Assert(t, m.mayHaveRestarted)
	unanswered := func() { l.onPolled(polled{m: m, sent: l.now, err: platform.ErrUnknown.New("lost")}) }
	unanswered()
	l.now = started + longest - 10*time.Millisecond
	unanswered()
	l.expireLeases()
	assert.Assert(t, !r.Task.IsWaiting(), "the run goes on there")
}
