package leader

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

const (
	largeMemory, smallMemory = 536, 184
	tasksBody                = `{"phases":[{"count":100000,"cpu":10}]}`
)

var (
	stepsBody    = `{"phases":[{"count":1}` + strings.Repeat(`,{"count":1}`, 19_999) + `]}`
	ordinaryBody = `{"spec":"` + strings.Repeat("x", 3000) + `","phases":[{"count":8},{"count":32,"after":[0]},{"count":24,"after":[1]}]}`
	paddedBody   = `{"phases":[{"count":1}]}` + strings.Repeat(" ", 60_000)
)

// fill has a leader with the largest memory accept jobs of each body until it refuses one, and returns a loader
// with what it has stored, and the number of jobs. next is the memory of the smallest entry that it knows.
func fill(t *testing.T, next int64, bodies ...string) (*track.Loader, int) {
	t.Helper()
	l, _, _ := newTestLeader(t)
	l.Settings.Memory = largeMemory
	l.SmallestMemory = func() int64 { return next }
	l.memory.countedAt = l.now
	out, n := track.NewLoader(platform.DecodeJob), 0
	for _, b := range bodies {
		bytes := bodyBytes([]byte(b))
		for l.hasMemory(bytes, len(b)) {
			r := track.JobRecord(fmt.Sprintf("%016x", n), model.Queue{Name: "q", Service: "s"}, "", []byte(b), 0)
			assert.NilError(t, out.Add(r.Key, r.Value))
			l.memory.used.add(bytes)
			l.memory.used.stored += storedBytes(len(b))
			n++
		}
	}
	return out, n
}

// loadSmall loads state into a leader with the least memory.
func loadSmall(t *testing.T, from *track.Loader) (*Leader, *member) {
	t.Helper()
	l, m, _ := newTestLeader(t)
	l.Settings.Memory, l.Clock, l.Execs = smallMemory, clock.NewFake(time.Unix(0, 0)), directExecutors{}
	l.leaderless = map[string]leaderlessRecords{}
	l.onLoaded(loaded{loader: from})
	return l, m
}

// endAll ends the expanded jobs again and again, until each job had its turn.
func endAll(t *testing.T, l *Leader) {
	t.Helper()
	for end := 20 * l.tracker.Len(); len(l.tracker.Parked()) > 0; end-- {
		assert.Assert(t, end > 0, "%d jobs left", len(l.tracker.Parked()))
		for id := range l.tracker.Active() {
			l.cancelJob(id)
		}
		l.now += expandInterval
		l.expandParked(expandTime)
		for _, j := range l.tracker.TakeExpanded() {
			assert.Assert(t, j.IsOver() || len(j.Open) == 1)
		}
	}
}

// Guards against jobs that never start since their stored forms alone exceed the memory for jobs: the former leader
// knew no smaller entry.
func TestJobsStartBesideManyStoredForms(t *testing.T) {
	stored, n := fill(t, 0, paddedBody)
	l, _ := loadSmall(t, stored)
	endAll(t, l)
	assert.Equal(t, l.tracker.Len(), n)
}

// Guards against an entry that exceeds its memory once it takes over, by what a larger leader accepted: 134 MB of
// jobs, where its limit is 36.7 MB.
func TestSuccessorStaysWithinItsMemory(t *testing.T) {
	limit := guard.NewLimits(smallMemory, 0).Jobs
	for name, bodies := range map[string][]string{
		"mix": {tasksBody, stepsBody, ordinaryBody}, "ordinary": {ordinaryBody}, "padded": {paddedBody},
	} {
		t.Run(name, func(t *testing.T) {
			before := heap()
			stored, n := fill(t, smallMemory, bodies...)
			l, _ := loadSmall(t, stored)
			stored = nil
			took := heap() - before
			t.Logf("%d jobs, %d expanded, heap %d KiB", n, len(l.tracker.Active()), took>>10)
			assert.Assert(t, took <= limit*5/4)
			assert.Equal(t, l.tracker.Len(), n)
			assert.Assert(t, !l.hasMemory(limit/2, 1000) || name == "padded", "jobs that were put off count")
			endAll(t, l)
			runtime.KeepAlive(l)
		})
	}
}

// Guards against a run of a job that was put off which is stopped as one that no job needs, or is started again.
func TestListedRunOfAParkedJobIsAdopted(t *testing.T) {
	stored, _ := fill(t, smallMemory, ordinaryBody)
	l, m := loadSmall(t, stored)
	j := l.tracker.Parked()[0]
	ev := polled{m: m, sent: l.now}
	ev.list.Running = []model.Run{{Task: model.TaskID{Job: j.ID}, Attempt: 1}}
	l.reconcileRuns(m, ev, true)
	assert.Assert(t, !j.IsParked() && len(l.tracker.RunsOn(m.Key)) == 1)
	task := j.Open[0].Steps[0].Tasks[1]
	assert.Assert(t, task.Unresolved && !task.IsWaiting(), "its other tasks wait for the other executors")
}

// Guards against ordinary jobs that are refused because of a small entry: 100 a second that wait for 50 s.
func TestOrdinaryQueueIsAcceptedBesideASmallEntry(t *testing.T) {
	stored, n := fill(t, smallMemory, ordinaryBody)
	assert.Assert(t, stored != nil && n >= 50*100, "%d jobs", n)
}

// Guards against a client that has the leader refuse ordinary jobs by polls as an entry with hardly any memory.
func TestNextLimitHasALeastValue(t *testing.T) {
	l, _, _ := newTestLeader(t)
	l.Settings.Memory = largeMemory
	for says, want := range map[int64]int64{0: largeMemory, 1: smallMemory, smallMemory: smallMemory, 284: 284, 9999: largeMemory} {
		l.SmallestMemory = func() int64 { return says }
		assert.Equal(t, l.nextLimit(), guard.NewLimits(want, 0).Jobs)
	}
}

// Guards against state that no entry can load: the store's page of 500 large submissions exceeds the size of an
// answer.
func TestPagesOfLargeSubmissionsAreLoaded(t *testing.T) {
	w := fake.NewPlatform(nil)
	t.Cleanup(w.Close)
	l := newLinkedLeader(t, w, 1<<30)
	for i := range 80 {
		body := append([]byte(`{"phases":[{"count":1}]}`), make([]byte, 200_000)...)
		for k := 24; k < len(body); k++ {
			body[k] = ' '
		}
		for part, r := range []track.Record{
			track.JobRecord(fmt.Sprintf("%016x", i), model.Queue{Name: "q"}, "", body, 0),
			track.LeaderlessJobRecord(fmt.Sprintf("%016x", 1000+i), model.Queue{Name: "q"}, "", body, 0),
		} {
			w.Store.PutPartition(Topic, part, r.Key, r.Value)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ev, ok := l.load(ctx).(loaded)
	assert.Assert(t, ok)
	assert.NilError(t, ev.err)
	assert.Equal(t, ev.records, 160)
}

// addLeaderless has a leader read the record of a job that an entry stored while it had no leader.
func addLeaderless(l *Leader, id, account, body string) *track.Job {
	r := track.LeaderlessJobRecord(id, model.Queue{Name: "q", Service: "s"}, account, []byte(body), l.wall)
	l.onLeaderless(leaderlessRead{records: []platform.Record{{Key: r.Key, Value: r.Value}}})
	return l.tracker.Job(id)
}

// Guards against jobs that are put off although there is room: a leader that no submission reaches counted all jobs
// that it had read, with those that had ended.
func TestEndedJobsLeaveRoomForLeaderlessOnes(t *testing.T) {
	l, _ := loadSmall(t, track.NewLoader(platform.DecodeJob))
	for i := range 20 {
		j := addLeaderless(l, fmt.Sprintf("%016x", i), "", tasksBody)
		assert.Assert(t, !j.IsParked(), "job %d", i)
		l.cancelJob(j.ID)
		l.now += time.Second
	}
}

// Guards against ended jobs that a leader which no submission reaches keeps in memory for ever.
func TestEndedLeaderlessJobsAreNotKept(t *testing.T) {
	l, _ := loadSmall(t, track.NewLoader(platform.DecodeJob))
	for i := range 20 {
		l.cancelJob(addLeaderless(l, fmt.Sprintf("%016x", i), "", ordinaryBody).ID)
		l.now += purgeInterval
	}
	assert.Assert(t, len(l.memory.perOccurrence) < 3, "%d jobs are kept", len(l.memory.perOccurrence))
}

// Guards against a job that is put off and counts as one that an earlier leader may have started, although an entry has
// stored it since the load: it counted against its account's limit, and waited for executors that can't run it.
func TestLeaderlessJobThatIsPutOffHasNoFormerRuns(t *testing.T) {
	l, m := loadSmall(t, track.NewLoader(platform.DecodeJob))
	l.members[m.Key].Contact = execs.Uncontacted
	addLeaderless(l, "first", "", tasksBody)
	j := addLeaderless(l, "second", "a", tasksBody)
	assert.Assert(t, j.IsParked())
	assert.Equal(t, l.tracker.Unlisted()["a"], track.Left{})
	l.cancelJob("first")
	l.now += expandInterval
	l.expandParked(expandTime)
	l.onExpanded()
	l.resolveFormerRuns()
	assert.Assert(t, !j.IsParked() && !j.IsUnresolved())
	assert.Assert(t, j.Open[0].Steps[0].Tasks[0].IsWaiting())
}

// Guards against jobs of an account within its weight that go behind others because they were put off: their tokens were
// taken when they were expanded, from what the account had left after its later submissions.
func TestPutOffJobsKeepTheirTokens(t *testing.T) {
	l, _ := newSharedLeader(t, twoAccounts)
	l.now = time.Minute
	from := track.NewLoader(platform.DecodeJob)
	for i := range 20 {
		for account, at := range map[string]time.Duration{"small": l.wall - time.Duration(i)*time.Second, "large": l.wall} {
			r := track.JobRecord(fmt.Sprintf("%s-%d", account, i), model.Queue{Name: "q", Service: "s"}, account, []byte(sharedBody), at)
			assert.NilError(t, from.Add(r.Key, r.Value))
		}
	}
	l.tracker, _ = from.LoadWithin(func(track.Size) bool { return false }, 0, l.now, l.wall)
	l.loadShares()
	for i := range 10 {
		l.now, l.wall = l.now+time.Second, l.wall+time.Second
		assert.Assert(t, submitAs(l, "small", fmt.Sprint(i)) == nil)
		assert.Assert(t, !l.tracker.Job(fmt.Sprint(i)).Excess)
	}
	for _, j := range l.tracker.Parked() {
		l.tracker.Expand(j.ID, l.wall)
	}
	l.onExpanded()
	excess := map[string]int{}
	for _, j := range l.tracker.Active() {
		if j.Excess {
			excess[j.Account]++
		}
	}
	assert.DeepEqual(t, excess, map[string]int{"large": 10})
}

// Guards against a task that runs twice: a job was put off and is expanded while an executor that may run its tasks has
// not answered, after the runs of all jobs that were not put off were known.
func TestExpandedJobWaitsForUncontactedExecutors(t *testing.T) {
	stored, _ := fill(t, smallMemory, ordinaryBody)
	l, m := loadSmall(t, stored)
	m.Contact, l.allResolved = execs.Uncontacted, true
	j := l.tracker.Parked()[0]
	l.tracker.Expand(j.ID, l.wall)
	l.onExpanded()
	l.resolveFormerRuns()
	task := j.Open[0].Steps[0].Tasks[0]
	assert.Assert(t, task.Unresolved && !l.allResolved)
	m.Contact, m.adopted = execs.Live, true
	l.applyEnds(m, []model.End{{Seq: 1, Task: task.ID, Attempt: 1, Ending: model.EndedDone}}, true)
	l.resolveFormerRuns()
	assert.Assert(t, task.Done && j.Open[0].Steps[0].Tasks[1].IsWaiting())
}
