package state

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of the canonical encoding of the state. Each table keeps
// the sum of the hashes of its objects, so that the cost does not depend on the size.
func (s *State) Hash() uint64 {
	var buf [1024]byte
	c := coder{buf: buf[:0]}
	s.head(&c)
	sized(&c, s.pools)
	sized(&c, s.services)
	sized(&c, s.teams)
	sized(&c, s.instances)
	sized(&c, s.members)
	sized(&c, s.waves)
	sized(&c, s.jobs)
	sized(&c, s.ids.table)
	sized(&c, s.changes.table)
	return xxhash.Sum64(c.buf)
}

// sized codes the size and the sum of a table.
func sized[V coded](c *coder, t table[V]) {
	size := uint64(t.size)
	c.u64(&size)
	c.u64(&t.sum)
}
