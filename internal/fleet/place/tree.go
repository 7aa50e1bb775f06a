package place

import (
	"math"
	"time"
)

// node holds the maximum of each value over the workers below it.
type node struct {
	free Amount
	// declarable is how much more need may be declared.
	declarable Amount
	// preemptible is free plus what less urgent jobs could release.
	preemptible Amount
	drainsAt    time.Duration
}

const never = time.Duration(math.MaxInt64)

// closedNode has less than any job needs, so no job is placed on its worker.
var closedNode = node{Amount{-1, -1, -1}, Amount{-1, -1, -1}, Amount{-1, -1, -1}, -1}

// tree is a binary tree that finds the first worker with enough free resources in about
// log n steps. Its leaves are the workers in the order in which they are filled.
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
		t.nodes[i] = closedNode
	}
	return t
}

func (t *tree) set(i int, n node) {
	i += t.size
	t.nodes[i] = n
	for i /= 2; i > 0; i /= 2 {
		a, b := &t.nodes[2*i], &t.nodes[2*i+1]
		t.nodes[i] = node{a.free.max(b.free), a.declarable.max(b.declarable), a.preemptible.max(b.preemptible), max(a.drainsAt, b.drainsAt)}
	}
}

// find returns the index of the first worker below node i for which fits and ok are true,
// or -1. fits must be true for a node if it is true for any worker below it. ok is called
// for workers only.
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
