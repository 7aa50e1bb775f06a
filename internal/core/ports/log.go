// Package ports declares the interfaces for calls to the platform and to endpoints, and the
// typed errors that they return.
package ports

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

var (
	// ErrLog is the class of failed calls of the platform's log. An Append that failed with
	// it may or may not have added the record.
	ErrLog = errs.Class("log unavailable")
	// ErrThrottled is the class of appends that the log refused because of its rate limit.
	// The record was not added.
	ErrThrottled = errs.Class("log throttled")
)

// RetentionError reports that the offset of a read is no longer retained.
type RetentionError struct {
	Stream string
	From   uint64
	// First is the lowest offset that is still retained.
	First uint64
}

func (e *RetentionError) Error() string {
	return fmt.Sprintf("stream %q retains records from offset %d, not from %d", e.Stream, e.First, e.From)
}

// Item is one record of a stream.
type Item struct {
	// Offset is the position in the stream. The first record of a stream has offset 1.
	Offset uint64
	// Data is the encoded record.
	Data []byte
}

// Batch holds the result of one read.
type Batch struct {
	Items []Item
	// First is the lowest offset that is still retained, 1 for an empty stream.
	First uint64
	// Next is the offset that the next appended record will have.
	Next uint64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record to the end of a stream and returns its offset. It returns an
	// ErrThrottled if the log refused the record and an ErrLog if the outcome is unknown.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records from an offset on. If there are none, it waits up to
	// the given time for one. It returns a *RetentionError if the offset is lower than the
	// first one retained, and an ErrLog if the log can't be reached.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}
