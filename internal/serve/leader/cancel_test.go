package leader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

// cancelUnknown cancels a job that is not known, after a read of the leaderless records.
func cancelUnknown(l *Leader, id string) *cancelRequest {
	c := &cancelRequest{id: id, reply: make(chan relay.Verdict, 1)}
	l.onCancel(c)
	l.now += 10 * time.Millisecond
	l.leaderlessTail.sent = l.now
	l.onLeaderless(leaderlessRead{})
	return c
}

// Guards against a job that runs after its cancel was answered: an entry's record of the job was carried out seconds
// after the cancel, for which the leader had stored nothing. Guards also against the same after a takeover.
func TestCancelOfAnUnknownJobIsStored(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		l, _, _ := newStoringLeader(t)
		c := cancelUnknown(l, "x")
		assert.Equal(t, len(c.reply), 0, "answered although nothing is stored")
		assert.Equal(t, len(l.store.cancels), 1)
		stored := track.CancelRecord("x", l.wall)
		l.onAppended(appended{cancels: l.store.cancels})
		assert.Equal(t, <-c.reply, relay.NotFound)
		if takeover {
			loader := track.NewLoader(platform.DecodeJob)
			assert.NilError(t, loader.Add(stored.Key, stored.Value))
			l.tracker, _ = loader.Load(64, l.now, l.wall)
		}
		r := track.LeaderlessJobRecord("x", model.Queue{Name: "q", Service: "s"}, "", []byte(sharedBody), l.wall)
		l.onLeaderless(leaderlessRead{records: []platform.Record{{Key: r.Key, Value: r.Value}}})
		j := l.tracker.Job("x")
		assert.Assert(t, j != nil && j.IsOver(), "the job can start")
		assert.Assert(t, l.tracker.Active()["x"] == nil)
	}
}

// Guards against cancels of jobs that never come, which stay in the store and in memory for ever, and against a
// deletion of the job's record with that of its cancel.
func TestCancelsOfJobsThatNeverComeAreForgotten(t *testing.T) {
	l, w, _, _ := newPurgingLeader(t)
	l.LastRenewal = func() time.Duration { return l.now }
	w.Store.PutPartition(Topic, LeaderlessPart(l.Settings.Store.Parts), "y!", track.CancelRecord("y", l.wall).Value)
	applyRead(t, l, readLeaderless(t, l))
	l.onAppended(appended{cancels: []*cancelRequest{{id: "x", reply: make(chan relay.Verdict, 1)}}})
	assert.Equal(t, l.tracker.EarlyCancels(), 2)
	l.wall += l.Settings.Bounds.Status + statusRetentionSlack + time.Second
	l.store.busy = true // the deletions are queued
	for range 3 {
		applyRead(t, l, readLeaderless(t, l))
		purgeOnce(l)
	}
	applyRead(t, l, readLeaderless(t, l))
	assert.Equal(t, l.tracker.EarlyCancels(), 0)
	assert.Assert(t, !l.hasLeaderless("y"))
	keys := map[string]bool{}
	for _, r := range l.store.pending {
		keys[r.Key] = r.Value == nil
	}
	assert.Assert(t, keys["x!"] && !keys["x"])
	_, err := l.readNewest(t.Context(), Topic, LeaderlessPart(l.Settings.Store.Parts), func(r platform.Record) {
		assert.Assert(t, r.Key != "y!", "the cancel is still stored")
	})
	assert.NilError(t, err)
}

// Guards against a client that fills the memory of the leader with cancels of jobs that it has made up, and against
// a bound that the clients of a store's outage meet: 200 submissions a second without an answer for 10 s.
func TestCancelsOfUnknownJobsAreBounded(t *testing.T) {
	l, _, _ := newStoringLeader(t)
	n := 0
	for ; n < 1_000_000; n++ {
		id := fmt.Sprintf("%016x", n)
		c := cancelUnknown(l, id)
		if len(c.reply) > 0 {
			assert.Equal(t, <-c.reply, relay.Refused)
			break
		}
		cancels := l.store.cancels
		l.store.cancels = nil
		l.onAppended(appended{cancels: cancels})
	}
	assert.Assert(t, n >= 2000 && int64(n)*cancelBytes <= guard.NewLimits(0, 0).Jobs/8, "%d cancels", n)
}
