package route

import (
	"fmt"
	"slices"
	"time"
)

const (
	// centreRoundTrip is the round trip time to another data centre in nanoseconds, twice 0.5 ms
	// one way.
	centreRoundTrip = float64(time.Millisecond)
	// localMargin is multiplied into the score of a target in the own data centre when it is
	// compared with one elsewhere. Smoothed latencies differ by more than the round trip time
	// through chance alone.
	localMargin = 0.9
	// drawTries is the number of random draws for a candidate before all candidates are scanned.
	drawTries = 4
	// maxFailureShare limits the failure share of a target in its score.
	maxFailureShare = 0.95
)

// Reason is why no target could be picked.
type Reason string

// Reasons of a NoTargetError.
const (
	// Empty means that the pool lists no targets.
	Empty Reason = "empty"
	// Unusable means that each target is leaving, blocked or ejected.
	Unusable Reason = "unusable"
	// Busy means that this entry uses all its slots at each usable target; the caller can wait for
	// a slot.
	Busy Reason = "busy"
	// Tried means that only targets in the avoid list have free slots.
	Tried Reason = "tried"
)

// NoTargetError is the error that Pick returns if no target can accept an attempt now.
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

// Pick reserves a slot at a target that is not in avoid and returns the target. It returns a
// *NoTargetError if there is none. A target in avoid is never returned; a caller that accepts one
// again repeats the call with a shorter list.
func (r *Router) Pick(now time.Duration, avoid []string) (Target, error) {
	n := r.choose(now, avoid)
	if n == nil {
		return Target{}, r.noTargetError()
	}
	n.inFlight++
	r.slotsInUse++
	r.updateSums(n)
	return n.target, nil
}

// choose draws two candidates, the first one from the own data centre if it has any, and returns
// the better one. It returns nil if there is no candidate.
func (r *Router) choose(now time.Duration, avoid []string) *node {
	all := len(r.local) + len(r.remote)
	first := all
	if len(r.local) > 0 {
		first = len(r.local)
	}
	a := r.drawCandidate(first, avoid, nil)
	if a == nil {
		return r.scanCandidates(now, avoid)
	}
	b := r.drawCandidate(all, avoid, a)
	if b == nil {
		return a
	}
	return r.betterOf(now, a, b)
}

// drawCandidate returns a random node among the first n candidates that is neither in avoid nor
// other, or nil if drawTries draws find none.
func (r *Router) drawCandidate(n int, avoid []string, other *node) *node {
	if n == 0 {
		return nil
	}
	for range drawTries {
		d := r.candidate(r.rnd.IntN(n))
		if d != other && !slices.Contains(avoid, d.target.Name) {
			return d
		}
	}
	return nil
}

// candidate returns candidate i; those in the own data centre come first.
func (r *Router) candidate(i int) *node {
	if i < len(r.local) {
		return r.local[i]
	}
	return r.remote[i-len(r.local)]
}

// scanCandidates returns the best of all candidates that are not in avoid, or nil.
func (r *Router) scanCandidates(now time.Duration, avoid []string) *node {
	var best *node
	for i := range len(r.local) + len(r.remote) {
		n := r.candidate(i)
		if slices.Contains(avoid, n.target.Name) {
			continue
		}
		if best == nil {
			best = n
			continue
		}
		best = r.betterOf(now, best, n)
	}
	return best
}

// betterOf returns the node with the lower score. A node in the own data centre is preferred to one
// elsewhere unless the score of the other is clearly lower.
func (r *Router) betterOf(now time.Duration, a, b *node) *node {
	x := r.score(now, a)
	y := r.score(now, b)
	if a.list == &r.local && b.list == &r.remote {
		x *= localMargin
	}
	if a.list == &r.remote && b.list == &r.local {
		y *= localMargin
	}
	if y < x {
		return b
	}
	return a
}

// score estimates the cost of one more request at the node, in nanoseconds: the expected latency,
// increased by the share of slots in use and by the failure share.
func (r *Router) score(now time.Duration, n *node) float64 {
	s := r.expectedLatency(now, n)
	if n.list != &r.local {
		s += centreRoundTrip
	}
	s *= 1 + float64(n.inFlight)/float64(n.inFlight+n.freeSlots)
	good := 1 - n.failureShare(now)
	// A failed attempt costs another attempt and uses up retry budget.
	return s / (good * good)
}

// expectedLatency returns the latency expected at the node, in nanoseconds: that of the pool if the
// latency of the node is unknown or old.
func (r *Router) expectedLatency(now time.Duration, n *node) float64 {
	if n.latency == 0 {
		return r.meanLatency
	}
	return r.meanLatency + (n.latency-r.meanLatency)*ageWeight(now-n.latencyAt)
}

// failureShare returns the share of requests that are expected to fail at the node.
func (n *node) failureShare(now time.Duration) float64 {
	if n.history == 0 {
		return 0
	}
	share := float64(n.failures()) / float64(max(n.outcomes, minOutcomes/2))
	return min(share*ageWeight(now-n.failedAt), maxFailureShare)
}

// noTargetError returns the error for a Pick that found no target.
func (r *Router) noTargetError() *NoTargetError {
	switch {
	case len(r.listed) == 0:
		return errEmpty
	case r.freeSlots > 0:
		return errTried
	case r.usable > r.ejected:
		return errBusy
	default:
		return errUnusable
	}
}
