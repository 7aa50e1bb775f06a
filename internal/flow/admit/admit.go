// Package admit is the admission queue of a pool in one entry. It decides which request
// runs next, which one is refused and which one is dropped. Slots are divided by weight
// between services, then between the teams of a service, then between the urgencies of a
// team. A Queue is not safe for concurrent use: its owner holds one mutex around it.
package admit

import (
	"time"
)

// Urgency tells how soon a request is needed. A more urgent request is preferred by weight
// within its team only.
type Urgency uint8

// The urgencies, least urgent first.
const (
	Deferrable Urgency = iota
	Normal
	Urgent
	urgencies
)

// String returns the name of the urgency.
func (u Urgency) String() string {
	switch u {
	case Deferrable:
		return "deferrable"
	case Normal:
		return "normal"
	case Urgent:
		return "urgent"
	default:
		return "unknown"
	}
}

// Class identifies the share that a request is charged to. An urgency above Urgent counts
// as Urgent. Services and teams that are not configured share the one with the empty name.
type Class struct {
	Service string
	Team    string
	Urgency Urgency
}

// Share is the part of the pool that a service, or a team within each service, may use.
type Share struct {
	// Weight sets the guaranteed part relative to the other weights. 0 counts as 1.
	Weight uint32
	// Quota is the largest number of slots in use at once in this entry, 0 for none. The
	// quota of a team counts its slots in all services.
	Quota uint32
}

// Defaults of the options.
const (
	// defaultRun is the mean run time that the design assumes for a request.
	defaultRun = 200 * time.Millisecond
	// defaultWait is below 2 s because the queue left by a flood must be gone within 2 s.
	defaultWait = 1500 * time.Millisecond
	// defaultUrgentWait leaves an urgent request time for one retry through another entry
	// within 3.1 s.
	defaultUrgentWait = time.Second
	// defaultMaxWaiting is the two-year size of one queue.
	defaultMaxWaiting = 100_000
	// defaultReserve is what a flood may lose of the slots that the others leave.
	defaultReserve = 0.05
)

type options struct {
	wait       [urgencies]time.Duration
	weight     [urgencies]float64
	run        time.Duration
	maxWaiting int
	reserve    float64
}

// Option changes a setting of New.
type Option func(*options)

// WithLongestWait sets the longest queueing time per urgency. A request that is expected to
// wait longer is refused; one that has waited longer is dropped.
func WithLongestWait(deferrable, normal, urgent time.Duration) Option {
	return func(o *options) {
		o.wait = [urgencies]time.Duration{deferrable, normal, urgent}
	}
}

// WithUrgencyWeights sets the weights of the urgencies within a team. 0 counts as 1.
func WithUrgencyWeights(deferrable, normal, urgent uint32) Option {
	return func(o *options) {
		o.weight = [urgencies]float64{weightOf(deferrable), weightOf(normal), weightOf(urgent)}
	}
}

// WithPriorRun sets the run time assumed for a service before any of its requests ended.
func WithPriorRun(d time.Duration) Option {
	return func(o *options) { o.run = d }
}

// WithMaxWaiting sets the largest number of waiting tickets. Each service has the part of it
// that its weight gives, so a flood of one service can't fill the queue for the others.
func WithMaxWaiting(n int) Option {
	return func(o *options) { o.maxWaiting = n }
}

// WithReserve sets the part, 0 to 1, of the slots not used by services within their
// guaranteed share that lending may leave free on average, so that these services find a
// free slot. 0 turns the reserve off.
func WithReserve(part float64) Option {
	return func(o *options) { o.reserve = part }
}

// Ticket is one request in the queue or in a slot. It belongs to the Queue that returned it.
type Ticket struct {
	// Owner is for the caller of Push; the queue does not use it.
	Owner any

	leaf       *leaf
	prev, next *Ticket
	seq        uint64
	pushed     time.Duration
	started    time.Duration
	expiry     time.Duration
	cost       float64 // charged at dispatch, in seconds of slot time
	pos        int     // index in the expiry heap, -1 if absent
	state      ticketState
}

type ticketState uint8

const (
	waiting ticketState = iota
	running
	ended
)

// Class returns the class that the ticket was pushed with, with the names under which the
// queue accounts for it.
func (t *Ticket) Class() Class {
	return Class{
		Service: t.leaf.team.service.name,
		Team:    t.leaf.team.name,
		Urgency: t.leaf.urgency,
	}
}

// Expiry returns when the ticket is dropped if it still waits.
func (t *Ticket) Expiry() time.Duration {
	return t.expiry
}

func weightOf(w uint32) float64 {
	if w == 0 {
		return 1
	}
	return float64(w)
}
