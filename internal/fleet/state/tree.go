package state

import (
	"cmp"
	"encoding/binary"
	"iter"

	"github.com/cespare/xxhash/v2"
)

// tree is an immutable sorted map. A change copies the path to the touched key
// only. It is a treap whose priorities are hashes of the keys, so that its shape
// depends on its contents and not on their history.
type tree[K cmp.Ordered, V any] struct {
	root *node[K, V]
	size int
}

type node[K cmp.Ordered, V any] struct {
	key         K
	val         V
	rank        uint64
	left, right *node[K, V]
}

// rankOf returns the priority of a key.
func rankOf[K cmp.Ordered](key K) uint64 {
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

// with returns the tree with a key set.
func (t tree[K, V]) with(key K, val V) tree[K, V] {
	_, had := t.get(key)
	if !had {
		t.size++
	}
	t.root = t.root.with(key, val, rankOf(key))
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

// first returns the lowest key.
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

func (n *node[K, V]) with(key K, val V, rank uint64) *node[K, V] {
	if n == nil {
		return &node[K, V]{key: key, val: val, rank: rank}
	}
	m := *n
	switch c := cmp.Compare(key, n.key); {
	case c == 0:
		m.val = val
	case c < 0:
		m.left = n.left.with(key, val, rank)
		if m.left.above(&m) {
			return m.rotateRight()
		}
	default:
		m.right = n.right.with(key, val, rank)
		if m.right.above(&m) {
			return m.rotateLeft()
		}
	}
	return &m
}

// above says whether a node belongs above another. Equal ranks are ordered by key.
func (n *node[K, V]) above(o *node[K, V]) bool {
	return n.rank > o.rank || n.rank == o.rank && n.key < o.key
}

// build returns the tree of sorted keys. It makes the same tree as adding them one
// by one, in linear time and without copies. The stack holds the right edge.
func build[K cmp.Ordered, V any](keys []K, vals []V) tree[K, V] {
	var edge []*node[K, V]
	for at, key := range keys {
		n := &node[K, V]{key: key, val: vals[at], rank: rankOf(key)}
		for len(edge) > 0 && n.above(edge[len(edge)-1]) {
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

// merge joins two trees of which all keys of the first are lower.
func merge[K cmp.Ordered, V any](l, r *node[K, V]) *node[K, V] {
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.above(r):
		m := *l
		m.right = merge(l.right, r)
		return &m
	}
	m := *r
	m.left = merge(l, r.left)
	return &m
}

// coded is an object with a name and a canonical encoding, which includes the name.
type coded interface {
	key() string
	code(*coder)
}

// table is a tree of objects by name with the sum of the hashes of their canonical
// encodings. The sum makes the state hash independent of the size of the table.
type table[V coded] struct {
	tree[string, V]
	sum uint64
}

// set returns the table with an object set.
func (t table[V]) set(v V) table[V] {
	if old, ok := t.get(v.key()); ok {
		t.sum -= sumOf(old)
	}
	t.sum += sumOf(v)
	t.tree = t.with(v.key(), v)
	return t
}

// unset returns the table with an object removed.
func (t table[V]) unset(name string) table[V] {
	old, ok := t.get(name)
	if !ok {
		return t
	}
	t.sum -= sumOf(old)
	t.tree = t.without(name)
	return t
}

// sumOf hashes the canonical encoding of an object.
func sumOf(v coded) uint64 {
	var buf [256]byte
	c := coder{buf: buf[:0]}
	v.code(&c)
	return xxhash.Sum64(c.buf)
}
