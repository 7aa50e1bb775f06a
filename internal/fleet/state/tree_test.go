package state

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTreeShape guards against a tree that degenerates to a list when keys are added in
// sorted order, and against a decoded tree with another shape than the encoded one.
func TestTreeShape(t *testing.T) {
	var added tree[string, int]
	var keys []string
	var vals []int
	for n := range 4096 {
		keys, vals = append(keys, fmt.Sprintf("%04d", n)), append(vals, n)
		added = added.with(keys[n], n)
	}
	built := buildTree(keys, vals)
	assert.Assert(t, isSameTree(added.root, built.root))
	assert.Assert(t, depth(added.root) < 50)
	for _, k := range keys[:4000] {
		built = built.without(k)
	}
	assert.Assert(t, isSameTree(built.root, buildTree(keys[4000:], vals[4000:]).root))
	assert.Equal(t, built.size, 96)
}

func isSameTree[V comparable](a, b *node[string, V]) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.key == b.key && a.val == b.val && isSameTree(a.left, b.left) && isSameTree(a.right, b.right)
}

func depth[V any](n *node[string, V]) int {
	if n == nil {
		return 0
	}
	return 1 + max(depth(n.left), depth(n.right))
}
