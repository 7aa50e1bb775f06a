// Package gauge reads values at a fixed interval and publishes them as metrics, so that the
// code that owns the values does no work for metrics per request.
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

// Interval is the time between two rounds.
const Interval = time.Second

// Tags holds the labels of a metric by name.
type Tags map[string]string

// Reader reports the values of one round. It is called in the Publisher's goroutine.
type Reader func(r *Round)

// Publisher reads values and publishes them.
type Publisher struct {
	scope  tally.Scope
	cancel context.CancelFunc
	done   chan struct{}
	// gauges holds the gauges that were set in the last round.
	gauges map[string]tally.Gauge
	// totals holds the last value of each running total.
	totals map[string]uint64
}

// Start starts a Publisher, which calls read once per Interval until Close or the end of ctx.
func Start(ctx context.Context, clk clock.Clock, scope tally.Scope, read Reader) *Publisher {
	ctx, cancel := context.WithCancel(ctx)
	p := &Publisher{
		scope:  scope,
		cancel: cancel,
		done:   make(chan struct{}),
		gauges: map[string]tally.Gauge{},
		totals: map[string]uint64{},
	}
	sub := clk.Subscribe(Interval)
	go p.run(ctx, sub, read)
	return p
}

// Close stops the Publisher and waits for its goroutine to end.
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
			p.publish(read)
		}
	}
}

// publish runs one round. A gauge that is no longer reported, such as that of a deleted
// instance, is set to 0.
func (p *Publisher) publish(read Reader) {
	r := &Round{publisher: p, seen: map[string]bool{}}
	read(r)
	for key, g := range p.gauges {
		if !r.seen[key] {
			g.Update(0)
			delete(p.gauges, key)
		}
	}
}

// Round publishes the values that a Reader reports in one interval.
type Round struct {
	publisher *Publisher
	seen      map[string]bool
}

// Value sets a gauge.
func (r *Round) Value(name string, v float64, tags Tags) {
	key := metricKey(name, tags)
	g, ok := r.publisher.gauges[key]
	if !ok {
		g = r.publisher.scope.Tagged(tags).Gauge(name)
		r.publisher.gauges[key] = g
	}
	g.Update(v)
	r.seen[key] = true
}

// Flag sets a gauge to 1 if on is set, else to 0.
func (r *Round) Flag(name string, on bool, tags Tags) {
	v := 0.0
	if on {
		v = 1
	}
	r.Value(name, v, tags)
}

// Total advances a counter by the increase of a running total. A total that is lower than in
// the last round was reset to 0 when its owner was replaced, and counts in full.
func (r *Round) Total(name string, total uint64, tags Tags) {
	key := metricKey(name, tags)
	last := r.publisher.totals[key]
	if total < last {
		last = 0
	}
	r.publisher.totals[key] = total
	r.publisher.scope.Tagged(tags).Counter(name).Inc(int64(total - last))
}

// metricKey returns the key of a metric: its name and its sorted labels.
func metricKey(name string, tags Tags) string {
	parts := []string{name}
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, k, tags[k])
	}
	return strings.Join(parts, "\x00")
}
