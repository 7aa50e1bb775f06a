package admit

import (
	"iter"
)

// Counts are the counters of a service. Waiting and Running are present values, the others
// only grow. Accepted tickets are either waiting or counted by Started, Dropped or Cancelled.
type Counts struct {
	Waiting   int
	Running   int
	Accepted  uint64
	Started   uint64
	Done      uint64
	Dropped   uint64
	Cancelled uint64
	Refused   [reasons]uint64 // by Reason
}

// RefusedTotal returns the number of refusals of all reasons.
func (c Counts) RefusedTotal() uint64 {
	var n uint64
	for _, one := range c.Refused {
		n += one
	}
	return n
}

// Waiting returns the number of waiting tickets of all services.
func (q *Queue) Waiting() int { return len(q.expiry) }

// Running returns the number of slots in use by all services.
func (q *Queue) Running() int { return q.running }

// Services yields the counters of each service by name, in no fixed order.
func (q *Queue) Services() iter.Seq2[string, Counts] {
	return func(yield func(string, Counts) bool) {
		for name, s := range q.services {
			c := s.counts
			c.Waiting = s.waiting
			c.Running = s.running
			if !yield(name, c) {
				return
			}
		}
	}
}
