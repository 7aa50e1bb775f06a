// Package refq contains simple reference queues that the admission queue is checked against and
// compared with. Only tests and the load tool import it.
package refq

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
)

// Ticket is one request of a FIFO queue.
type Ticket struct {
	// Owner is free for the caller of Push.
	Owner any
	// Class is the class that the ticket was pushed with.
	Class admit.Class

	expiry  time.Duration
	waiting bool
}

// FIFO is a queue of all classes in order of arrival, without a length limit and without shares.
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

// Pop returns the oldest ticket, or nil if no slot is free or no ticket waits. The tickets in
// dropped waited past their deadline.
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

// Cancel marks a waiting ticket so that it never runs. It returns false if the ticket is not
// waiting.
func (q *FIFO) Cancel(t *Ticket) bool {
	ok := t.waiting
	t.waiting = false
	return ok
}

// Done frees the slot of a running ticket.
func (q *FIFO) Done() {
	q.running--
}
