package lead

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/fake/local"
	"chervilgauge.example/chervilgauge/internal/jobs/tenure"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// follower returns an elector that follows a leader at an address where nothing listens
// any more, whose renewals it has not read.
func follower(t *testing.T, clk clock.Clock) *Elector {
	t.Helper()
	w := fake.NewWorld(nil)
	t.Cleanup(w.Close)
	c := platform.NewClient(w.Settings("self", 1, 2, 3))
	t.Cleanup(c.Close)
	addrs, err := local.FreeAddrs(1)
	assert.NilError(t, err)
	for i := range int64(10) {
		kind := "renew"
		if i == 0 {
			kind = "claim"
		}
		data, err := json.Marshal(record{Kind: kind, Name: "other", Addr: addrs[0], Nonce: "o", Token: 1})
		assert.NilError(t, err)
		_, _, err = c.Append(context.Background(), platform.Append{Topic: topic, Records: [][]byte{data}, At: i})
		assert.NilError(t, err)
	}
	peers := relay.NewClient()
	t.Cleanup(func() { assert.NilError(t, peers.Close()) })
	return &Elector{
		client: c, peers: peers, clk: clk, log: zerolog.Nop(), self: Self{Name: "self", Addr: "x"}, nonce: "s",
		heard: func(relay.Digest) {}, vers: func() int64 { return 0 }, changed: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		seat: Seat{Token: 1, Name: "other", Addr: addrs[0]}, end: 1,
	}
}

// Guards against renewals that were written long ago and are read only when the leader
// has ended, and pass for signs of life (lra-tankrun trouble-1: 2.4 s without a leader).
func TestOldRenewalsAreNoSignOfLife(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	e := follower(t, clk)
	// The leader last answered at 0, and its process is gone.
	clk.Advance(700 * time.Millisecond)
	e.follow(context.Background())
	assert.Assert(t, e.Seat().Mine)
	assert.Equal(t, e.Seat().Token, uint64(11))
}

// Guards against a claim while another entry's renewals go on that this entry reads.
func TestRenewalsAreSignsOfLife(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	e := follower(t, clk)
	e.follow(context.Background())
	for i := range int64(8) {
		data, err := json.Marshal(record{Kind: "renew", Name: "other", Addr: e.Seat().Addr, Nonce: "o", Token: 1})
		assert.NilError(t, err)
		_, _, err = e.client.Append(context.Background(), platform.Append{Topic: topic, Records: [][]byte{data}, At: 10 + i})
		assert.NilError(t, err)
		clk.Advance(500 * time.Millisecond)
		e.follow(context.Background())
		assert.Assert(t, !e.Seat().Mine)
	}
}

// Guards against an entry that waits for itself: when all entries lost power, the one that
// led waited 650 ms for renewals of its own earlier process. The process of another
// address may still run.
func TestRestartedLeaderClaimsAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		addr string
		mine bool
	}{{"same address", "x", true}, {"another address", "y", false}} {
		t.Run(c.name, func(t *testing.T) {
			clk := clock.NewFake(time.Unix(0, 0))
			e := follower(t, clk)
			e.seat, e.end = Seat{}, 0
			data, err := json.Marshal(record{Kind: "renew", Name: "self", Addr: c.addr, Nonce: "earlier", Token: 1})
			assert.NilError(t, err)
			_, _, err = e.client.Append(context.Background(), platform.Append{Topic: topic, Records: [][]byte{data}, At: 10})
			assert.NilError(t, err)
			e.follow(context.Background())
			clk.Advance(tenure.Spread)
			e.follow(context.Background())
			assert.Equal(t, e.Seat().Mine, c.mine)
			clk.Advance(tenure.Silence)
			e.follow(context.Background())
			assert.Assert(t, e.Seat().Mine)
		})
	}
}

// Guards against renewals that lie further apart the slower the store is.
func TestRenewalsKeepTheirDistance(t *testing.T) {
	const answer = 200 * time.Millisecond
	w := fake.NewWorld(nil)
	defer w.Close()
	door := w.Door()
	set := w.Settings("self", 1, 2, 3)
	set.Store.Addr = door.Addr()
	c := platform.NewClient(set)
	defer c.Close()
	e := &Elector{client: c, clk: clock.NewSystem(), log: zerolog.Nop(), nonce: "s", seat: Seat{Token: 1, Mine: true}}
	door.Set(fake.Faults{Delay: answer})
	assert.Assert(t, e.lead(context.Background()) <= tenure.RenewEvery-answer)
	assert.Assert(t, e.Renewed() > 0)
}

// Guards against a planned stop that leaves the jobs without a leader until followers
// look (up to 0.35 s, several times that while the store is slow), and against others that
// claim before the one that was asked.
func TestNamedSuccessorClaimsAtOnce(t *testing.T) {
	for _, c := range []struct {
		next string
		mine bool
	}{{"self", true}, {"third", false}} {
		clk := clock.NewFake(time.Unix(0, 0))
		e := follower(t, clk)
		data, err := json.Marshal(record{Kind: "resign", Name: "other", Addr: e.Seat().Addr, Nonce: "o", Token: 1, Next: c.next})
		assert.NilError(t, err)
		_, _, err = e.client.Append(context.Background(), platform.Append{Topic: topic, Records: [][]byte{data}, At: 10})
		assert.NilError(t, err)
		e.Announced(1, c.next, map[bool]string{true: "x", false: "z"}[c.mine])
		e.follow(context.Background())
		assert.Equal(t, e.Seat().Mine, c.mine, c.next)
		clk.Advance(400 * time.Millisecond)
		e.follow(context.Background())
		assert.Equal(t, e.Seat().Mine, c.mine, c.next)
		// The one that was named may be lost.
		clk.Advance(600 * time.Millisecond)
		e.follow(context.Background())
		assert.Assert(t, e.Seat().Mine)
	}
}

// Guards against a claim on a call that came late: the leader that sent it, or a later
// one, leads.
func TestLateCallsToClaimAreIgnored(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	e := follower(t, clk)
	e.Announced(1, "self", "x")
	e.follow(context.Background())
	assert.Assert(t, !e.Seat().Mine)
}

// Guards against a handover to an entry that is stopping itself (lse-cuciture trouble-2: the
// successor did not claim, and 0.55 s passed).
func TestStoppingEntriesAreNoCandidates(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	e, other := follower(t, clk), follower(t, clk)
	e.crowd = map[string]tenure.Candidate{}
	e.Heard(other.asker())
	assert.Equal(t, len(e.crowd), 1)
	delete(e.crowd, "self")
	other.Resign()
	e.Heard(other.asker())
	assert.Equal(t, len(e.crowd), 0)
	// One that was heard before it began to stop is forgotten at its next question.
	other.quit = false
	e.Heard(other.asker())
	other.quit = true
	clk.Advance(tenure.HeardFor + 1)
	_, ok := tenure.Successor([]tenure.Candidate{e.crowd["self"]}, clk.Now())
	assert.Assert(t, !ok)
}
