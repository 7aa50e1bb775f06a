package state

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// format is the version of the encoding of snapshots. Version 2 added the home of
	// instances.
	format = 2
	// maxParts is the largest number of parts of a snapshot.
	maxParts = 1 << 16
	// maxPending is the number of incomplete snapshots that a Collector keeps.
	maxPending = 4
)

// SnapshotError says that the bytes or the parts are not a snapshot of a state.
type SnapshotError struct {
	// Part names what is wrong.
	Part string
}

func (e *SnapshotError) Error() string { return fmt.Sprintf("bad snapshot: %s", e.Part) }

// head codes all that is not in a table.
func (s *State) head(c *coder) {
	c.u64(&s.applied)
	c.u64(&s.epoch)
	c.u64(&s.left)
	s.skipped.code(c)
	s.lease.code(c)
	list(c, &s.gone, func(c *coder, i *Incarnation) { i.code(c) })
}

// code codes the whole state.
func (s *State) code(c *coder) {
	s.head(c)
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

// codeTable codes the objects of a table in the order of their names.
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
	list(c, &vals, func(c *coder, v *V) {
		*v = new(T)
		(*v).code(c)
	})
	keys := make([]string, len(vals))
	for at, v := range vals {
		keys[at] = v.key()
		t.sum += sumOf(v)
		if at > 0 && keys[at-1] >= keys[at] {
			c.fail()
		}
	}
	t.tree = build(keys, vals)
}

// Encode returns the canonical encoding of the state: equal states have equal bytes.
func (s *State) Encode() []byte {
	c := coder{buf: []byte{format}}
	s.code(&c)
	return c.buf
}

// Decode returns the state of an encoding. It returns a *SnapshotError if the bytes
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
	s.ids.order = s.ids.byOffset()
	s.changes.order = s.changes.byOffset()
	s.ended = s.byEnd()
	if part := s.inconsistent(); part != "" {
		return nil, &SnapshotError{part}
	}
	return s, nil
}

// byOffset returns the ids of a memory by offset.
func (m memory) byOffset() tree[uint64, string] {
	seen := slices.SortedFunc(m.values(), func(a, b *Seen) int {
		return cmp.Compare(a.Offset, b.Offset)
	})
	keys, vals := make([]uint64, len(seen)), make([]string, len(seen))
	for at, v := range seen {
		keys[at], vals[at] = v.Offset, v.ID
	}
	return build(keys, vals)
}

// byEnd returns the names of ended jobs by the offset of their end.
func (s *State) byEnd() tree[uint64, string] {
	var t tree[uint64, string]
	for j := range s.Jobs() {
		if j.Phase.Final() {
			t = t.with(j.Ended, j.Name)
		}
	}
	return t
}

// Parts returns the snapshot records of the state, each with at most size bytes of
// data. All writers make the same parts of the same state.
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

// Collector reassembles snapshots from the parts in a stream. The parts may come in
// any order, repeatedly, from several writers and mixed with those of other snapshots.
// The zero value is ready for use. A Collector is used by one goroutine.
type Collector struct {
	pending []*pending
}

// whole identifies a snapshot.
type whole struct {
	offset, hash uint64
	parts        uint32
}

type pending struct {
	whole
	data map[uint32][]byte
}

// Add adds a part. It returns the state if this completes a snapshot, otherwise nil.
// The state continues with the record after State.Applied, which the reader must
// still be able to read: Apply does not notice missing records. Add returns a
// *SnapshotError for impossible parts and for parts that do not make a state with
// the hash that they name; these are dropped.
func (c *Collector) Add(p *recpb.Snapshot) (*State, error) {
	if p.GetParts() == 0 || p.GetParts() > maxParts || p.GetPart() >= p.GetParts() {
		return nil, &SnapshotError{"part number"}
	}
	w := c.find(whole{p.GetOffset(), p.GetHash(), p.GetParts()})
	w.data[p.GetPart()] = p.GetData()
	if len(w.data) < int(w.parts) {
		return nil, nil
	}
	c.pending = slices.DeleteFunc(c.pending, func(o *pending) bool { return o == w })
	return w.state()
}

// find returns the pending snapshot and drops the one that was started first if
// too many are pending.
func (c *Collector) find(id whole) *pending {
	for _, w := range c.pending {
		if w.whole == id {
			return w
		}
	}
	w := &pending{id, make(map[uint32][]byte)}
	c.pending = append(c.pending, w)
	if len(c.pending) > maxPending {
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	return w
}

// state decodes the joined parts and checks the offset and the hash.
func (w *pending) state() (*State, error) {
	var b bytes.Buffer
	for at := range w.parts {
		b.Write(w.data[at])
	}
	s, err := Decode(b.Bytes())
	if err != nil {
		return nil, err
	}
	if s.applied != w.offset || s.Hash() != w.hash {
		return nil, &SnapshotError{"hash"}
	}
	return s, nil
}
