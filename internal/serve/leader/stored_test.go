package leader

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// newStoringLeader returns a leader whose executor runs a task.
func newStoringLeader(t *testing.T) (*Leader, *member, *runningTask) {
	t.Helper()
	l, m, task := newTestLeader(t)
	l.Meters, l.ready, l.Settings.Store.RecordBytes = NewMeters(tally.NoopScope), true, 1<<18
	l.byID, l.runtimeRatios, l.leaderless = map[string]*member{"x": m}, map[string]*runtimeRatio{}, map[string]leaderlessRecords{}
	l.LastRenewal = func() time.Duration { return l.now }
	assert.NilError(t, l.Orders.SetConfig([]byte(`{"version":1,"routes":[{"name":"q","service":"s"}]}`)))
	r := l.tracker.BeginRun(task, m.Key, 0, l.now)
	m.AddRun(task.Step)
	return l, m, &runningTask{task.ID, r.Attempt, task.IsWaiting}
}

// runningTask is the running task.
type runningTask struct {
	id        model.TaskID
	attempt   int
	isWaiting func() bool
}

// Guards against an end that an executor forgets because the append that had it was refused.
func TestEndsOfARefusedAppendStayUnstored(t *testing.T) {
	l, m, task := newStoringLeader(t)
	l.applyEnds(m, []model.End{{Seq: 1, Task: task.id, Attempt: task.attempt, Ending: model.EndedDone}}, false)
	l.onAppended(appended{batch: l.tracker.TakeChanges(), err: &platform.FencedError{}})
	l.flush()
	assert.Equal(t, m.storedSeq, int64(0))
}

// Guards against a second run of a task whose lease a later leader has extended.
func TestLeasesEndOnlyForTheSoleLeader(t *testing.T) {
	l, m, task := newStoringLeader(t)
	m.Contact, m.leaseEnd = execs.Unresponsive, l.now+time.Second
	renewed := l.now
	l.LastRenewal = func() time.Duration { return renewed }
	l.now += 4 * time.Second
	l.expireLeases()
	assert.Assert(t, !task.isWaiting())
	renewed = l.now
	l.expireLeases()
	assert.Assert(t, task.isWaiting())
}

// Guards against a lease on an idle executor with a slow clock that outlasts elect.FormerRunsEnd.
func TestLeaseOnASlowClockEndsInTime(t *testing.T) {
	l, m, _ := newStoringLeader(t)
	for _, idle := range []time.Duration{time.Second, clockAge} {
		m.clock, m.clockAt, l.now = 0, 0, idle
		slow := time.Duration(float64(idle) * (1 - elect.ClockDrift))
		left := time.Duration(float64(m.deadline(l.now)-slow) / (1 - elect.ClockDrift))
		assert.Assert(t, elect.LeadershipTTL+left <= elect.FormerRunsEnd(0), "lease of %s", left)
		assert.Assert(t, m.deadline(l.now)-idle >= elect.RunLease*9/10)
	}
	m.adopted, m.clockAt = true, time.Second
	l.now = m.clockAt + clockAge
	assert.Assert(t, !l.isClockOld(m))
	l.now++
	l.renewClocks()
	_, ok := l.pollCandidates[m]
	assert.Assert(t, ok && l.needsPoll(m))
}

// Guards against jobs that are stored twice after a long load: their entries have stored them meanwhile.
func TestRequestsThatEndedDuringTheLoadAreNotStored(t *testing.T) {
	l, _, _ := newStoringLeader(t)
	ctx, cancel := context.WithCancel(context.Background())
	l.onSubmit(&submitRequest{Submission: relay.Submission{ID: "waits", Queue: "q"}, ctx: ctx, reply: make(chan relay.Answer, 1)})
	cancel()
	l.onSubmit(&submitRequest{Submission: relay.Submission{ID: "late", Queue: "q"}, ctx: ctx, reply: make(chan relay.Answer, 1)})
	assert.Equal(t, len(l.store.accepts), 1)
}

// Guards against an accepted job that is denied because one read does not return the whole backlog.
func TestUnknownJobsAreNotDeniedAfterAPartialRead(t *testing.T) {
	w := fake.NewPlatform(nil)
	defer w.Close()
	l, _, _ := newStoringLeader(t)
	l.initFleet(nil, l.now)
	l.Settings = w.Settings("self", 1, 2, 3)
	l.Client = platform.NewClient(l.Settings)
	defer l.Client.Close()
	part := LeaderlessPart(l.Settings.Store.Parts)
	putJobs(w.Store, part, 600, 2300)
	l.leaderlessTail.sent = l.now
	for reads := 1; ; reads++ {
		ev, ok := l.readLeaderless(context.Background(), l.leaderlessTail.from).(leaderlessRead)
		assert.Assert(t, ok)
		assert.NilError(t, ev.err)
		l.onLeaderless(ev)
		if !ev.partial {
			assert.Assert(t, reads > 1)
			break
		}
		assert.Assert(t, !l.knowsAllJobs())
		assert.Equal(t, l.leaderlessTail.next, l.now)
	}
	assert.Assert(t, l.knowsAllJobs())
	assert.Assert(t, l.tracker.Job("00000000000025"+"71") != nil)
}

// Guards against a job that fails after its first failed run: the leader had not read the configuration.
func TestJobsOfUnknownQueuesAreNotStored(t *testing.T) {
	l, _, _ := newStoringLeader(t)
	for _, queue := range []string{"q", "added"} {
		ev := &submitRequest{Submission: relay.Submission{ID: queue, Queue: queue}, reply: make(chan relay.Answer, 1)}
		l.onSubmit(ev)
		assert.Equal(t, len(ev.reply) == 1 && (<-ev.reply).Verdict == relay.NotLeader, queue == "added")
	}
	assert.Equal(t, len(l.store.accepts), 1)
}
