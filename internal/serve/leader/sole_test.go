package leader

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against a denied job of the successor after a resignation whose answer was lost.
func TestJobsAreNotDeniedOnceAResignationWasSent(t *testing.T) {
	l, _, _ := newStoringLeader(t)
	sent := false
	l.HasSentResignation = func() bool { return sent }
	ask := func() queryReply {
		q := &stateRequest{"unknown", make(chan queryReply, 1)}
		l.leaderlessTail.lastRead = l.now
		l.onQuery(q)
		return <-q.reply
	}
	assert.Equal(t, ask(), queryReply{model.Unknown, true})
	sent = true
	assert.Equal(t, ask(), queryReply{model.Unknown, false})
	sent = false
	l.now += time.Second
	l.LastRenewal = func() time.Duration { return 0 }
	assert.Equal(t, ask(), queryReply{model.Unknown, false})
}

// newStartingLeader returns a leader that can start the task of its job, and the targets of the starts
// that it sends.
func newStartingLeader(t *testing.T) (*Leader, *member, *track.Task, *[]platform.Target) {
	t.Helper()
	w := fake.NewPlatform(nil)
	t.Cleanup(w.Close)
	l, m, task := newTestLeader(t)
	l.Settings = w.Settings("self", 1, 2, 3)
	l.Client = platform.NewClient(l.Settings)
	t.Cleanup(l.Client.Close)
	l.Orders = orders.Start(t.Context(), l.Client, clock.NewSystem(), zerolog.Nop())
	t.Cleanup(l.Orders.Close)
	assert.NilError(t, l.Orders.SetConfig([]byte(`{"version":1,"routes":[],"services":[{"name":"s"}],"limits":{}}`)))
	l.Clock, l.jobOrders = clock.NewFake(time.Unix(0, 0)), map[string]*jobOrder{}
	sent := &[]platform.Target{}
	l.Execs, l.ctx, l.events = recordingExecs{targets: sent}, context.Background(), make(chan event, 10)
	m.Listed, m.visible, m.Capacity = true, true, model.Amount{Cores: 8000, Memory: 1000}
	return l, m, task, sent
}

// Guards against a task that two leaders start: the former one on an executor that has restarted, or because
// both have read a leaderless job.
func TestNothingStartsOnceAnotherEntryMayHaveClaimed(t *testing.T) {
	l, m, task, sent := newStartingLeader(t)
	renewed := l.now - time.Second
	l.LastRenewal = func() time.Duration { return renewed }
	resigns := false
	l.HasSentResignation = func() bool { return resigns }
	starts := func() int {
		l.planDue["s"] = true
		l.plan()
		return len(l.tracker.RunsOn(m.Key))
	}
	assert.Equal(t, starts(), 0, "the last renewal is late")
	renewed, resigns = l.now-500*time.Millisecond, true
	assert.Equal(t, starts(), 0, "a successor may have claimed")
	resigns = false
	assert.Equal(t, starts(), 1)
	assert.Assert(t, !task.IsWaiting())
	assert.Assert(t, (<-l.events).(startedRun).err == nil)
	assert.Equal(t, (*sent)[0].Expires, elect.SoleUntil(renewed), "the order is not sent later")
}

// Guards against a task of an otherwise idle service that is never started: its delay has ended, and
// no event makes a round of placement due.
func TestTasksStartAfterADelayWithoutAnEvent(t *testing.T) {
	l, m, task, _ := newStartingLeader(t)
	l.LastRenewal = func() time.Duration { return l.now }
	task.NotBefore = l.now + time.Second
	l.planDue["s"] = true
	l.plan()
	assert.Assert(t, task.IsWaiting() && !l.planDue["s"])
	l.now = task.NotBefore
	l.replan()
	l.plan()
	assert.Equal(t, len(l.tracker.RunsOn(m.Key)), 1)
	assert.Equal(t, len(l.replanAt), 0, "no task waits")
}

// Guards against an end that a restarted executor forgets because a poll acknowledges the ends of its former
// incarnation.
func TestEndsAreAcknowledgedOnlyIfTheExecutorHasNotRestarted(t *testing.T) {
	l, m, _ := newStoringLeader(t)
	m.clock, m.clockAt, m.storedSeq, m.appliedSeq = time.Minute, l.now-time.Second, 7, 7
	assert.Equal(t, m.ackSeq(), int64(7))
	answered := func(clk time.Duration) {
		l.onStarted(startedRun{m: m, run: onlyRun(l, m), sent: l.now, clock: clk, least: m.leastClock(l.now)})
	}
	answered(time.Minute + 980*time.Millisecond)
	assert.Equal(t, m.ackSeq(), int64(7), "a clock may run slow")
	answered(300 * time.Millisecond)
	assert.Equal(t, m.ackSeq(), int64(0))
	l.onPolled(polled{m: m, sent: l.now, list: platform.PollResult{Clock: time.Minute, Running: []model.Run{{Task: onlyRun(l, m).Task.ID, Attempt: 1}}}})
	assert.Equal(t, m.ackSeq(), int64(7), "its lists show which incarnation it is")
	m.hasUnanswered = true
	assert.Equal(t, m.ackSeq(), int64(0), "a restarted executor may have carried out the order")
	m.hasUnanswered, m.Contact = false, execs.Unresponsive
	assert.Equal(t, m.ackSeq(), int64(0))
	m.Contact, m.confirmedSeq = execs.Live, 7
	assert.Equal(t, m.ackSeq(), int64(0), "there is nothing to acknowledge")
}

func onlyRun(l *Leader, m *member) *track.Run {
	for r := range l.tracker.RunsOn(m.Key) {
		return r
	}
	return nil
}

// recordingExecs records the targets of starts.
type recordingExecs struct {
	unresponsiveExecs
	targets *[]platform.Target
}

func (r recordingExecs) Start(_ context.Context, to platform.Target, _ platform.Start) (time.Duration, error) {
	*r.targets = append(*r.targets, to)
	return 0, nil
}
