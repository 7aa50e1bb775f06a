package state

import (
	"slices"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// maxGone is the number of left and fenced incarnations that are remembered, so
// that a delayed join of one of them is refused. Entries are replaced some times a
// day, so that this covers weeks.
const maxGone = 256

// Incarnation identifies one run of an entry.
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
	// Addr is the address for peers.
	Addr   string
	Centre string
	// Evicted says that the member is suspected. It still counts as able to send.
	Evicted bool
	// Joined is the offset of the join.
	Joined uint64
	// Since is the offset of the eviction, 0 if the member is not evicted.
	Since uint64
}

// WithEvicted returns the member as evicted at an offset.
func (m *Member) WithEvicted(offset uint64) *Member {
	n := *m
	n.Evicted, n.Since = true, offset
	return &n
}

func (m *Member) key() string { return m.Name }

func (m *Member) code(c *coder) {
	m.Incarnation.code(c)
	c.str(&m.Addr)
	c.str(&m.Centre)
	c.flag(&m.Evicted)
	c.u64(&m.Joined)
	c.u64(&m.Since)
}

// joined says whether an incarnation is a member, in eviction or not.
func (s *State) joined(i Incarnation) bool {
	m, ok := s.members.get(i.Name)
	return ok && m.Incarnation == i
}

// active says whether an incarnation is a member that is not in eviction.
func (s *State) active(i Incarnation) bool {
	m, ok := s.members.get(i.Name)
	return ok && m.Incarnation == i && !m.Evicted
}

func (s *State) join(offset uint64, r *recpb.Join) Verdict {
	id := Incarnation{r.GetName(), r.GetIncarnation()}
	if !named(id.Name) || id.Number == 0 || r.GetAddr() == "" {
		return malformed
	}
	old, ok := s.members.get(id.Name)
	if ok && old.Incarnation == id {
		return already(old.Joined)
	}
	if slices.Contains(s.gone, id) {
		return refused(Gone)
	}
	// Only one process can listen on an address, so a newcomer that listens on the
	// address of its predecessor shows that the predecessor has ended. Without this
	// rule entries that all restart at once could never join again, because no
	// majority would be left to evict their predecessors.
	if ok && old.Addr != r.GetAddr() {
		return refused(NameTaken)
	}
	if ok {
		s.removeMember(offset, old.Incarnation)
		s.left = offset
	}
	m := &Member{Incarnation: id, Addr: r.GetAddr(), Centre: r.GetCentre(), Joined: offset}
	s.setMember(offset, m)
	return accepted
}

func (s *State) setMember(offset uint64, m *Member) {
	s.members = s.members.set(m)
	s.epoch = offset
}

func (s *State) leave(offset uint64, r *recpb.Leave) Verdict {
	id := Incarnation{r.GetName(), r.GetIncarnation()}
	if !s.joined(id) {
		return refused(NotMember)
	}
	s.removeMember(offset, id)
	s.left = offset
	return accepted
}

func (s *State) evict(offset uint64, r *recpb.Evict) Verdict {
	id := Incarnation{r.GetName(), r.GetIncarnation()}
	if !s.joined(id) {
		return refused(NotMember)
	}
	m, _ := s.members.get(id.Name)
	if m.Evicted {
		return already(m.Since)
	}
	s.setMember(offset, m.WithEvicted(offset))
	return accepted
}

// fence checks only what the log shows. The writer waits for the majority and for
// the fence wait before it appends the record (package member).
func (s *State) fence(offset uint64, r *recpb.Fence) Verdict {
	id := Incarnation{r.GetName(), r.GetIncarnation()}
	if !s.joined(id) {
		return refused(NotMember)
	}
	if s.active(id) {
		return refused(NotEvicted)
	}
	s.removeMember(offset, id)
	return accepted
}

// removeMember removes a member. Drains that waited only for it become drained.
func (s *State) removeMember(offset uint64, id Incarnation) {
	s.members = s.members.unset(id.Name)
	s.epoch = offset
	s.gone = append(slices.Clone(s.gone), id)
	if len(s.gone) > maxGone {
		s.gone = s.gone[1:]
	}
	for i := range s.Instances() {
		if i.Phase == Draining && slices.Contains(i.Grant.Waiting, id) {
			s.acknowledge(i, id)
		}
	}
}
