package claim

import (
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Head is the winning claim of an id.
type Head struct {
	Holder      string
	Incarnation uint64
	// Token identifies the holder's attempt.
	Token uint64
}

// forgetAfter is how long an id is remembered after its issue time, in
// milliseconds. An id is refused as old after Horizon by the clock of any entry;
// twice the skew covers the clocks of that entry and of this one.
const forgetAfter = int64(Horizon/1e6) + 2*int64(Skew/1e6)

// bucketSpan is the width of the issue-time buckets by which ids are forgotten,
// in milliseconds.
const bucketSpan = 10_000

// Index folds one claims stream in offset order. It is not safe for concurrent use.
type Index struct {
	heads   map[ID]Head
	buckets map[int64][]ID
	// floor is the issue time in milliseconds below which claims may have been cut
	// from the stream by retention before this index read them.
	floor int64
	next  uint64
}

// NewIndex returns an empty index that starts at the stream's first record.
func NewIndex() *Index {
	return &Index{heads: map[ID]Head{}, buckets: map[int64][]ID{}, next: 1}
}

// Next returns the offset of the next record to fold.
func (x *Index) Next() uint64 { return x.next }

// Len returns the number of ids remembered.
func (x *Index) Len() int { return len(x.heads) }

// Apply folds the record at an offset, read at a wall-clock time in milliseconds.
// Offsets below Next are skipped.
func (x *Index) Apply(offset uint64, r *recpb.Claims, wall int64) {
	if offset < x.next {
		return
	}
	x.Cut(offset, r.GetAt(), wall)
	x.next = offset + 1
	for _, c := range r.GetClaims() {
		x.add(c)
	}
}

// Cut records that the offsets from Next to first are no longer retained. The
// first retained record was written at a wall-clock time in milliseconds, 0 if there
// is none. The log is expected to retain records for longer than ids are accepted.
// If the first retained record is too young to show that, no claim of an id issued
// up to now can be excluded.
func (x *Index) Cut(first uint64, at, wall int64) {
	if first <= x.next {
		return
	}
	x.next = first
	if at != 0 && at < wall-forgetAfter {
		return
	}
	x.floor = wall + 2*Skew.Milliseconds()
	clear(x.heads)
	clear(x.buckets)
}

func (x *Index) add(c *recpb.Claim) {
	if len(c.GetId()) != len(ID{}) {
		return
	}
	id := ID(c.GetId())
	if id.Issued() < x.floor {
		return
	}
	// The token of a missing head is 0, so a claim that replaces an unknown one loses.
	head, held := x.heads[id]
	if head.Token != c.GetPrev() {
		return
	}
	if !held {
		b := id.Issued() / bucketSpan
		x.buckets[b] = append(x.buckets[b], id)
	}
	x.heads[id] = Head{Holder: c.GetHolder(), Incarnation: c.GetIncarnation(), Token: c.GetToken()}
}

// Verdict is the answer of an index about an id.
type Verdict uint8

// Verdicts about an id.
const (
	// Free means that no claim of the id is known and that none can have been cut.
	Free Verdict = iota
	// Held means that a claim of the id has won.
	Held
	// Forgotten means that a claim of the id may have been cut or forgotten.
	Forgotten
)

// Look returns the winning claim of an id at a wall-clock time in milliseconds.
func (x *Index) Look(id ID, wall int64) (Head, Verdict) {
	if id.Issued() < x.floor || id.AgeAt(wall) == Old {
		return Head{}, Forgotten
	}
	if head, ok := x.heads[id]; ok {
		return head, Held
	}
	return Head{}, Free
}

// Forget drops the ids that no entry accepts any more at a wall-clock time in
// milliseconds.
func (x *Index) Forget(wall int64) {
	last := (wall - forgetAfter) / bucketSpan
	for b, ids := range x.buckets {
		if b >= last {
			continue
		}
		for _, id := range ids {
			delete(x.heads, id)
		}
		delete(x.buckets, b)
	}
}
