package proxy

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// Guards against an entry that runs out of memory by specifications, against ones that are never released, and
// against starts of a job without its specification.
func TestSpecificationsAreBounded(t *testing.T) {
	limits := NewLimits(10, 1000)
	c := &callServer{limits: limits, specs: map[string]cachedSpec{}}
	spec := func(job string) *workpb.Spec { return &workpb.Spec{Job: job, Text: strings.Repeat("x", 300)} }
	c.storeSpecs([]*workpb.Spec{spec("a"), spec("b"), spec("c"), spec("b")}, 0)
	assert.Equal(t, len(c.specs), 2)
	c.storeSpecs([]*workpb.Spec{spec("c")}, specKeep+1)
	assert.Equal(t, len(c.specs), 1)
	assert.Equal(t, c.specs["c"].text, spec("c").Text)
	c.releaseSpecs()
	assert.Assert(t, limits.specs.TryAcquire(1000))
}

// Guards against an entry that runs out of descriptors by calls in progress, and against calls that are not made
// once others have ended.
func TestCallsInProgressAreBounded(t *testing.T) {
	limits := NewLimits(1, 1000)
	assert.Assert(t, limits.calls.TryAcquire(1))
	w, rec := newPipe(t.Context()), &execRecorder{}
	served := make(chan error, 1)
	go func() { served <- Serve(entryEnd{w}, rec, limits, clock.NewSystem(), zerolog.Nop()) }()
	_, err := leaderEnd{w}.Recv()
	assert.NilError(t, err)
	in := &workpb.Orders{Specs: []*workpb.Spec{{Job: "j", Text: "x"}}}
	for i := range uint64(3) {
		in.Orders = append(in.Orders, &workpb.Order{Seq: i, Kind: uint32(kindStart), Task: "j.0.0.1", Attempt: 1, Limit: 5000})
	}
	assert.NilError(t, leaderEnd{w}.Send(in))
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, rec.count(), 0)
	limits.calls.Release(1)
	for n := 0; n < 3; {
		m, err := leaderEnd{w}.Recv()
		assert.NilError(t, err)
		n += len(m.GetOutcomes())
	}
	assert.Equal(t, rec.count(), 3)
	w.cancel()
	<-served
	assert.Assert(t, limits.specs.TryAcquire(1000), "specifications of a stream that has ended are held")
}

// Guards against a process that runs out of memory by entries that poll under ever new names, and against sound ones
// that are forgotten because of them.
func TestPeersAreBounded(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	p := New(t.Context(), &execRecorder{}, clk, zerolog.Nop(), "self", nil)
	defer p.Close()
	for i := range 3 * maxPeers {
		clk.Advance(time.Millisecond)
		p.RecordPeer("sound", "a", "z", 0)
		p.RecordPeer(strconv.Itoa(i), "b", "z", 0)
	}
	assert.Equal(t, len(p.peers), maxPeers)
	assert.Equal(t, p.peers["sound"].Addr, "a")
}
