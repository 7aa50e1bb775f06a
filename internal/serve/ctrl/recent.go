package ctrl

import (
	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/core/ports"
)

// ringSize is the number of newest records that are always kept; up to twice as many are held.
const ringSize = 4096

// ring holds the newest records in order of offset, without gaps.
type ring struct {
	items []ports.Item
}

func (r *ring) add(i ports.Item) {
	r.items = append(r.items, i)
	if len(r.items) >= 2*ringSize {
		r.items = append([]ports.Item(nil), r.items[ringSize:]...)
	}
}

// from returns up to limit records from an offset. It returns false if no record is kept or the
// offset is older than those kept.
func (r *ring) from(offset uint64, limit int) ([]ports.Item, bool) {
	if len(r.items) == 0 || offset < r.items[0].Offset {
		return nil, false
	}
	i := int(offset - r.items[0].Offset)
	if i >= len(r.items) {
		return nil, true
	}
	return r.items[i:min(i+limit, len(r.items))], true
}

// maxHashes is the number of state hashes kept for the comparison with peers.
const maxHashes = 256

// hashHistory maps offsets to state hashes.
type hashHistory map[uint64]uint64

func (h hashHistory) add(offset, hash uint64) {
	h[offset] = hash
	if len(h) <= maxHashes {
		return
	}
	oldest := offset
	for o := range h {
		oldest = min(oldest, o)
	}
	delete(h, oldest)
}

// meters are the counters of the control goroutine.
type meters struct {
	records, badSnapshots, stateDiffers tally.Counter
}

func newMeters(s tally.Scope) meters {
	return meters{
		records:      s.Counter("records_applied"),
		badSnapshots: s.Counter("snapshots_bad"),
		stateDiffers: s.Counter("state_differs"),
	}
}
