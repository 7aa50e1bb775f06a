package links

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/core/clock"
)

const (
	// interval is the time over which the use of the link is measured.
	interval = time.Second
	// fullShare is the share of the link's capacity from which it counts as full. The headers of TCP
	// and below add about a tenth.
	fullShare = 0.8
	// freeShare is the share below which a full link counts as free again. The distance to fullShare
	// keeps changes of the state rare.
	freeShare = 0.6
)

// Watcher publishes the bytes by kind of peer as metrics, and logs when the link becomes full and
// when it is free again.
type Watcher struct {
	counters *Counters
	// capacity is the link's capacity in bytes a second for each direction, 0 if it is not known.
	capacity float64
	log      zerolog.Logger
	sent     [Peers]tally.Counter
	received [Peers]tally.Counter
	last     [Peers]Counts
	lastTime time.Duration
	full     bool
	cancel   context.CancelFunc
	done     chan struct{}
}

// Watch starts a Watcher, which runs until Close. mbits is the link's capacity in Mbit/s for each
// direction, 0 if it is not known.
func Watch(ctx context.Context, c *Counters, mbits float64, clk clock.Clock, log zerolog.Logger, scope tally.Scope) *Watcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watcher{counters: c, capacity: mbits * 1e6 / 8, log: log, lastTime: clk.Now(), cancel: cancel, done: make(chan struct{})}
	for p := range Peers {
		tagged := scope.Tagged(map[string]string{"peer": p.String()})
		w.sent[p], w.received[p] = tagged.Counter("link_sent_bytes"), tagged.Counter("link_received_bytes")
	}
	go w.run(ctx, clk)
	return w
}

// Close stops the Watcher and waits for its goroutine to end.
func (w *Watcher) Close() {
	w.cancel()
	<-w.done
}

func (w *Watcher) run(ctx context.Context, clk clock.Clock) {
	defer close(w.done)
	ticks := clk.Subscribe(interval)
	defer ticks.Close()
	for {
		select {
		case <-ticks.C:
			w.measure(clk.Now())
		case <-ctx.Done():
			return
		}
	}
}

// measure publishes the bytes since the last call and logs a change between full and free.
func (w *Watcher) measure(now time.Duration) {
	var bytes [Peers]Counts
	var total Counts
	for p := range Peers {
		n := w.counters.Counts(p)
		bytes[p] = Counts{n.Sent - w.last[p].Sent, n.Received - w.last[p].Received}
		w.last[p] = n
		w.sent[p].Inc(bytes[p].Sent)
		w.received[p].Inc(bytes[p].Received)
		total.Sent += bytes[p].Sent
		total.Received += bytes[p].Received
	}
	took := now - w.lastTime
	w.lastTime = now
	if w.capacity == 0 || took <= 0 {
		return
	}
	share := float64(max(total.Sent, total.Received)) / (w.capacity * took.Seconds())
	switch {
	case !w.full && share >= fullShare:
		w.full = true
		w.logUse(w.log.Warn(), share, bytes, "network link is full")
	case w.full && share < freeShare:
		w.full = false
		w.logUse(w.log.Info(), share, bytes, "network link is free again")
	}
}

func (w *Watcher) logUse(ev *zerolog.Event, share float64, bytes [Peers]Counts, msg string) {
	ev = ev.Float64("share", share)
	for p := range Peers {
		ev = ev.Ints64(p.String(), []int64{bytes[p].Sent, bytes[p].Received})
	}
	ev.Msg(msg)
}
