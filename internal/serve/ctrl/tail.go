package ctrl

import (
	"context"
	"errors"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
)

const (
	// readWait is the longest wait of a read. A read confirms the view as of its
	// start, so the wait must be well below the view lease of 2 s.
	readWait = 500 * time.Millisecond
	// readLimit bounds the records of one read.
	readLimit = 1024
	// retryPause is the pause after the log could not be read.
	retryPause = 100 * time.Millisecond
)

// tail reads the control stream until the context ends.
func (c *Core) tail(ctx context.Context) {
	next := uint64(1)
	for ctx.Err() == nil {
		issued := c.Clock.Now()
		b, err := c.Log.Read(ctx, Stream, next, readLimit, readWait)
		if err != nil {
			next = c.recover(ctx, next, err)
			continue
		}
		select {
		case c.reads <- read{batch: b, issued: issued}:
		case <-ctx.Done():
			return
		}
		if n := len(b.Items); n > 0 {
			next = b.Items[n-1].Offset + 1
		}
		next = max(next, c.View().State.Applied()+1)
	}
}

// recover returns where to read on after a failed read. Records that are no longer
// retained are replaced by a snapshot that follows them.
func (c *Core) recover(ctx context.Context, next uint64, err error) uint64 {
	var cut *ports.RetentionError
	if errors.As(err, &cut) && cut.First > next {
		return cut.First
	}
	pause := c.Clock.After(retryPause)
	defer pause.Close()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
	return max(next, c.View().State.Applied()+1)
}
