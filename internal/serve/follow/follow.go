// Package follow reads a stream of the platform's log continuously and delivers its batches.
package follow

import (
	"context"
	"errors"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
)

const (
	// readLimit is the largest number of records of one read.
	readLimit = 1024
	// retryPause is the pause after a failed read.
	retryPause = 100 * time.Millisecond
)

// Stream is a stream to read, with the callbacks of its reader.
type Stream struct {
	Log   ports.Log
	Clock clock.Clock
	Name  string
	// Wait is the longest time that a read waits for new records.
	Wait time.Duration
	// NextOffset returns the lowest offset that is still needed. Records before it may have been
	// received from elsewhere.
	NextOffset func() uint64
	// Deliver receives a batch and the time at which its read was issued.
	Deliver func(b ports.Batch, issued time.Duration)
}

// Run reads the stream until the context ends. It skips records that are no longer retained.
func Run(ctx context.Context, s Stream) {
	next := s.NextOffset()
	for ctx.Err() == nil {
		issued := s.Clock.Now()
		b, err := s.Log.Read(ctx, s.Name, next, readLimit, s.Wait)
		if err != nil {
			next = max(s.resumeOffset(ctx, next, err), s.NextOffset())
			continue
		}
		s.Deliver(b, issued)
		if n := len(b.Items); n > 0 {
			next = b.Items[n-1].Offset + 1
		}
		next = max(next, s.NextOffset())
	}
}

// resumeOffset returns the offset to read next after a failed read. It pauses unless the offset is
// no longer retained.
func (s Stream) resumeOffset(ctx context.Context, next uint64, err error) uint64 {
	var retention *ports.RetentionError
	if errors.As(err, &retention) && retention.First > next {
		return retention.First
	}
	pause := s.Clock.After(retryPause)
	defer pause.Close()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
	return next
}
