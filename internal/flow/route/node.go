package route

import (
	"math/bits"
	"time"
)

const (
	// latencyWeight is the weight of a new latency in the smoothed latency.
	latencyWeight = 0.1
	// halfAge is the age at which an observation counts half. A target is observed
	// only when it is chosen, so an old bad observation must fade by time.
	halfAge = 5 * time.Second
	// historyLen is the number of outcomes in a node's history.
	historyLen = 32
)

// node is what is known about one target.
type node struct {
	target  Target
	listed  bool
	leaving bool
	blocked bool
	limit   int
	flight  int

	// latency is the smoothed latency in nanoseconds, 0 if none was seen.
	latency float64
	// seen is the time of the last latency and failed that of the last failure.
	seen, failed time.Duration
	// history has one bit for each of the last outcomes, set for a failure; count
	// is the number of outcomes in it.
	history uint32
	count   int
	// run is the number of consecutive failures.
	run int

	ejected bool
	// level is the number of ejections since the target last passed its trial.
	level int
	// trial is the number of successes that a readmitted target still owes.
	trial int
	// due is the time of the next probe of an ejected target.
	due time.Duration
	// since is the time of the ejection.
	since time.Duration

	// able, out and room are the node's part in the Router's sums.
	able, out bool
	room      int
	// list is the list that holds the node, nil for none, and index its place there.
	list  *[]*node
	index int
}

// node returns the node of the name and creates it if needed.
func (r *Router) node(name string) *node {
	n, ok := r.nodes[name]
	if !ok {
		n = &node{target: Target{Name: name}}
		r.nodes[name] = n
	}
	return n
}

// forget drops a node about which nothing needs to be remembered.
func (r *Router) forget(n *node) {
	if !n.listed && !n.leaving && !n.blocked && n.flight == 0 && n.limit == 0 {
		delete(r.nodes, n.target.Name)
	}
}

// renew drops the observations of a node.
func (r *Router) renew(n *node) {
	n.latency = 0
	n.history = 0
	n.count = 0
	n.run = 0
	n.ejected = false
	n.level = 0
	n.trial = 0
	r.settle(n)
	r.forget(n)
}

// slots returns the number of slots that may be used at the node now.
func (r *Router) slots(n *node) int {
	s := n.target.Slots
	if !r.whole {
		s = min(s, n.limit)
	}
	if n.trial > 0 {
		s = min(s, 1)
	}
	return s
}

// settle brings the Router's lists and sums in line with the node.
func (r *Router) settle(n *node) {
	able := n.listed && !n.leaving && !n.blocked
	out := able && n.ejected
	room := 0
	if able && !n.ejected {
		room = max(r.slots(n)-n.flight, 0)
	}
	r.able += count(able) - count(n.able)
	r.ejected += count(out) - count(n.out)
	r.room += room - n.room
	n.able = able
	n.out = out
	n.room = room
	r.enlist(n)
}

// enlist moves the node to the list that it belongs to.
func (r *Router) enlist(n *node) {
	var want *[]*node
	if n.room > 0 {
		want = &r.far
		if n.target.Centre == r.centre {
			want = &r.near
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

// record adds one outcome to the node's history.
func (n *node) record(failed bool) {
	n.history = n.history<<1 | uint32(count(failed))
	n.count = min(n.count+1, historyLen)
}

// failures returns the number of failures in the history.
func (n *node) failures() int {
	return bits.OnesCount32(n.history)
}

// fade returns the weight, from 1 down to 0, of an observation of the given age.
func fade(age time.Duration) float64 {
	return float64(halfAge) / float64(halfAge+max(age, 0))
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
