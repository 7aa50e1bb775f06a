package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/platform"
)

// loadFormer replaces the jobs of a leader by those that it has loaded from records, at a Unix time.
func loadFormer(t *testing.T, l *Leader, wall time.Duration, records ...track.Record) {
	t.Helper()
	loader := track.NewLoader(platform.DecodeJob)
	for _, r := range records {
		assert.NilError(t, loader.Add(r.Key, r.Value))
	}
	l.tracker, _ = loader.Load(0, l.now, wall)
	l.start, l.readyAt, l.lastContact = l.now, l.now, l.now
	l.LastRenewal = func() time.Duration { return l.now }
}

// newFormerTask replaces the jobs of a leader by one of a single task that it has loaded, of the queue
// "q", which belonged to a service when the job was accepted.
func newFormerTask(t *testing.T, l *Leader, service string) *track.Task {
	t.Helper()
	accepted := time.Duration(time.Now().UnixNano())
	loadFormer(t, l, accepted, track.JobRecord("job", model.Queue{Name: "q", Service: service}, "", []byte(`{"phases":[{"count":1}]}`), accepted))
	l.Meters = NewMeters(tally.NoopScope)
	return l.tracker.Job("job").Task(model.TaskID{Job: "job"})
}

// newOrders returns operators' orders that are not read from a store.
func newOrders(t *testing.T) *orders.Orders {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	client := platform.NewClient(platform.Settings{})
	o := orders.Start(ctx, client, clock.NewSystem(), zerolog.Nop())
	t.Cleanup(func() {
		cancel()
		o.Close()
		client.Close()
	})
	return o
}

// newMovedQueueLeader returns a leader that has contacted no executor, one of each service, whose
// queue "q" belonged to the services "s" and "t" before and belongs to "u" now.
func newMovedQueueLeader(t *testing.T) (*Leader, map[string]*member) {
	t.Helper()
	l, _, _ := newTestLeader(t)
	l.Orders = newOrders(t)
	ms := map[string]*member{}
	clear(l.members)
	for version, s := range []string{"s", "t", "u"} {
		moveQueue(t, l, version, s)
		m := &member{Member: execs.Member{Executor: model.Executor{ID: s, Service: s, StartMillis: 1}, Key: s}}
		l.members[s], ms[s] = m, m
	}
	return l, ms
}

func moveQueue(t *testing.T, l *Leader, version int, service string) {
	t.Helper()
	assert.NilError(t, l.Orders.SetConfig(fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"q","service":"%s"}]}`, version, service)))
}

// Guards against a second run of a task whose queue has moved to another service: the run goes on
// on an executor of a former service that was not asked.
func TestExecutorsOfFormerServicesAreAwaited(t *testing.T) {
	for _, last := range []string{"s", "t", "u"} {
		l, ms := newMovedQueueLeader(t)
		task := newFormerTask(t, l, "s")
		for s, m := range ms {
			if s != last {
				answerPoll(l, m, 1, platform.PollResult{})
			}
		}
		l.resolveFormerRuns()
		assert.Assert(t, !task.IsWaiting(), "the task may run on the executor of service %s", last)
		answerPoll(l, ms[last], 1, platform.PollResult{})
		l.resolveFormerRuns()
		assert.Assert(t, task.IsWaiting())
		assert.Assert(t, l.planDue["u"] && l.allResolved)
	}
}

// Guards against a job that never starts: its queue moved to a service whose former runs were known
// already.
func TestJobIsReleasedAfterItsQueueMoved(t *testing.T) {
	l, ms := newMovedQueueLeader(t)
	moveQueue(t, l, 3, "t")
	task := newFormerTask(t, l, "t")
	l.resolved["u"] = true
	l.resolveFormerRuns()
	assert.Assert(t, !task.IsWaiting())
	moveQueue(t, l, 4, "u")
	for _, m := range ms {
		answerPoll(l, m, 1, platform.PollResult{})
	}
	l.resolveFormerRuns()
	assert.Assert(t, task.IsWaiting())
}

// storedMovedJob returns what a former leader has stored of a job that was accepted for service "s" and
// whose queue was moved to "t", before it starts a task there.
func storedMovedJob(t *testing.T, accepted time.Duration) []track.Record {
	t.Helper()
	body := []byte(`{"phases":[{"count":1}]}`)
	q := model.Queue{Name: "q", Service: "s"}
	spec, err := platform.DecodeJob(body)
	assert.NilError(t, err)
	tr := track.New(0)
	j := tr.Accept("job", q, spec, accepted, 0)
	assert.Assert(t, tr.MayUseService(j, "s"))
	assert.Assert(t, !tr.MayUseService(j, "t"), "not stored yet")
	batch := tr.TakeChanges()
	assert.Assert(t, !tr.MayUseService(j, "t") && !tr.HasChanges(), "stored once")
	tr.MarkStored(batch)
	assert.Assert(t, tr.MayUseService(j, "t"))
	return append(batch.Records, track.JobRecord("job", q, "", body, accepted))
}

// Guards against a second run of a task after a restart: its queue was moved to "t", where the task runs,
// and then to "u" or removed, and the process has not seen "t".
func TestExecutorsOfStoredServicesAreAwaited(t *testing.T) {
	for _, config := range []string{
		`{"version":3,"routes":[{"name":"q","service":"u"}]}`,
		`{"version":3,"routes":[]}`,
	} {
		l, ms := newMovedQueueLeader(t)
		l.Orders = newOrders(t)
		assert.NilError(t, l.Orders.SetConfig([]byte(config)))
		accepted := time.Duration(time.Now().UnixNano())
		loadFormer(t, l, accepted, storedMovedJob(t, accepted)...)
		j := l.tracker.Job("job")
		assert.Equal(t, j.State(), model.Queued)
		for _, s := range []string{"s", "u"} {
			answerPoll(l, ms[s], 1, platform.PollResult{})
		}
		l.resolveFormerRuns()
		task := j.Task(model.TaskID{Job: "job"})
		assert.Assert(t, !task.IsWaiting(), "the task may run on the executor of service t")
		answerPoll(l, ms["t"], 1, platform.PollResult{})
		l.resolveFormerRuns()
		assert.Assert(t, task.IsWaiting())
	}
}

// Guards against a task that starts on a service of which a later leader does not know.
func TestTasksStartOnAnotherServiceOnceThatIsStored(t *testing.T) {
	l, m, task, _ := newStartingLeader(t)
	l.LastRenewal = func() time.Duration { return l.now }
	assert.NilError(t, l.Orders.SetConfig([]byte(`{"version":2,"routes":[{"name":"q","service":"t"}],"services":[{"name":"s"},{"name":"t"}],"limits":{}}`)))
	task.Step.Occ.Job.Queue, m.Service, l.byService = "q", "t", nil
	plan := func() int {
		l.planDue["t"] = true
		l.plan()
		return len(l.tracker.RunsOn(m.Key))
	}
	assert.Equal(t, plan(), 0)
	l.onAppended(appended{batch: l.tracker.TakeChanges()})
	assert.Assert(t, l.planDue["t"])
	assert.Equal(t, plan(), 1)
}
