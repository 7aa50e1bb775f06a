// Package follow reads a stream of the platform's log and hands over what it reads.
package follow

import (
	"context"
	"errors"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
)

const (
	// readLimit bounds the records of one read.
	readLimit = 1024
	// retryPause is the pause after the log could not be read.
	retryPause = 100 * time.Millisecond
)

// Stream is what is read and how.
type Stream struct {
	Log   ports.Log
	Clock clock.Clock
	Name  string
	// Wait is the longest wait of a read for new records.
	Wait time.Duration
	// Next returns the offset from which on records are needed. Earlier ones may have
	// come another way.
	Next func() uint64
	// Give takes over a batch and the time at which its read was issued.
	Give func(b ports.Batch, issued time.Duration)
}

// Run reads the stream until the context ends. Records that are no longer retained are
// passed over.
func Run(ctx context.Context, s Stream) {
	next := s.Next()
	for ctx.Err() == nil {
		issued := s.Clock.Now()
		b, err := s.Log.Read(ctx, s.Name, next, readLimit, s.Wait)
		if err != nil {
			next = max(s.nextOffset(ctx, next, err), s.Next())
			continue
		}
		s.Give(b, issued)
		if n := len(b.Items); n > 0 {
			next = b.Items[n-1].Offset + 1
		}
		next = max(next, s.Next())
	}
}

// resume returns where to read on after a failed read.
func (s Stream) nextOffset(ctx context.Context, next uint64, err error) uint64 {
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
