// Package admit implements the admission queue that one entry keeps for a pool. It decides which
// request runs next, which requests are refused and which waiting requests are dropped. Slots are
// divided by weight between services, then between the teams of a service, then between the
// urgencies of a team. A Queue is not safe for concurrent use; its owner guards it with a mutex.
package admit

import (
	"time"
)

// Urgency is the priority of a request within its team. A more urgent request is preferred by
// weight, not absolutely.
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

// Class identifies the service, team and urgency that a request is accounted to. An urgency above
// Urgent counts as Urgent. Services that are not configured share the service with the empty name,
// and so do teams.
type Class struct {
	Service string
	Team    string
	Urgency Urgency
}

// Share configures the part of the pool that a service, or a team within each service, may use.
type Share struct {
	// Weight sets the guaranteed share relative to the other weights. 0 counts as 1.
	Weight uint32
	// Quota is the largest number of slots in use at once in this entry, 0 for no limit. The quota
	// of a team counts its slots in all services.
	Quota uint32
}

// Defaults of the options.
const (
	// defaultRun is the mean run time assumed for a request.
	defaultRun = 200 * time.Millisecond
	// defaultWait is below 2 s so that the queue left by a flood is empty within 2 s.
	defaultWait = 1500 * time.Millisecond
	// defaultUrgentWait leaves an urgent request time for one retry through another entry within
	// 3.1 s.
	defaultUrgentWait = time.Second
	// defaultMaxWaiting is the largest queue expected within two years of growth.
	defaultMaxWaiting = 100_000
	// defaultReserve limits how much a flooded service loses of the slots that the others leave
	// unused.
	defaultReserve = 0.05
)

type options struct {
	longestWait [urgencies]time.Duration
	weight      [urgencies]float64
	priorRun    time.Duration
	maxWaiting  int
	reserve     float64
}

// Option configures a Queue created by New.
type Option func(*options)

// WithLongestWait sets the longest queueing time by urgency. A request that is expected to wait
// longer is refused; a ticket that has waited longer is dropped.
func WithLongestWait(deferrable, normal, urgent time.Duration) Option {
	return func(o *options) {
		o.longestWait = [urgencies]time.Duration{deferrable, normal, urgent}
	}
}

// WithUrgencyWeights sets the weights of the urgencies within a team. 0 counts as 1.
func WithUrgencyWeights(deferrable, normal, urgent uint32) Option {
	return func(o *options) {
		o.weight = [urgencies]float64{weightOf(deferrable), weightOf(normal), weightOf(urgent)}
	}
}

// WithPriorRunTime sets the run time assumed for a service until its first request ends.
func WithPriorRunTime(d time.Duration) Option {
	return func(o *options) { o.priorRun = d }
}

// WithMaxWaiting sets the largest number of waiting tickets. It is divided between the services by
// weight, so that a flood of one service cannot fill the queue for the others.
func WithMaxWaiting(n int) Option {
	return func(o *options) { o.maxWaiting = n }
}

// WithReserveFraction limits the reserve of free slots for services within their guaranteed share.
// The fraction, 0 to 1, applies to the slots that these services do not use: on average, at most
// that fraction of them is kept free from borrowing services. 0 turns the reserve off.
func WithReserveFraction(fraction float64) Option {
	return func(o *options) { o.reserve = fraction }
}

// Ticket is a request that waits in a queue or runs in a slot. It belongs to the Queue that
// returned it.
type Ticket struct {
	// Owner is free for the caller of Push; the queue does not use it.
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

// Class returns the class that the queue accounts the ticket to. Names that are not configured are
// replaced by the empty name.
func (t *Ticket) Class() Class {
	return Class{
		Service: t.leaf.team.service.name,
		Team:    t.leaf.team.name,
		Urgency: t.leaf.urgency,
	}
}

// Expiry returns the time at which the ticket is dropped if it still waits.
func (t *Ticket) Expiry() time.Duration {
	return t.expiry
}

func weightOf(w uint32) float64 {
	if w == 0 {
		return 1
	}
	return float64(w)
}
