package state

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTreeShape guards against trees that degenerate to lists with sorted keys, and
// against a decoded tree whose shape differs from the one it was encoded from.
func TestTreeShape(t *testing.T) {
	var one tree[string, int]
	var keys []string
	var vals []int
	for n := range 4096 {
		keys, vals = append(keys, fmt.Sprintf("%04d", n)), append(vals, n)
		one = one.with(keys[n], n)
	}
	two := build(keys, vals)
	assert.Assert(t, same(one.root, two.root))
	assert.Assert(t, depth(one.root) < 50)
	for _, k := range keys[:4000] {
		two = two.without(k)
	}
	assert.Assert(t, same(two.root, build(keys[4000:], vals[4000:]).root))
	assert.Equal(t, two.size, 96)
}

func same[V comparable](a, b *node[string, V]) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.key == b.key && a.val == b.val && same(a.left, b.left) && same(a.right, b.right)
}

func depth[V any](n *node[string, V]) int {
	if n == nil {
		return 0
	}
	return 1 + max(depth(n.left), depth(n.right))
}
