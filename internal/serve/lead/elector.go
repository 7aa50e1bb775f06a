// Package lead finds out which entry leads. Claims, renewals and resignations are
// records in a topic of the store, each appended only if the topic ends where the
// writer thinks, so that of several claims one succeeds.
package lead

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/tenure"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// callTimeout bounds a call to the store other than a renewal. It answers within some
	// milliseconds, or within 500 ms when it is slow.
	callTimeout = 700 * time.Millisecond
	// askEvery is the time between questions to the leader, and askTimeout bounds them.
	askEvery   = 300 * time.Millisecond
	askTimeout = 250 * time.Millisecond
	// readEvery is the time between reads of the topic while the leader does not answer.
	readEvery = 200 * time.Millisecond
)

// Seat is who leads, as far as this entry knows.
type Seat struct {
	// Token is the fencing token, 0 if nobody is known to lead.
	Token uint64
	Name  string
	Addr  string
	// Mine says that this entry leads.
	Mine bool
}

// Self is what other entries learn of this one.
type Self struct {
	Name string
	Addr string
	Zone string
	// Place is 0 for the largest instances, which lead if they can.
	Place int
}

// Elector follows and takes part in the choice of the leader.
type Elector struct {
	client *platform.Client
	peers  *relay.Client
	clk    clock.Clock
	log    zerolog.Logger
	self   Self
	nonce  string
	heard  func(relay.Digest)
	vers   func() int64

	mu      sync.Mutex
	seat    Seat
	renewed time.Duration
	quit    bool // resign and claim no more
	yield   bool // resign for a larger instance
	told    bool // another entry announced a leader
	silent  bool // the leader did not answer the last question
	asked   bool // a leader that resigned asked this entry to claim
	// crowd are the entries that asked this one whether it leads, by name.
	crowd map[string]tenure.Candidate

	end   int64 // where the topic ends, as far as it was read
	known bool  // end was read
	view  tenure.View
	delay time.Duration
	// synced says that the topic was read since the leader last answered.
	synced bool
	// took is how long the last renewal took, or was waited for.
	took time.Duration
	// claimed is when the last claim was sent.
	claimed time.Duration
	// pause is the time until the next question to a leader that answers.
	pause time.Duration

	changed chan struct{}
	wake    chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
}

// Start takes part until Close. heard is told each digest of the leader, and version
// returns the version of the configuration that is in force here.
func Start(ctx context.Context, c *platform.Client, peers *relay.Client, clk clock.Clock, log zerolog.Logger, self Self,
	version func() int64, heard func(relay.Digest)) *Elector {
	ctx, cancel := context.WithCancel(ctx)
	e := &Elector{
		client: c, peers: peers, clk: clk, log: log, self: self, heard: heard, vers: version,
		nonce: strconv.FormatUint(rand.Uint64(), 36), changed: make(chan struct{}, 1), wake: make(chan struct{}, 1), cancel: cancel,
		crowd: map[string]tenure.Candidate{}, done: make(chan struct{}),
		delay: tenure.Delay(self.Place, rand.Float64()),
	}
	go e.run(ctx)
	return e
}

// Close stops taking part and waits. It does not resign.
func (e *Elector) Close() {
	e.cancel()
	<-e.done
}

// Seat returns who leads.
func (e *Elector) Seat() Seat {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seat
}

// IsSilent says whether the leader did not answer the last question, or said that it
// can't renew. Calls to it would only be held until they time out.
func (e *Elector) IsSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent
}

// Renewed returns when the last renewal that succeeded was sent.
func (e *Elector) Renewed() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.renewed
}

// Changed is sent to after each change of the seat.
func (e *Elector) Changed() <-chan struct{} { return e.changed }

// Resign ends the leadership of this entry, if it leads, and claims no more.
func (e *Elector) Resign() {
	e.mu.Lock()
	e.quit = true
	e.mu.Unlock()
	e.stir()
}

// stir ends a pause between two steps.
func (e *Elector) stir() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Heard notes that another entry follows this one.
func (e *Elector) Heard(by relay.Asker) {
	if by.Name == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if by.Leaving {
		delete(e.crowd, by.Name) // it is not asked to succeed
		return
	}
	now := e.clk.Now()
	c, ok := e.crowd[by.Name]
	if !ok || now > c.Heard+tenure.HeardFor {
		c.Since = now
	}
	c.Name, c.Addr, c.Place, c.Heard = by.Name, by.Addr, by.Place, now
	e.crowd[by.Name] = c
}

// Followers returns how many entries follow this one.
func (e *Elector) Followers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crowd)
}

// Yield ends the leadership of this entry for a larger instance that follows it.
func (e *Elector) Yield() {
	e.mu.Lock()
	e.yield = true
	e.mu.Unlock()
}

// Announced takes over what another entry says of the leader. A leader that resigned
// names its successor, which claims at once.
func (e *Elector) Announced(token uint64, name, addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if name == e.self.Name && addr == e.self.Addr {
		if token >= e.seat.Token && !e.seat.Mine {
			e.asked = true
			e.stir()
		}
		return
	}
	if token > e.seat.Token {
		e.set(Seat{Token: token, Name: name, Addr: addr})
		e.told = true
	}
}

// set changes the seat. The caller holds mu.
func (e *Elector) set(s Seat) {
	if s == e.seat {
		return
	}
	e.silent = false
	e.log.Info().Uint64("token", s.Token).Str("leader", s.Name).Str("addr", s.Addr).Bool("mine", s.Mine).
		Uint64("former", e.seat.Token).Msg("leader changed")
	e.seat = s
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *Elector) run(ctx context.Context) {
	defer close(e.done)
	e.view.Moved = e.clk.Now()
	for ctx.Err() == nil {
		var next time.Duration
		if e.Seat().Mine {
			next = e.lead(ctx)
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

// lead renews the lease or resigns, and returns when to go on.
func (e *Elector) lead(ctx context.Context) time.Duration {
	e.mu.Lock()
	quit, seat := e.quit || e.yield, e.seat
	e.yield = false
	crowd := slices.Collect(maps.Values(e.crowd))
	e.mu.Unlock()
	sent := e.clk.Now()
	kind, next := "renew", tenure.Candidate{}
	if quit {
		kind = "resign"
		next, _ = tenure.Successor(crowd, sent)
	}
	err := e.append(ctx, record{Kind: kind, Token: seat.Token, Next: next.Name}, tenure.RenewalTimeout(e.took))
	end := (*platform.EndError)(nil)
	switch {
	case err == nil && quit:
		e.lose("resigned")
		e.name(ctx, seat.Token, next)
	case err == nil:
		e.took = e.clk.Now() - sent
		e.mu.Lock()
		if e.seat.Token == seat.Token {
			e.renewed = sent
		}
		e.mu.Unlock()
	case errors.As(err, &end):
		if !e.caughtUp(ctx, seat.Token) {
			e.lose("another entry claimed")
			return 0
		}
		return 0
	default:
		e.log.Warn().Err(err).Str("kind", kind).Uint64("token", seat.Token).Msg("leader record was not stored")
		e.took = e.clk.Now() - sent
		return readEvery / 4
	}
	return tenure.NextRenewal(e.clk.Now() - sent)
}

// name asks the entry that is to succeed to claim. If the call is lost, the others claim
// a little later.
func (e *Elector) name(ctx context.Context, token uint64, next tenure.Candidate) {
	if next.Addr == "" {
		return
	}
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := e.peers.Announce(call, next.Addr, token, next.Name, next.Addr)
	e.log.Info().Err(err).Uint64("token", token).Str("next", next.Name).Msg("successor is asked to claim")
}

func (e *Elector) lose(cause string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.Info().Str("cause", cause).Uint64("token", e.seat.Token).Msg("leadership ended")
	e.set(Seat{Token: e.seat.Token})
	e.view.Moved = e.clk.Now()
	e.view.Ended = false
}

// follow asks the leader whether it leads, reads the topic if that is not known, claims
// if nobody does, and returns when to go on.
func (e *Elector) follow(ctx context.Context) time.Duration {
	e.mu.Lock()
	seat, told, asked := e.seat, e.told, e.asked
	e.told, e.asked = false, false
	e.mu.Unlock()
	if told {
		e.view = tenure.View{Moved: e.clk.Now(), Read: e.view.Read}
	}
	if seat.Addr != "" && !asked {
		leads := e.ask(ctx, seat)
		e.mu.Lock()
		e.silent = !leads
		e.mu.Unlock()
		if leads {
			e.synced = false
			return e.pause
		}
	}
	last, err := e.read(ctx)
	now := e.clk.Now()
	if err != nil {
		// Without the store nobody can claim, and its silence says nothing of the leader.
		e.mu.Lock()
		e.asked = e.asked || asked
		e.mu.Unlock()
		e.view.Moved = max(e.view.Moved, now-tenure.Silence/2)
		return readEvery
	}
	e.view.Read = now
	if last != nil {
		before := e.view
		e.saw(*last, now)
		if !e.synced && last.Token == seat.Token {
			// These renewals are those that the leader told of while it answered.
			e.view.Moved, e.view.Ended, e.view.Troubled = before.Moved, before.Ended, before.Troubled
		}
		e.synced = true
		if e.view.Moved == now && !asked {
			return readEvery / 4
		}
	}
	e.view.Empty = e.end == 0
	e.mu.Lock()
	quit := e.quit
	e.mu.Unlock()
	isNext := asked && e.view.Resigned
	if quit || !isNext && !tenure.MayClaim(e.view, now, e.delay) {
		return readEvery / 4
	}
	e.claim(ctx)
	return readEvery / 4
}

// saw takes over the last record of the topic.
func (e *Elector) saw(last record, now time.Duration) {
	e.view.Moved = now
	e.view.Resigned = last.Kind == "resign"
	e.view.Named = last.Next != "" && last.Next != e.self.Name
	e.view.Ended, e.view.Troubled, e.view.Own = false, false, false
	e.mu.Lock()
	defer e.mu.Unlock()
	if last.Token < e.seat.Token {
		return // another entry announced a later leader
	}
	if e.view.Resigned {
		e.set(Seat{Token: last.Token})
		return
	}
	if last.Nonce == e.nonce && last.Kind == "claim" {
		// The answer to the claim was lost.
		e.renewed = e.claimed
		e.set(Seat{Token: last.Token, Name: e.self.Name, Addr: e.self.Addr, Mine: true})
		return
	}
	if last.Nonce == e.nonce {
		return
	}
	if last.Name == e.self.Name {
		// An earlier process of this entry led.
		e.view.Ended, e.view.Own = true, last.Addr == e.self.Addr
		e.set(Seat{Token: last.Token})
		return
	}
	e.set(Seat{Token: last.Token, Name: last.Name, Addr: last.Addr})
}

// asker returns what the leader learns of this entry.
func (e *Elector) asker() relay.Asker {
	e.mu.Lock()
	defer e.mu.Unlock()
	return relay.Asker{
		Name: e.self.Name, Addr: e.self.Addr, Zone: e.self.Zone, Version: e.vers(), Place: e.self.Place, Leaving: e.quit,
	}
}

// ask asks the leader for its digest and says whether it leads.
func (e *Elector) ask(ctx context.Context, seat Seat) bool {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := e.clk.Now()
	d, err := e.peers.Digest(call, seat.Addr, e.asker())
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			e.view.Ended = true
		}
		return false
	}
	e.view.Ended = false
	if !d.Leads {
		return false
	}
	e.heard(d)
	e.pause = max(askEvery, d.Pause)
	// A leader that can't renew loses nothing by a claim.
	if e.view.Troubled = d.Age > tenure.Troubled; e.view.Troubled {
		return false
	}
	e.view.Moved = sent - d.Age
	return true
}

func (e *Elector) claim(ctx context.Context) {
	sent := e.clk.Now()
	e.claimed = sent
	at := e.end
	err := e.append(ctx, record{Kind: "claim"}, callTimeout)
	if err != nil {
		e.log.Info().Err(err).Int64("offset", at).Msg("claim failed")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view = tenure.View{Moved: e.view.Moved, Read: e.view.Read}
	e.renewed = sent
	e.set(Seat{Token: uint64(at) + 1, Name: e.self.Name, Addr: e.self.Addr, Mine: true})
}
