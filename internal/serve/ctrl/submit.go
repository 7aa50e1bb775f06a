package ctrl

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Result is the verdict on a record that was read back from the log.
type Result struct {
	Offset  uint64
	Verdict state.Verdict
}

// UnsettledError is returned if a record was not read back in time. It may still take effect.
type UnsettledError struct {
	Cause error
}

func (e *UnsettledError) Error() string {
	if e.Cause == nil {
		return "record was not read back in time; it may still take effect"
	}
	return fmt.Sprintf("record was not read back in time; it may still take effect: %v", e.Cause)
}

// Unwrap returns the last failure of the log, nil if there was none.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// waiters holds the channels of the callers that wait for the verdict on their record, by record
// id.
type waiters struct {
	mu   sync.Mutex
	byID map[string]chan Result
}

func (w *waiters) add(id string) chan Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	ch := make(chan Result, 1)
	w.byID[id] = ch
	return ch
}

func (w *waiters) remove(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byID, id)
}

func (w *waiters) notify(id string, s Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ch, ok := w.byID[id]; ok {
		ch <- s
		delete(w.byID, id)
	}
}

const (
	idLength = 16
	// recordSchema is the lowest schema version that reads every present body. A body that needs a
	// newer version must set it itself: if every record of an upgraded entry carried the newest
	// version, older entries would skip even its join.
	recordSchema = 1
	// reappendAfter is how long a writer waits for its record to be read back before it appends it
	// again. A record appended twice is applied once.
	reappendAfter  = time.Second
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Submit appends a record and waits until it is read back. The verdict may refuse the change. It
// returns an *UnsettledError if the record was not read back before the end of the context.
func (c *Core) Submit(ctx context.Context, r *recpb.Record) (Result, error) {
	r.Id = make([]byte, idLength)
	_, _ = rand.Read(r.Id)
	r.Schema = recordSchema
	r.By = c.Self.Name
	r.At = c.Clock.Wall().UnixMilli()
	data, err := proto.Marshal(r)
	if err != nil {
		return Result{}, &UnsettledError{Cause: err}
	}
	verdict := c.waiters.add(string(r.Id))
	defer c.waiters.remove(string(r.Id))
	return c.appendUntilRead(ctx, data, verdict)
}

// appendUntilRead repeats the append until the record is read back or the context ends.
func (c *Core) appendUntilRead(ctx context.Context, data []byte, verdict <-chan Result) (Result, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = initialBackoff
	pause.MaxInterval = maxBackoff
	var last error
	for {
		_, err := c.Log.Append(ctx, Stream, data)
		wait := reappendAfter
		if err != nil {
			last = err
			wait = pause.NextBackOff()
		}
		if ports.ErrThrottled.Has(err) {
			c.Scope.Counter("appends_throttled").Inc(1)
		}
		s, ok := c.awaitVerdict(ctx, verdict, wait)
		if ok {
			return s, nil
		}
		if ctx.Err() != nil {
			return Result{}, &UnsettledError{Cause: last}
		}
	}
}

func (c *Core) awaitVerdict(ctx context.Context, verdict <-chan Result, wait time.Duration) (Result, bool) {
	sub := c.Clock.After(wait)
	defer sub.Close()
	select {
	case s := <-verdict:
		return s, true
	case <-sub.C:
	case <-ctx.Done():
	}
	select {
	case s := <-verdict:
		return s, true
	default:
		return Result{}, false
	}
}
