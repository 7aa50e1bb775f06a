package route

import "time"

const (
	// maxRun is the number of consecutive failures that ejects a target. At a
	// failure rate of 5% five in a row happen by chance once in 3 million requests.
	maxRun = 5
	// minSample is the least number of outcomes by which a rate ejects a target.
	minSample = 16
	// maxRate is the share of failures in the history that ejects a target.
	maxRate = 0.5
	// maxEjected is the largest share of the usable targets that may be ejected, so
	// that the failure of a whole pool leaves half of it in use.
	maxEjected = 0.5
	// trialLen is the number of successes that a readmitted target owes before it
	// may use more than one slot. A single failure before that ejects it again.
	trialLen = 3
	// firstProbe and lastProbe are the shortest and the longest wait for a probe;
	// the wait doubles with each ejection and each failed probe.
	firstProbe = time.Second
	lastProbe  = 30 * time.Second
)

// Probes returns the ejected targets that are due for a probe. A target is due again
// after its current wait unless Probed was called for it.
func (r *Router) Probes(now time.Duration) []Target {
	var due []Target
	if r.ejected == 0 {
		return due
	}
	for _, n := range r.listed {
		if n.out && n.due <= now {
			n.due = now + r.wait(n.level)
			due = append(due, n.target)
		}
	}
	return due
}

// Probed records the result of a probe. A target that answered is readmitted with
// one slot until it has answered some requests; the others are probed later.
func (r *Router) Probed(now time.Duration, name string, ok bool) {
	n, known := r.nodes[name]
	if !known || !n.ejected {
		return
	}
	if ok {
		r.readmit(n)
		return
	}
	n.level++
	n.due = now + r.wait(n.level)
}

// IsEjected reports whether the target is ejected.
func (r *Router) IsEjected(name string) bool {
	n, ok := r.nodes[name]
	return ok && n.ejected
}

// succeed records an answer with its latency.
func (r *Router) succeed(now time.Duration, n *node, latency time.Duration) {
	r.smooth(now, n, latency)
	n.record(false)
	n.run = 0
	if n.trial == 0 {
		return
	}
	n.trial--
	if n.trial == 0 {
		n.level = 0
	}
}

// abandon records that the caller gave up. The time until then counts as a latency
// only if it is longer than expected, since the answer would have taken still longer.
func (r *Router) abandon(now time.Duration, n *node, latency time.Duration) {
	if float64(latency) > r.expected(now, n) {
		r.smooth(now, n, latency)
	}
}

// smooth adds a latency to the smoothed latencies of the node and of the pool.
func (r *Router) smooth(now time.Duration, n *node, latency time.Duration) {
	l := float64(max(latency, 1))
	n.latency = blend(n.latency, l)
	r.mean = blend(r.mean, l)
	n.seen = now
}

func blend(old, next float64) float64 {
	if old == 0 {
		return next
	}
	return old + (next-old)*latencyWeight
}

// fail records a failure and ejects the node if it fails too much.
func (r *Router) fail(now time.Duration, n *node) {
	n.record(true)
	n.run++
	n.failed = now
	if n.ejected || !n.mustEject() {
		return
	}
	if !n.able || r.ejected+1 > r.most() {
		return
	}
	n.ejected = true
	n.trial = 0
	n.level++
	n.since = now
	n.due = now + r.wait(n.level)
	r.settle(n)
}

// mustEject reports whether the node fails so much that it should be ejected.
func (n *node) mustEject() bool {
	if n.run >= maxRun || n.trial > 0 {
		return true
	}
	return n.count >= minSample && float64(n.failures()) >= maxRate*float64(n.count)
}

// most returns the largest number of targets that may be ejected now.
func (r *Router) most() int {
	return int(maxEjected * float64(r.able))
}

// trim readmits the targets that were ejected first until no more are ejected than
// allowed, after the number of usable targets has fallen.
func (r *Router) trim() {
	for r.ejected > r.most() {
		var first *node
		for _, n := range r.listed {
			if n.out && (first == nil || n.since < first.since) {
				first = n
			}
		}
		r.readmit(first)
	}
}

// readmit ends the ejection of the node and starts its trial.
func (r *Router) readmit(n *node) {
	n.ejected = false
	n.trial = trialLen
	n.history = 0
	n.count = 0
	n.run = 0
	r.settle(n)
}

// wait returns the wait for the next probe at the level, with up to a tenth added at
// random so that entries do not probe in step.
func (r *Router) wait(level int) time.Duration {
	w := firstProbe << min(max(level-1, 0), 5)
	w = min(w, lastProbe)
	return w + time.Duration(r.rnd.Int64N(int64(w/10)))
}
