// Package lead elects the leader among the entries. Claims, renewals and resignations are records
// in a topic of the store. Each is appended only if the topic still ends at the offset that the
// writer last read, so that one of several concurrent claims succeeds.
package lead

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// storeTimeout bounds calls to the store other than renewals, and the time in which no byte of a
	// read arrives. The store answers within some
	// milliseconds, or within 500 ms when it is slow.
	storeTimeout = 700 * time.Millisecond
	// pollInterval is the least time between polls of the leader, and pollTimeout bounds each poll.
	pollInterval = 300 * time.Millisecond
	pollTimeout  = 250 * time.Millisecond
	// successorWait is how long a leader that is to resign waits for an entry that could succeed it:
	// one that has just started has not polled it yet. successorCheck is the time between checks.
	successorWait  = 2 * pollInterval
	successorCheck = 25 * time.Millisecond
	// readInterval is the time between reads of the topic while the leader does not answer.
	readInterval = 200 * time.Millisecond
	// maxMisses is the number of consecutive polls without an answer after which a leader is
	// unresponsive. A single one may only have been delayed.
	maxMisses = 2
	// overdueAge is the age of the last renewal from which a follower also reads the topic, so that it
	// has watched it for as long when the leader counts as cut off.
	overdueAge = elect.RenewEvery + 150*time.Millisecond
)

// Leader is the current leader, as far as this entry has learned.
type Leader struct {
	// Token is the fencing token of the leadership, 0 if no leader has been seen. It remains set
	// after the leadership has ended.
	Token uint64
	Name  string
	Addr  string
	// IsSelf reports whether this entry leads.
	IsSelf bool
}

// Identity describes this entry to the other entries.
type Identity struct {
	Name   string
	Addr   string
	Centre string
	// Rank is 0 for the largest instances, which are preferred as leaders.
	Rank int
	// Memory is the memory of the machine in MiB, 0 if it is not known.
	Memory int64
}

// Elector takes part in the election: it follows the current leader, claims when there is none, and
// renews the lease while it leads.
type Elector struct {
	client   *platform.Client
	peers    *relay.Client
	clk      clock.Clock
	log      zerolog.Logger
	id       Identity
	nonce    string
	onDigest func(relay.Digest)

	mu           sync.Mutex
	leader       Leader
	lastRenewal  time.Duration
	resigning    bool          // resign and claim no more
	resignBy     time.Duration // when to resign even without a successor
	stepDown     bool          // resign in favor of a larger instance
	resignToken  uint64        // token of the leadership for which a resignation was sent last
	announced    bool          // another entry announced a leader since the last step
	unresponsive bool          // calls to the leader would probably time out
	misses       int           // consecutive polls of the leader without an answer
	nominated    bool          // a leader that resigned designated this entry as its successor
	// followers are the entries that polled this one, by name.
	followers map[string]elect.Candidate

	// asking is closed when another entry has been asked for its successor, nil while none is.
	asking chan struct{}
	// noSuccessor is the token of the leader that last named no successor, and noSuccessorUntil until
	// when it is not asked again.
	noSuccessor      uint64
	noSuccessorUntil time.Duration

	topicEnd int64 // end offset of the topic, as far as it was read
	// tokenAtRead is the leader's token before the last read: a later one may be announced meanwhile.
	tokenAtRead uint64
	view        elect.LeaderView
	claimedBy   *record // the record by which another entry ended this one's leadership
	claimDelay  time.Duration
	// synced reports whether the topic was read since the leader last answered.
	synced bool
	// renewalTook is the duration of the last renewal, or of the wait for its answer.
	renewalTook time.Duration
	// claimSent is when the last claim was sent.
	claimSent time.Duration
	// pollPause is the time until the next poll of a leader that answers.
	pollPause time.Duration

	changed chan struct{}
	wake    chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
}

// Start takes part in the election until Close. It calls onDigest with each digest that the leader
// returns.
func Start(ctx context.Context, c *platform.Client, peers *relay.Client, clk clock.Clock, log zerolog.Logger, id Identity,
	onDigest func(relay.Digest)) *Elector {
	ctx, cancel := context.WithCancel(ctx)
	e := &Elector{
		client: c, peers: peers, clk: clk, log: log, id: id, onDigest: onDigest,
		nonce: strconv.FormatUint(rand.Uint64(), 36), changed: make(chan struct{}, 1), wake: make(chan struct{}, 1), cancel: cancel,
		followers: map[string]elect.Candidate{}, done: make(chan struct{}),
		claimDelay: elect.ClaimDelay(id.Rank, rand.Float64()),
	}
	go e.run(ctx)
	return e
}

// Close stops taking part and waits for the end of the current step. It does not resign.
func (e *Elector) Close() {
	e.cancel()
	<-e.done
}

// Leader returns the current leader.
func (e *Elector) Leader() Leader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// IsLeaderUnresponsive reports whether the leader did not answer the last polls, its process has
// ended, or it can't renew. Calls to it would probably time out.
func (e *Elector) IsLeaderUnresponsive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unresponsive
}

// LastRenewal returns when the last renewal that succeeded was sent, on the entry's clock.
func (e *Elector) LastRenewal() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastRenewal
}

// HasSentResignation reports whether this entry has sent a resignation of the leadership with a token.
// Another entry may have claimed at once, even if the store's answer did not arrive.
func (e *Elector) HasSentResignation(token uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resignToken == token
}

// LastRenewalOf is LastRenewal for the leadership with a token, which has no lease once it has ended.
func (e *Elector) LastRenewalOf(token uint64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Token != token {
		return min(e.lastRenewal, e.clk.Now()-elect.LeadershipTTL)
	}
	return e.lastRenewal
}

// Changed returns a channel that receives a value after changes of the leader.
func (e *Elector) Changed() <-chan struct{} { return e.changed }

// wakeUp ends the pause before the next step.
func (e *Elector) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// HandleAnnouncement applies another entry's message about the leader. A leader that resigned sends
// it with the name and address of its successor, which then claims at once.
func (e *Elector) HandleAnnouncement(token uint64, name, addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if name == e.id.Name && addr == e.id.Addr {
		if token >= e.leader.Token && !e.leader.IsSelf {
			e.nominated = true
			e.wakeUp()
		}
		return
	}
	switch {
	case token > e.leader.Token:
		e.setLeader(Leader{Token: token, Name: name, Addr: addr})
		e.announced = true
	case e.leader == Leader{Token: token, Addr: addr}:
		e.setLeader(Leader{Token: token, Name: name, Addr: addr})
	}
}

// setLeader replaces the leader. This entry's lease ends with its leadership, before its control
// goroutine is closed. The caller holds mu.
func (e *Elector) setLeader(l Leader) {
	if l == e.leader {
		return
	}
	if e.leader.IsSelf && !l.IsSelf {
		e.lastRenewal = min(e.lastRenewal, e.clk.Now()-elect.LeadershipTTL)
	}
	e.unresponsive, e.misses = false, 0
	e.log.Info().Uint64("token", l.Token).Str("leader", l.Name).Str("addr", l.Addr).Bool("mine", l.IsSelf).
		Uint64("former", e.leader.Token).Msg("leader changed")
	e.leader = l
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *Elector) run(ctx context.Context) {
	defer close(e.done)
	e.view.LastChange = e.clk.Now()
	for ctx.Err() == nil {
		var next time.Duration
		if e.Leader().IsSelf {
			next = e.renewOrResign(ctx)
		} else {
			next = e.follow(ctx)
		}
		s := e.clk.After(next)
		select {
		case <-s.C:
		case <-e.wake:
		case <-ctx.Done():
		}
		s.Close()
	}
}

// renewOrResign renews the lease or resigns, and returns the time until the next step.
func (e *Elector) renewOrResign(ctx context.Context) time.Duration {
	e.mu.Lock()
	resign, leader := e.resigning || e.stepDown, e.leader
	e.stepDown = false
	followers, resignBy := slices.Collect(maps.Values(e.followers)), e.resignBy
	e.mu.Unlock()
	sent := e.clk.Now()
	kind, next := "renew", elect.Candidate{}
	if resign {
		var ok bool
		if next, ok = elect.ChooseSuccessor(followers, sent); !ok && sent < resignBy {
			return successorCheck
		}
		kind = "resign"
		e.mu.Lock()
		e.resignToken = leader.Token
		e.mu.Unlock()
	}
	err := e.append(ctx, record{Kind: kind, Token: leader.Token, Next: next.Name}, elect.RenewalTimeout(e.renewalTook))
	end := (*platform.EndError)(nil)
	switch {
	case err == nil && resign:
		e.endLeadership("resigned")
		e.nominate(ctx, leader.Token, next)
	case err == nil:
		e.renewalTook = e.clk.Now() - sent
		e.mu.Lock()
		if e.leader.Token == leader.Token {
			e.lastRenewal = sent
			// It was appended at the end of the topic, so that no earlier resignation can be stored any more.
			e.resignToken = 0
		}
		e.mu.Unlock()
	case errors.As(err, &end):
		if !e.isStillLeader(ctx, leader.Token) {
			e.endLeadership("another entry claimed")
		}
		return 0
	default:
		e.log.Warn().Err(err).Str("kind", kind).Uint64("token", leader.Token).Msg("leader record was not stored")
		e.renewalTook = e.clk.Now() - sent
		return readInterval / 4
	}
	return elect.RenewalDelay(e.clk.Now() - sent)
}

// endLeadership ends this entry's leadership. It then follows the leader that was announced, or whose
// claim isStillLeader has read.
func (e *Elector) endLeadership(cause string) {
	e.mu.Lock()
	e.log.Info().Str("cause", cause).Uint64("token", e.leader.Token).Msg("leadership ended")
	if e.leader.IsSelf {
		e.setLeader(Leader{Token: e.leader.Token})
	}
	e.mu.Unlock()
	e.view.LastChange = e.clk.Now()
	e.view.ProcessGone = false
	if last := e.claimedBy; last != nil {
		e.claimedBy = nil
		e.applyRecord(*last, e.view.LastChange)
	}
}

// follow polls the leader, reads the topic if the leader does not answer, claims if there is no
// leader, and returns the time until the next step.
func (e *Elector) follow(ctx context.Context) time.Duration {
	e.mu.Lock()
	leader, announced, nominated := e.leader, e.announced, e.nominated
	e.announced, e.nominated = false, false
	e.mu.Unlock()
	if announced {
		e.view = elect.LeaderView{LastChange: e.clk.Now(), LastRead: e.view.LastRead}
	}
	got := answerNo
	if leader.Addr != "" && !nominated {
		got = e.pollLeader(ctx, leader)
		if e.applyAnswer(leader, got); got == answerLeads {
			e.synced = false
			return e.pollPause
		}
		if e.Leader().Token != leader.Token {
			return 0
		}
	}
	last, err := e.read(ctx)
	now := e.clk.Now()
	if err != nil {
		// Without the store no entry can claim, and a topic that can't be read says nothing about
		// the leader.
		e.mu.Lock()
		e.nominated = e.nominated || nominated
		e.mu.Unlock()
		e.view.LastChange = max(e.view.LastChange, now-elect.LeaderTimeout/2)
		if got == answerCutOff {
			e.setUnresponsive(true)
		}
		return readInterval
	}
	e.view.LastRead = now
	if last != nil {
		before := e.view
		e.applyRecord(*last, now)
		if !e.synced && last.Token == leader.Token {
			// These renewals were already taken into account when the leader answered polls.
			e.view.LastChange, e.view.ProcessGone, e.view.CutOff = before.LastChange, before.ProcessGone, before.CutOff
		}
		if !e.synced {
			e.view.WatchedSince = now
		}
	}
	e.synced = true
	if got == answerCutOff {
		// The answers to renewals may be late. Only the log shows that no renewal arrives.
		e.setUnresponsive(now >= e.view.LastChange+elect.CutOffTimeout && now >= e.view.WatchedSince+overdueAge)
	}
	switch {
	case got == answerOverdue:
		return e.pollPause
	case last != nil && e.view.LastChange == now && !nominated, e.view.CutOff && now < e.view.WatchedSince+overdueAge:
		return readInterval / 4
	}
	e.view.NoClaims = e.topicEnd == 0
	e.mu.Lock()
	resigning := e.resigning
	e.mu.Unlock()
	isSuccessor := nominated && e.view.Resigned
	if resigning || !isSuccessor && !elect.MayClaim(e.view, now, e.claimDelay) {
		return readInterval / 4
	}
	e.claim(ctx)
	return readInterval / 4
}

// applyRecord updates the view and the leader from the last record of the topic.
func (e *Elector) applyRecord(last record, now time.Duration) {
	e.view.LastChange = now
	e.view.Resigned = last.Kind == "resign"
	e.view.HasSuccessor = last.Next != "" && last.Next != e.id.Name
	e.view.ProcessGone, e.view.CutOff, e.view.LedBeforeRestart = false, false, false
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Token > uint64(e.topicEnd) && e.leader.Token == e.tokenAtRead {
		// No claim can have this token: it is one above the claim's offset.
		e.log.Error().Uint64("token", e.leader.Token).Str("addr", e.leader.Addr).Msg("leader that was announced does not exist")
		e.setLeader(Leader{})
	}
	if last.Token < e.leader.Token {
		return // another entry has announced a later leader
	}
	if e.view.Resigned {
		e.setLeader(Leader{Token: last.Token})
		return
	}
	if last.Nonce == e.nonce && last.Kind == "claim" {
		// The claim was stored, but the answer to it was lost.
		e.lastRenewal = e.claimSent
		e.setLeader(Leader{Token: last.Token, Name: e.id.Name, Addr: e.id.Addr, IsSelf: true})
		return
	}
	if last.Nonce == e.nonce {
		return
	}
	if last.Name == e.id.Name {
		// An earlier process of this entry was the leader.
		e.view.ProcessGone, e.view.LedBeforeRestart = true, last.Addr == e.id.Addr
		e.setLeader(Leader{Token: last.Token})
		return
	}
	e.setLeader(Leader{Token: last.Token, Name: last.Name, Addr: last.Addr})
}

func (e *Elector) claim(ctx context.Context) {
	sent := e.clk.Now()
	e.claimSent = sent
	at := e.topicEnd
	err := e.append(ctx, record{Kind: "claim"}, storeTimeout)
	if err != nil {
		e.log.Info().Err(err).Int64("offset", at).Msg("claim failed")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view = elect.LeaderView{LastChange: e.view.LastChange, LastRead: e.view.LastRead}
	e.lastRenewal = sent
	e.setLeader(Leader{Token: uint64(at) + 1, Name: e.id.Name, Addr: e.id.Addr, IsSelf: true})
}
