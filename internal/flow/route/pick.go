package route

import (
	"fmt"
	"slices"
	"time"
)

const (
	// distance is the round trip to another data centre, twice 0.5 ms one way.
	distance = float64(time.Millisecond)
	// nearMargin is the advantage below which a target in another data centre is
	// not preferred to one in the own: smoothed latencies differ by more than the
	// distance through chance alone.
	nearMargin = 0.9
	// drawTries is the number of random draws for a candidate before all are scanned.
	drawTries = 4
	// maxFailing bounds the failing share of a target in its score.
	maxFailing = 0.95
)

// Reason says why no target could be picked.
type Reason string

// Reasons of a NoTargetError.
const (
	// Empty means that the pool lists no targets.
	Empty Reason = "empty"
	// Unusable means that each target is leaving, blocked or ejected.
	Unusable Reason = "unusable"
	// Busy means that each usable target has all the slots of this entry in use;
	// the caller can wait for a slot.
	Busy Reason = "busy"
	// Tried means that only targets in the list to avoid have free slots.
	Tried Reason = "tried"
)

// NoTargetError says that no target can take an attempt now.
type NoTargetError struct {
	Reason Reason
}

func (e *NoTargetError) Error() string {
	return fmt.Sprintf("no target can take the attempt: %s", e.Reason)
}

var (
	errEmpty    = &NoTargetError{Reason: Empty}
	errUnusable = &NoTargetError{Reason: Unusable}
	errBusy     = &NoTargetError{Reason: Busy}
	errTried    = &NoTargetError{Reason: Tried}
)

// Pick takes a slot at a target that is not in avoid and returns the target. It
// returns a *NoTargetError if there is none; a target in avoid is never returned,
// and a caller that may go back to one asks again with a shorter list.
func (r *Router) Pick(now time.Duration, avoid []string) (Target, error) {
	n := r.choose(now, avoid)
	if n == nil {
		return Target{}, r.reason()
	}
	n.flight++
	r.flights++
	r.settle(n)
	return n.target, nil
}

// choose draws two candidates, the first from the own data centre if it has one, and
// returns the better one. It returns nil if there is no candidate.
func (r *Router) choose(now time.Duration, avoid []string) *node {
	all := len(r.near) + len(r.far)
	first := all
	if len(r.near) > 0 {
		first = len(r.near)
	}
	a := r.draw(first, avoid, nil)
	if a == nil {
		return r.scan(now, avoid)
	}
	b := r.draw(all, avoid, a)
	if b == nil {
		return a
	}
	return r.better(now, a, b)
}

// draw returns a random node among the first n candidates that is neither avoided
// nor the node other, or nil if it found none.
func (r *Router) draw(n int, avoid []string, other *node) *node {
	if n == 0 {
		return nil
	}
	for range drawTries {
		d := r.at(r.rnd.IntN(n))
		if d != other && !slices.Contains(avoid, d.target.Name) {
			return d
		}
	}
	return nil
}

// at returns candidate i, those in the own data centre first.
func (r *Router) at(i int) *node {
	if i < len(r.near) {
		return r.near[i]
	}
	return r.far[i-len(r.near)]
}

// scan returns the best of all candidates that are not avoided, or nil.
func (r *Router) scan(now time.Duration, avoid []string) *node {
	var best *node
	for i := range len(r.near) + len(r.far) {
		n := r.at(i)
		if slices.Contains(avoid, n.target.Name) {
			continue
		}
		if best == nil {
			best = n
			continue
		}
		best = r.better(now, best, n)
	}
	return best
}

// better returns the node with the lower score. A node in the own data centre wins
// over one elsewhere unless the other's score is clearly lower.
func (r *Router) better(now time.Duration, a, b *node) *node {
	x := r.score(now, a)
	y := r.score(now, b)
	if a.list == &r.near && b.list == &r.far {
		x *= nearMargin
	}
	if a.list == &r.far && b.list == &r.near {
		y *= nearMargin
	}
	if y < x {
		return b
	}
	return a
}

// score estimates the cost of one more request at the node, in nanoseconds: its
// latency, raised by the share of slots in use and by its failures.
func (r *Router) score(now time.Duration, n *node) float64 {
	s := r.expected(now, n)
	if n.list != &r.near {
		s += distance
	}
	s *= 1 + float64(n.flight)/float64(n.flight+n.room)
	good := 1 - n.failing(now)
	// A failed attempt costs another attempt and a part of the retry budget.
	return s / (good * good)
}

// expected returns the latency expected at the node: that of the pool when the
// node's own is unknown or old.
func (r *Router) expected(now time.Duration, n *node) float64 {
	if n.latency == 0 {
		return r.mean
	}
	return r.mean + (n.latency-r.mean)*fade(now-n.seen)
}

// failing returns the share of requests expected to fail at the node.
func (n *node) failing(now time.Duration) float64 {
	if n.history == 0 {
		return 0
	}
	share := float64(n.failures()) / float64(max(n.count, minSample/2))
	return min(share*fade(now-n.failed), maxFailing)
}

// reason returns the error for a Pick that found no target.
func (r *Router) reason() *NoTargetError {
	switch {
	case len(r.listed) == 0:
		return errEmpty
	case r.room > 0:
		return errTried
	case r.able > r.ejected:
		return errBusy
	default:
		return errUnusable
	}
}
