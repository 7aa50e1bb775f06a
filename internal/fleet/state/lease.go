package state

import "chervilgauge.example/chervilgauge/internal/wire/recpb"

// Lease is the planner's lease.
type Lease struct {
	// Holder is the entry that plans, the zero value if there has been none.
	Holder Incarnation
	// Offset is the offset of the last accepted lease record, 0 if there has been none.
	Offset uint64
}

func (l *Lease) code(c *coder) {
	l.Holder.code(c)
	c.u64(&l.Offset)
}

// applyLease judges a lease record. Any active member may take over the lease if its
// record carries the offset of the current one, so that a renewal in the meantime
// refuses the takeover. Entries try it once they have read no renewal for some time. A
// lease whose holder is no longer an active member is free.
func (s *State) applyLease(offset uint64, r *recpb.Lease) Verdict {
	id := Incarnation{r.GetHolder(), r.GetIncarnation()}
	if !s.isActive(id) {
		return refused(NotMember)
	}
	heldByOther := s.isActive(s.lease.Holder) && s.lease.Holder != id
	if heldByOther && r.GetPrev() != s.lease.Offset {
		return conflict(s.lease.Offset)
	}
	s.lease = Lease{Holder: id, Offset: offset}
	return accepted
}
