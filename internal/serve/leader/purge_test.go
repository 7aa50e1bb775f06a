package leader

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// newPurgingLeader returns a leader and the faults of its store. The leader knows a job that an entry
// stored without it and that is complete for longer than its state has to be shown.
func newPurgingLeader(t *testing.T) (*Leader, *fake.Platform, *fake.StoreProxy, string) {
	t.Helper()
	l, _, _ := newStoringLeader(t)
	w := fake.NewPlatform(nil)
	t.Cleanup(w.Close)
	link := w.NewStoreProxy()
	l.Settings = w.Settings("self", 1, 2, 3)
	l.Settings.Store.Addr = link.Addr()
	l.Client = platform.NewClient(l.Settings)
	t.Cleanup(l.Client.Close)
	l.Execs, l.ctx, l.events = directExecutors{l.Client}, t.Context(), make(chan event, 8)
	l.initFleet(nil, l.now)
	putJobs(w.Store, LeaderlessPart(l.Settings.Store.Parts), 1, 10)
	applyRead(t, l, readLeaderless(t, l))
	const id = "000000000000000" + "1"
	for _, task := range l.tracker.Job(id).Open[0].Steps[0].Tasks {
		r := l.tracker.BeginRun(task, "x@1", 0, l.now)
		l.tracker.ApplyEnd("x@1", model.End{Task: task.ID, Attempt: r.Attempt, Ending: model.EndedDone}, false, l.wall)
	}
	l.tracker.MarkStored(l.tracker.TakeChanges())
	assert.Equal(t, l.tracker.Job(id).State(), model.Complete)
	l.wall += l.Settings.Bounds.Status + statusRetentionSlack + time.Second
	return l, w, link, id
}

func readLeaderless(t *testing.T, l *Leader) leaderlessRead {
	t.Helper()
	l.now += leaderlessTailInterval
	l.leaderlessTail.sent = l.now
	ev, ok := l.readLeaderless(context.Background(), l.leaderlessTail.from).(leaderlessRead)
	assert.Assert(t, ok)
	return ev
}

func applyRead(t *testing.T, l *Leader, ev leaderlessRead) {
	t.Helper()
	assert.NilError(t, ev.err)
	l.onLeaderless(ev)
}

// dropHistory has another entry store a cancel without the leader, and drops it from the history before the
// leader has read it.
func dropHistory(l *Leader, w *fake.Platform) {
	part := LeaderlessPart(l.Settings.Store.Parts)
	c := track.CancelRecord("unread", l.wall)
	w.Store.PutPartition(Topic, part, c.Key, c.Value)
	w.Store.Truncate(Topic, part)
}

// purgeOnce purges and waits for the answer of the store, if anything was sent.
func purgeOnce(l *Leader) {
	l.now += purgeInterval
	l.purge()
	if l.calls > 0 {
		l.handle(<-l.events)
	}
}

// Guards against a complete job that runs again: the leader had forgotten it although its leaderless
// record could not be deleted, and took that record for a new job once the store dropped its history.
func TestEndedJobIsKnownUntilItsLeaderlessRecordIsDeleted(t *testing.T) {
	l, w, link, id := newPurgingLeader(t)
	for _, f := range []fake.Faults{{Busy: true}, {LoseAnswers: true}} {
		link.Set(f)
		purgeOnce(l)
		link.Set(fake.Faults{})
		dropHistory(l, w)
		applyRead(t, l, readLeaderless(t, l))
		assert.Assert(t, l.tracker.Job(id) != nil)
		assert.Equal(t, l.tracker.Job(id).State(), model.Complete, "the job would run again")
	}
	purgeOnce(l)
	applyRead(t, l, readLeaderless(t, l))
	purgeOnce(l)
	assert.Assert(t, l.tracker.Job(id) == nil, "the job is kept for ever")
	assert.Equal(t, l.store.pending[0].Key, id)
	assert.Assert(t, l.store.pending[0].Value == nil)
	rs, _, _, err := l.Client.Newest(context.Background(), Topic, LeaderlessPart(l.Settings.Store.Parts), "", readStall)
	assert.NilError(t, err)
	assert.Equal(t, len(rs), 1)
	assert.Equal(t, track.JobID(rs[0].Key), "unread")
}

// Guards against the same by a read that was sent before the record was deleted and is answered after it.
func TestReadBeforeADeletionStartsNoEndedJob(t *testing.T) {
	l, w, _, id := newPurgingLeader(t)
	dropHistory(l, w)
	ev := readLeaderless(t, l)
	purgeOnce(l)
	purgeOnce(l)
	applyRead(t, l, ev)
	assert.Assert(t, l.tracker.Job(id) != nil)
	assert.Equal(t, l.tracker.Job(id).State(), model.Complete, "the job would run again")
}

// Guards against the same by a record that an entry stored while the leader could not read: the leader forgot
// the job without knowing of the record.
func TestEndedJobsAreKnownWhileLeaderlessRecordsCanNotBeRead(t *testing.T) {
	l, _, _, id := newPurgingLeader(t)
	clear(l.leaderless)
	l.now += statusRetentionSlack
	purgeOnce(l)
	assert.Assert(t, l.tracker.Job(id) != nil)
	applyRead(t, l, readLeaderless(t, l))
	purgeOnce(l)
	assert.Assert(t, l.tracker.Job(id) == nil)
}
