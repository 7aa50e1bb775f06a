package claim

import (
	"container/list"
	"sync"
)

// Phase is the state of an attempt.
type Phase uint8

// Phases of an attempt.
const (
	// Claiming means that the claim was asked for and that nothing may be sent yet.
	Claiming Phase = iota
	// Granted means that the claim was won and that the request may be sent.
	Granted
	// Void means that nothing was sent and that nothing will be sent.
	Void
	// Done means that the outcome is known or known to be unknown.
	Done
)

// Outcome is the answer that an attempt ended with.
type Outcome struct {
	Status int
	Kind   string
	Body   []byte
	// Unknown says that the request may have run and that no answer is at hand.
	Unknown bool
}

// Attempt is one try of this entry to run a non-idempotent request.
type Attempt struct {
	ID    ID
	Token uint64

	set     *Attempts
	phase   Phase
	outcome Outcome
	ended   chan struct{}
	elem    *list.Element
}

// Attempts keeps the attempts of one entry. It is safe for concurrent use.
type Attempts struct {
	mu    sync.Mutex
	byID  map[ID]*Attempt
	token map[uint64]*Attempt
	order *list.List
	bytes int64
	limit int64
}

// attemptOverhead is the memory charged for an attempt beside its body, in bytes.
const attemptOverhead = 512

// NewAttempts returns an empty set that keeps ended attempts within a limit in bytes.
func NewAttempts(limit int64) *Attempts {
	return &Attempts{
		byID:  map[ID]*Attempt{},
		token: map[uint64]*Attempt{},
		order: list.New(),
		limit: limit,
	}
}

// Begin returns the attempt of an id. Fresh means that the caller of Begin owns the
// attempt and must end it with Void or Finish; otherwise the attempt is another's,
// which may still be running. A void attempt is replaced by a fresh one, and prev is
// the token of the void one.
func (s *Attempts) Begin(id ID, token uint64) (a *Attempt, prev uint64, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.byID[id]
	if ok && old.phase != Void {
		return old, 0, false
	}
	if ok {
		prev = old.Token
	}
	a = &Attempt{ID: id, Token: token, set: s, ended: make(chan struct{})}
	s.byID[id] = a
	s.token[token] = a
	return a, prev, true
}

// Find returns the attempt with a token.
func (s *Attempts) Find(token uint64) (*Attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.token[token]
	return a, ok
}

// Grant records that the claim was won. It reports false if the attempt was made
// void before, in which case nothing may be sent.
func (a *Attempt) Grant() bool {
	a.set.mu.Lock()
	defer a.set.mu.Unlock()
	if a.phase != Claiming {
		return false
	}
	a.phase = Granted
	return true
}

// Void records that nothing was sent and that nothing will be sent. It reports
// false if the attempt has ended before.
func (a *Attempt) Void() bool { return a.end(Void, Outcome{}) }

// Finish records the outcome. It reports false if the attempt has ended before.
func (a *Attempt) Finish(o Outcome) bool { return a.end(Done, o) }

// Ended is closed when the attempt is void or done.
func (a *Attempt) Ended() <-chan struct{} { return a.ended }

// State returns the phase, and the outcome of a done attempt.
func (a *Attempt) State() (Phase, Outcome) {
	a.set.mu.Lock()
	defer a.set.mu.Unlock()
	return a.phase, a.outcome
}

func (a *Attempt) end(p Phase, o Outcome) bool {
	s := a.set
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.phase == Void || a.phase == Done {
		return false
	}
	a.phase = p
	a.outcome = o
	close(a.ended)
	a.elem = s.order.PushBack(a)
	s.bytes += a.size()
	s.shrink()
	return true
}

func (a *Attempt) size() int64 { return attemptOverhead + int64(len(a.outcome.Body)) }

// shrink forgets the oldest ended attempts. An id whose attempt is forgotten is
// still claimed in the log, so that its outcome becomes unknown.
func (s *Attempts) shrink() {
	for s.bytes > s.limit {
		front := s.order.Front()
		if front == nil {
			return
		}
		s.forget(front.Value.(*Attempt))
	}
}

func (s *Attempts) forget(a *Attempt) {
	s.order.Remove(a.elem)
	s.bytes -= a.size()
	delete(s.token, a.Token)
	if s.byID[a.ID] == a {
		delete(s.byID, a.ID)
	}
}

// Expire forgets the ended attempts whose ids are no longer accepted at a
// wall-clock time in milliseconds.
func (s *Attempts) Expire(wall int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.order.Front(); e != nil; {
		a := e.Value.(*Attempt)
		e = e.Next()
		if a.ID.Issued() < wall-forgetAfter {
			s.forget(a)
		}
	}
}
