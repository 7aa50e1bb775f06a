package proxy

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

// blockedEnd is a leader's end of a stream that carries nothing until it is released.
type blockedEnd struct {
	leaderEnd
	release chan struct{}
}

func (b blockedEnd) Send(m *workpb.Orders) error {
	<-b.release
	return b.leaderEnd.Send(m)
}

// Guards against an entry that is excluded because the leader's own link is full.
func TestEntryIsNotExcludedWhileTheLeadersSendBlocks(t *testing.T) {
	release := make(chan struct{})
	p := &poolWithPeer{direct: &execRecorder{}}
	p.pool = New(context.Background(), p.direct, clock.NewSystem(), zerolog.Nop(), "leader", func(ctx context.Context, _ string) (ClientStream, error) {
		w := newPipe(ctx)
		return blockedEnd{leaderEnd{w}, release}, entryEnd{w}.Send(&workpb.Outcomes{Clock: 1})
	})
	defer p.pool.Close()
	defer close(release)
	p.pool.SetCentreSizes(map[string]int{"z": 500})
	p.pool.RecordPeer("deputy", "at", "z", 0)
	var all sync.WaitGroup
	for i := range 2 * maxMisses {
		all.Go(func() {
			_, err := p.start(i, "s", silenceLimit+50*time.Millisecond)
			assert.Check(t, err != nil)
		})
	}
	all.Wait()
	l, _ := p.pool.route(platform.Target{ID: "x", Centre: "z"})
	assert.Assert(t, l != nil, "the entry is excluded")
	assert.Equal(t, p.direct.count(), 0)
}

// Guards against a link that is never given up because the entry at its other end no longer reads.
func TestEntryThatNoLongerReadsIsExcluded(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	l := &link{clk: clk, pending: map[uint64]*pendingOrder{}, specsSent: map[string]time.Duration{}}
	po := &pendingOrder{order: &workpb.Order{Seq: 1}, expires: time.Minute, until: time.Minute}
	l.pending[1] = po
	assert.Equal(t, len(l.message([]*pendingOrder{po}).GetOrders()), 1)
	clk.Advance(sendLimit - 1)
	assert.Assert(t, !l.recordMiss(po))
	// An outcome shows that the entry is alive.
	l.deliver(&workpb.Outcomes{Outcomes: []*workpb.Outcome{{Seq: 7}}})
	clk.Advance(1)
	assert.Assert(t, !l.recordMiss(po))
	clk.Advance(sendLimit)
	assert.Assert(t, l.recordMiss(po))
	l.recordSent([]*pendingOrder{po})
	assert.Assert(t, !l.recordMiss(po))
}
