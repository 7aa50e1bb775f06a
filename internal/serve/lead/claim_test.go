package lead

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against a claim while other entries may still carry out the starts of a leader that was killed.
func TestNoEntryClaimsWhileStartsOfAKilledLeaderMayBeSent(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	e := newFollower(t, clk)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv, err := relay.Serve(context.Background(), lis, &standIn{digest: func(context.Context) relay.Digest {
		return relay.Digest{Leads: true, LeaseAge: 400 * time.Millisecond}
	}})
	assert.NilError(t, err)
	e.leader.Addr = lis.Addr().String()
	renewAs(t, e, 10)
	clk.Advance(time.Second)
	e.follow(context.Background())
	clk.Advance(100 * time.Millisecond)
	renewed := clk.Now()
	renewAs(t, e, 11)
	clk.Advance(200 * time.Millisecond)
	assert.NilError(t, srv.Close())
	for range 3 {
		e.follow(context.Background())
	}
	assert.Assert(t, !e.Leader().IsSelf || clk.Now() >= elect.SoleUntil(renewed), "claim %s after a renewal", clk.Now()-renewed)
}

// Guards against a leader that starts nothing for the rest of its term after it could not step down.
func TestRenewalAfterAFailedResignationShowsThatItWasNotStored(t *testing.T) {
	c, storeProxy := newStoreRig(t)
	e := &Elector{
		client: c, clk: clock.NewSystem(), log: zerolog.Nop(), nonce: "s", leader: Leader{Token: 1, IsSelf: true},
		followers: map[string]elect.Candidate{"larger": {Name: "larger"}},
	}
	e.renewOrResign(context.Background())
	e.StepDown()
	storeProxy.Set(fake.Faults{Busy: true})
	e.renewOrResign(context.Background())
	storeProxy.Set(fake.Faults{})
	renewed := e.LastRenewal()
	for range 2 {
		e.renewOrResign(context.Background())
	}
	assert.Assert(t, e.Leader().IsSelf && e.LastRenewal() > renewed)
	assert.Assert(t, !e.HasSentResignation(1), "no start is sent for the rest of the term")
}

// Guards against an entry that goes back to a former leader: the next one claimed and announced itself while the
// answer to a read of the topic was on its way.
func TestLeaderThatWasAnnouncedDuringAReadIsFollowed(t *testing.T) {
	e := newFollower(t, clock.NewFake(time.Unix(0, 0)))
	last, err := e.read(context.Background())
	assert.NilError(t, err)
	next := uint64(e.topicEnd) + 1
	e.HandleAnnouncement(next, "third", "z")
	e.applyRecord(*last, e.clk.Now())
	assert.Equal(t, e.Leader(), Leader{Token: next, Name: "third", Addr: "z"})
}
