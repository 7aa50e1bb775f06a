package leader

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a stored job that is lost or runs twice because other events come between its append and the outcome of
// that: a repeat, a cancel, a leaderless record of the same job, or a body in the same append that can't be decoded.
func TestEventsWhileJobsAreStored(t *testing.T) {
	l, _ := newSharedLeader(t, "")
	submit := func(id, body string) *submitRequest {
		ev := &submitRequest{Submission: relay.Submission{ID: id, Queue: "q", Body: []byte(body)}, reply: make(chan relay.Answer, 1)}
		l.onSubmit(ev)
		return ev
	}
	evs := []*submitRequest{submit("malformed", "{"), submit("cancelled", sharedBody), submit("leaderless", sharedBody), submit("plain", sharedBody)}
	ev := appended{accepts: l.store.accepts, sent: l.now, last: 1}
	l.store.accepts, l.store.busy, l.store.firstSent, l.store.inFlight = nil, true, l.now, map[string]*submitRequest{}
	for _, a := range ev.accepts {
		l.store.inFlight[a.ID] = a
	}
	ev.prepared = l.prepareJobs(context.Background(), l.tracker, ev.accepts)
	assert.Equal(t, l.tracker.Job("plain") == nil, true, "it is not stored yet")
	repeat := submit("plain", sharedBody)
	c := &cancelRequest{id: "cancelled", reply: make(chan relay.Verdict, 1)}
	l.onCancel(c)
	r := track.LeaderlessJobRecord("leaderless", model.Queue{Name: "q", Service: "s"}, "", []byte(sharedBody), l.wall)
	l.onLeaderless(leaderlessRead{records: []platform.Record{{Key: r.Key, Value: r.Value}}})
	known := l.tracker.Job("leaderless")
	known.Open[0].Steps[0].Tasks[0].Attempt = 7
	l.onAppended(ev)
	for i, want := range []relay.Verdict{relay.Unknown, relay.Stored, relay.Stored, relay.Stored} {
		assert.Equal(t, (<-evs[i].reply).Verdict, want, evs[i].ID)
	}
	assert.Equal(t, (<-repeat.reply).Verdict, relay.Stored)
	assert.Assert(t, l.tracker.Job("leaderless") == known && known.Open[0].Steps[0].Tasks[0].Attempt == 7)
	assert.Equal(t, l.tracker.Len(), 3)
	assert.Equal(t, len(l.store.cancels), 1, "it is stored after the job")
	l.onCancelStored(l.store.cancels[0])
	assert.Assert(t, l.tracker.Job("cancelled").IsOver())
}

// Guards against stored jobs that wait for memory to decode them until the store counts as slow, and against memory that is
// not given back.
func TestStoredJobsDoNotWaitForMemory(t *testing.T) {
	l, _ := newSharedLeader(t, "")
	l.Guard = guard.New(context.Background(), guard.Limits{Held: 1 << 20, Decode: 1 << 10}, clock.NewSystem(), tally.NoopScope)
	defer l.Guard.Close()
	body := []byte(sharedBody)
	release, ok := l.Guard.Decode(context.Background(), body)
	assert.Assert(t, ok)
	var accepts []*submitRequest
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		accepts = append(accepts, &submitRequest{Submission: relay.Submission{ID: id, Body: body}})
	}
	done := make(chan []preparedJob, 1)
	go func() { done <- l.prepareJobs(context.Background(), l.tracker, accepts) }()
	select {
	case out := <-done:
		for _, p := range out {
			assert.Assert(t, p.job != nil)
		}
	case <-time.After(20 * prepareWait):
		t.Fatal("jobs wait for memory")
	}
	release()
	for range 3 {
		l.prepareJobs(context.Background(), l.tracker, accepts)
	}
	release, ok = l.Guard.Decode(context.Background(), body)
	assert.Assert(t, ok, "all memory was given back")
	release()
}
