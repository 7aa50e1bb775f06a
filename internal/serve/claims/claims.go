// Package claims carries claims of non-idempotent request ids to the claims streams
// and asks holders for outcomes. For each slice one entry, the claimer, batches the
// claims of all entries; any other entry can take its place at any time, because the
// order of the log decides.
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

// Entry is an entry that can be asked.
type Entry struct {
	Name        string
	Incarnation uint64
	Addr        string
}

// Peers reaches other entries.
type Peers interface {
	To(ctx context.Context, addr string) peerpb.DRPCPeerClient
}

// Parts are what a service works with.
type Parts struct {
	Log      ports.Log
	Clock    clock.Clock
	Peers    Peers
	Attempts *claim.Attempts
	Tracer   trace.Tracer
	Self     Entry
	// Live returns the entries that are members and were heard lately, including
	// this one.
	Live func() []Entry
	// Linked says whether this entry has read the log lately.
	Linked func() bool
	// Member returns the member of a name, whether it was heard or not.
	Member func(name string) (Entry, bool)
}

// Service claims ids for this entry and for its peers. It is safe for concurrent use.
type Service struct {
	Parts
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	slices map[int]*opened
}

type opened struct {
	*slice
	used time.Duration
}

const (
	// remoteWait is how long a claimer is asked before the next one is.
	remoteWait = 600 * time.Millisecond
	// maxClaimers bounds how many entries are asked for one claim.
	maxClaimers = 3
	// outcomeWait is how long a holder waits for the end of a running request.
	outcomeWait = 10 * time.Second
	// idleExpiry closes a slice that no claim has used for that time.
	idleExpiry = time.Minute
)

// New returns a service that has no slice open.
func New(ctx context.Context, p Parts) *Service {
	ctx, cancel := context.WithCancel(ctx)
	return &Service{Parts: p, ctx: ctx, cancel: cancel, slices: map[int]*opened{}}
}

// Close ends the slices and waits for their goroutines.
func (s *Service) Close() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.slices {
		o.close()
	}
	clear(s.slices)
}

// Claim asks the claimer of the id's slice, or claims by itself if the claimer does
// not answer.
func (s *Service) Claim(ctx context.Context, id claim.ID, token, prev uint64) flows.ClaimResult {
	ctx, span := s.Tracer.Start(ctx, "claim", trace.WithAttributes(attribute.Int("slice", id.Slice())))
	defer span.End()
	c := &recpb.Claim{Id: id[:], Holder: s.Self.Name, Incarnation: s.Self.Incarnation, Token: token, Prev: prev}
	list := s.claimers(id.Slice())
	for _, e := range list[:min(maxClaimers, len(list))] {
		if r, ok := s.via(ctx, e, c); ok {
			return r
		}
	}
	return flows.ClaimUnavailable{}
}

// via claims through one entry. It reports false if that entry could not settle the
// claim; asking another one with the same token is the same claim.
func (s *Service) via(ctx context.Context, e Entry, c *recpb.Claim) (flows.ClaimResult, bool) {
	if e.Name != s.Self.Name {
		return s.remote(ctx, e, c)
	}
	ctx, cancel := context.WithTimeout(ctx, remoteWait)
	defer cancel()
	r := s.local(ctx, c)
	return resultOf(r, c.GetToken()), r.GetVerdict() != peerpb.ClaimReply_UNAVAILABLE
}

func (s *Service) remote(ctx context.Context, e Entry, c *recpb.Claim) (flows.ClaimResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, remoteWait)
	defer cancel()
	r, err := s.Peers.To(ctx, e.Addr).Claim(ctx, &peerpb.ClaimAsk{Claim: c, Wait: uint32(remoteWait.Milliseconds())})
	if err != nil || r.GetVerdict() == peerpb.ClaimReply_UNAVAILABLE {
		return nil, false
	}
	return resultOf(r, c.GetToken()), true
}

// Answer claims for another entry.
func (s *Service) Answer(ctx context.Context, a *peerpb.ClaimAsk) *peerpb.ClaimReply {
	wait := min(time.Duration(a.GetWait())*time.Millisecond, remoteWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if len(a.GetClaim().GetId()) != len(claim.ID{}) || a.GetClaim().GetToken() == 0 {
		return &peerpb.ClaimReply{}
	}
	return s.local(ctx, a.GetClaim())
}

// local claims through this entry's own slice.
func (s *Service) local(ctx context.Context, c *recpb.Claim) *peerpb.ClaimReply {
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
	case r.head.Token == c.GetToken():
		return &peerpb.ClaimReply{Verdict: peerpb.ClaimReply_GRANTED, Token: c.GetToken()}
	}
	return &peerpb.ClaimReply{
		Verdict:     peerpb.ClaimReply_HELD,
		Holder:      r.head.Holder,
		Incarnation: r.head.Incarnation,
		Token:       r.head.Token,
	}
}

func resultOf(r *peerpb.ClaimReply, token uint64) flows.ClaimResult {
	switch r.GetVerdict() {
	case peerpb.ClaimReply_GRANTED:
		if r.GetToken() == token {
			return flows.ClaimGranted{}
		}
	case peerpb.ClaimReply_HELD:
		return flows.ClaimHeld{Head: claim.Head{
			Holder: r.GetHolder(), Incarnation: r.GetIncarnation(), Token: r.GetToken()}}
	case peerpb.ClaimReply_EXPIRED:
		return flows.ClaimForgotten{}
	}
	return flows.ClaimUnavailable{}
}

// open returns the slice, which it opens if needed. It returns nil after Close.
func (s *Service) open(n int) *opened {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return nil
	}
	o, ok := s.slices[n]
	if !ok {
		o = &opened{slice: openSlice(s.ctx, n, s.Log, s.Clock, s.Tracer)}
		s.slices[n] = o
	}
	o.used = s.Clock.Now()
	return o
}

// Maintain opens the slices of which this entry is the claimer, so that they have caught
// up before the first claim, and closes those that are no longer used.
func (s *Service) Maintain() {
	for n := range claim.Slices {
		if s.claimers(n)[0].Name == s.Self.Name {
			s.open(n)
		}
	}
	s.Attempts.Expire(s.Clock.Wall().UnixMilli())
	for _, o := range s.idle() {
		o.close()
	}
}

func (s *Service) idle() []*opened {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*opened
	for n, o := range s.slices {
		if s.Clock.Now()-o.used > idleExpiry {
			out = append(out, o)
			delete(s.slices, n)
		}
	}
	return out
}

// claimers returns the entries that may claim for a slice in the order of a rendezvous
// hash. An entry that can't read the log asks the others first.
func (s *Service) claimers(n int) []Entry {
	list := s.Live()
	if len(list) == 0 {
		return []Entry{s.Self}
	}
	rank := func(e Entry) uint64 {
		if e.Name == s.Self.Name && !s.Linked() {
			return 0
		}
		return xxhash.Sum64String(e.Name + "/" + strconv.Itoa(n))
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(rank(b), rank(a)) })
	return list
}
