package leader

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/serve/relay"
)

// Guards against jobs that wait behind an append while the store is away, and whose callers then
// hear that the outcome is not known (112 answers of 504 in an outage of 4.5 s). Nothing was sent
// for them, so their callers can be told so, as soon as the store refuses or is slow. The jobs of
// the append itself have no known outcome and keep waiting.
func TestQueuedRequestsAreReturnedWhenTheStoreIsAway(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		l, _, _ := newTestLeader(t)
		l.Meters, l.ready = NewMeters(tally.NoopScope), true
		sent := l.now
		l.store.busy, l.store.firstSent = true, sent
		inFlight := &submitRequest{Submission: relay.Submission{ID: "a"}, reply: make(chan relay.Answer, 1)}
		l.store.inFlight = map[string]*submitRequest{"a": inFlight}
		queued := &submitRequest{Submission: relay.Submission{ID: "b"}, reply: make(chan relay.Answer, 1)}
		cancel := &cancelRequest{id: "job", reply: make(chan relay.Verdict, 1)}
		l.store.accepts, l.store.cancels = []*submitRequest{queued}, []*cancelRequest{cancel}
		l.now += 100 * time.Millisecond
		l.returnQueued()
		l.handle(appendRefused{sent: sent - time.Second}) // of an earlier append
		assert.Equal(t, len(queued.reply), 0)
		if refuses {
			l.handle(appendRefused{sent: sent})
		} else {
			l.now = sent + slowAppendAfter + 1
			l.returnQueued()
		}
		assert.Equal(t, len(queued.reply), 1)
		assert.Equal(t, (<-queued.reply).Verdict, relay.NotLeader)
		assert.Equal(t, <-cancel.reply, relay.NotLeader)
		assert.Equal(t, len(inFlight.reply), 0)
		assert.Equal(t, len(l.store.accepts)+len(l.store.cancels), 0)
	}
}
