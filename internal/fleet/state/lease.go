package state

import "chervilgauge.example/chervilgauge/internal/wire/recpb"

// Lease is the planner's lease.
type Lease struct {
	// Holder is the entry that plans, the zero value if there was none yet.
	Holder Incarnation
	// Offset identifies the lease, 0 if there was none yet.
	Offset uint64
}

func (l *Lease) code(c *coder) {
	l.Holder.code(c)
	c.u64(&l.Offset)
}

// planner judges a lease record. Anyone may take over a lease that it names, which
// it does after it has seen no renewal for some time.
func (s *State) planner(offset uint64, r *recpb.Lease) Verdict {
	id := Incarnation{r.GetHolder(), r.GetIncarnation()}
	if !s.active(id) {
		return refused(NotMember)
	}
	held := s.active(s.lease.Holder) && s.lease.Holder != id
	if held && r.GetPrev() != s.lease.Offset {
		return conflict(s.lease.Offset)
	}
	s.lease = Lease{Holder: id, Offset: offset}
	return accepted
}
