package admit

import (
	"container/heap"
	"math"
	"time"
)

// Scheduling tiers. All vertices of one tier are served before those of the next.
const (
	// guaranteed is the tier of a vertex that uses less than its guaranteed share.
	guaranteed = iota
	// bursting is the tier of a vertex that exceeds its share for a short time, using credit from
	// recent use below it. With a demand of 70% of a share of 10 slots, random variation alone
	// exceeds the share a tenth of the time.
	bursting
	// borrowing is the tier of a vertex that uses slots which others leave free.
	borrowing
	tiers
)

const (
	// burstDeviations limits a burst to the share plus this many standard deviations of a random
	// demand of the size of the share.
	burstDeviations = 3
	// creditDeviations limits the credit to the slot time that this many standard deviations of the
	// demand use in one mean run time, 3 slot-seconds for 10 slots. Random demand of 70% of the
	// share rarely uses up the credit; a flood uses it up within a few run times.
	creditDeviations = 5
)

// vertex is a node of the scheduling tree: a service, or a team within a service.
type vertex struct {
	name      string
	weight    float64
	service   *service
	team      *team   // nil for a service
	share     float64 // guaranteed slots
	guarantee int     // whole slots of share
	burst     int     // largest number of slots in the bursting tier
	running   int
	waiting   int
	credit    float64       // unused slot time of the share in seconds, as of changed
	changed   time.Duration // time of the last change of running
	vt        float64       // virtual time: slot time used in seconds, divided by the weight
	heapVT    float64       // vt under which the heap has sorted the vertex
	tier      int
	pos       int // index in the heap of its tier, -1 if absent
}

func (v *vertex) currentTier() int {
	switch {
	case v.running < v.guarantee:
		return guaranteed
	case v.running < v.burst && v.credit > 0:
		return bursting
	default:
		return borrowing
	}
}

// addRunning updates the credit and adds n to the slots in use.
func (v *vertex) addRunning(now time.Duration, n int) {
	limit := creditDeviations * math.Sqrt(v.share) * v.service.run.mean
	v.credit += (v.share - float64(v.running)) * (now - v.changed).Seconds()
	v.credit = max(-limit, min(v.credit, limit))
	v.changed = now
	v.running += n
}

// vertexHeap orders vertices by virtual time, then by name.
type vertexHeap []*vertex

func (h vertexHeap) Len() int { return len(h) }

func (h vertexHeap) Less(i, j int) bool {
	if h[i].heapVT != h[j].heapVT {
		return h[i].heapVT < h[j].heapVT
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

// readySet holds the child vertices of one parent that can start a ticket now, by tier.
type readySet struct {
	heaps    [tiers]vertexHeap
	systemVT float64 // virtual time of the parent; never decreases
}

// update adds v, removes it or corrects its position, so that the set contains v if and only if ok.
// A vertex that is added starts at the virtual time of the parent, without an advantage for the
// time in which it was absent.
func (r *readySet) update(v *vertex, ok bool) {
	held := v.pos >= 0
	switch {
	case !ok && !held:
	case !ok:
		heap.Remove(&r.heaps[v.tier], v.pos)
	case !held:
		v.vt = max(v.vt, r.systemVT)
		r.add(v)
	case v.tier != v.currentTier():
		heap.Remove(&r.heaps[v.tier], v.pos)
		r.add(v)
	case v.vt != v.heapVT:
		v.heapVT = v.vt
		heap.Fix(&r.heaps[v.tier], v.pos)
	}
}

func (r *readySet) add(v *vertex) {
	v.heapVT = v.vt
	v.tier = v.currentTier()
	heap.Push(&r.heaps[v.tier], v)
}

// top returns the vertex to serve next, or nil if the set is empty.
func (r *readySet) top() *vertex {
	for i := range r.heaps {
		if len(r.heaps[i]) > 0 {
			return r.heaps[i][0]
		}
	}
	return nil
}

// advance raises the virtual time of the parent to the smallest one of its ready vertices.
func (r *readySet) advance() {
	least := math.Inf(1)
	for i := range r.heaps {
		if len(r.heaps[i]) > 0 {
			least = min(least, r.heaps[i][0].vt)
		}
	}
	r.systemVT = max(r.systemVT, least)
}
