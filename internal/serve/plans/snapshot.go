package plans

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// snapshotRecords and snapshotAge are the number of records and the time after
	// which a snapshot is written, whichever comes first. They must be well below what
	// the log retains.
	snapshotRecords = 2000
	snapshotAge     = 30 * time.Minute
	// partSize is the largest part of a snapshot in bytes.
	partSize = 48 << 10
	// snapshotTimeout bounds the appends of one snapshot.
	snapshotTimeout = time.Minute
)

// snapshotWatch notes when a snapshot was last seen whole in the stream.
type snapshotWatch struct {
	offset uint64
	at     time.Duration
}

// writeSnapshot appends the state in parts ahead of the log's retention.
func (p *Planner) writeSnapshot(ctx context.Context, v *ctrl.View) {
	now := p.Clock.Now()
	if v.Snapshot != p.snapshot.offset || p.snapshot.at == 0 {
		p.snapshot = snapshotWatch{v.Snapshot, now}
	}
	records := v.State.Applied() - v.Snapshot
	if records < snapshotRecords && (now-p.snapshot.at < snapshotAge || records < 2) {
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

// appendParts appends the parts one after the other, so that they take few of the
// log's appends at a time.
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
