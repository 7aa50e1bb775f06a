// Package route chooses the endpoint of a pool that an attempt is sent to. It counts the slots in
// use at each target, ejects targets that fail, sends no new work to leaving targets and limits
// retries. It does no I/O and receives the current time as an argument. None of its types is safe
// for concurrent use.
package route

import (
	"math/rand/v2"
	"time"
)

// Target is an endpoint on one instance.
type Target struct {
	Name, Addr, Pool, Rack, Centre string
	// Slots is the number of requests that the endpoint runs at a time, and Conns the number of
	// connections that it accepts, both over all entries.
	Slots, Conns int
}

// Outcome is the way in which an attempt ended.
type Outcome uint8

// Outcomes of an attempt. Only Answered counts as a success. Cancelled counts as neither success
// nor failure; the other outcomes are failures of the target.
const (
	// Answered means that a complete answer was received.
	Answered Outcome = iota
	// Failed means that the endpoint ran the request and reported a failure.
	Failed
	// Refused means that the endpoint refused the request without running it.
	Refused
	// NotSent means that no byte of the request reached the endpoint.
	NotSent
	// Broken means that the request was sent and no complete answer was received, including a
	// deadline that passed at the endpoint.
	Broken
	// Cancelled means that the caller cancelled before an answer was received.
	Cancelled
)

// Router chooses among the targets of one pool. Use New to create one.
type Router struct {
	centre     string
	wholeSlots bool
	rnd        *rand.Rand
	nodes      map[string]*node
	listed     []*node
	// local and remote hold the targets that can accept work, in the data centre of the Router and
	// in the others.
	local, remote []*node
	// meanLatency is the smoothed latency of the pool in nanoseconds, 0 if there is none yet.
	meanLatency float64
	// usable is the number of listed targets that are neither leaving nor blocked, and ejected the
	// number of ejected ones among them.
	usable, ejected int
	// slotsInUse is the number of slots in use at all targets.
	slotsInUse int
	// freeSlots is the number of free slots at the targets that can accept work.
	freeSlots int
}

// Option configures a Router.
type Option func(*Router)

// WithWholeSlots lets the Router use all slots of each target instead of the limits set with
// SetLimit.
func WithWholeSlots() Option {
	return func(r *Router) { r.wholeSlots = true }
}

// WithSeed sets the seed of the random choice; the default is 1.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.rnd = newRand(seed) }
}

// New returns a Router without targets for an entry in the data centre.
func New(centre string, opts ...Option) *Router {
	r := &Router{centre: centre, rnd: newRand(1), nodes: map[string]*node{}}
	for _, o := range opts {
		o(r)
	}
	return r
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
}

// SetTargets replaces the targets. The observations of a target that stays listed are kept.
// Requests in flight at a target that is no longer listed still count in InFlight.
func (r *Router) SetTargets(_ time.Duration, targets []Target) {
	for _, n := range r.listed {
		n.listed = false
	}
	old := r.listed
	r.listed = make([]*node, 0, len(targets))
	for _, t := range targets {
		n := r.node(t.Name)
		if n.listed {
			continue
		}
		n.target = t
		n.listed = true
		r.listed = append(r.listed, n)
	}
	for _, n := range old {
		r.updateSums(n)
		r.removeUnused(n)
	}
	for _, n := range r.listed {
		r.updateSums(n)
	}
	r.readmitExcess()
}

// SetLimit sets the number of slots that this entry may use at the target now. Requests in flight
// above a lower limit are not ended.
func (r *Router) SetLimit(name string, n int) {
	d := r.node(name)
	d.limit = max(n, 0)
	r.updateSums(d)
	r.removeUnused(d)
}

// Block stops new work to a target whose drain is granted.
func (r *Router) Block(name string) {
	n := r.node(name)
	n.blocked = true
	r.updateSums(n)
	r.readmitExcess()
}

// Unblock ends a Block. The observations of the target are cleared, because it has been restarted
// or moved since.
func (r *Router) Unblock(name string) {
	n := r.node(name)
	n.blocked = false
	r.resetObservations(n)
}

// MarkLeaving records that the target is leaving. It receives no new work until MarkReturned is
// called, whether it is listed or not.
func (r *Router) MarkLeaving(_ time.Duration, name string) {
	n := r.node(name)
	n.leaving = true
	r.updateSums(n)
	r.readmitExcess()
}

// MarkReturned records that a leaving target has confirmed its return. The observations of the
// target are cleared.
func (r *Router) MarkReturned(name string) {
	n := r.node(name)
	n.leaving = false
	r.resetObservations(n)
}

// IsLeaving reports whether the target is marked as leaving.
func (r *Router) IsLeaving(name string) bool {
	n, ok := r.nodes[name]
	return ok && n.leaving
}

// InFlight returns the number of slots in use at the target by this entry.
func (r *Router) InFlight(name string) int {
	n, ok := r.nodes[name]
	if !ok {
		return 0
	}
	return n.inFlight
}

// AddInFlight adds the number of slots that this entry uses at each target to out, by name. Targets
// without a slot in use are left out.
func (r *Router) AddInFlight(out map[string]int) {
	if r.slotsInUse == 0 {
		return
	}
	for name, n := range r.nodes {
		if n.inFlight > 0 {
			out[name] += n.inFlight
		}
	}
}

// FreeSlots returns the number of slots that Pick can still reserve.
func (r *Router) FreeSlots() int { return r.freeSlots }

// TargetCounts returns the number of listed targets, the number of those that are neither leaving
// nor blocked, and the number of ejected ones among the latter.
func (r *Router) TargetCounts() (listed, usable, ejected int) {
	return len(r.listed), r.usable, r.ejected
}

// Done frees the slot that Pick reserved at the target and records how the attempt ended. The
// latency is the time from the start of sending to the end of the attempt. A call for a target
// without a slot in use is ignored.
func (r *Router) Done(now time.Duration, name string, o Outcome, latency time.Duration) {
	n, ok := r.nodes[name]
	if !ok || n.inFlight == 0 {
		return
	}
	n.inFlight--
	r.slotsInUse--
	switch o {
	case Answered:
		r.recordSuccess(now, n, latency)
	case Cancelled:
		r.recordCancel(now, n, latency)
	default:
		r.recordFailure(now, n)
	}
	r.updateSums(n)
	r.removeUnused(n)
}
