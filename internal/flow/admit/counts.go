package admit

import (
	"iter"
)

// Counts are the counters of a service. Waiting and Running are current values; the others only
// increase. Each accepted ticket is either waiting or counted in Started, Dropped or Cancelled.
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

// TotalRefused returns the number of refused requests, all reasons together.
func (c Counts) TotalRefused() uint64 {
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

// ServiceCounts returns an iterator over the counters of each service by name, in no particular
// order.
func (q *Queue) ServiceCounts() iter.Seq2[string, Counts] {
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
