package leader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// newRestartLeader returns a leader with n executors of one data centre.
func newRestartLeader(t *testing.T, n int) (*Leader, []string) {
	t.Helper()
	l, m, _, _ := newRunningLeader(t)
	m.Centre = "z"
	l.dropRuns(m, "test")
	ids := []string{"x"}
	for i := 1; i < n; i++ {
		id := fmt.Sprint("x", i)
		e := model.Executor{ID: id, StartMillis: 1, Service: "s", Centre: "z", Capacity: m.Capacity}
		o := &member{Member: execs.Member{Executor: e, Key: executorKey(&e), Contact: execs.Live, Listed: true, Slowness: 1}, adopted: true, visible: true}
		l.members[o.Key], l.byID[id] = o, o
		ids = append(ids, id)
	}
	return l, ids
}

// restartWith restarts an executor under its id with runs on it, and returns the next incarnation.
func restartWith(l *Leader, id string, runs int, lapsed bool) *member {
	m := l.byID[id]
	m.Contact, m.clockAt, m.adopted = execs.Live, l.now, true
	j := l.tracker.Accept(fmt.Sprint(id, l.now), model.Queue{Service: "s"}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: max(runs, 1)}}}, 0, 0)
	for _, t := range j.Open[0].Steps[0].Tasks[:runs] {
		l.startRun(assign.Start{Task: t, Member: &m.Member})
		l.confirmRun(t.Runs[0])
	}
	l.now += time.Second
	if lapsed {
		m.Contact, m.leaseEnd = execs.Unresponsive, l.now
		l.expireLeases()
	}
	if born := m.StartMillis + 1; id == "x" && born%2 == 0 {
		l.applyReport(reportOf(born, born, "ready"))
	} else {
		l.replaceIncarnation(m, born)
	}
	next := l.byID[id]
	l.dropRuns(next, "test")
	return next
}

// Guards against executors that flap by restarting and get a full load each time, and against a restart
// that counts though it ended nothing or a leader or the executor planned it.
func TestUnplannedRestartsMakeASuspect(t *testing.T) {
	for name, c := range map[string]struct {
		runs, suspectAfter int
		lapsed             bool
		plan               func(*Leader, *member)
	}{
		"crashes":       {4, 2, false, nil},
		"idle":          {0, 0, false, nil},
		"leases lapsed": {4, 2, true, nil},
		"draining":      {4, 0, false, func(_ *Leader, m *member) { m.Draining = true }},
		"leaving":       {4, 0, false, func(_ *Leader, m *member) { m.Leaving = true }},
		"operation": {4, 0, false, func(l *Leader, m *member) {
			m.Instance, l.fleet.operations = "i", map[string]*operation{"i": {}}
		}},
		"maintained": {4, 0, false, func(l *Leader, m *member) {
			m.Instance, l.fleet.instances = "i", map[string]model.Instance{"i": {Phase: model.Maintenance}}
		}},
		"late order of a former leader": {4, 0, false, func(l *Leader, m *member) {
			m.Instance, l.fleet.lastOrders = "i", map[string]lastOrder{"i": {at: l.wall}}
		}},
	} {
		l, _ := newRestartLeader(t, 10)
		for i := range 3 {
			if c.plan != nil {
				c.plan(l, l.byID["x"])
			}
			m := restartWith(l, "x", c.runs, c.lapsed)
			assert.Equal(t, m.IsSuspect(), c.suspectAfter > 0 && i+1 >= c.suspectAfter, "%s, restart %d", name, i+1)
		}
	}
}

// Guards against a power failure that makes suspects of executors that had crashed before, and against
// few flapping executors that pass for one.
func TestRestartsOfManyExecutorsMakeNoSuspect(t *testing.T) {
	for share, suspects := range map[int]int{2: 2, 5: 0, 12: 0} {
		l, ids := newRestartLeader(t, 12)
		for range 2 {
			l.now += 2 * commonRestartWindow
			begin := l.now
			for _, id := range ids[:share] {
				l.now = begin
				restartWith(l, id, 3, false)
			}
		}
		n := 0
		for _, id := range ids {
			if l.byID[id].IsSuspect() {
				n++
			}
		}
		assert.Equal(t, n, suspects, "%d of 12 restart at once, twice", share)
	}
}

// Guards against a run that counts as lost with the former incarnation though the next one confirmed it.
func TestRunsOfTheNextIncarnationAreNotLost(t *testing.T) {
	l, m, r, _ := newRunningLeader(t)
	l.onStarted(startedRun{m: m, run: r, clock: 0, least: time.Minute})
	assert.Assert(t, m.mayHaveRestarted && r.Phase == track.Running)
	l.replaceIncarnation(m, 2)
	assert.Equal(t, len(l.restarts), 0)
}
