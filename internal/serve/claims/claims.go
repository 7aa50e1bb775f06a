// Package claims appends claims of non-idempotent request ids to the claims streams and fetches
// outcomes from the holders of claims. Each slice of the ids has a stream. For each slice one
// entry, the claim coordinator, batches the claims of all entries. Any other entry can take over at
// any time, because the order of the log decides which claim wins.
package claims

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/serve/flows"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Entry is an entry that can receive requests.
type Entry struct {
	Name        string
	Incarnation uint64
	Addr        string
}

// Peers returns clients of other entries.
type Peers interface {
	To(ctx context.Context, addr string) peerpb.DRPCPeerClient
}

// Deps are the dependencies of a Service.
type Deps struct {
	Log      ports.Log
	Clock    clock.Clock
	Peers    Peers
	Attempts *claim.Attempts
	Tracer   trace.Tracer
	Self     Entry
	// Live returns the member entries that were recently in contact, including this one.
	Live func() []Entry
	// IsLinked reports whether this entry has read the log recently.
	IsLinked func() bool
	// FindMember returns the member with the given name, whether in contact or not.
	FindMember func(name string) (Entry, bool)
}

// Service claims request ids for this entry and for its peers. It is safe for concurrent use.
type Service struct {
	Deps
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	slices map[int]*openedSlice
}

type openedSlice struct {
	*slice
	usedAt time.Duration
}

const (
	// claimTimeout is how long one claim coordinator may take before the next one is tried.
	claimTimeout = 600 * time.Millisecond
	// maxCoordinators bounds the entries that are tried for one claim.
	maxCoordinators = 3
	// maxOutcomeWait bounds the time that a holder waits for the end of a running request.
	maxOutcomeWait = 10 * time.Second
	// sliceIdleTimeout is the time without a claim after which a slice is closed.
	sliceIdleTimeout = time.Minute
)

// New returns a service without open slices.
func New(ctx context.Context, p Deps) *Service {
	ctx, cancel := context.WithCancel(ctx)
	return &Service{Deps: p, ctx: ctx, cancel: cancel, slices: map[int]*openedSlice{}}
}

// Close closes the slices and waits for their goroutines.
func (s *Service) Close() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.slices {
		o.close()
	}
	clear(s.slices)
}

// Claim sends a claim to the coordinators of the id's slice in order of rank, until one settles it.
func (s *Service) Claim(ctx context.Context, id claim.ID, token, prev uint64) flows.ClaimResult {
	ctx, span := s.Tracer.Start(ctx, "claim", trace.WithAttributes(attribute.Int("slice", id.Slice())))
	defer span.End()
	c := &recpb.Claim{Id: id[:], Holder: s.Self.Name, Incarnation: s.Self.Incarnation, Token: token, Prev: prev}
	list := s.coordinators(id.Slice())
	for _, e := range list[:min(maxCoordinators, len(list))] {
		if r, ok := s.claimThrough(ctx, e, c); ok {
			return r
		}
	}
	return flows.ClaimUnavailable{}
}

// claimThrough sends a claim to one entry. It returns false if that entry could not settle the
// claim. The claim can be repeated through another entry, because the same token makes it the same
// claim.
func (s *Service) claimThrough(ctx context.Context, e Entry, c *recpb.Claim) (flows.ClaimResult, bool) {
	if e.Name != s.Self.Name {
		return s.claimRemotely(ctx, e, c)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r := s.claimLocally(ctx, c)
	return toResult(r, c.GetToken()), r.GetVerdict() != peerpb.ClaimReply_UNAVAILABLE
}

func (s *Service) claimRemotely(ctx context.Context, e Entry, c *recpb.Claim) (flows.ClaimResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r, err := s.Peers.To(ctx, e.Addr).Claim(ctx, &peerpb.ClaimAsk{Claim: c, Wait: uint32(claimTimeout.Milliseconds())})
	if err != nil || r.GetVerdict() == peerpb.ClaimReply_UNAVAILABLE {
		return nil, false
	}
	return toResult(r, c.GetToken()), true
}

// AnswerClaim claims an id for another entry.
func (s *Service) AnswerClaim(ctx context.Context, a *peerpb.ClaimAsk) *peerpb.ClaimReply {
	wait := min(time.Duration(a.GetWait())*time.Millisecond, claimTimeout)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if len(a.GetClaim().GetId()) != len(claim.ID{}) || a.GetClaim().GetToken() == 0 {
		return &peerpb.ClaimReply{}
	}
	return s.claimLocally(ctx, a.GetClaim())
}

// claimLocally claims an id through this entry's own slice.
func (s *Service) claimLocally(ctx context.Context, c *recpb.Claim) *peerpb.ClaimReply {
	o := s.open(claim.ID(c.GetId()).Slice())
	if o == nil {
		return &peerpb.ClaimReply{}
	}
	r, ok := o.claim(ctx, c)
	if !ok {
		return &peerpb.ClaimReply{}
	}
	switch {
	case r.verdict == claim.Forgotten:
		return &peerpb.ClaimReply{Verdict: peerpb.ClaimReply_EXPIRED}
	case r.verdict == claim.Free:
		return &peerpb.ClaimReply{}
	case r.winner.Token == c.GetToken():
		return &peerpb.ClaimReply{Verdict: peerpb.ClaimReply_GRANTED, Token: c.GetToken()}
	}
	return &peerpb.ClaimReply{
		Verdict:     peerpb.ClaimReply_HELD,
		Holder:      r.winner.Holder,
		Incarnation: r.winner.Incarnation,
		Token:       r.winner.Token,
	}
}

func toResult(r *peerpb.ClaimReply, token uint64) flows.ClaimResult {
	switch r.GetVerdict() {
	case peerpb.ClaimReply_GRANTED:
		if r.GetToken() == token {
			return flows.ClaimGranted{}
		}
	case peerpb.ClaimReply_HELD:
		return flows.ClaimHeld{Winner: claim.Winner{
			Holder: r.GetHolder(), Incarnation: r.GetIncarnation(), Token: r.GetToken()}}
	case peerpb.ClaimReply_EXPIRED:
		return flows.ClaimForgotten{}
	}
	return flows.ClaimUnavailable{}
}

// open returns a slice, which it opens if needed. It returns nil after Close.
func (s *Service) open(n int) *openedSlice {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return nil
	}
	o, ok := s.slices[n]
	if !ok {
		o = &openedSlice{slice: openSlice(s.ctx, n, s.Log, s.Clock, s.Tracer)}
		s.slices[n] = o
	}
	o.usedAt = s.Clock.Now()
	return o
}

// Maintain opens the slices that this entry coordinates, so that they have caught up with their
// stream before the first claim. It also closes unused slices and expires old attempts.
func (s *Service) Maintain() {
	for n := range claim.SliceCount {
		if s.coordinators(n)[0].Name == s.Self.Name {
			s.open(n)
		}
	}
	s.Attempts.Expire(s.Clock.Wall().UnixMilli())
	for _, o := range s.removeIdle() {
		o.close()
	}
}

func (s *Service) removeIdle() []*openedSlice {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*openedSlice
	for n, o := range s.slices {
		if s.Clock.Now()-o.usedAt > sliceIdleTimeout {
			out = append(out, o)
			delete(s.slices, n)
		}
	}
	return out
}

// coordinators returns the live entries in the order in which they are tried for a slice, by
// rendezvous hashing. This entry ranks itself last if it has not read the log recently.
func (s *Service) coordinators(n int) []Entry {
	list := s.Live()
	if len(list) == 0 {
		return []Entry{s.Self}
	}
	rank := func(e Entry) uint64 {
		if e.Name == s.Self.Name && !s.IsLinked() {
			return 0
		}
		return xxhash.Sum64String(e.Name + "/" + strconv.Itoa(n))
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(rank(b), rank(a)) })
	return list
}
