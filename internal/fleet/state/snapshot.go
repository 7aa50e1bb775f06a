package state

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// format is the version of the snapshot encoding. Version 2 added Instance.Home.
	format = 2
	// maxParts is the maximum number of parts of a snapshot.
	maxParts = 1 << 16
	// maxPending is the maximum number of incomplete snapshots that a Collector keeps.
	maxPending = 4
)

// SnapshotError reports bytes or parts that are not a valid snapshot of a state.
type SnapshotError struct {
	// Part is the part of the encoding or of the state that is invalid.
	Part string
}

func (e *SnapshotError) Error() string { return fmt.Sprintf("bad snapshot: %s", e.Part) }

// codeHeader codes all fields of the state that are not tables.
func (s *State) codeHeader(c *coder) {
	c.u64(&s.applied)
	c.u64(&s.epoch)
	c.u64(&s.lastLeave)
	s.skipped.code(c)
	s.lease.code(c)
	codeList(c, &s.removed, func(c *coder, i *Incarnation) { i.code(c) })
}

// code codes the header and all tables of the state.
func (s *State) code(c *coder) {
	s.codeHeader(c)
	codeTable(c, &s.pools)
	codeTable(c, &s.services)
	codeTable(c, &s.teams)
	codeTable(c, &s.instances)
	codeTable(c, &s.members)
	codeTable(c, &s.waves)
	codeTable(c, &s.jobs)
	codeTable(c, &s.ids.table)
	codeTable(c, &s.changes.table)
}

// codeTable codes the objects of a table in the order of their names. Decoding rejects
// names that are not in strictly ascending order.
func codeTable[T any, V interface {
	*T
	coded
}](c *coder, t *table[V]) {
	if !c.decode {
		size := uint64(t.size)
		c.u64(&size)
		for v := range t.values() {
			v.code(c)
		}
		return
	}
	var vals []V
	codeList(c, &vals, func(c *coder, v *V) {
		*v = new(T)
		(*v).code(c)
	})
	keys := make([]string, len(vals))
	for at, v := range vals {
		keys[at] = v.key()
		t.sum += hashOf(v)
		if at > 0 && keys[at-1] >= keys[at] {
			c.fail()
		}
	}
	t.tree = buildTree(keys, vals)
}

// Encode returns the canonical encoding of the state. Equal states have equal encodings.
func (s *State) Encode() []byte {
	c := coder{buf: []byte{format}}
	s.code(&c)
	return c.buf
}

// Decode returns the state that the bytes encode. It returns a *SnapshotError if they
// are not the canonical encoding of a consistent state.
func Decode(data []byte) (*State, error) {
	if len(data) == 0 || data[0] != format {
		return nil, &SnapshotError{"format"}
	}
	s := &State{}
	c := coder{buf: data[1:], decode: true}
	s.code(&c)
	if c.bad || len(c.buf) > 0 {
		return nil, &SnapshotError{"encoding"}
	}
	s.ids.order = s.ids.idsByOffset()
	s.changes.order = s.changes.idsByOffset()
	s.endedJobs = s.endedByOffset()
	if part := s.findInconsistency(); part != "" {
		return nil, &SnapshotError{part}
	}
	return s, nil
}

// idsByOffset returns the ids of the table by the offset of their verdict.
func (t verdictTable) idsByOffset() tree[uint64, string] {
	seen := slices.SortedFunc(t.values(), func(a, b *PriorVerdict) int {
		return cmp.Compare(a.Offset, b.Offset)
	})
	keys, vals := make([]uint64, len(seen)), make([]string, len(seen))
	for at, v := range seen {
		keys[at], vals[at] = v.Offset, v.ID
	}
	return buildTree(keys, vals)
}

// endedByOffset returns the names of the ended jobs by the offset of their end.
func (s *State) endedByOffset() tree[uint64, string] {
	var t tree[uint64, string]
	for j := range s.Jobs() {
		if j.Phase.IsFinal() {
			t = t.with(j.Ended, j.Name)
		}
	}
	return t
}

// Parts returns the snapshot records of the state, each with at most size bytes of data.
// Equal states give equal parts.
func (s *State) Parts(size int) []*recpb.Snapshot {
	chunks := slices.Collect(slices.Chunk(s.Encode(), max(size, 1)))
	parts := make([]*recpb.Snapshot, len(chunks))
	for at, data := range chunks {
		parts[at] = &recpb.Snapshot{
			Offset: s.applied, Part: uint32(at), Parts: uint32(len(chunks)),
			Data: data, Hash: s.Hash(),
		}
	}
	return parts
}

// Collector assembles snapshots from the parts in a stream. The parts may arrive in any
// order, repeatedly, from several writers and mixed with those of other snapshots. The
// zero value is ready for use. A Collector is not safe for concurrent use.
type Collector struct {
	pending []*partialSnapshot
}

// snapshotID identifies a snapshot.
type snapshotID struct {
	offset, hash uint64
	parts        uint32
}

type partialSnapshot struct {
	snapshotID
	data map[uint32][]byte
}

// Add adds a part. It returns the state if the part completes a snapshot, otherwise nil.
// The reader must continue with the record after State.Applied and must still be able to
// read it, because Apply does not detect missing records. Add returns a *SnapshotError
// if the part number is invalid, or if the complete parts don't decode to a state with
// the offset and the hash that they carry. Those parts are dropped.
func (c *Collector) Add(p *recpb.Snapshot) (*State, error) {
	if p.GetParts() == 0 || p.GetParts() > maxParts || p.GetPart() >= p.GetParts() {
		return nil, &SnapshotError{"part number"}
	}
	w := c.findOrStart(snapshotID{p.GetOffset(), p.GetHash(), p.GetParts()})
	w.data[p.GetPart()] = p.GetData()
	if len(w.data) < int(w.parts) {
		return nil, nil
	}
	c.pending = slices.DeleteFunc(c.pending, func(o *partialSnapshot) bool { return o == w })
	return w.decode()
}

// findOrStart returns the incomplete snapshot with an id and adds it if there is none. If
// too many are incomplete then, it drops the one that was started first.
func (c *Collector) findOrStart(id snapshotID) *partialSnapshot {
	for _, w := range c.pending {
		if w.snapshotID == id {
			return w
		}
	}
	w := &partialSnapshot{id, make(map[uint32][]byte)}
	c.pending = append(c.pending, w)
	if len(c.pending) > maxPending {
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	return w
}

// decode decodes the joined parts and checks the offset and the hash of the state.
func (p *partialSnapshot) decode() (*State, error) {
	var b bytes.Buffer
	for at := range p.parts {
		b.Write(p.data[at])
	}
	s, err := Decode(b.Bytes())
	if err != nil {
		return nil, err
	}
	if s.applied != p.offset || s.Hash() != p.hash {
		return nil, &SnapshotError{"hash"}
	}
	return s, nil
}
