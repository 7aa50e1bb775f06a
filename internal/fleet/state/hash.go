package state

import "github.com/cespare/xxhash/v2"

// Hash returns a hash of the state. Equal states have equal hashes. It covers each table
// by its size and the sum of the hashes of its objects, which the table maintains, so
// the cost does not depend on the number of objects.
func (s *State) Hash() uint64 {
	var buf [1024]byte
	c := coder{buf: buf[:0]}
	s.codeHeader(&c)
	codeTableSum(&c, s.pools)
	codeTableSum(&c, s.services)
	codeTableSum(&c, s.teams)
	codeTableSum(&c, s.instances)
	codeTableSum(&c, s.members)
	codeTableSum(&c, s.waves)
	codeTableSum(&c, s.jobs)
	codeTableSum(&c, s.ids.table)
	codeTableSum(&c, s.changes.table)
	return xxhash.Sum64(c.buf)
}

// codeTableSum codes the size of a table and the sum of its hashes.
func codeTableSum[V coded](c *coder, t table[V]) {
	size := uint64(t.size)
	c.u64(&size)
	c.u64(&t.sum)
}
