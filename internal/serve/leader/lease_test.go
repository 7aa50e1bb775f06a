package leader

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/assign"
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

// Guards against a second run of a task whose start is not answered: the executor has restarted, its next
// incarnation carries the start out, which grants the longest lease, and is silent from then on.
func TestLeaseOfAnUnansweredStart(t *testing.T) {
	const longest = 2 * elect.RunLease
	for _, age := range []time.Duration{0, clockAge} {
		l, m, r, _ := newRunningLeader(t)
		l.Settings.Bounds.MaxLease = longest
		l.dropRun(r)
		m.leaseEnd = 0
		l.now += age
		l.startRun(assign.Start{Task: r.Task, Member: &m.Member})
		started := l.now
		r = r.Task.Runs[0]
		l.now = m.leaseEnd
		l.expireLeases()
		assert.Assert(t, !r.Task.IsWaiting(), "a leader that was suspended has not handled the end of the call yet")
		l.now = started + startTimeout
		l.onStarted(startedRun{m: m, run: r, sent: started, err: platform.ErrUnknown.New("lost")})
		for l.now < started+startTimeout+longest {
			l.poll(m)
			sent := l.now
			l.now += immediatePollTimeout + pollRetryInterval
			l.onPolled(polled{m: m, sent: sent, voidsOrders: true, err: platform.ErrUnknown.New("lost")})
			l.now = min(l.now, started+startTimeout+longest)
			l.expireLeases()
			assert.Assert(t, !r.Task.IsWaiting(), "the run goes on there, %v after its start", l.now-started)
		}
	}
}

// Guards against a second run of a task on an executor that may have restarted: each poll with a deadline on the clock
// of the former incarnation grants the longest lease when it arrives.
func TestPollsDontExtendTheLeasesOfANextIncarnationUnnoticed(t *testing.T) {
	const longest = 2 * elect.RunLease
	for _, answered := range []bool{true, false} {
		l, m, r, _ := newRunningLeader(t)
		<-l.events // the start's call has ended
		l.calls--
		p := &deadlineRecorder{}
		l.Execs = p
		l.Settings.Bounds.MaxLease = longest
		started := startedRun{m: m, run: r, sent: l.now, clock: 10 * time.Millisecond, least: m.leastClock(l.now)}
		var granted time.Duration
		send := func() polled {
			l.poll(m)
			ev := (<-l.events).(polled)
			l.calls--
			if p.deadline > 0 {
				granted = l.now + immediatePollTimeout + longest
			}
			ev.err = platform.ErrUnknown.New("lost")
			return ev
		}
		ev := send() // in flight when the start fails, and slower
		granted = l.now + pollWait + pollSlack + longest
		l.now += startTimeout
		if !answered {
			started.err = platform.ErrUnknown.New("lost")
		}
		l.onStarted(started)
		l.now += pollWait + pollSlack - startTimeout
		l.onPolled(ev)
		for !r.Task.IsWaiting() {
			ev := send()
			l.now += immediatePollTimeout
			l.onPolled(ev)
			l.now += pollRetryInterval
			l.expireLeases()
			assert.Assert(t, l.now < 60*time.Second)
		}
		assert.Assert(t, l.now >= granted, "the run goes on there until %v, and is given up at %v", granted, l.now)
	}
}

// deadlineRecorder records the deadline of the last poll.
type deadlineRecorder struct {
	pollRecorder
	deadline time.Duration
}

func (p *deadlineRecorder) Poll(_ context.Context, _ platform.Target, deadline time.Duration, _ int64, _ time.Duration) (platform.PollResult, error) {
	p.deadline = deadline
	return platform.PollResult{}, nil
}
