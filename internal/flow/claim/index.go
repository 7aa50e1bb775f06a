package claim

import (
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Winner is the winning claim of an id.
type Winner struct {
	Holder      string
	Incarnation uint64
	// Token identifies the attempt of the holder.
	Token uint64
}

// idRetention is how long an id is kept after its issue time, in milliseconds. An id is refused as
// old after IDLifetime by the clock of any entry; twice the skew covers the clocks of that entry
// and of this one.
const idRetention = int64(IDLifetime/1e6) + 2*int64(MaxClockSkew/1e6)

// bucketWidth is the width in milliseconds of the issue-time buckets by which ids are removed.
const bucketWidth = 10_000

// Index applies one claims stream in offset order. It is not safe for concurrent use.
type Index struct {
	winners map[ID]Winner
	buckets map[int64][]ID
	// completeFrom is an issue time in milliseconds. Claims of older ids may have been removed from
	// the stream by retention before this index read them.
	completeFrom int64
	nextOffset   uint64
}

// NewIndex returns an empty index that starts at the first record of the stream.
func NewIndex() *Index {
	return &Index{winners: map[ID]Winner{}, buckets: map[int64][]ID{}, nextOffset: 1}
}

// NextOffset returns the offset of the next record to apply.
func (x *Index) NextOffset() uint64 { return x.nextOffset }

// Len returns the number of ids in the index.
func (x *Index) Len() int { return len(x.winners) }

// Apply applies the record at an offset. wall is the wall-clock time of the read in milliseconds
// since the Unix epoch. Offsets below NextOffset are skipped.
func (x *Index) Apply(offset uint64, r *recpb.Claims, wall int64) {
	if offset < x.nextOffset {
		return
	}
	x.TruncateBefore(offset, r.GetAt(), wall)
	x.nextOffset = offset + 1
	for _, c := range r.GetClaims() {
		x.add(c)
	}
}

// TruncateBefore records that the offsets from NextOffset up to first are no longer retained. The
// first retained record was written at a wall-clock time in milliseconds, 0 if there is none. The
// log is expected to retain records for longer than ids are accepted. If the first retained record
// is too recent to prove that, any id issued up to now may have had a claim.
func (x *Index) TruncateBefore(first uint64, at, wall int64) {
	if first <= x.nextOffset {
		return
	}
	x.nextOffset = first
	if at != 0 && at < wall-idRetention {
		return
	}
	x.completeFrom = wall + 2*MaxClockSkew.Milliseconds()
	clear(x.winners)
	clear(x.buckets)
}

func (x *Index) add(c *recpb.Claim) {
	if len(c.GetId()) != len(ID{}) {
		return
	}
	id := ID(c.GetId())
	if id.Issued() < x.completeFrom {
		return
	}
	// The token of a missing winner is 0, so a claim that replaces an unknown one loses.
	winner, held := x.winners[id]
	if winner.Token != c.GetPrev() {
		return
	}
	if !held {
		b := id.Issued() / bucketWidth
		x.buckets[b] = append(x.buckets[b], id)
	}
	x.winners[id] = Winner{Holder: c.GetHolder(), Incarnation: c.GetIncarnation(), Token: c.GetToken()}
}

// Verdict is the state of an id in the index.
type Verdict uint8

// Verdicts about an id.
const (
	// Free means that the index has no claim of the id and that retention cannot have removed one.
	Free Verdict = iota
	// Held means that a claim of the id has won.
	Held
	// Forgotten means that a claim of the id may have been removed by retention or by Forget.
	Forgotten
)

// Lookup returns the winning claim and the state of an id at a wall-clock time in milliseconds
// since the Unix epoch.
func (x *Index) Lookup(id ID, wall int64) (Winner, Verdict) {
	if id.Issued() < x.completeFrom || id.AgeAt(wall) == Old {
		return Winner{}, Forgotten
	}
	if winner, ok := x.winners[id]; ok {
		return winner, Held
	}
	return Winner{}, Free
}

// Forget removes the ids that no entry accepts any more at a wall-clock time in milliseconds since
// the Unix epoch.
func (x *Index) Forget(wall int64) {
	last := (wall - idRetention) / bucketWidth
	for b, ids := range x.buckets {
		if b >= last {
			continue
		}
		for _, id := range ids {
			delete(x.winners, id)
		}
		delete(x.buckets, b)
	}
}
