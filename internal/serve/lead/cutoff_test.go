package lead

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/proxy"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

// standIn answers other entries' polls in place of a leader.
type standIn struct {
	relay.Handler
	digest func(ctx context.Context) relay.Digest
}

func (s *standIn) Digest(ctx context.Context, _ relay.Follower) relay.Digest { return s.digest(ctx) }

func (s *standIn) Query(context.Context, string) (model.State, bool) { return model.Unknown, false }

func (s *standIn) ProxyCalls(proxy.ServerStream) error { return nil }

// serveLeader makes e follow a leader that answers polls with digest, and whose last record is at
// offset 10.
func serveLeader(t *testing.T, e *Elector, digest func(ctx context.Context) relay.Digest) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv, err := relay.Serve(context.Background(), lis, &standIn{digest: digest})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, srv.Close()) })
	e.leader.Addr = lis.Addr().String()
	renewAs(t, e, 10)
}

// renewAs appends a renewal of e's leader at the end of the topic.
func renewAs(t *testing.T, e *Elector, at int64) {
	t.Helper()
	data, err := json.Marshal(record{Kind: "renew", Name: "other", Addr: e.Leader().Addr, Nonce: "o", Token: 1})
	assert.NilError(t, err)
	_, _, err = e.client.Append(context.Background(), platform.Append{Topic: topic, Records: [][]byte{data}, At: at})
	assert.NilError(t, err)
}

// Guards against a claim from a leader whose renewals are stored and answered late.
func TestLateAnswersToRenewalsCauseNoClaim(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	e := newFollower(t, clk)
	var renewed time.Duration
	serveLeader(t, e, func(context.Context) relay.Digest { return relay.Digest{Leads: true, LeaseAge: clk.Now() - renewed} })
	e.follow(context.Background())
	// No renewal is answered from here on. The records arrive, as the log shows.
	for i := range int64(8) {
		for range 5 {
			clk.Advance(elect.RenewEvery / 5)
			e.follow(context.Background())
			assert.Assert(t, !e.Leader().IsSelf, "after %s", clk.Now())
		}
		renewAs(t, e, 11+i)
	}
	// Once they no longer arrive, it claims.
	for range 20 {
		clk.Advance(elect.RenewEvery / 5)
		e.follow(context.Background())
	}
	assert.Assert(t, e.Leader().IsSelf)
}

// Guards against a claim that comes late because the follower begins to watch the log only once the
// lease is old.
func TestLeaderWithoutAccessToTheStoreIsReplacedInTime(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	e := newFollower(t, clk)
	serveLeader(t, e, func(context.Context) relay.Digest { return relay.Digest{Leads: true, LeaseAge: clk.Now()} })
	for !e.Leader().IsSelf && clk.Now() < time.Minute {
		clk.Advance(e.follow(context.Background()))
	}
	assert.Assert(t, clk.Now() >= elect.CutOffTimeout)
	assert.Assert(t, clk.Now() <= elect.CutOffTimeout+pollInterval, "after %s", clk.Now())
}

// Guards against jobs that every entry stores itself because one poll of a living leader took too long.
func TestOneLatePollDoesNotMakeTheLeaderUnresponsive(t *testing.T) {
	e := newFollower(t, clock.NewFake(time.Unix(0, 0)))
	serveLeader(t, e, func(ctx context.Context) relay.Digest {
		<-ctx.Done()
		return relay.Digest{}
	})
	for range 3 {
		e.follow(context.Background())
		assert.Assert(t, !e.IsLeaderUnresponsive())
		e.applyAnswer(e.Leader(), answerLeads)
	}
	for range maxMisses {
		e.follow(context.Background())
	}
	assert.Assert(t, e.IsLeaderUnresponsive())
	// What was missed of one leader does not count for the next.
	former := e.Leader()
	e.HandleAnnouncement(100, "third", former.Addr)
	e.applyAnswer(former, answerNo)
	e.follow(context.Background())
	assert.Assert(t, !e.IsLeaderUnresponsive())
}
