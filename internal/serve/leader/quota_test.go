package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

// setLimit puts a configuration into force in which the account "a" has a limit, and the queues "q" and
// "r" belong to the services "s" and "t".
func setLimit(t *testing.T, l *Leader, version, limit int) {
	t.Helper()
	assert.NilError(t, l.Orders.SetConfig(fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"q","service":"s"},{"name":"r","service":"t"}],`+
		`"services":[{"name":"s"},{"name":"t"}],"tenants":[{"name":"a","api_keys":["k"],"weight":1,"max_count":{"cpu":%d,"mem_mb":0,"gpu":0}}]}`, version, limit)))
}

// newLimitedLeader returns a leader with an executor of each of the services "s" and "t", of 8 cores, and
// without jobs.
func newLimitedLeader(t *testing.T, limit int) (l *Leader, s, other *member) {
	t.Helper()
	l, s, _, _ = newStartingLeader(t)
	l.LastRenewal = func() time.Duration { return l.now }
	l.Execs, l.events, l.runtimeRatios = unresponsiveExecs{}, make(chan event, 100), map[string]*runtimeRatio{}
	l.Settings.Cloud.Addr = ""
	l.initFleet(nil, l.now)
	other = &member{Member: execs.Member{Executor: model.Executor{ID: "y", Service: "t", Capacity: s.Capacity}, Key: "y@1", Contact: execs.Live, Listed: true}, adopted: true, visible: true}
	l.members[other.Key] = other
	l.byID = map[string]*member{"x": s, "y": other}
	l.tracker = track.New(0, track.WithUsage(&l.quota.ledger))
	setLimit(t, l, 2, limit)
	return l, s, other
}

func acceptFor(l *Leader, id, queue, account string, steps ...model.Step) *track.Job {
	return l.tracker.Accept(id, *l.Orders.Config().Queue(queue), model.JobSpec{Repeats: 1, Steps: steps, Account: account}, l.wall, l.now)
}

func need(n int64) model.Amount { return model.Amount{Cores: n * 1000} }

// planAll plans all services and returns the number of runs of a job.
func planAll(l *Leader, j *track.Job) int {
	l.planDue["s"], l.planDue["t"] = true, true
	l.now += 10 * time.Millisecond
	l.plan()
	return runsOf(j)
}

func runsOf(j *track.Job) int {
	n := 0
	j.ForEachRun(func(*track.Run) { n++ })
	return n
}

// Guards against an account that exceeds its limit while its runs are not certain to have ended: their order
// is not answered, their stop is not confirmed, or their executor is cut off. Also guards against jobs of
// another service that don't start once there is room.
func TestUncertainRunsCountAgainstTheLimit(t *testing.T) {
	for name, end := range map[string]func(l *Leader, m *member, j *track.Job, r *track.Run){
		"refused": func(l *Leader, m *member, _ *track.Job, r *track.Run) {
			l.onStarted(startedRun{m: m, run: r, err: &platform.OrderError{Reason: platform.ReasonBusy}})
		},
		"unanswered, then void": func(l *Leader, m *member, _ *track.Job, r *track.Run) {
			l.onStarted(startedRun{m: m, run: r, err: platform.ErrFormat.New("no answer")})
			assert.Equal(t, planAll(l, l.tracker.Job("next")), 0)
			m.fenceRaises++
			answerPoll(l, m, 0, platform.PollResult{})
		},
		"stop confirmed": func(l *Leader, m *member, j *track.Job, r *track.Run) {
			l.onStarted(startedRun{m: m, run: r})
			l.cancelJob(j.ID)
			assert.Equal(t, r.Phase, track.Stopping)
			assert.Equal(t, planAll(l, l.tracker.Job("next")), 0)
			answerPoll(l, m, 0, platform.PollResult{Ended: []model.End{{Seq: 1, Task: r.Task.ID, Attempt: r.Attempt, Ending: model.EndedStopped}}})
		},
		"lease expired": func(l *Leader, m *member, _ *track.Job, r *track.Run) {
			l.onStarted(startedRun{m: m, run: r})
			m.Contact = execs.Unresponsive
			l.now = m.leaseEnd - 20*time.Millisecond
			assert.Equal(t, planAll(l, l.tracker.Job("next")), 0)
			l.now = m.leaseEnd
			l.expireLeases()
		},
		"executor ended": func(l *Leader, m *member, _ *track.Job, _ *track.Run) { l.markDead(m, "test") },
	} {
		t.Run(name, func(t *testing.T) {
			l, m, _ := newLimitedLeader(t, 3500)
			first := acceptFor(l, "first", "q", "a", model.Step{Count: 1, Need: need(2)})
			assert.Equal(t, planAll(l, first), 1)
			next := acceptFor(l, "next", "r", "a", model.Step{Count: 1, Need: need(2)})
			none := acceptFor(l, "none", "r", "", model.Step{Count: 1, Need: need(2)})
			assert.Equal(t, planAll(l, next), 0)
			assert.Equal(t, runsOf(none), 1, "a job of no account has no limit")
			assert.Assert(t, l.waitsForLimit(next) && !l.waitsForLimit(first) && !l.waitsForLimit(none))
			end(l, m, first, first.Task(model.TaskID{Job: "first"}).Runs[0])
			clear(l.planDue) // only the release may make the other service due
			if f := first.Task(model.TaskID{Job: "first"}); f != nil {
				f.NotBefore = l.now + time.Hour
			}
			l.now += 10 * time.Millisecond
			l.plan()
			assert.Equal(t, runsOf(next), 1)
			assert.Assert(t, !l.waitsForLimit(next))
		})
	}
}

// newFormerJob has a leader take over a job of account "a" with two tasks of 2 cores.
func newFormerJob(t *testing.T, l *Leader, records ...track.Record) *track.Job {
	t.Helper()
	l.wall = time.Duration(time.Now().UnixNano())
	loader := track.NewLoader(platform.DecodeJob)
	body := []byte(`{"phases":[{"count":2,"cpu":2000}]}`)
	for _, r := range append([]track.Record{track.JobRecord("job", model.Queue{Name: "q", Service: "s"}, "a", body, l.wall)}, records...) {
		assert.NilError(t, loader.Add(r.Key, r.Value))
	}
	l.tracker, _ = loader.Load(64, l.now, l.wall, track.WithUsage(&l.quota.ledger))
	l.start, l.readyAt, l.lastContact, l.allResolved, l.quota.allKnown = l.now, l.now, l.now, false, false
	return l.tracker.Job("job")
}

// Guards against an account that exceeds its limit after a takeover: an executor that has not answered yet
// may run its tasks. Also guards against one that waits for more than such executors can run, and against
// runs that count twice once they are listed.
func TestFormerRunsCountUntilTheyAreListed(t *testing.T) {
	for _, c := range []struct{ capacity, unknown int64 }{{8, 4}, {3, 3}} {
		l, m, _ := newLimitedLeader(t, 5000)
		m.Contact, m.adopted, m.Capacity = execs.Uncontacted, false, need(c.capacity)
		job := newFormerJob(t, l)
		next := acceptFor(l, "next", "r", "a", model.Step{Count: 9, Need: need(1)})
		l.resolveFormerRuns()
		assert.Equal(t, planAll(l, next), int(5-c.unknown))
		assert.Equal(t, l.quota.ledger.Used("a"), need(5))
		answerPoll(l, m, 0, platform.PollResult{Running: []model.Run{{Task: model.TaskID{Job: "job"}, Attempt: 3}}})
		l.resolveFormerRuns()
		job.Task(model.TaskID{Job: "job", Index: 1}).NotBefore = l.now + time.Hour // it would compete for the room
		assert.Equal(t, planAll(l, next), 3)
		assert.Equal(t, runsOf(job), 1)
		assert.Equal(t, l.quota.ledger.Used("a"), need(5))
	}
}

// Guards against an account that exceeds its limit after a takeover by the runs of a job that was cancelled
// just before: no task needs them, and they have not ended yet.
func TestRunsOfAFormerCancelledJobCount(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		l, m, other := newLimitedLeader(t, 5000)
		m.Contact, m.adopted = execs.Uncontacted, false
		wall := time.Duration(time.Now().UnixNano())
		newFormerJob(t, l, track.CancelRecord("job", wall))
		l.resolveFormerRuns()
		next := acceptFor(l, "next", "r", "a", model.Step{Count: 9, Need: need(1)})
		assert.Equal(t, planAll(l, next), 1)
		row := func(i int) model.Run { return model.Run{Task: model.TaskID{Job: "job", Index: i}, Attempt: 3} }
		for _, rows := range [][]model.Run{{row(0), row(1)}, {row(1)}} {
			answerPoll(l, m, 0, platform.PollResult{Running: rows})
			l.resolveFormerRuns()
			assert.Equal(t, planAll(l, next), 1)
		}
		if cutOff {
			m.Contact, l.now = execs.Unresponsive, m.leaseEnd
			other.leaseEnd = l.now + time.Hour
			l.expireLeases()
		} else {
			answerPoll(l, m, 0, platform.PollResult{})
		}
		assert.Equal(t, planAll(l, next), 5)
	}
}

// Guards against a refusal that stores the job or invites the caller to send it again, and against jobs
// within the limit that are refused.
func TestJobLargerThanItsLimitIsRefused(t *testing.T) {
	l, _, _ := newLimitedLeader(t, 5000)
	l.ready, l.Settings.Store.RecordBytes = true, 1<<20
	for body, refused := range map[string]bool{
		`{"phases":[{"count":1,"cpu":5001}]}`:                                     true,
		`{"phases":[{"count":1,"cpu":1},{"count":3,"cpu":2000,"gang":true}]}`:     true,
		`{"phases":[{"count":2,"cpu":2500,"gang":true},{"count":40,"cpu":5000}]}`: false,
	} {
		for account, limited := range map[string]bool{"a": refused, "": false, "unknown": false} {
			s := &submitRequest{Submission: relay.Submission{ID: "0123456789abcdef", Queue: "q", Account: account, Body: []byte(body)}, reply: make(chan relay.Answer, 1)}
			s.refusal, _ = LimitRefusal(context.Background(), nil, l.Orders.Config(), s.Account, s.Body)
			l.store.accepts = nil
			l.onSubmit(s)
			assert.Equal(t, len(l.store.accepts) == 0, limited, body)
			if limited {
				a := <-s.reply
				assert.Equal(t, a.Verdict, relay.Limited)
				assert.Equal(t, a.RetryAfter, time.Duration(0))
				assert.ErrorContains(t, platform.ErrFormat.New("%s", a.Cause), `processor (thousandths of a core), and the limit of client account "a" is 5000`)
			}
		}
	}
}

// Guards against instances that are moved to a pool for tasks that their account's limit keeps waiting.
func TestTasksAtTheirLimitAttractNoInstances(t *testing.T) {
	l, m, _ := newLimitedLeader(t, 4000)
	l.fleet.instances["m1"] = model.Instance{Name: "m1", Pool: "s", Capacity: m.Capacity}
	j := acceptFor(l, "wide", "q", "a", model.Step{Count: 50, Need: need(2), Estimate: time.Second})
	assert.Assert(t, l.demand()["s"][""].Backlog.Cores > 0)
	assert.Equal(t, planAll(l, j), 2)
	assert.Equal(t, l.demand()["s"][""].Backlog, model.Amount{})
}

// Guards against a gang that is starved by its account's tasks of another service, also in rounds that
// don't plan its own.
func TestRoomOfAGangIsKeptInAllServices(t *testing.T) {
	l, m, _ := newLimitedLeader(t, 4000)
	first := acceptFor(l, "first", "q", "a", model.Step{Count: 1, Need: need(2)})
	assert.Equal(t, planAll(l, first), 1)
	gang := acceptFor(l, "gang", "q", "a", model.Step{Count: 2, Need: need(2), Gang: true})
	assert.Equal(t, planAll(l, gang), 0)
	small := acceptFor(l, "small", "r", "a", model.Step{Count: 2, Need: need(1)})
	for range 5 {
		clear(l.planDue)
		l.planDue["t"], l.now = true, l.now+10*time.Millisecond
		l.plan()
		assert.Equal(t, runsOf(small), 0)
	}
	l.markDead(m, "test")
	next := &member{Member: execs.Member{Executor: model.Executor{ID: "z", Service: "s", Capacity: m.Capacity}, Key: "z@1", Contact: execs.Live, Listed: true}, adopted: true, visible: true}
	l.members[next.Key], l.byID["z"], l.byService = next, next, nil
	first.Task(model.TaskID{Job: "first"}).NotBefore = l.now + time.Hour
	assert.Equal(t, planAll(l, gang), 2)
	assert.Equal(t, runsOf(small), 0)
}

// Guards against an account that exceeds its limit because a list that lacks unreadable rows releases its
// orphaned runs, which the executor may still have.
func TestPartialListReleasesNoOrphan(t *testing.T) {
	l, m, _ := newLimitedLeader(t, 5000)
	acceptFor(l, "known", "q", "a", model.Step{Count: 1, Need: need(3)})
	row := model.Run{Task: model.TaskID{Job: "known"}, Attempt: 9}
	answerPoll(l, m, 0, platform.PollResult{Running: []model.Run{row}})
	assert.Equal(t, l.quota.ledger.Used("a"), need(3))
	for range 2 {
		answerPoll(l, m, 0, platform.PollResult{Unreadable: 1})
		assert.Equal(t, l.quota.ledger.Used("a"), need(3))
	}
	answerPoll(l, m, 0, platform.PollResult{Running: []model.Run{row}, Unreadable: 1})
	assert.Equal(t, l.quota.ledger.Used("a"), need(3), "a run that is listed again counts once")
	end := model.End{Seq: 1, Task: row.Task, Attempt: row.Attempt, Ending: model.EndedStopped}
	answerPoll(l, m, 0, platform.PollResult{Ended: []model.End{end}, Unreadable: 1})
	assert.Equal(t, l.quota.ledger.Used("a"), model.Amount{}, "its end is listed")
	for _, last := range []func(){func() { answerPoll(l, m, 0, platform.PollResult{}) }, func() { l.markDead(m, "test") }} {
		answerPoll(l, m, 0, platform.PollResult{Running: []model.Run{row}})
		answerPoll(l, m, 0, platform.PollResult{Unreadable: 1})
		assert.Equal(t, l.quota.ledger.Used("a"), need(3))
		last()
		assert.Equal(t, l.quota.ledger.Used("a"), model.Amount{})
	}
}

// Guards against an account that exceeds its limit by best-effort runs of an ended job on an executor whose
// cores are all reserved: these runs reserve none.
func TestBestEffortOrphansCountOnAFullExecutor(t *testing.T) {
	l, m, _ := newLimitedLeader(t, 5000)
	job := acceptFor(l, "job", "q", "a", model.Step{Count: 1, Need: need(4), BestEffort: true})
	assert.Equal(t, planAll(l, job), 1)
	r := job.Task(model.TaskID{Job: "job"}).Runs[0]
	id, attempt := r.Task.ID, r.Attempt
	l.cancelJob("job")
	l.dropRun(r)
	m.Used = m.Capacity
	answerPoll(l, m, 0, platform.PollResult{Running: []model.Run{{Task: id, Attempt: attempt}}})
	assert.Equal(t, l.quota.ledger.Used("a"), need(4))
}

// Guards against an account that exceeds its limit after a long takeover: the leases of the runs of a job that
// had just ended were extended while the jobs were loaded.
func TestRunsOfAnEndedJobCountAfterALongLoad(t *testing.T) {
	for _, c := range []struct {
		load, ended time.Duration
		unknown     model.Amount
	}{{0, 15 * time.Second, need(4)}, {0, 25 * time.Second, model.Amount{}}, {60 * time.Second, 65 * time.Second, need(4)}, {60 * time.Second, 85 * time.Second, model.Amount{}}} {
		l, m, _ := newLimitedLeader(t, 5000)
		l.wall = time.Duration(time.Now().UnixNano())
		former := track.New(0)
		former.Accept("job", model.Queue{Name: "q", Service: "s"}, model.JobSpec{Repeats: 1, Account: "a", Steps: []model.Step{{Count: 1, Need: need(4)}}}, l.wall, l.now)
		former.BeginRun(former.Job("job").Task(model.TaskID{Job: "job"}), m.Key, 0, l.now)
		former.Cancel("job", l.wall-c.ended)
		loader := track.NewLoader(platform.DecodeJob)
		for _, r := range former.TakeChanges().Records {
			assert.NilError(t, loader.Add(r.Key, r.Value))
		}
		l.now += 100 * time.Second
		l.start = l.now - c.load
		l.onLoaded(loaded{loader: loader, heldAt: l.now})
		m.Contact, m.adopted = execs.Uncontacted, false
		l.countFormerRuns()
		assert.Equal(t, l.quota.ledger.Used("a"), c.unknown, "%+v", c)
	}
}

// Guards against instances that are moved to a pool for long-running tasks that their account's limit keeps
// waiting, and against instances that are taken from those that run.
func TestLongRunningTasksAtTheirLimitAttractNoInstances(t *testing.T) {
	l, m, _ := newLimitedLeader(t, 4000)
	l.fleet.instances["m1"] = model.Instance{Name: "m1", Pool: "s", Capacity: m.Capacity}
	l.fleet.waitingSince = map[workKind]time.Duration{}
	j := acceptFor(l, "wide", "q", "a", model.Step{Count: 50, Need: need(2), LongRunning: true, MaxPerExecutor: 2})
	assert.Equal(t, planAll(l, j), 2)
	for range 3 {
		d := l.demand()["s"][""]
		assert.Equal(t, d.LongRunning, need(4))
		assert.Equal(t, d.MinInstances, 1)
		assert.Assert(t, !d.NeedsInstance)
		l.now += growAfterLongRunning
	}
	setLimit(t, l, 3, 0)
	l.demand()
	l.now += 2 * growAfterLongRunning
	d := l.demand()["s"][""]
	assert.Equal(t, d.LongRunning, need(100))
	assert.Assert(t, d.NeedsInstance)
}

// Guards against an account that exceeds its limit after a takeover by a run of a job that ended long before and
// whose stop is still not confirmed, whether its leader ordered it or found it as an orphan. Also guards against
// records of ended jobs that are renewed without runs.
func TestRunThatDoesNotStopCountsAfterTakeovers(t *testing.T) {
	l, m, _ := newLimitedLeader(t, 5000)
	l.wall = time.Duration(time.Now().UnixNano())
	job := acceptFor(l, "job", "q", "a", model.Step{Count: 1, Need: need(4)})
	assert.Equal(t, planAll(l, job), 1)
	r := job.Task(model.TaskID{Job: "job"}).Runs[0]
	l.onStarted(startedRun{m: m, run: r})
	row := model.Run{Task: r.Task.ID, Attempt: r.Attempt}
	l.cancelJob("job")
	loader := track.NewLoader(platform.DecodeJob)
	records, ends := 0, 0
	pass := func(rows ...model.Run) {
		records = 0
		for range 50 {
			l.now, l.wall = l.now+time.Second, l.wall+time.Second
			answerPoll(l, m, 0, platform.PollResult{Running: rows})
			l.retryStops()
			l.expireLeases()
			batch := l.tracker.TakeChanges()
			for _, rec := range batch.Records {
				if rec.Key == "job" {
					records++
				}
				assert.NilError(t, loader.Add(rec.Key, rec.Value))
			}
			ended, _ := l.tracker.MarkStored(batch)
			ends += len(ended)
		}
	}
	for range 2 {
		pass(row)
		assert.Assert(t, records > 5 && records <= 20, "%d records", records)
		l, m, _ = func() (*Leader, *member, *member) {
			wall := l.wall
			l, m, o := newLimitedLeader(t, 5000)
			l.wall, l.start = wall, l.now
			l.onLoaded(loaded{loader: loader})
			m.Contact, m.adopted = execs.Uncontacted, false
			return l, m, o
		}()
		next := acceptFor(l, "next", "r", "a", model.Step{Count: 9, Need: need(1)})
		assert.Equal(t, planAll(l, next), 1)
	}
	pass()
	assert.Assert(t, records <= 1, "%d records", records)
	assert.Equal(t, ends, 1, "the job ends once")
}

// Guards against jobs that wait because the orphaned runs of an ended job count on each executor as all that the
// job left, and against an account that exceeds its limit once the first of these executors is rid of them.
func TestOrphansOfAnEndedJobCountAsMuchAsItLeft(t *testing.T) {
	l, m, other := newLimitedLeader(t, 50000)
	newFormerJob(t, l)
	l.cancelJob("job")
	row := func(i int) model.Run { return model.Run{Task: model.TaskID{Job: "job", Index: i}, Attempt: 3} }
	for range 2 {
		answerPoll(l, m, 0, platform.PollResult{Running: []model.Run{row(0)}})
		answerPoll(l, other, 0, platform.PollResult{Running: []model.Run{row(1)}})
		assert.Equal(t, l.quota.ledger.Used("a"), need(4))
	}
	answerPoll(l, m, 0, platform.PollResult{})
	assert.Equal(t, l.quota.ledger.Used("a"), need(4), "two cores at least are in use")
	answerPoll(l, other, 0, platform.PollResult{Unreadable: 1})
	assert.Equal(t, l.quota.ledger.Used("a"), need(4))
	answerPoll(l, other, 0, platform.PollResult{})
	assert.Equal(t, l.quota.ledger.Used("a"), model.Amount{})
	assert.Equal(t, len(l.quota.orphans)+len(l.quota.ended), 0)
}
