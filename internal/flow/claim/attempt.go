package claim

import (
	"container/list"
	"sync"
)

// Phase is the state of an attempt.
type Phase uint8

// Phases of an attempt.
const (
	// Claiming means that the claim was requested and that nothing may be sent yet.
	Claiming Phase = iota
	// Granted means that the claim was won and that the request may be sent.
	Granted
	// Void means that nothing was sent and that nothing will be sent.
	Void
	// Done means that the attempt has an outcome, which may be Unknown.
	Done
)

// Outcome is the answer that an attempt ended with.
type Outcome struct {
	Status int
	Kind   string
	Body   []byte
	// Unknown means that the request may have run and that no answer is available.
	Unknown bool
}

// Attempt tracks one try of this entry to run a non-idempotent request.
type Attempt struct {
	ID    ID
	Token uint64

	set     *Attempts
	phase   Phase
	outcome Outcome
	ended   chan struct{}
	elem    *list.Element
}

// Attempts holds the attempts of one entry. It is safe for concurrent use.
type Attempts struct {
	mu         sync.Mutex
	byID       map[ID]*Attempt
	byToken    map[uint64]*Attempt
	endedOrder *list.List
	bytes      int64
	limit      int64
}

// attemptOverhead is the memory in bytes counted for an attempt in addition to its body.
const attemptOverhead = 512

// NewAttempts returns an empty set that keeps ended attempts up to a limit in bytes.
func NewAttempts(limit int64) *Attempts {
	return &Attempts{
		byID:       map[ID]*Attempt{},
		byToken:    map[uint64]*Attempt{},
		endedOrder: list.New(),
		limit:      limit,
	}
}

// Begin returns the attempt of an id. If fresh is true, the caller of Begin owns the attempt and
// must end it with Void or Finish. Otherwise the attempt belongs to another caller and may still be
// running. A void attempt is replaced by a fresh one, and prev is the token of the void one.
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
	s.byToken[token] = a
	return a, prev, true
}

// Find returns the attempt with the token.
func (s *Attempts) Find(token uint64) (*Attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.byToken[token]
	return a, ok
}

// Grant records that the claim was won. It returns false if the attempt was voided before, in which
// case nothing may be sent.
func (a *Attempt) Grant() bool {
	a.set.mu.Lock()
	defer a.set.mu.Unlock()
	if a.phase != Claiming {
		return false
	}
	a.phase = Granted
	return true
}

// Void records that nothing was sent and that nothing will be sent. It returns false if the attempt
// ended before.
func (a *Attempt) Void() bool { return a.end(Void, Outcome{}) }

// Finish records the outcome. It returns false if the attempt ended before.
func (a *Attempt) Finish(o Outcome) bool { return a.end(Done, o) }

// Ended returns a channel that is closed when the attempt is void or done.
func (a *Attempt) Ended() <-chan struct{} { return a.ended }

// State returns the phase, and the outcome if the attempt is done.
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
	a.elem = s.endedOrder.PushBack(a)
	s.bytes += a.size()
	s.evictOldest()
	return true
}

func (a *Attempt) size() int64 { return attemptOverhead + int64(len(a.outcome.Body)) }

// evictOldest removes the oldest ended attempts until the set is within its limit. The id of a
// removed attempt is still claimed in the log, so its outcome becomes unknown.
func (s *Attempts) evictOldest() {
	for s.bytes > s.limit {
		front := s.endedOrder.Front()
		if front == nil {
			return
		}
		s.remove(front.Value.(*Attempt))
	}
}

func (s *Attempts) remove(a *Attempt) {
	s.endedOrder.Remove(a.elem)
	s.bytes -= a.size()
	delete(s.byToken, a.Token)
	if s.byID[a.ID] == a {
		delete(s.byID, a.ID)
	}
}

// Expire removes the ended attempts whose ids are no longer accepted. wall is a wall-clock time in
// milliseconds since the Unix epoch.
func (s *Attempts) Expire(wall int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.endedOrder.Front(); e != nil; {
		a := e.Value.(*Attempt)
		e = e.Next()
		if a.ID.Issued() < wall-idRetention {
			s.remove(a)
		}
	}
}
