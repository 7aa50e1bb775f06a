package route

import (
	"math/bits"
	"time"
)

const (
	// latencyWeight is the weight of a new latency in the smoothed latency.
	latencyWeight = 0.1
	// halfAge is the age at which an observation has half its weight. A target is observed only
	// when it is chosen, so without ageing a bad observation would keep it from being chosen again.
	halfAge = 5 * time.Second
	// historyLen is the number of outcomes in the history of a node.
	historyLen = 32
)

// node holds the state and the observations of one target.
type node struct {
	target   Target
	listed   bool
	leaving  bool
	blocked  bool
	limit    int
	inFlight int

	// latency is the smoothed latency in nanoseconds, 0 if there is none yet.
	latency float64
	// latencyAt is the time of the last latency and failedAt that of the last failure.
	latencyAt, failedAt time.Duration
	// history has one bit for each of the last outcomes, set for a failure; outcomes is the number
	// of outcomes in it.
	history  uint32
	outcomes int
	// consecutiveFailures counts the failures since the last success or readmission.
	consecutiveFailures int

	ejected bool
	// probeBackoff is the number of ejections and failed probes since the target last completed its
	// trial.
	probeBackoff int
	// trialLeft is the number of successes that a readmitted target needs to complete its trial.
	trialLeft int
	// probeAt is the time of the next probe of an ejected target.
	probeAt time.Duration
	// ejectedAt is the time of the ejection.
	ejectedAt time.Duration

	// usable, usableEjected and freeSlots are the contributions of the node to the sums of the
	// Router.
	usable, usableEjected bool
	freeSlots             int
	// list is the candidate list that contains the node, nil for none, and index its position
	// there.
	list  *[]*node
	index int
}

// node returns the node with the name and creates it if needed.
func (r *Router) node(name string) *node {
	n, ok := r.nodes[name]
	if !ok {
		n = &node{target: Target{Name: name}}
		r.nodes[name] = n
	}
	return n
}

// removeUnused deletes a node that is not listed and has no state to keep.
func (r *Router) removeUnused(n *node) {
	if !n.listed && !n.leaving && !n.blocked && n.inFlight == 0 && n.limit == 0 {
		delete(r.nodes, n.target.Name)
	}
}

// resetObservations clears the observations of a node and ends its ejection.
func (r *Router) resetObservations(n *node) {
	n.latency = 0
	n.history = 0
	n.outcomes = 0
	n.consecutiveFailures = 0
	n.ejected = false
	n.probeBackoff = 0
	n.trialLeft = 0
	r.updateSums(n)
	r.removeUnused(n)
}

// usableSlots returns the number of slots that this entry may use at the node now.
func (r *Router) usableSlots(n *node) int {
	s := n.target.Slots
	if !r.wholeSlots {
		s = min(s, n.limit)
	}
	if n.trialLeft > 0 {
		s = min(s, 1)
	}
	return s
}

// updateSums updates the sums and candidate lists of the Router after a change of the node.
func (r *Router) updateSums(n *node) {
	usable := n.listed && !n.leaving && !n.blocked
	usableEjected := usable && n.ejected
	freeSlots := 0
	if usable && !n.ejected {
		freeSlots = max(r.usableSlots(n)-n.inFlight, 0)
	}
	r.usable += boolToInt(usable) - boolToInt(n.usable)
	r.ejected += boolToInt(usableEjected) - boolToInt(n.usableEjected)
	r.freeSlots += freeSlots - n.freeSlots
	n.usable = usable
	n.usableEjected = usableEjected
	n.freeSlots = freeSlots
	r.updateList(n)
}

// updateList moves the node to the candidate list that it belongs to.
func (r *Router) updateList(n *node) {
	var want *[]*node
	if n.freeSlots > 0 {
		want = &r.remote
		if n.target.Centre == r.centre {
			want = &r.local
		}
	}
	if n.list == want {
		return
	}
	if n.list != nil {
		l := *n.list
		last := l[len(l)-1]
		l[n.index] = last
		last.index = n.index
		l[len(l)-1] = nil
		*n.list = l[:len(l)-1]
	}
	if want != nil {
		n.index = len(*want)
		*want = append(*want, n)
	}
	n.list = want
}

// record adds one outcome to the history.
func (n *node) record(failed bool) {
	n.history = n.history<<1 | uint32(boolToInt(failed))
	n.outcomes = min(n.outcomes+1, historyLen)
}

// failures returns the number of failures in the history.
func (n *node) failures() int {
	return bits.OnesCount32(n.history)
}

// ageWeight returns the weight of an observation of the given age, from 1 down to 0.
func ageWeight(age time.Duration) float64 {
	return float64(halfAge) / float64(halfAge+max(age, 0))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
