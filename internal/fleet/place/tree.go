package place

import (
	"math"
	"time"
)

// node holds, for the workers below it, the most that any of them has of each value.
type node struct {
	free Amount
	// bound is how much more may be declared.
	bound Amount
	// room is free plus what less urgent jobs could give up.
	room   Amount
	drains time.Duration
}

const never = time.Duration(math.MaxInt64)

// closed has less than any job needs.
var closed = node{Amount{-1, -1, -1}, Amount{-1, -1, -1}, Amount{-1, -1, -1}, -1}

// tree finds a worker with enough free resources in about log n steps. Workers are in
// the order in which they should be filled.
type tree struct {
	size  int // number of leaves, a power of two
	nodes []node
}

func newTree(n int) *tree {
	size := 1
	for size < n {
		size *= 2
	}
	t := &tree{size: size, nodes: make([]node, 2*size)}
	for i := range t.nodes {
		t.nodes[i] = closed
	}
	return t
}

func (t *tree) set(i int, n node) {
	i += t.size
	t.nodes[i] = n
	for i /= 2; i > 0; i /= 2 {
		a, b := &t.nodes[2*i], &t.nodes[2*i+1]
		t.nodes[i] = node{a.free.most(b.free), a.bound.most(b.bound), a.room.most(b.room), max(a.drains, b.drains)}
	}
}

// find returns the first worker for which fits holds, or -1. The predicate must hold
// for a node if it holds for any worker below it. ok is asked for workers only.
func (t *tree) find(i int, fits func(*node) bool, ok func(int) bool) int {
	if !fits(&t.nodes[i]) {
		return -1
	}
	if i >= t.size {
		if ok(i - t.size) {
			return i - t.size
		}
		return -1
	}
	if w := t.find(2*i, fits, ok); w >= 0 {
		return w
	}
	return t.find(2*i+1, fits, ok)
}
