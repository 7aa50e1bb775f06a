package leader

import (
	"cmp"
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/maint"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against a leader that treats the first page of the instance list as the whole list.
func TestAllPagesOfInstancesAreRead(t *testing.T) {
	w := fake.NewPlatform(map[string]int{"s": 12})
	defer w.Close()
	l := &Leader{Deps: Deps{Client: platform.NewClient(w.Settings("self", 1, 2, 3))}}
	defer l.Client.Close()
	list, err := l.readInstances(context.Background())
	assert.NilError(t, err)
	seen := map[string]bool{}
	for _, in := range list {
		seen[in.Name] = true
	}
	assert.Equal(t, len(seen), 12)
}

// Guards against a second set of instances for the same need: the platform lists an instance in
// its new pool as soon as the move begins, and it was then counted neither there nor as incoming.
// Four times the instances that a pool needed were moved.
func TestMovingInstancesAreIncomingUntilTheyArrive(t *testing.T) {
	l, _, _ := newTestLeader(t)
	l.initFleet(nil, l.now)
	for _, phase := range []model.Phase{model.Up, model.Moving} {
		pool := map[model.Phase]string{model.Up: "rest", model.Moving: "s"}[phase]
		l.applyInstances([]model.Instance{{Name: "m1", Pool: pool, Phase: phase, Labels: []string{"kind"}}}, l.now)
		l.fleet.operations["m1"] = &operation{instance: "m1", pool: "s", since: l.now}
		assert.DeepEqual(t, l.incomingInstances(), map[string]map[string]int{"s": {"": 1, "kind": 1}})
		l.now += time.Second
	}
}

// Guards against instances that arrive late: an order waited for the next round of decisions after
// its record was stored, and a new executor for the next read of the reports. Together they took
// 0.4 s of the 2 s in which a pool lacks an instance.
func TestStoredOrderIsSentAtOnce(t *testing.T) {
	w := fake.NewPlatform(map[string]int{"s": 1})
	defer w.Close()
	l, _, _ := newTestLeader(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.ctx, l.events, l.Clock, l.Meters = ctx, make(chan event, 1), clock.NewFake(time.Unix(0, 0)), NewMeters(tally.NoopScope)
	l.LastRenewal = func() time.Duration { return l.now }
	l.Settings = w.Settings("self", 1, 2, 3)
	l.Client = platform.NewClient(l.Settings)
	defer l.Client.Close()
	l.initFleet(nil, l.now)
	l.applyInstances([]model.Instance{{Name: "m1", Pool: "rest"}}, l.now)
	op := &operation{instance: "m1", pool: "s", since: l.now, decided: true, decidedAt: l.now}
	l.fleet.operations["m1"] = op
	l.onAppended(appended{operations: []*operation{op}, sent: l.now})
	assert.Assert(t, op.ordered && op.inFlight)
	<-l.events
	assert.Assert(t, !l.expectsExecutor())
	op.accepted, op.acceptedAt = true, l.now
	l.now += l.Settings.Bounds.Migrate
	assert.Assert(t, l.expectsExecutor())
}

// Guards against an executor that lives and counts as dead: its instance had its maintenance under
// the former leader, and the order of this one changed nothing.
func TestRepeatedOrderDoesNotEndTheExecutor(t *testing.T) {
	for _, c := range []struct {
		name  string
		after model.Instance
		lives bool
	}{
		{"done before", model.Instance{Name: "m1", Pool: "s", Phase: model.Up, Executor: "x"}, true},
		{"in maintenance", model.Instance{Name: "m1", Pool: "s", Phase: model.Maintenance}, false},
		{"back from maintenance", model.Instance{Name: "m1", Pool: "s", Phase: model.Up, Executor: "y"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, m, op, in, rs := newDrainingLeader(t, 1, -1)
			l.Meters, m.Listed = NewMeters(tally.NoopScope), true
			l.dropRun(rs[0])
			op.ordered, op.former = true, l.memberOn(in)
			l.onOrderAnswered(orderAnswered{op: op})
			assert.Assert(t, m.Leaving, "nothing starts there until the next list")
			sent := l.now + time.Second
			l.now = sent
			l.onInstancesListed(instancesListed{instances: []model.Instance{c.after}, sent: sent})
			assert.Equal(t, m.CanAcceptTasks(l.now), c.lives)
			assert.Equal(t, m.Contact == execs.Dead, !c.lives)
		})
	}
}

// Guards against a second run of the tasks on an executor that lives: it moved from one page of the
// instance list to another while the list was read, or registered before the list shows it, and its
// poll was unanswered.
func TestExecutorMissingFromOneListIsNotDead(t *testing.T) {
	l, m, r, _ := newRunningLeader(t)
	l.onStarted(startedRun{m: m, run: r})
	l.initFleet([]model.Instance{{Name: "m1", Pool: "s", Phase: model.Up, Executor: "x"}}, l.now)
	list := func(after time.Duration, rows ...model.Instance) {
		l.now += after
		sent := l.now
		l.now += 10 * time.Millisecond
		l.onInstancesListed(instancesListed{instances: rows, sent: sent})
	}
	up := model.Instance{Name: "m1", Pool: "s", Phase: model.Up, Executor: "x"}
	other := model.Instance{Name: "m2", Pool: "s", Phase: model.Up, Executor: "y"}
	unanswered := func() { l.onPolled(polled{m: m, sent: l.now, err: platform.ErrUnknown.New("lost")}) }

	unanswered()
	list(time.Second, other)
	assert.Assert(t, !r.Task.IsWaiting(), "the task would be started a second time")
	list(time.Second, up, other)
	list(time.Second, other)
	assert.Assert(t, !r.Task.IsWaiting())
	// It answers after the list was requested, so that the list says nothing.
	answerPoll(l, m, 1, platform.PollResult{Running: []model.Run{{Task: r.Task.ID, Attempt: r.Attempt}}})
	unanswered()
	l.onInstancesListed(instancesListed{instances: []model.Instance{other}, sent: l.now - time.Second})
	assert.Assert(t, !r.Task.IsWaiting())
	list(time.Second, other)
	list(time.Second, other)
	assert.Assert(t, r.Task.IsWaiting())
}

// Guards against work that waits for two lists although the first one shows that an executor has
// ended, and against an executor that counts as dead because the list is older than its start.
func TestInstanceShowsThatItsExecutorHasEnded(t *testing.T) {
	for _, c := range []struct {
		row  model.Instance
		ends bool
	}{
		{model.Instance{Phase: model.Down}, true},
		{model.Instance{Phase: model.Moving}, true},
		{model.Instance{Phase: model.Maintenance}, true},
		{model.Instance{Phase: model.Up, Executor: "y"}, true},
		{model.Instance{Phase: model.Up}, false},
		{model.Instance{Phase: model.Other}, false},
		{model.Instance{Pool: "standby", Phase: model.Up}, true},
		{model.Instance{Phase: model.Down, Executor: "x"}, false},
	} {
		for _, age := range []time.Duration{registrationLag, registrationLag + 1} {
			l, m, r, _ := newRunningLeader(t)
			l.onStarted(startedRun{m: m, run: r})
			c.row.Name, c.row.Pool = "m1", cmp.Or(c.row.Pool, "s")
			l.initFleet([]model.Instance{c.row}, l.now)
			m.Instance, m.Contact, m.firstListed = "m1", execs.Unresponsive, l.now
			l.onInstancesListed(instancesListed{instances: []model.Instance{c.row}, sent: l.now + age})
			assert.Equal(t, r.Task.IsWaiting(), c.ends && age > registrationLag, "%v", c.row)
		}
	}
}

// Guards against a second run of a task on an executor without a report in the store: a later list
// missed it while the instances changed.
func TestUnregisteredExecutorMissingFromOneListIsAwaited(t *testing.T) {
	l, m, _ := newTestLeader(t)
	task := newFormerTask(t, l, "s")
	l.byID = map[string]*member{"x": m}
	up := model.Instance{Name: "m2", Pool: "s", Phase: model.Up, Executor: "y"}
	other := model.Instance{Name: "m1", Pool: "s", Phase: model.Up, Executor: "x"}
	l.initFleet([]model.Instance{other, up}, l.now)
	for _, rows := range [][]model.Instance{{other}, {other, up}, {other}} {
		l.now += time.Second
		l.applyInstances(rows, l.now)
		l.resolveFormerRuns()
		assert.Assert(t, !task.IsWaiting(), "the task would be started a second time")
	}
	l.applyInstances([]model.Instance{other}, l.now)
	l.resolveFormerRuns()
	assert.Assert(t, task.IsWaiting())
}

// Guards against a second run of the tasks on an executor whose instance is listed without its id.
func TestInstanceWithoutAnExecutorShowsNoEnd(t *testing.T) {
	for _, phase := range []model.Phase{model.Up, model.Other} {
		l, m, r, _ := newRunningLeader(t)
		l.onStarted(startedRun{m: m, run: r})
		m.Contact = execs.Unresponsive
		row := model.Instance{Name: "m1", Pool: "s", Phase: model.Up, Executor: "x"}
		y := row
		y.Name, y.Executor = "m2", "y"
		l.initFleet([]model.Instance{row, y}, l.now)
		l.onInstancesListed(instancesListed{instances: []model.Instance{row, y}, sent: l.now + registrationLag})
		row.Executor, row.Phase = "", phase
		y.Executor, y.Phase = "", phase
		for n := range 2 * maxMissingLists {
			l.onInstancesListed(instancesListed{instances: []model.Instance{row, y}, sent: l.now + time.Duration(n+2)*time.Second})
		}
		assert.Assert(t, !r.Task.IsWaiting(), "the task would be started a second time")
		assert.Assert(t, !l.allContacted("s"), "the executor y may run tasks")
	}
}

// Guards against a takeover that waits 1.5 s longer for executors whose instances were moved before it.
func TestFirstListAfterATakeoverShowsWhichExecutorsHaveEnded(t *testing.T) {
	l, m, r, _ := newRunningLeader(t)
	l.onStarted(startedRun{m: m, run: r})
	row := model.Instance{Name: "m1", Pool: "s", Phase: model.Up, Executor: "y"}
	m.Instance, m.Contact, m.firstListed = "m1", execs.Uncontacted, l.now
	l.initFleet([]model.Instance{row}, l.now-800*time.Millisecond)
	assert.Assert(t, l.fleet.nextList <= l.now+listInterval)
	l.now = l.fleet.nextList
	l.onInstancesListed(instancesListed{instances: []model.Instance{row}, sent: l.now})
	assert.Assert(t, r.Task.IsWaiting())
}

// Guards against a wave that is said to be complete, and against one instance too many that is down
// for it, because one list did not show an instance.
func TestInstanceMissingFromOneListStays(t *testing.T) {
	l, m, op, up, rs := newDrainingLeader(t, 1, -1)
	l.Meters = NewMeters(tally.NoopScope)
	l.dropRun(rs[0])
	other := model.Instance{Name: "m2", Pool: "s", Phase: model.Up, Executor: "y"}
	list := func(rows ...model.Instance) {
		l.now += time.Second
		l.onInstancesListed(instancesListed{instances: rows, sent: l.now})
	}
	isDown := func() bool { return l.fleet.operations["m1"] == op || l.mayBeDown("m1") }
	list(up, other)
	op.ordered, op.former = true, m
	l.onOrderAnswered(orderAnswered{op: op})
	list(other)
	assert.Assert(t, isDown(), "the last row of the instance is older than the order")
	down := up
	down.Phase, down.Executor = model.Maintenance, ""
	list(down, other)
	list(other)
	assert.Assert(t, isDown(), "it is in maintenance")
	wave := maint.Wave{Wave: model.Wave{Instances: []string{"m1", "m2"}}, Ordered: map[string]bool{"m1": true}}
	list(down)
	assert.Assert(t, !maint.IsComplete(wave, l.instanceViews()))
	list(down)
	assert.Assert(t, maint.IsComplete(wave, l.instanceViews()), "the instance has left")
}

// Guards against an executor that lives and counts as dead: the list after an order that changed nothing
// shows its instance without its executor.
func TestRowWithoutAnExecutorDoesNotEndIt(t *testing.T) {
	for _, phase := range []model.Phase{model.Up, model.Other} {
		l, m, op, in, rs := newDrainingLeader(t, 1, -1)
		l.Meters, m.Listed = NewMeters(tally.NoopScope), true
		l.dropRun(rs[0])
		op.ordered, op.former = true, l.memberOn(in)
		l.onOrderAnswered(orderAnswered{op: op})
		l.now += time.Second
		l.onInstancesListed(instancesListed{instances: []model.Instance{{Name: "m1", Pool: "s", Phase: phase}}, sent: l.now})
		assert.Assert(t, m.Contact != execs.Dead, "%v", phase)
	}
}

// Guards against an executor that lives and gets no more tasks: the lists missed its instance while it drained,
// or show it without its executor after an order that changed nothing.
func TestExecutorAcceptsTasksOnceItsInstanceIsListedAgain(t *testing.T) {
	row := model.Instance{Name: "m1", Pool: "s", Phase: model.Up}
	other := model.Instance{Name: "m2", Pool: "s", Phase: model.Up, Executor: "y"}
	for _, c := range []struct {
		name    string
		ordered bool
		row     model.Instance
	}{{"missed", false, other}, {"without its executor", true, row}} {
		t.Run(c.name, func(t *testing.T) {
			l, m, op, in, rs := newDrainingLeader(t, 1, -1)
			l.Meters, m.Listed = NewMeters(tally.NoopScope), true
			l.dropRun(rs[0])
			l.tryDrain(op, in)
			if c.ordered {
				op.ordered = true
				l.onOrderAnswered(orderAnswered{op: op})
			}
			for _, rows := range [][]model.Instance{{c.row}, {c.row}, {in, other}, {in, other}} {
				l.now += time.Second
				l.onInstancesListed(instancesListed{instances: rows, sent: l.now})
			}
			assert.Equal(t, len(l.fleet.operations), 0)
			assert.Assert(t, m.CanAcceptTasks(l.now))
		})
	}
}
