package proxy

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a start that waited at a suspended entry and reaches an executor that has restarted,
// which refuses neither its fencing token nor its deadline.
func TestOrdersThatWaitAtASuspendedEntryExpire(t *testing.T) {
	leaderClock, entryClock := clock.NewFake(time.Unix(0, 0)), clock.NewFake(time.Unix(0, 0))
	entryClock.Advance(time.Hour)
	rec := &execRecorder{}
	w := newPipe(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(entryEnd{w}, rec, NewLimits(1000, 1<<20), entryClock, zerolog.Nop()) }()
	hello, err := leaderEnd{w}.Recv()
	assert.NilError(t, err)
	assert.Equal(t, len(hello.GetOutcomes()), 0)
	l := &link{clk: leaderClock, pending: map[uint64]*pendingOrder{}, specsSent: map[string]time.Duration{}, synced: make(chan struct{})}
	l.deliver(hello)
	order := func(seq uint64) *workpb.Orders {
		po := &pendingOrder{
			order: &workpb.Order{Seq: seq, Kind: uint32(kindStart), Task: "j.0.0.1", Attempt: 1}, job: "j", spec: "s", expires: leaderClock.Now() + 350*time.Millisecond, until: leaderClock.Now() + 350*time.Millisecond,
		}
		l.pending[seq] = po
		return l.message([]*pendingOrder{po})
	}
	waiting := order(1)
	leaderClock.Advance(2 * time.Second)
	entryClock.Advance(2 * time.Second)
	assert.NilError(t, leaderEnd{w}.Send(waiting))
	outcome := func() *workpb.Outcome {
		for {
			clock.Pause(t.Context(), clock.NewSystem(), time.Millisecond)
			entryClock.Advance(batchDelay)
			select {
			case m := <-w.outcomes:
				return m.GetOutcomes()[0]
			default:
			}
		}
	}
	out := outcome()
	assert.Equal(t, verdict(out.GetVerdict()), verdictRefused)
	assert.Equal(t, platform.Reason(out.GetReason()), platform.ReasonLate)
	assert.Equal(t, rec.count(), 0)
	leaderClock.Advance(entryClock.Now() - time.Hour - leaderClock.Now())
	assert.NilError(t, leaderEnd{w}.Send(order(2)))
	assert.Equal(t, verdict(outcome().GetVerdict()), verdictDone)
	assert.Equal(t, rec.count(), 1)
	w.cancel()
	<-served
}

// Guards against an estimate of another entry's clock that is ahead of it, so that an order could be carried
// out after it has expired, or so far behind that orders expire at once.
func TestRemoteClocksAreNeverAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c remoteClock
		drift := rapid.Float64Range(-maxDrift/2, maxDrift/2).Draw(t, "drift")
		start := time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "start"))
		theirs := func(now time.Duration) time.Duration { return start + now + time.Duration(drift*float64(now)) }
		now, least := time.Duration(0), time.Hour
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			now += time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(3*time.Second)).Draw(t, "pause"))
			delay := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay"))
			c.sync(theirs(now).Microseconds(), now+delay)
			now += delay
			least = min(least, delay)
			got := c.at(now, now)
			assert.Assert(t, got <= theirs(now), "ahead by %s", got-theirs(now))
			assert.Assert(t, got >= theirs(now)-least-time.Duration(2*maxDrift*float64(now))-time.Millisecond, "behind by %s", theirs(now)-got)
		}
	})
}

// Guards against orders that wait without an end for an entry that does not send its clock.
func TestAnEntryWithoutAClockMakesNoCalls(t *testing.T) {
	direct := &execRecorder{}
	pool := New(t.Context(), direct, clock.NewSystem(), zerolog.Nop(), "leader", func(ctx context.Context, _ string) (ClientStream, error) {
		return leaderEnd{newPipe(ctx)}, nil
	})
	defer pool.Close()
	pool.SetCentreSizes(map[string]int{"z": 500})
	pool.RecordPeer("deputy", "at", "z", 0)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := pool.Start(ctx, platform.Target{ID: "x", Centre: "z"}, platform.Start{Task: model.TaskID{Job: "j"}})
	assert.NilError(t, err)
	assert.Equal(t, direct.count(), 1)
	assert.Equal(t, pool.Caller(platform.Target{ID: "x", Centre: "z"}), "leader")
}

// Guards against an order of a process that was suspended between its decision and the call.
func TestExpiredOrdersAreNotForwarded(t *testing.T) {
	p := newPoolWithPeer(t, false)
	p.pool.RecordPeer("deputy", "at", "z", 0)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	refused := (*platform.OrderError)(nil)
	_, err := p.pool.Start(ctx, platform.Target{ID: "x", Centre: "z", Expires: 1}, platform.Start{Task: model.TaskID{Job: "j"}})
	assert.Assert(t, errors.As(err, &refused) && refused.Reason == platform.ReasonLate, "%v", err)
	assert.Equal(t, p.remote.count()+p.direct.count(), 0)
}
