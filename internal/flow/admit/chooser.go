package admit

import (
	"container/heap"
	"math"
	"time"
)

// The tiers of a vertex. All vertices of one tier go before those of the next.
const (
	// guaranteed is a vertex that uses less than its guaranteed share.
	guaranteed = iota
	// bursting is a vertex that uses more, but less on average. Demand within a share of 10
	// slots is over it for a tenth of the time by chance alone.
	bursting
	// lent is a vertex that borrows what others leave.
	lent
	tiers
)

const (
	// averaged is the time over which the use of slots is averaged, in mean run times. By
	// chance alone, the average of a demand of 70% of 10 slots is then over 10 slots in less
	// than 0.1% of the time.
	averaged = 10
	// burstDeviations limits a burst to the share and this many standard deviations of a
	// random demand of that size.
	burstDeviations = 3
)

// vertex is a service among the services, or a team among the teams of a service.
type vertex struct {
	name      string
	weight    float64
	service   *service
	team      *team   // nil for a service
	share     float64 // guaranteed slots
	guarantee int     // whole slots of share
	burst     float64 // slots in use up to which a vertex may burst
	running   int
	waiting   int
	average   float64       // of running, as of changed
	changed   time.Duration // when running changed last
	vt        float64       // slot time used, in seconds divided by the weight
	tier      int
	pos       int // index in the heap of its tier, -1 if absent
}

func (v *vertex) rank() int {
	switch {
	case v.running < v.guarantee:
		return guaranteed
	case float64(v.running) < v.burst && v.average < v.share:
		return bursting
	default:
		return lent
	}
}

// use adds n to the slots in use.
func (v *vertex) use(now time.Duration, n int) {
	past := (now - v.changed).Seconds() / (averaged * v.service.run.mean)
	v.average += (float64(v.running) - v.average) * -math.Expm1(-past)
	v.changed = now
	v.running += n
}

// vertexHeap orders vertices by virtual time, then by name.
type vertexHeap []*vertex

func (h vertexHeap) Len() int { return len(h) }

func (h vertexHeap) Less(i, j int) bool {
	if h[i].vt != h[j].vt {
		return h[i].vt < h[j].vt
	}
	return h[i].name < h[j].name
}

func (h vertexHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos = i
	h[j].pos = j
}

// Push appends the *vertex x.
func (h *vertexHeap) Push(x any) {
	v := x.(*vertex)
	v.pos = len(*h)
	*h = append(*h, v)
}

// Pop removes the last vertex.
func (h *vertexHeap) Pop() any {
	old := *h
	n := len(old) - 1
	v := old[n]
	old[n] = nil
	*h = old[:n]
	v.pos = -1
	return v
}

// chooser holds the vertices of one parent that can run a ticket now.
type chooser struct {
	ready [tiers]vertexHeap
	base  float64 // virtual time of the parent; never decreases
}

// set adds v, removes it or restores its place, so that it is held if and only if ok. A
// vertex that is added keeps no credit for the time in which it was absent.
func (c *chooser) set(v *vertex, ok bool) {
	switch {
	case ok && v.pos < 0:
		v.vt = max(v.vt, c.base)
		v.tier = v.rank()
		heap.Push(&c.ready[v.tier], v)
	case ok && v.tier != v.rank():
		heap.Remove(&c.ready[v.tier], v.pos)
		v.tier = v.rank()
		heap.Push(&c.ready[v.tier], v)
	case ok:
		heap.Fix(&c.ready[v.tier], v.pos)
	case v.pos >= 0:
		heap.Remove(&c.ready[v.tier], v.pos)
	}
}

// top returns the vertex that goes next, nil if there is none.
func (c *chooser) top() *vertex {
	for i := range c.ready {
		if len(c.ready[i]) > 0 {
			return c.ready[i][0]
		}
	}
	return nil
}

// advance raises the virtual time of the parent to the least one of its vertices.
func (c *chooser) advance() {
	least := math.Inf(1)
	for i := range c.ready {
		if len(c.ready[i]) > 0 {
			least = min(least, c.ready[i][0].vt)
		}
	}
	c.base = max(c.base, least)
}
