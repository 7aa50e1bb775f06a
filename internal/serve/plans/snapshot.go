package plans

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// A snapshot is written after snapshotRecords records or snapshotAge, whichever comes first.
	// Both must be well below what the log retains.
	snapshotRecords = 2000
	snapshotAge     = 30 * time.Minute
	// partSize is the maximum size of a snapshot part in bytes.
	partSize = 48 << 10
	// snapshotTimeout bounds all appends of one snapshot.
	snapshotTimeout = time.Minute
)

// snapshotTracker holds the offset of the last complete snapshot in the stream and when it was
// first seen.
type snapshotTracker struct {
	offset uint64
	seenAt time.Duration
}

// writeSnapshot appends the state in parts before the log deletes the records it is built from.
func (p *Planner) writeSnapshot(ctx context.Context, v *ctrl.View) {
	now := p.Clock.Now()
	if v.SnapshotOffset != p.snapshot.offset || p.snapshot.seenAt == 0 {
		p.snapshot = snapshotTracker{v.SnapshotOffset, now}
	}
	records := v.State.Applied() - v.SnapshotOffset
	if records < snapshotRecords && (now-p.snapshot.seenAt < snapshotAge || records < 2) {
		return
	}
	if !p.begin("snapshot") {
		return
	}
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		defer p.end("snapshot")
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		p.appendParts(ctx, v)
	}()
}

// appendParts appends the parts one after the other, so that they use little of the log's append
// capacity.
func (p *Planner) appendParts(ctx context.Context, v *ctrl.View) {
	for _, part := range v.State.Parts(partSize) {
		r := &recpb.Record{Body: &recpb.Record_Snapshot{Snapshot: part}}
		if _, err := p.Control.Submit(ctx, r); err != nil {
			p.Scope.Counter("snapshots_unsettled").Inc(1)
			return
		}
	}
	p.Scope.Counter("snapshots_written").Inc(1)
}
