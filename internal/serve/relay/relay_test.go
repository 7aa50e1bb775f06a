package relay

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against an entry that ends because an entry of another version sends a state or a reason
// that it does not know: both were used as an index without a check.
func TestUnknownValuesOfPeers(t *testing.T) {
	for n := range uint32(300) {
		s, ok := decodeState(n)
		assert.Equal(t, ok, n <= uint32(model.Cancelled))
		assert.Assert(t, s.String() != "")
		assert.Assert(t, platform.Reason(n).String() != "")
	}
}

// Guards against an entry that ends because a digest has pending jobs but says that they were not
// counted: they were written to a nil map.
func TestUncountedPendingJobsAreIgnored(t *testing.T) {
	d := DecodeDigest(&workpb.DigestReply{Leads: true, Backlog: []*workpb.Backlog{{Queue: "q", N: 3}}})
	assert.Assert(t, d.Pending == nil)
	d = DecodeDigest(&workpb.DigestReply{Counted: true, Backlog: []*workpb.Backlog{{Queue: "q", N: 3}}})
	assert.Equal(t, d.Pending["q"], 3)
}

// Guards against a submission that is answered with 200 without being stored: a verdict that this
// version does not know matched no case, so that nothing was written.
func TestUnknownVerdictIsNoSuccess(t *testing.T) {
	for n := range uint32(300) {
		v := decodeVerdict(n)
		assert.Equal(t, v == Stored, n == uint32(Stored))
		assert.Assert(t, v <= Limited)
	}
}

// Guards against a view that seems newer after its way through a digest, and against an age from an entry
// that sends none: one of an earlier version, or without a view.
func TestViewAgesAreRoundedUp(t *testing.T) {
	for _, age := range []time.Duration{0, 1, time.Millisecond, time.Millisecond + 1, 5 * time.Second} {
		d := DecodeDigest(&workpb.DigestReply{View: encodeView(age, true)})
		assert.Assert(t, d.HasView && d.ViewAge >= age && d.ViewAge < age+time.Millisecond, "%v %v", age, d.ViewAge)
	}
	for _, view := range []uint32{encodeView(time.Second, false), encodeView(math.MaxInt64, true), 0} {
		assert.Assert(t, !DecodeDigest(&workpb.DigestReply{View: view}).HasView)
	}
}

type followerRecorder struct {
	Handler
	got Follower
}

func (r *followerRecorder) Digest(_ context.Context, f Follower) Digest {
	r.got = f
	return Digest{}
}

// Guards against a leader that does not learn the memory of the entries that follow it.
func TestPollsCarryTheMemory(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &followerRecorder{}
	srv, err := Serve(context.Background(), lis, h)
	assert.NilError(t, err)
	c := NewClient()
	_, err = c.Digest(context.Background(), lis.Addr().String(), Follower{Name: "small", Memory: 184})
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	assert.NilError(t, srv.Close())
	assert.Equal(t, h.got, Follower{Name: "small", Memory: 184})
}
