package route

import "time"

const (
	// maxConsecutiveFailures is the number of consecutive failures that ejects a target. At a
	// failure rate of 5%, five in a row happen by chance once in 3 million requests.
	maxConsecutiveFailures = 5
	// minOutcomes is the number of outcomes from which on the failure rate can eject a target.
	minOutcomes = 16
	// maxFailureRate is the share of failures in the history that ejects a target.
	maxFailureRate = 0.5
	// maxEjectedShare is the largest share of the usable targets that may be ejected, so that half
	// of a pool stays in use when all of it fails.
	maxEjectedShare = 0.5
	// trialSuccesses is the number of successes after which a readmitted target may use more than
	// one slot. A single failure before that ejects it again.
	trialSuccesses = 3
	// minProbeDelay and maxProbeDelay bound the time between probes; it doubles with each ejection
	// and each failed probe.
	minProbeDelay = time.Second
	maxProbeDelay = 30 * time.Second
)

// DueProbes returns the ejected targets that are due for a probe and schedules their next probes. A
// call of RecordProbe changes that schedule.
func (r *Router) DueProbes(now time.Duration) []Target {
	var due []Target
	if r.ejected == 0 {
		return due
	}
	for _, n := range r.listed {
		if n.usableEjected && n.probeAt <= now {
			n.probeAt = now + r.probeDelay(n.probeBackoff)
			due = append(due, n.target)
		}
	}
	return due
}

// RecordProbe records the result of a probe. A target that answered is readmitted with one slot
// until enough of its requests have succeeded; the probe delay of any other target is doubled.
func (r *Router) RecordProbe(now time.Duration, name string, ok bool) {
	n, known := r.nodes[name]
	if !known || !n.ejected {
		return
	}
	if ok {
		r.readmit(n)
		return
	}
	n.probeBackoff++
	n.probeAt = now + r.probeDelay(n.probeBackoff)
}

// IsEjected reports whether the target is ejected.
func (r *Router) IsEjected(name string) bool {
	n, ok := r.nodes[name]
	return ok && n.ejected
}

// recordSuccess records an answer with its latency.
func (r *Router) recordSuccess(now time.Duration, n *node, latency time.Duration) {
	r.recordLatency(now, n, latency)
	n.record(false)
	n.consecutiveFailures = 0
	if n.trialLeft == 0 {
		return
	}
	n.trialLeft--
	if n.trialLeft == 0 {
		n.probeBackoff = 0
	}
}

// recordCancel records that the caller cancelled. The time until then counts as a latency only if
// it exceeds the expected latency, since the answer would have taken longer still.
func (r *Router) recordCancel(now time.Duration, n *node, latency time.Duration) {
	if float64(latency) > r.expectedLatency(now, n) {
		r.recordLatency(now, n, latency)
	}
}

// recordLatency adds a latency to the smoothed latencies of the node and of the pool.
func (r *Router) recordLatency(now time.Duration, n *node, latency time.Duration) {
	l := float64(max(latency, 1))
	n.latency = smooth(n.latency, l)
	r.meanLatency = smooth(r.meanLatency, l)
	n.latencyAt = now
}

func smooth(old, next float64) float64 {
	if old == 0 {
		return next
	}
	return old + (next-old)*latencyWeight
}

// recordFailure records a failure and ejects the node if it fails too often.
func (r *Router) recordFailure(now time.Duration, n *node) {
	n.record(true)
	n.consecutiveFailures++
	n.failedAt = now
	if n.ejected || !n.mustEject() {
		return
	}
	if !n.usable || r.ejected+1 > r.maxEjections() {
		return
	}
	n.ejected = true
	n.trialLeft = 0
	n.probeBackoff++
	n.ejectedAt = now
	n.probeAt = now + r.probeDelay(n.probeBackoff)
	r.updateSums(n)
}

// mustEject reports whether the node fails so often that it should be ejected.
func (n *node) mustEject() bool {
	if n.consecutiveFailures >= maxConsecutiveFailures || n.trialLeft > 0 {
		return true
	}
	return n.outcomes >= minOutcomes && float64(n.failures()) >= maxFailureRate*float64(n.outcomes)
}

// maxEjections returns the largest number of targets that may be ejected now.
func (r *Router) maxEjections() int {
	return int(maxEjectedShare * float64(r.usable))
}

// readmitExcess readmits the targets that were ejected first until the number of ejected targets is
// within the limit again, after the number of usable targets has decreased.
func (r *Router) readmitExcess() {
	for r.ejected > r.maxEjections() {
		var first *node
		for _, n := range r.listed {
			if n.usableEjected && (first == nil || n.ejectedAt < first.ejectedAt) {
				first = n
			}
		}
		r.readmit(first)
	}
}

// readmit ends the ejection of the node and starts its trial.
func (r *Router) readmit(n *node) {
	n.ejected = false
	n.trialLeft = trialSuccesses
	n.history = 0
	n.outcomes = 0
	n.consecutiveFailures = 0
	r.updateSums(n)
}

// probeDelay returns the delay of the next probe after backoff ejections and failed probes. Up to a
// tenth is added at random so that entries do not probe at the same time.
func (r *Router) probeDelay(backoff int) time.Duration {
	d := minProbeDelay << min(max(backoff-1, 0), 5)
	d = min(d, maxProbeDelay)
	return d + time.Duration(r.rnd.Int64N(int64(d/10)))
}
