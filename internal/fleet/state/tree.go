package state

import (
	"cmp"
	"encoding/binary"
	"iter"

	"github.com/cespare/xxhash/v2"
)

// tree is an immutable sorted map. A change copies only the path to the changed key. It
// is a treap whose priorities are hashes of the keys, so that its shape depends on its
// keys and not on the order of the changes.
type tree[K cmp.Ordered, V any] struct {
	root *node[K, V]
	size int
}

type node[K cmp.Ordered, V any] struct {
	key         K
	val         V
	priority    uint64
	left, right *node[K, V]
}

// priorityOf returns the priority of a key.
func priorityOf[K cmp.Ordered](key K) uint64 {
	switch k := any(key).(type) {
	case string:
		return xxhash.Sum64String(k)
	case uint64:
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], k)
		return xxhash.Sum64(b[:])
	}
	return 0
}

// get returns the value of a key.
func (t tree[K, V]) get(key K) (V, bool) {
	for n := t.root; n != nil; {
		switch c := cmp.Compare(key, n.key); {
		case c == 0:
			return n.val, true
		case c < 0:
			n = n.left
		default:
			n = n.right
		}
	}
	var zero V
	return zero, false
}

// with returns the tree with a key set to a value.
func (t tree[K, V]) with(key K, val V) tree[K, V] {
	_, had := t.get(key)
	if !had {
		t.size++
	}
	t.root = t.root.with(key, val, priorityOf(key))
	return t
}

// without returns the tree with a key removed.
func (t tree[K, V]) without(key K) tree[K, V] {
	if _, had := t.get(key); !had {
		return t
	}
	t.size--
	t.root = t.root.without(key)
	return t
}

// first returns the lowest key and its value, and false if the tree is empty.
func (t tree[K, V]) first() (key K, val V, ok bool) {
	for n := t.root; n != nil; n = n.left {
		key, val, ok = n.key, n.val, true
	}
	return key, val, ok
}

// all iterates over the entries in the order of their keys.
func (t tree[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) { t.root.each(yield) }
}

// values iterates over the values in the order of their keys.
func (t tree[K, V]) values() iter.Seq[V] {
	return func(yield func(V) bool) {
		t.root.each(func(_ K, v V) bool { return yield(v) })
	}
}

func (n *node[K, V]) each(yield func(K, V) bool) bool {
	if n == nil {
		return true
	}
	return n.left.each(yield) && yield(n.key, n.val) && n.right.each(yield)
}

func (n *node[K, V]) with(key K, val V, priority uint64) *node[K, V] {
	if n == nil {
		return &node[K, V]{key: key, val: val, priority: priority}
	}
	m := *n
	switch c := cmp.Compare(key, n.key); {
	case c == 0:
		m.val = val
	case c < 0:
		m.left = n.left.with(key, val, priority)
		if m.left.isAbove(&m) {
			return m.rotateRight()
		}
	default:
		m.right = n.right.with(key, val, priority)
		if m.right.isAbove(&m) {
			return m.rotateLeft()
		}
	}
	return &m
}

// isAbove reports whether a node belongs above another, which is the one with the higher
// priority. Equal priorities are ordered by key.
func (n *node[K, V]) isAbove(o *node[K, V]) bool {
	return n.priority > o.priority || n.priority == o.priority && n.key < o.key
}

// buildTree returns the tree of sorted keys and their values. The result is the same as
// that of adding the keys one by one, but takes linear time and no copies of nodes. The
// stack edge holds the nodes on the right edge of the tree.
func buildTree[K cmp.Ordered, V any](keys []K, vals []V) tree[K, V] {
	var edge []*node[K, V]
	for at, key := range keys {
		n := &node[K, V]{key: key, val: vals[at], priority: priorityOf(key)}
		for len(edge) > 0 && n.isAbove(edge[len(edge)-1]) {
			n.left = edge[len(edge)-1]
			edge = edge[:len(edge)-1]
		}
		if len(edge) > 0 {
			edge[len(edge)-1].right = n
		}
		edge = append(edge, n)
	}
	t := tree[K, V]{size: len(keys)}
	if len(edge) > 0 {
		t.root = edge[0]
	}
	return t
}

// rotateRight makes the left child the root. Both nodes must be fresh copies.
func (n *node[K, V]) rotateRight() *node[K, V] {
	l := n.left
	n.left, l.right = l.right, n
	return l
}

// rotateLeft makes the right child the root. Both nodes must be fresh copies.
func (n *node[K, V]) rotateLeft() *node[K, V] {
	r := n.right
	n.right, r.left = r.left, n
	return r
}

func (n *node[K, V]) without(key K) *node[K, V] {
	c := cmp.Compare(key, n.key)
	if c == 0 {
		return merge(n.left, n.right)
	}
	m := *n
	if c < 0 {
		m.left = n.left.without(key)
	} else {
		m.right = n.right.without(key)
	}
	return &m
}

// merge joins two trees. All keys of l must be lower than those of r.
func merge[K cmp.Ordered, V any](l, r *node[K, V]) *node[K, V] {
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.isAbove(r):
		m := *l
		m.right = merge(l.right, r)
		return &m
	}
	m := *r
	m.left = merge(l, r.left)
	return &m
}

// coded is an object with a unique key and a canonical encoding that includes the key.
type coded interface {
	key() string
	code(*coder)
}

// table is a tree of objects by key with the sum of the hashes of their canonical
// encodings. With the sum, the cost of the state hash does not depend on the size of the
// table.
type table[V coded] struct {
	tree[string, V]
	sum uint64
}

// set returns the table with an object added, or replaced under its key.
func (t table[V]) set(v V) table[V] {
	if old, ok := t.get(v.key()); ok {
		t.sum -= hashOf(old)
	}
	t.sum += hashOf(v)
	t.tree = t.with(v.key(), v)
	return t
}

// unset returns the table without the object of a key.
func (t table[V]) unset(name string) table[V] {
	old, ok := t.get(name)
	if !ok {
		return t
	}
	t.sum -= hashOf(old)
	t.tree = t.without(name)
	return t
}

// hashOf returns the hash of the canonical encoding of an object.
func hashOf(v coded) uint64 {
	var buf [256]byte
	c := coder{buf: buf[:0]}
	v.code(&c)
	return xxhash.Sum64(c.buf)
}
