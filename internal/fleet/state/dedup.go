package state

// maxSeen is the number of record ids, and of operators' change ids, that are
// remembered. Doubled appends follow each other within seconds at several hundred
// records per second, and 4,500 changes a day make it two days for change ids.
const maxSeen = 10000

// Seen is what is remembered of a record or of an operator's change.
type Seen struct {
	// ID is the id of the record or of the change.
	ID string
	// Offset is the offset of the first record.
	Offset uint64
	// Verdict is the verdict of the first record.
	Verdict Verdict
}

func (v *Seen) key() string { return v.ID }

func (v *Seen) code(c *coder) {
	c.str(&v.ID)
	c.u64(&v.Offset)
	v.Verdict.code(c)
}

// memory remembers the last verdicts by id. The one with the lowest offset is
// forgotten first, so that all readers forget alike.
type memory struct {
	table[*Seen]
	// order holds the ids by offset; it follows from the table.
	order tree[uint64, string]
}

// remember returns the memory with a verdict added.
func (m memory) remember(v *Seen) memory {
	m.table = m.set(v)
	m.order = m.order.with(v.Offset, v.ID)
	if m.order.size > maxSeen {
		offset, old, _ := m.order.first()
		m.order = m.order.without(offset)
		m.table = m.unset(old)
	}
	return m
}
