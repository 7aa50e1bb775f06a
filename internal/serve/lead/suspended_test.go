package lead

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against a leader that acts on a claim or renewal that it sent before it was suspended: the
// lease counts from when the record was sent, also where the answer was lost and the record is read.
func TestLeaseCountsFromWhenTheRecordWasSent(t *testing.T) {
	const answer = 100 * time.Millisecond
	for _, c := range []struct {
		name   string
		faults fake.Faults
		send   func(e *Elector)
	}{
		{"claim", fake.Faults{Delay: answer}, func(e *Elector) { e.claim(context.Background()) }},
		{"renewal", fake.Faults{Delay: answer}, func(e *Elector) {
			e.leader = Leader{Token: 1, Name: "self", IsSelf: true}
			e.renewOrResign(context.Background())
		}},
		{"claim without an answer", fake.Faults{LoseAnswers: true, Delay: answer}, func(e *Elector) {
			e.claim(context.Background())
			e.follow(context.Background())
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl, storeProxy := newStoreRig(t)
			clk := clock.NewFake(time.Unix(0, 0))
			clk.Advance(time.Minute)
			e := &Elector{client: cl, clk: clk, log: zerolog.Nop(), id: Identity{Name: "self"}, nonce: "s", changed: make(chan struct{}, 1)}
			storeProxy.Set(c.faults)
			resumed := make(chan struct{})
			time.AfterFunc(answer/2, func() {
				clk.Advance(elect.LeadershipTTL)
				storeProxy.Set(fake.Faults{})
				close(resumed)
			})
			c.send(e)
			<-resumed
			assert.Assert(t, e.Leader().IsSelf)
			assert.Equal(t, e.LastRenewal(), time.Minute)
			assert.Assert(t, !elect.CanAct(e.LastRenewal(), clk.Now()))
		})
	}
}

// Guards against a former leader that forgets its successor, so that its callers' jobs are stored
// without the leader until the successor's next renewal.
func TestFormerLeaderKnowsItsSuccessor(t *testing.T) {
	t.Run("claim is read", func(t *testing.T) {
		e := newFollower(t, clock.NewFake(time.Unix(0, 0)))
		e.leader = Leader{Token: 1, Name: "self", Addr: "x", IsSelf: true}
		e.topicEnd = 10
		appendRaw(t, e, `{"kind":"claim","name":"third","addr":"z","nonce":"t","token":11}`)
		e.renewOrResign(context.Background())
		assert.Equal(t, e.Leader(), Leader{Token: 11, Name: "third", Addr: "z"})
	})
	t.Run("claim was announced", func(t *testing.T) {
		e := newFollower(t, clock.NewFake(time.Unix(0, 0)))
		e.leader = Leader{Token: 1, Name: "self", Addr: "x", IsSelf: true}
		e.HandleAnnouncement(11, "third", "z")
		e.endLeadership("another entry claimed")
		assert.Equal(t, e.Leader(), Leader{Token: 11, Name: "third", Addr: "z"})
	})
}

// Guards against a planned stop in which the former leader's callers find no leader until the successor
// announces itself.
func TestResignedLeaderFollowsTheNamedSuccessor(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	e := newFollower(t, clk)
	e.followers, e.topicEnd = map[string]elect.Candidate{}, 10
	e.leader = Leader{Token: 1, Name: "self", Addr: "x", IsSelf: true}
	e.RecordFollower(relay.Follower{Name: "other", Addr: "127.0.0.1:1"})
	e.Resign()
	e.renewOrResign(context.Background())
	assert.Equal(t, e.Leader(), Leader{Token: 1, Name: "other", Addr: "127.0.0.1:1"})
}

// Guards against two leaders that act at a hand-over: the former one held its lease until its control
// goroutine was closed.
func TestLeaseEndsWithTheLeadership(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(e *Elector)
	}{
		{"resigned", func(e *Elector) {
			e.RecordFollower(relay.Follower{Name: "other", Addr: "127.0.0.1:1"})
			e.Resign()
			e.renewOrResign(context.Background())
		}},
		{"another entry claimed", func(e *Elector) {
			appendRaw(t, e, `{"kind":"claim","name":"third","addr":"z","nonce":"t","token":11}`)
			e.renewOrResign(context.Background())
		}},
		{"another leader is announced", func(e *Elector) { e.HandleAnnouncement(11, "third", "z") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			clk := clock.NewFake(time.Unix(0, 0))
			clk.Advance(time.Minute)
			e := newFollower(t, clk)
			e.followers, e.topicEnd = map[string]elect.Candidate{}, 10
			e.leader, e.lastRenewal = Leader{Token: 1, Name: "self", Addr: "x", IsSelf: true}, clk.Now()
			assert.Assert(t, elect.CanAct(e.LastRenewal(), clk.Now()))
			c.end(e)
			assert.Assert(t, !e.Leader().IsSelf)
			assert.Assert(t, !elect.CanAct(e.LastRenewal(), clk.Now()))
		})
	}
}

// Guards against an entry that follows a leader which does not exist until it is restarted: an
// announcement had a token that no claim can have.
func TestAnnouncementOfAnImpossibleTokenIsForgotten(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	e := newFollower(t, clk)
	addr := e.Leader().Addr
	e.HandleAnnouncement(1<<60, "third", addr)
	for i := range int64(3) {
		e.follow(context.Background())
		renewAs(t, e, 10+i)
		clk.Advance(elect.RenewEvery)
	}
	e.follow(context.Background())
	assert.Equal(t, e.Leader().Token, uint64(1))
}

// Guards against logs without the leader's name: a digest names only its address.
func TestAnnouncementNamesALeaderKnownByAddress(t *testing.T) {
	e := newFollower(t, clock.NewFake(time.Unix(0, 0)))
	e.adoptLeader(relay.Digest{Token: 11, Addr: "z"})
	assert.Equal(t, e.Leader(), Leader{Token: 11, Addr: "z"})
	e.HandleAnnouncement(11, "third", "z")
	assert.Equal(t, e.Leader(), Leader{Token: 11, Name: "third", Addr: "z"})
	e.HandleAnnouncement(11, "fourth", "y")
	assert.Equal(t, e.Leader().Name, "third")
}
