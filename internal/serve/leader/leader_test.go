package leader

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// newTestLeader returns a leader with one executor and a job of one task, and no connections.
func newTestLeader(t *testing.T) (*Leader, *member, *track.Task) {
	t.Helper()
	l := &Leader{
		Deps: Deps{Orders: &orders.Orders{}, Log: zerolog.Nop(), Meters: NewMeters(tally.NoopScope)}, token: 3, tracker: track.New(0),
		members: map[string]*member{}, pollCandidates: map[*member]struct{}{}, unstoredEnds: map[*member]struct{}{},
		ended: map[string]time.Duration{}, planDue: map[string]bool{}, replanAt: map[string]time.Duration{}, resolved: map[string]bool{}, now: 5 * time.Second,
	}
	m := &member{Member: execs.Member{Executor: model.Executor{ID: "x", Service: "s"}, Key: "x@1", Contact: execs.Live}, adopted: true}
	l.members[m.Key] = m
	j := l.tracker.Accept("job", model.Queue{Service: "s"}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 1}}}, 0, 0)
	return l, m, j.Open[0].Steps[0].Tasks[0]
}

// Guards against a task that is never started again: its start is not answered, the poll that
// voids it is sent in the same instant, and no later poll voids anything. A task was left
// without a run for 57 s.
func TestVoidedStartIsNotWaitedFor(t *testing.T) {
	for _, phase := range []track.Phase{track.Starting, track.Uncertain} {
		l, m, task := newTestLeader(t)
		r := l.tracker.BeginRun(task, m.Key, 0, l.now)
		m.AddRun(task.Step)
		r.Phase, r.Fence = phase, elect.FencingToken(l.token, 0)
		m.fenceRaises = 1
		l.reconcileRuns(m, polled{m: m, sent: l.now, voidsOrders: true, fence: elect.FencingToken(l.token, 1)}, false)
		assert.Assert(t, task.IsWaiting(), "phase %d", phase)
		assert.Equal(t, m.Used, model.Amount{})
	}
}

// Guards against a second start of a task while the first start order may still arrive.
func TestStartIsWaitedForUntilItIsVoided(t *testing.T) {
	for _, phase := range []track.Phase{track.Starting, track.Uncertain} {
		l, m, task := newTestLeader(t)
		r := l.tracker.BeginRun(task, m.Key, 0, l.now)
		r.Phase, r.Fence = phase, elect.FencingToken(l.token, 1)
		for i := range 5 {
			l.now += time.Second
			l.reconcileRuns(m, polled{m: m, sent: l.now, voidsOrders: i == 4, fence: elect.FencingToken(l.token, 1), list: platform.PollResult{}}, false)
			assert.Assert(t, !task.IsWaiting())
		}
	}
}

// Guards against tasks that wait for 10 s after a takeover because executors that had just
// started were not in the store yet. It held up 229 tasks.
func TestExecutorsThatAppearLateAreWaitedForUntilContacted(t *testing.T) {
	l, m, _ := newTestLeader(t)
	m.Contact, l.byID = execs.Live, map[string]*member{"x": m}
	l.Settings.Cloud.Addr = "127.0.0.1:1"
	l.initFleet(nil, l.now)
	assert.Assert(t, !l.allContacted("s"), "the instances are not known")
	l.applyInstances([]model.Instance{{Name: "m1", Pool: "s", Phase: model.Up, Executor: "y"}}, l.now)
	assert.Assert(t, !l.allContacted("s"))
	y := &member{Member: execs.Member{Executor: model.Executor{ID: "y", Service: "s"}, Key: "y@1", Contact: execs.Uncontacted}}
	l.members["y@1"], l.byID["y"] = y, y
	assert.Assert(t, !l.allContacted("s"))
	y.Contact = execs.Live
	assert.Assert(t, l.allContacted("s"))
	// An executor that no instance has any more has ended.
	delete(l.byID, "y")
	delete(l.members, "y@1")
	assert.Assert(t, !l.allContacted("s"))
	l.applyInstances([]model.Instance{{Name: "m1", Pool: "s", Phase: model.Up, Executor: "z"}}, l.now)
	assert.Assert(t, l.allContacted("s"))
}

// Guards against a late wave: stops in a step with many tasks required polls of all its
// executors within 0.3 s of one another, which took 1.5 s for each stop of three tasks and made
// 1 to 11 of 185 instances late. Also guards against stops while too many other tasks are
// unavailable, or while that is not known.
func TestStopsOfAWideStepNeedNoSimultaneousPolls(t *testing.T) {
	const width, maxUnavailable = 26, 3
	l, _, _ := newTestLeader(t)
	l.Settings.Bounds.Notice = 4500 * time.Millisecond
	l.now = time.Minute
	j := l.tracker.Accept("wide", model.Queue{Service: "s"}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: width, LongRunning: true, MaxUnavailable: maxUnavailable}}}, 0, 0)
	tasks := j.Open[0].Steps[0].Tasks
	var ms []*member
	for i, task := range tasks {
		key := string(rune('a' + i))
		m := &member{Member: execs.Member{Executor: model.Executor{ID: key, Service: "s"}, Key: key, Contact: execs.Live}, adopted: true}
		// Polls wait up to a second for an end, and are spread over that time.
		m.clockAt = l.now - time.Duration(i)*pollWait/width
		l.members[key] = m
		ms = append(ms, m)
		r := l.tracker.BeginRun(task, key, 0, 0)
		l.tracker.ConfirmRun(r, 0)
		r.Percent = 100
	}
	assert.Assert(t, l.mayStop(tasks[0]))
	ms[5].clockAt = l.now - l.Settings.Bounds.Notice
	assert.Assert(t, !l.mayStop(tasks[0]), "the runs on that executor are not known")
	assert.Assert(t, ms[5].freshUntil > l.now)
	ms[5].clockAt = l.now
	for i := range maxUnavailable {
		tasks[1+i].Runs[0].Percent = 40
		assert.Equal(t, l.mayStop(tasks[0]), i+1 < maxUnavailable)
	}
	assert.Assert(t, ms[1].freshUntil > l.now, "the executor is polled often until its task is serving")
	assert.Assert(t, ms[9].freshUntil == 0)
}

// Guards against two runs of a task: a leader that has lost the leadership unnoticed starts one
// on an executor that has just registered, and its successor, which has resolved the former
// runs without that executor in its view, starts the other.
func TestNewExecutorsAreUsedOnlyIfASuccessorKnowsThem(t *testing.T) {
	l, old, _ := newTestLeader(t)
	old.visible = true
	renewed := l.now - 300*time.Millisecond
	l.LastRenewal = func() time.Duration { return renewed }
	l.byID = map[string]*member{}
	report := func(id string) *member {
		l.applyReport(platform.Record{Key: id, Value: []byte(`{"service":"s","addr":"127.0.0.1:1","zone":"z","version":"1","slots":8,"state":"ready","seq":1,"born":7,"capacity":{"cpu":8000,"mem_mb":64,"gpu":0},"labels":["a","r"]}`)})
		return l.byID[id]
	}
	m := report("y")
	assert.Assert(t, m != nil)
	assert.Assert(t, l.isVisibleToSuccessor(m), "the last renewal is recent, so that no other entry can have claimed")
	// The next renewal is late: another entry may have claimed by now.
	l.now += time.Second
	m = report("z")
	assert.Assert(t, !l.isVisibleToSuccessor(m))
	clear(l.planDue)
	l.planNewlyVisible()
	assert.Assert(t, !l.planDue["s"])
	renewed = l.now + 10*time.Millisecond
	l.planNewlyVisible()
	assert.Assert(t, l.isVisibleToSuccessor(m) && l.planDue["s"])
}

// newDrainingLeader returns a leader that drains an instance for maintenance. n long-running tasks
// of one step run there and fit on no other executor.
func newDrainingLeader(t *testing.T, n, maxUnavailable int) (*Leader, *member, *operation, model.Instance, []*track.Run) {
	l, m, _ := newTestLeader(t)
	l.Settings.Bounds.Notice = 4500 * time.Millisecond
	l.initFleet(nil, l.now)
	l.byID = map[string]*member{"x": m}
	in := model.Instance{Name: "m1", Pool: "s", Phase: model.Up, Executor: "x"}
	l.applyInstances([]model.Instance{in}, l.now)
	j := l.tracker.Accept("lasts", model.Queue{Service: "s"}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: n, LongRunning: true, MaxUnavailable: maxUnavailable}}}, 0, 0)
	var rs []*track.Run
	for _, task := range j.Open[0].Steps[0].Tasks {
		r := l.tracker.BeginRun(task, m.Key, 0, 0)
		l.tracker.ConfirmRun(r, 0)
		r.Percent = 100
		rs = append(rs, r)
	}
	m.clockAt = l.now
	op := &operation{instance: "m1", wave: 1, since: l.now}
	l.beginOperation(op)
	return l, m, op, in, rs
}

// Guards against an instance that drains forever and accepts no other work, because the
// long-running tasks there fit on no other executor and may not be unavailable together.
func TestDrainEndsWithoutAnotherExecutor(t *testing.T) {
	l, m, op, in, rs := newDrainingLeader(t, 2, 1)
	assert.Assert(t, !l.tryDrain(op, in))
	assert.Equal(t, rs[0].Phase, track.Running)
	assert.Assert(t, m.Leaving)
	l.now += drainTimeout + time.Millisecond
	assert.Assert(t, !l.tryDrain(op, in))
	assert.Assert(t, !m.Leaving)
	assert.Equal(t, len(l.fleet.operations), 0)
	assert.Assert(t, l.fleet.retryMaintAt["m1"] > l.now)
}

// Guards against a wave that never ends if each instance of a pool runs a task that may not
// share an instance: the task may be unavailable, and starts there again after maintenance. See
// also TestWaveKeepsItsLimitAcrossLeaders in serve/agent.
func TestTasksThatMayBeUnavailableAreStoppedWithoutAnotherExecutor(t *testing.T) {
	for _, maxUnavailable := range []int{-1, 2} {
		l, _, op, in, rs := newDrainingLeader(t, 2, maxUnavailable)
		l.Deps.LastRenewal = func() time.Duration { return -time.Hour } // no order is sent
		assert.Assert(t, !l.tryDrain(op, in))
		for _, r := range rs {
			assert.Equal(t, r.Phase, track.Stopping)
		}
	}
}

// Guards against the use of an executor that has ended: its last report is read after its end,
// when the leader has already removed it.
func TestEndedExecutorsAreNotUsedAgain(t *testing.T) {
	l, _, _ := newTestLeader(t)
	l.byID, l.Execs = map[string]*member{}, unresponsiveExecs{}
	l.Meters = NewMeters(tally.NoopScope)
	l.LastRenewal = func() time.Duration { return l.now }
	late := platform.Record{Key: "y", Value: []byte(`{"service":"s","addr":"127.0.0.1:1","zone":"z","slots":8,"state":"ready","seq":9,"born":7,"capacity":{"cpu":8000}}`)}
	l.applyReport(late)
	l.markDead(l.byID["y"], "its instance was moved or maintained")
	for range 5 {
		l.now += purgeInterval
		l.purge()
		l.applyReport(late)
		if m := l.members["y@7"]; m != nil {
			assert.Equal(t, m.Contact, execs.Dead)
		}
	}
	next := platform.Record{Key: "y", Value: []byte(`{"service":"s","addr":"127.0.0.1:1","zone":"z","slots":8,"state":"ready","seq":1,"born":8,"capacity":{"cpu":8000}}`)}
	l.applyReport(next)
	assert.Equal(t, l.members["y@8"].Contact, execs.Uncontacted)
	l.now += 2 * endedRetention
	l.purge()
	assert.Equal(t, len(l.ended), 0)
}

// Guards against a start beyond the capacity of an executor that does not enforce it: runs of a
// job that was cancelled before a takeover use capacity there until they have ended, and the new
// leader does not know how much. Limits were exceeded within seconds after a leader was killed.
func TestCapacityOfOrphanedRunsStaysReserved(t *testing.T) {
	l, m, task := newTestLeader(t)
	m.adopted, m.Listed, m.visible = false, true, true
	m.Capacity = model.Amount{Cores: 32000}
	l.Execs, l.ctx, l.events = unresponsiveExecs{}, context.Background(), make(chan event, 100)
	l.Meters = NewMeters(tally.NoopScope)
	l.LastRenewal = func() time.Duration { return l.now }
	over := l.tracker.Accept("over", model.Queue{Service: "s"}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 1}}}, 0, 0)
	l.tracker.Cancel(over.ID, 0)
	row := model.Run{Task: model.TaskID{Job: "over"}, Attempt: 3}
	list := func(rows ...model.Run) {
		m.polling = true
		l.onPolled(polled{m: m, sent: l.now, fence: elect.FencingToken(l.token, m.fenceRaises), list: platform.PollResult{Clock: l.now, Running: rows}})
	}
	starts := func() int {
		return len(assign.Plan([]*track.Job{task.Step.Occ.Job}, []*execs.Member{&m.Member}, l.permission, nil, nil, l.now, 10))
	}
	list(row)
	assert.Equal(t, starts(), 0)
	assert.Assert(t, l.needsPoll(m), "the executor is polled until the run has ended")
	l.now += time.Second
	list(row)
	assert.Equal(t, starts(), 0)
	list()
	assert.Equal(t, starts(), 1)
	assert.Assert(t, !l.needsPoll(m))
}

// Guards against an order for an instance that is sent long after it was stored because the
// process was suspended in between: a later leader may have sent another one, and some
// deployments check no fencing tokens of instance orders.
func TestOrdersForInstancesAreNotSentLate(t *testing.T) {
	l, m, op, _, _ := newDrainingLeader(t, 1, -1)
	l.ctx, l.events, l.Execs = context.Background(), make(chan event, 10), unresponsiveExecs{}
	l.Meters = NewMeters(tally.NoopScope)
	clk := clock.NewFake(time.Unix(0, 0))
	clk.Advance(l.now)
	l.Clock, l.wall = clk, time.Hour
	l.LastRenewal = func() time.Duration { return l.now }
	for r := range l.tracker.RunsOn(m.Key) {
		l.dropRun(r)
	}
	l.advanceOperation(op)
	assert.Assert(t, op.decided && !op.ordered)
	op.stored = true
	// The process is suspended between the decision and the call.
	clk.Advance(4 * time.Second)
	l.advanceOperation(op)
	ev, ok := (<-l.events).(orderAnswered)
	assert.Assert(t, ok)
	refused := (*platform.OrderError)(nil)
	assert.Assert(t, errors.As(ev.err, &refused) && refused.Reason == platform.ReasonLate)
	// It was suspended before the order was sent: the order is decided and stored again.
	l.onOrderAnswered(ev)
	l.now = clk.Now()
	l.advanceOperation(op)
	op.stored = true
	l.now += 4 * time.Second
	l.advanceOperation(op)
	assert.Assert(t, !op.decided && !op.inFlight)
}

// suspendedClock is the clock of a process that is suspended for 4 s between two readings.
type suspendedClock struct{ *clock.Fake }

func (c suspendedClock) Now() time.Duration {
	defer c.Advance(4 * time.Second)
	return c.Fake.Now()
}

// Guards against an order for an instance that is sent late because the process was suspended while
// the connection was opened: timeouts do not count that time.
func TestOrdersForInstancesAreNotSentAfterASlowConnection(t *testing.T) {
	w := fake.NewPlatform(map[string]int{"s": 1})
	defer w.Close()
	l, _, _ := newTestLeader(t)
	l.ctx, l.events, l.Meters = context.Background(), make(chan event, 1), NewMeters(tally.NoopScope)
	l.LastRenewal = func() time.Duration { return l.now }
	l.Settings = w.Settings("self", 1, 2, 3)
	l.Client = platform.NewClient(l.Settings)
	defer l.Client.Close()
	l.initFleet([]model.Instance{{Name: "m-s-0", Pool: "s"}}, l.now)
	order := func(clk clock.Clock) error {
		l.Clock = clk
		op := &operation{instance: "m-s-0", wave: 1, decided: true, stored: true, ordered: true, decidedAt: l.now}
		l.advanceOperation(op)
		return (<-l.events).(orderAnswered).err
	}
	clk := clock.NewFake(time.Unix(0, 0))
	clk.Advance(l.now)
	refused := (*platform.OrderError)(nil)
	err := order(suspendedClock{clk})
	assert.Assert(t, errors.As(err, &refused) && refused.Reason == platform.ReasonLate, "%v", err)
	assert.Equal(t, len(w.MaintainedMachines(1)), 0)
	clk = clock.NewFake(time.Unix(0, 0))
	clk.Advance(l.now)
	assert.NilError(t, order(clk))
	assert.Equal(t, len(w.MaintainedMachines(1)), 1)
}

// Guards against a leader that treats an order of its predecessor, whose clock is ahead, as one
// of its own, and orders the instance without the handover interval.
func TestOrdersOfAFormerLeaderAreAwaited(t *testing.T) {
	l, _, _, _, _ := newDrainingLeader(t, 1, -1)
	l.wall, l.fleet.tookOverAt = time.Hour, time.Hour
	l.LastRenewal = func() time.Duration { return l.now }
	l.Settings.Bounds.Handover = 3 * time.Second
	for _, ahead := range []time.Duration{-100 * time.Millisecond, 0, 200 * time.Millisecond} {
		l.loadWave(orderKeyPrefix+"m1", strconv.AppendInt(nil, (l.wall+ahead).Milliseconds(), 10))
		assert.Assert(t, !l.mayOrder("m1"))
		assert.Assert(t, l.mayOrder("m2"))
	}
	l.wall += 10 * time.Second
	assert.Assert(t, l.mayOrder("m1"))

	// After a power failure the former leader leads again: it waits only for its own earlier call.
	l.Settings.Node = "self"
	l.wall, l.fleet.tookOverAt = 2*time.Hour, 2*time.Hour
	l.fleet.lastOrders["m1"] = lastOrder{l.wall - 200*time.Millisecond, "self"}
	e := l.orderEntry(&operation{instance: "m1"})
	l.loadWave(e.Key, e.Value)
	assert.Assert(t, !l.mayOrder("m1"))
	l.wall += 1500 * time.Millisecond
	assert.Assert(t, l.mayOrder("m1"))
	l.fleet.lastOrders["m1"] = lastOrder{l.wall - 1500*time.Millisecond, "other"}
	l.fleet.tookOverAt = l.wall
	assert.Assert(t, !l.mayOrder("m1"))
}
