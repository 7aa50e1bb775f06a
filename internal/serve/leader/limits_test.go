package leader

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a leader that stores nothing any more: the store refuses the record of a submission
// that is too large, and the append was repeated for ever.
func TestSubmissionLargerThanARecordIsRefused(t *testing.T) {
	l, _, _ := newTestLeader(t)
	l.Meters, l.ready, l.Settings.Store.RecordBytes = NewMeters(tally.NoopScope), true, 1000
	l.LastRenewal = func() time.Duration { return l.now }
	moveQueue(t, l, 1, "s")
	for size, stored := range map[int]bool{500: true, 990: false, 1000: false, 1 << 20: false} {
		s := &submitRequest{Submission: relay.Submission{ID: "0123456789abcdef", Queue: "q", Body: make([]byte, size)}, reply: make(chan relay.Answer, 1)}
		l.store.accepts = nil
		l.onSubmit(s)
		assert.Equal(t, len(l.store.accepts) == 1, stored, size)
		if r := track.JobRecord(s.ID, s.settings, s.Account, s.Body, l.wall); stored {
			assert.Assert(t, len(platform.KeyedRecord(r.Key, r.Value)) <= 1000)
		} else {
			assert.Equal(t, (<-s.reply).Verdict, relay.Refused)
		}
	}
}

// Guards against a task that runs twice: the row of its run could not be read, so that the run was
// taken for gone after two lists.
func TestRunsAreKeptWhileAListIsUnreadable(t *testing.T) {
	l, m, task := newTestLeader(t)
	r := l.tracker.BeginRun(task, m.Key, 0, 0)
	m.AddRun(task.Step)
	l.tracker.ConfirmRun(r, 0)
	for range 5 {
		l.now += time.Second
		l.reconcileRuns(m, polled{m: m, sent: l.now, list: platform.PollResult{Unreadable: 1}}, false)
		assert.Equal(t, len(task.Runs), 1)
	}
	for range maxMissedLists {
		l.now += time.Second
		l.reconcileRuns(m, polled{m: m, sent: l.now}, false)
	}
	assert.Equal(t, len(task.Runs), 0)
}
