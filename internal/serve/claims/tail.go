package claims

import (
	"context"
	"errors"

	"chervilgauge.example/chervilgauge/internal/core/ports"
)

// tail reads the stream until the context ends and hands over what it reads.
func (s *slice) tail(ctx context.Context) {
	next := uint64(1)
	for ctx.Err() == nil {
		b, err := s.log.Read(ctx, s.name, next, readLimit, readWait)
		if err != nil {
			next = s.recover(ctx, next, err)
			continue
		}
		select {
		case s.read <- b:
		case <-ctx.Done():
			return
		}
		if n := len(b.Items); n > 0 {
			next = b.Items[n-1].Offset + 1
		}
	}
}

// recover returns where to read on after a failed read.
func (s *slice) recover(ctx context.Context, next uint64, err error) uint64 {
	var cut *ports.RetentionError
	if errors.As(err, &cut) && cut.First > next {
		return s.skip(ctx, cut.First)
	}
	pause := s.clk.After(retryPause)
	defer pause.Close()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
	return next
}

// skip continues at the first retained record. If there is one, its own time shows
// how long records are retained; an empty stream shows nothing.
func (s *slice) skip(ctx context.Context, first uint64) uint64 {
	b, err := s.log.Read(ctx, s.name, first, 1, 0)
	if err != nil || len(b.Items) > 0 {
		return first
	}
	select {
	case s.lost <- first:
	case <-ctx.Done():
	}
	return first
}
