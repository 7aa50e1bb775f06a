// Package gauge publishes present values as metrics at a fixed interval, so that the
// code that the values come from does nothing for metrics per request.
package gauge

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/core/clock"
)

// Interval is how often values are read.
const Interval = time.Second

// Tags are the labels of a metric by name.
type Tags map[string]string

// Reader reports the values of one round. It runs in the Publisher's goroutine.
type Reader func(r *Round)

// Publisher reads values and publishes them.
type Publisher struct {
	scope  tally.Scope
	cancel context.CancelFunc
	done   chan struct{}
	// values are the gauges that were set in an earlier round, totals the last value
	// of each running total.
	values map[string]tally.Gauge
	totals map[string]uint64
}

// Start publishes what read reports until Close.
func Start(ctx context.Context, clk clock.Clock, scope tally.Scope, read Reader) *Publisher {
	ctx, cancel := context.WithCancel(ctx)
	p := &Publisher{
		scope:  scope,
		cancel: cancel,
		done:   make(chan struct{}),
		values: map[string]tally.Gauge{},
		totals: map[string]uint64{},
	}
	sub := clk.Subscribe(Interval)
	go p.run(ctx, sub, read)
	return p
}

// Close ends the Publisher and waits for its goroutine.
func (p *Publisher) Close() {
	p.cancel()
	<-p.done
}

func (p *Publisher) run(ctx context.Context, sub *clock.Subscription, read Reader) {
	defer close(p.done)
	defer sub.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
			p.round(read)
		}
	}
}

// round publishes one set of values. A gauge that is no longer reported, such as that
// of a deleted instance, falls to 0.
func (p *Publisher) round(read Reader) {
	r := &Round{publisher: p, seen: map[string]bool{}}
	read(r)
	for key, g := range p.values {
		if !r.seen[key] {
			g.Update(0)
			delete(p.values, key)
		}
	}
}

// Round takes the values of one reading.
type Round struct {
	publisher *Publisher
	seen      map[string]bool
}

// Value sets a gauge.
func (r *Round) Value(name string, v float64, tags Tags) {
	key := keyOf(name, tags)
	g, ok := r.publisher.values[key]
	if !ok {
		g = r.publisher.scope.Tagged(tags).Gauge(name)
		r.publisher.values[key] = g
	}
	g.Update(v)
	r.seen[key] = true
}

// Flag sets a gauge to 1 or 0.
func (r *Round) Flag(name string, on bool, tags Tags) {
	v := 0.0
	if on {
		v = 1
	}
	r.Value(name, v, tags)
}

// Total advances a counter to a running total. A total that is lower than before
// started again at 0, because its owner was replaced.
func (r *Round) Total(name string, total uint64, tags Tags) {
	key := keyOf(name, tags)
	last := r.publisher.totals[key]
	if total < last {
		last = 0
	}
	r.publisher.totals[key] = total
	r.publisher.scope.Tagged(tags).Counter(name).Inc(int64(total - last))
}

func keyOf(name string, tags Tags) string {
	parts := []string{name}
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, k, tags[k])
	}
	return strings.Join(parts, "\x00")
}
