package leader

import (
	"time"

	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Meters are the leader's metrics. They count from the start of the process, over all
// times that it led.
type Meters struct {
	scope    tally.Scope
	accepted tally.Counter
	starts   tally.Counter
	stops    tally.Counter
	looks    tally.Counter
	cloud    tally.Counter
	lost     tally.Counter
	aside    tally.Counter
	leads    tally.Counter
	refused  map[string]tally.Counter
	rejected map[string]tally.Counter
	ends     map[model.Ending]tally.Counter
	orders   map[string]tally.Counter
	store    tally.Histogram
	waits    tally.Histogram
	whole    tally.Histogram
	takeover tally.Histogram
	active   tally.Gauge
	pending  tally.Gauge
	wave     tally.Gauge
}

// buckets span from the store's usual answer time to a job that waits for an outage.
var buckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// NewMeters creates the metrics in a scope.
func NewMeters(s tally.Scope) *Meters {
	m := &Meters{
		scope: s, accepted: s.Counter("jobs_accepted"), starts: s.Counter("runs_ordered"), stops: s.Counter("runs_stopped"),
		looks: s.Counter("executor_looks"), cloud: s.Counter("instance_calls"), lost: s.Counter("runs_lost"),
		aside: s.Counter("executors_aside"), leads: s.Counter("leads"),
		store: s.Histogram("store_append_seconds", buckets), waits: s.Histogram("job_wait_seconds", buckets),
		whole: s.Histogram("job_seconds", buckets), takeover: s.Histogram("takeover_seconds", buckets),
		active: s.Gauge("jobs_active"), pending: s.Gauge("jobs_pending"), wave: s.Gauge("wave_left"),
		refused: map[string]tally.Counter{}, rejected: map[string]tally.Counter{}, ends: map[model.Ending]tally.Counter{},
		orders: map[string]tally.Counter{},
	}
	for e := model.EndedOther; e <= model.EndedAlone; e++ {
		m.ends[e] = s.Tagged(map[string]string{"how": e.String()}).Counter("runs_ended")
	}
	return m
}

// refuse counts a refused job.
func (m *Meters) refuse(cause string) {
	c := m.refused[cause]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"cause": cause}).Counter("jobs_refused")
		m.refused[cause] = c
	}
	c.Inc(1)
}

// reject counts a start that an executor refused or left unanswered.
func (m *Meters) reject(reason string) {
	c := m.rejected[reason]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"reason": reason}).Counter("runs_refused")
		m.rejected[reason] = c
	}
	c.Inc(1)
}

// order counts an order for an instance.
func (m *Meters) order(kind string) {
	c := m.orders[kind]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"kind": kind}).Counter("instance_orders")
		m.orders[kind] = c
	}
	c.Inc(1)
}
