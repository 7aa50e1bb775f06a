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
	// bursting is a vertex that uses a bit more, but has credit from the moments before. Demand
	// of 70% of 10 slots is over them for a tenth of the time by chance alone.
	bursting
	// lent is a vertex that borrows what others leave.
	lent
	tiers
)

const (
	// burstDeviations limits a burst to the share and this many standard deviations of a
	// random demand of that size.
	burstDeviations = 3
	// creditDeviations limits the credit to what this many standard deviations use in one mean
	// run time, which is 3 slot-seconds for 10 slots: random demand of 70% of them seldom uses
	// that up, and a flood uses it up within a few run times.
	creditDeviations = 5
)

// vertex is a service among the services, or a team among the teams of a service.
type vertex struct {
	name      string
	weight    float64
	service   *service
	team      *team   // nil for a service
	share     float64 // guaranteed slots
	guarantee int     // whole slots of share
	burst     int     // slots up to which it may go beyond its share for a moment
	running   int
	waiting   int
	credit    float64       // slot time below the share, in seconds, as of changed
	changed   time.Duration // when running changed last
	vt        float64       // slot time used, in seconds divided by the weight
	placed    float64       // vt by which the heap holds it
	tier      int
	pos       int // index in the heap of its tier, -1 if absent
}

func (v *vertex) rank() int {
	switch {
	case v.running < v.guarantee:
		return guaranteed
	case v.running < v.burst && v.credit > 0:
		return bursting
	default:
		return lent
	}
}

// use adds n to the slots in use.
func (v *vertex) use(now time.Duration, n int) {
	most := creditDeviations * math.Sqrt(v.share) * v.service.run.mean
	v.credit += (v.share - float64(v.running)) * (now - v.changed).Seconds()
	v.credit = max(-most, min(v.credit, most))
	v.changed = now
	v.running += n
}

// vertexHeap orders vertices by virtual time, then by name.
type vertexHeap []*vertex

func (h vertexHeap) Len() int { return len(h) }

func (h vertexHeap) Less(i, j int) bool {
	if h[i].placed != h[j].placed {
		return h[i].placed < h[j].placed
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
	held := v.pos >= 0
	switch {
	case !ok && !held:
	case !ok:
		heap.Remove(&c.ready[v.tier], v.pos)
	case !held:
		v.vt = max(v.vt, c.base)
		c.add(v)
	case v.tier != v.rank():
		heap.Remove(&c.ready[v.tier], v.pos)
		c.add(v)
	case v.vt != v.placed:
		v.placed = v.vt
		heap.Fix(&c.ready[v.tier], v.pos)
	}
}

func (c *chooser) add(v *vertex) {
	v.placed = v.vt
	v.tier = v.rank()
	heap.Push(&c.ready[v.tier], v)
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
