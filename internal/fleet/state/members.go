package state

import (
	"slices"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// maxRemoved is the maximum number of removed incarnations that are kept, so that a
// delayed join of one of them is refused. Entries are replaced a few times a day, so 256
// cover weeks.
const maxRemoved = 256

// Incarnation identifies one process run of an entry.
type Incarnation struct {
	Name string
	// Number is the random incarnation number.
	Number uint64
}

func (i *Incarnation) code(c *coder) {
	c.str(&i.Name)
	c.u64(&i.Number)
}

// Member is an entry that has joined and has neither left nor been fenced.
type Member struct {
	Incarnation
	// Addr is the address on which the entry listens for its peers.
	Addr   string
	Centre string
	// Evicted is true if the member was suspected and evicted. Until it is fenced it
	// may still send work.
	Evicted bool
	// Joined is the offset of the join.
	Joined uint64
	// EvictedAt is the offset of the eviction, 0 if the member is not evicted.
	EvictedAt uint64
}

// WithEvicted returns the member as evicted at an offset.
func (m *Member) WithEvicted(offset uint64) *Member {
	n := *m
	n.Evicted, n.EvictedAt = true, offset
	return &n
}

func (m *Member) key() string { return m.Name }

func (m *Member) code(c *coder) {
	m.Incarnation.code(c)
	c.str(&m.Addr)
	c.str(&m.Centre)
	c.boolean(&m.Evicted)
	c.u64(&m.Joined)
	c.u64(&m.EvictedAt)
}

// isMember reports whether an incarnation is a member, evicted or not.
func (s *State) isMember(i Incarnation) bool {
	m, ok := s.members.get(i.Name)
	return ok && m.Incarnation == i
}

// isActive reports whether an incarnation is a member that is not evicted.
func (s *State) isActive(i Incarnation) bool {
	m, ok := s.members.get(i.Name)
	return ok && m.Incarnation == i && !m.Evicted
}

func (s *State) applyJoin(offset uint64, r *recpb.Join) Verdict {
	id := Incarnation{r.GetName(), r.GetIncarnation()}
	if !isValidName(id.Name) || id.Number == 0 || r.GetAddr() == "" {
		return malformed
	}
	old, ok := s.members.get(id.Name)
	if ok && old.Incarnation == id {
		return duplicateOf(old.Joined)
	}
	if slices.Contains(s.removed, id) {
		return refused(IncarnationGone)
	}
	// Only one process can listen on an address, so a new incarnation on the address of
	// its predecessor shows that the predecessor has ended. Without this rule, entries
	// that all restart at once could never join again, because no majority would be
	// left to evict their predecessors.
	if ok && old.Addr != r.GetAddr() {
		return refused(NameTaken)
	}
	if ok {
		s.removeMember(offset, old.Incarnation)
		s.lastLeave = offset
	}
	m := &Member{Incarnation: id, Addr: r.GetAddr(), Centre: r.GetCentre(), Joined: offset}
	s.setMember(offset, m)
	return accepted
}

func (s *State) setMember(offset uint64, m *Member) {
	s.members = s.members.set(m)
	s.epoch = offset
}

func (s *State) applyLeave(offset uint64, r *recpb.Leave) Verdict {
	id := Incarnation{r.GetName(), r.GetIncarnation()}
	if !s.isMember(id) {
		return refused(NotMember)
	}
	s.removeMember(offset, id)
	s.lastLeave = offset
	return accepted
}

func (s *State) applyEvict(offset uint64, r *recpb.Evict) Verdict {
	id := Incarnation{r.GetName(), r.GetIncarnation()}
	if !s.isMember(id) {
		return refused(NotMember)
	}
	m, _ := s.members.get(id.Name)
	if m.Evicted {
		return duplicateOf(m.EvictedAt)
	}
	s.setMember(offset, m.WithEvicted(offset))
	return accepted
}

// applyFence checks only what the log shows. The entry that appends the record has waited
// for the majority and for the fence wait (see package member).
func (s *State) applyFence(offset uint64, r *recpb.Fence) Verdict {
	id := Incarnation{r.GetName(), r.GetIncarnation()}
	if !s.isMember(id) {
		return refused(NotMember)
	}
	if s.isActive(id) {
		return refused(NotEvicted)
	}
	s.removeMember(offset, id)
	return accepted
}

// removeMember removes a member. Instances whose drains waited only for it become drained.
func (s *State) removeMember(offset uint64, id Incarnation) {
	s.members = s.members.unset(id.Name)
	s.epoch = offset
	s.removed = append(slices.Clone(s.removed), id)
	if len(s.removed) > maxRemoved {
		s.removed = s.removed[1:]
	}
	for i := range s.Instances() {
		if i.Phase == Draining && slices.Contains(i.Grant.Waiting, id) {
			s.acknowledge(i, id)
		}
	}
}
