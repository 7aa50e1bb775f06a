package leader

import (
	"time"

	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Meters are the leader's metrics. They count from the start of the process, over all its terms as
// leader.
type Meters struct {
	scope         tally.Scope
	accepted      tally.Counter
	starts        tally.Counter
	stops         tally.Counter
	polls         tally.Counter
	instanceCalls tally.Counter
	quarantines   tally.Counter
	suspects      tally.Counter
	poison        tally.Counter
	slowMoves     tally.Counter
	terms         tally.Counter
	limitLowered  tally.Counter
	startsHeld    tally.Counter
	startLimit    tally.Gauge
	refused       map[string]tally.Counter
	rejected      map[string]tally.Counter
	lost          map[string]tally.Counter
	runEnds       map[model.Ending]tally.Counter
	orders        map[string]tally.Counter
	appendTime    tally.Histogram
	jobWait       tally.Histogram
	jobTime       tally.Histogram
	takeover      tally.Histogram
	activeJobs    tally.Gauge
	pendingJobs   tally.Gauge
	parkedJobs    tally.Gauge
	waveLeft      tally.Gauge
	accounts      accountMeters
}

// durationBuckets span from the store's usual answer time to a job that waits for the end of an
// outage.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// NewMeters creates the metrics in a scope.
func NewMeters(s tally.Scope) *Meters {
	m := &Meters{
		scope: s, accepted: s.Counter("jobs_accepted"), starts: s.Counter("runs_ordered"), stops: s.Counter("runs_stopped"),
		polls: s.Counter("executor_looks"), instanceCalls: s.Counter("instance_calls"),
		quarantines: s.Counter("executors_aside"), slowMoves: s.Counter("runs_moved"), poison: s.Counter("jobs_poison"), suspects: s.Counter("executors_on_probation"), terms: s.Counter("leads"), limitLowered: s.Counter("start_limit_lowered"), startsHeld: s.Counter("starts_held"), startLimit: s.Gauge("start_limit"),
		appendTime: s.Histogram("store_append_seconds", durationBuckets), jobWait: s.Histogram("job_wait_seconds", durationBuckets),
		jobTime: s.Histogram("job_seconds", durationBuckets), takeover: s.Histogram("takeover_seconds", durationBuckets),
		activeJobs: s.Gauge("jobs_active"), pendingJobs: s.Gauge("jobs_pending"), parkedJobs: s.Gauge("jobs_put_off"), waveLeft: s.Gauge("wave_left"), accounts: newAccountMeters(s),
		refused: map[string]tally.Counter{}, rejected: map[string]tally.Counter{}, lost: map[string]tally.Counter{}, runEnds: map[model.Ending]tally.Counter{},
		orders: map[string]tally.Counter{},
	}
	for e := model.EndedOther; e <= model.EndedAlone; e++ {
		m.runEnds[e] = s.Tagged(map[string]string{"how": e.String()}).Counter("runs_ended")
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

// reject counts a start that an executor refused or did not answer.
func (m *Meters) reject(reason string) {
	c := m.rejected[reason]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"reason": reason}).Counter("runs_refused")
		m.rejected[reason] = c
	}
	c.Inc(1)
}

// lose counts a run that was given up without an end that its executor listed.
func (m *Meters) lose(cause string) {
	c := m.lost[cause]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"cause": cause}).Counter("runs_lost")
		m.lost[cause] = c
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
