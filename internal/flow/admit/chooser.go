package admit

import "container/heap"

// The tiers of a vertex. All vertices within their guaranteed share go before all others.
const (
	guaranteed = iota
	lent
	tiers
)

// vertex is a service among the services, or a team among the teams of a service.
type vertex struct {
	name      string
	weight    float64
	service   *service
	team      *team   // nil for a service
	share     float64 // guaranteed slots
	guarantee int     // whole slots of share
	running   int
	waiting   int
	vt        float64 // slot time used, in seconds divided by the weight
	tier      int
	pos       int // index in the heap of its tier, -1 if absent
}

func (v *vertex) rank() int {
	if v.running < v.guarantee {
		return guaranteed
	}
	return lent
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
	least := c.top().vt
	if h := c.ready[lent]; len(h) > 0 {
		least = min(least, h[0].vt)
	}
	c.base = max(c.base, least)
}
