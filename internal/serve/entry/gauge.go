package entry

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/serve/flows"
	"chervilgauge.example/chervilgauge/internal/watch/gauge"
)

// measure reports the current gauges and counters of every part. docs/metrics.md describes them.
func (e *Entry) measure(r *gauge.Round) {
	v := e.core.View()
	e.measureView(r, v)
	measureSkipped(r, v.State.Skipped())
	measureMembers(r, v.State)
	measureWaves(r, v.State)
	e.measureInstances(r, v.State)
	for _, c := range e.engine.Counts() {
		measurePool(r, c)
	}
}

func (e *Entry) measureView(r *gauge.Round, v *ctrl.View) {
	ready, _ := e.Ready()
	r.Flag("ready", ready, nil)
	r.Flag("log_linked", e.core.IsLogLinked(), nil)
	r.Flag("planner", v.State.IsPlanner(e.self), nil)
	r.Value("applied_offset", float64(v.State.Applied()), nil)
	r.Value("snapshot_offset", float64(v.SnapshotOffset), nil)
	r.Value("view_lease_ms", float64(e.core.LeaseRemaining()/time.Millisecond), nil)
}

func measureSkipped(r *gauge.Round, s state.Skips) {
	r.Value("records_skipped", float64(s.Newer), gauge.Tags{"reason": "newer"})
	r.Value("records_skipped", float64(s.Unknown), gauge.Tags{"reason": "unknown"})
	r.Value("records_skipped", float64(s.Malformed), gauge.Tags{"reason": "malformed"})
}

func measureMembers(r *gauge.Round, st *state.State) {
	evicted := 0
	for m := range st.Members() {
		if m.Evicted {
			evicted++
		}
	}
	r.Value("members", float64(st.MemberCount()), nil)
	r.Value("members_evicted", float64(evicted), nil)
}

func measureWaves(r *gauge.Round, st *state.State) {
	n := map[state.WavePhase]int{}
	for w := range st.Waves() {
		n[w.Phase]++
	}
	r.Value("waves_running", float64(n[state.Running]), nil)
	r.Value("waves_halted", float64(n[state.Halted]), nil)
}

// measureInstances reports the slots held and the requests in flight of this entry at each
// instance, the numbers of granted and draining instances, and the available instances of each
// pool.
func (e *Entry) measureInstances(r *gauge.Round, st *state.State) {
	granted, draining := 0, 0
	for i := range st.Instances() {
		tags := gauge.Tags{"instance": i.Name}
		r.Value("slots_held", float64(e.slots.Limit(i.Name)), tags)
		r.Value("in_flight", float64(e.engine.InFlight(i.Name)), tags)
		if i.Grant != nil {
			granted++
		}
		if i.Phase == state.Draining {
			draining++
		}
	}
	r.Value("instances_granted", float64(granted), nil)
	r.Value("instances_draining", float64(draining), nil)
	for p := range st.Pools() {
		tags := gauge.Tags{"pool": p.Name}
		n := st.PoolCount(p.Name)
		r.Value("pool_size", float64(n.Size), tags)
		r.Value("pool_available", float64(n.Available), tags)
	}
}

// unlistedService is the label of requests whose service was removed from the pool before they were
// queued. No service has a name with an underscore.
const unlistedService = "_unlisted"

func measurePool(r *gauge.Round, c flows.PoolCounts) {
	tags := gauge.Tags{"pool": c.Pool}
	r.Value("endpoints_listed", float64(c.Listed), tags)
	r.Value("endpoints_leaving", float64(c.Listed-c.NotLeaving), tags)
	r.Value("endpoints_ejected", float64(c.Ejected), tags)
	for service, s := range c.Services {
		if service == "" {
			service = unlistedService
		}
		tags := gauge.Tags{"pool": c.Pool, "service": service}
		r.Value("queue_waiting", float64(s.Waiting), tags)
		r.Value("queue_running", float64(s.Running), tags)
		r.Total("queue_accepted", s.Accepted, tags)
		r.Total("queue_started", s.Started, tags)
		r.Total("queue_dropped", s.Dropped, tags)
		r.Total("queue_cancelled", s.Cancelled, tags)
		r.Total("queue_refused", s.TotalRefused(), tags)
	}
}
