// Package naive has the simple versions that the real ones are measured against and checked
// with. Only tests and the load tool import it.
package naive

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
)

// Ticket is one request of a naive queue.
type Ticket struct {
	// Owner is for the caller of Push.
	Owner any
	// Class is the class that the ticket was pushed with.
	Class admit.Class

	expiry  time.Duration
	waiting bool
}

// FIFO is a queue of all classes in order of arrival, without a limit and without shares.
type FIFO struct {
	waiting []*Ticket
	slots   int
	running int
}

// NewFIFO returns an empty queue without slots.
func NewFIFO() *FIFO {
	return &FIFO{}
}

// SetSlots sets the number of tickets that may run at once.
func (q *FIFO) SetSlots(n int) {
	q.slots = n
}

// Push adds a request that is dropped if it still waits at deadline, 0 for none.
func (q *FIFO) Push(c admit.Class, deadline time.Duration) *Ticket {
	t := &Ticket{Class: c, expiry: deadline, waiting: true}
	q.waiting = append(q.waiting, t)
	return t
}

// Pop returns the oldest ticket, or nil if no slot is free or nothing waits. The tickets in
// dropped were waiting past their deadline.
func (q *FIFO) Pop(now time.Duration) (run *Ticket, dropped []*Ticket) {
	for q.running < q.slots && len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		if !t.waiting {
			continue
		}
		t.waiting = false
		if t.expiry == 0 || t.expiry > now {
			q.running++
			return t, dropped
		}
		dropped = append(dropped, t)
	}
	return nil, dropped
}

// Cancel marks a waiting ticket so that it never runs. It returns false if the ticket no
// longer waits.
func (q *FIFO) Cancel(t *Ticket) bool {
	ok := t.waiting
	t.waiting = false
	return ok
}

// Done frees the slot of a running ticket.
func (q *FIFO) Done() {
	q.running--
}
