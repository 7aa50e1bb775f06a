package state

// maxVerdicts is the maximum number of verdicts that are kept, for record ids and for
// operators' change ids each. A doubled append follows the first within seconds, at
// several hundred records per second; at 4,500 changes a day the change ids cover two
// days.
const maxVerdicts = 10000

// PriorVerdict is the verdict on a record or on an operator's change by its id.
type PriorVerdict struct {
	// ID is the id of the record or of the change.
	ID string
	// Offset is the offset of the first record.
	Offset uint64
	// Verdict is the verdict of the first record.
	Verdict Verdict
}

func (v *PriorVerdict) key() string { return v.ID }

func (v *PriorVerdict) code(c *coder) {
	c.str(&v.ID)
	c.u64(&v.Offset)
	v.Verdict.code(c)
}

// verdictTable keeps the last verdicts by id, to detect repeated records and changes. The
// verdict with the lowest offset is dropped first, so that all readers drop the same one.
type verdictTable struct {
	table[*PriorVerdict]
	// order holds the ids by offset. It is derived from the table and not encoded.
	order tree[uint64, string]
}

// add returns the table with a verdict added. It drops the oldest one beyond the maximum.
func (t verdictTable) add(v *PriorVerdict) verdictTable {
	t.table = t.set(v)
	t.order = t.order.with(v.Offset, v.ID)
	if t.order.size > maxVerdicts {
		offset, old, _ := t.order.first()
		t.order = t.order.without(offset)
		t.table = t.unset(old)
	}
	return t
}
