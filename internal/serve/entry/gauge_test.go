package entry

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/flow/admit"
	"chervilgauge.example/chervilgauge/internal/serve/flows"
	"chervilgauge.example/chervilgauge/internal/watch/gauge"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// foldRecords returns the state after the records, at offsets 1, 2 and so on.
func foldRecords(t *testing.T, records ...*recpb.Record) *state.State {
	t.Helper()
	st := state.New()
	for n, r := range records {
		r.Id = append(make([]byte, 15), byte(n+1))
		st, _ = st.Apply(uint64(n+1), r)
	}
	return st
}

// Guards against metrics that omit a record of a newer schema, an evicted member, a halted wave, an
// ejected endpoint or the refusals of one reason.
func TestMeasures(t *testing.T) {
	evict := &recpb.Evict{Name: "entry-1", Incarnation: 1}
	st := foldRecords(t,
		&recpb.Record{Body: &recpb.Record_Join{Join: &recpb.Join{Name: "entry-1", Incarnation: 1, Addr: "a:1"}}},
		&recpb.Record{Body: &recpb.Record_Evict{Evict: evict}},
		&recpb.Record{Schema: state.Schema + 1, Body: &recpb.Record_Evict{Evict: evict}},
		&recpb.Record{Body: &recpb.Record_Pool{Pool: &recpb.Pool{Name: "plan", Budget: &recpb.Budget{Total: 1}}}},
		&recpb.Record{Body: &recpb.Record_Wave{Wave: &recpb.Wave{
			Name: "spring", Order: recpb.Wave_START, Pools: []string{"plan"}}}},
		&recpb.Record{Body: &recpb.Record_Wave{Wave: &recpb.Wave{
			Edit: &recpb.Edit{Base: 5}, Name: "spring", Order: recpb.Wave_HALT}}},
	)
	counts := admit.Counts{Waiting: 3}
	counts.Refused[admit.Deadline], counts.Refused[admit.Full] = 2, 5

	clk := clock.NewFake(time.Unix(0, 0))
	scope := tally.NewTestScope("", nil)
	done := make(chan struct{})
	p := gauge.Start(context.Background(), clk, scope, func(r *gauge.Round) {
		measureSkipped(r, st.Skipped())
		measureMembers(r, st)
		measureWaves(r, st)
		measurePool(r, flows.PoolCounts{Pool: "plan", Listed: 4, NotLeaving: 3, Ejected: 1,
			Services: map[string]admit.Counts{"plan": counts, "": {}}})
		close(done)
	})
	clk.Advance(gauge.Interval)
	<-done
	p.Close()

	s := scope.Snapshot()
	for name, want := range map[string]float64{
		"records_skipped+reason=newer":         1,
		"members+":                             1,
		"members_evicted+":                     1,
		"waves_halted+":                        1,
		"waves_running+":                       0,
		"endpoints_leaving+pool=plan":          1,
		"endpoints_ejected+pool=plan":          1,
		"queue_waiting+pool=plan,service=plan": 3,
	} {
		g, ok := s.Gauges()[name]
		assert.Assert(t, ok, name)
		assert.Equal(t, g.Value(), want, name)
	}
	assert.Equal(t, s.Counters()["queue_refused+pool=plan,service=plan"].Value(), int64(7))
	assert.Assert(t, s.Counters()["queue_refused+pool=plan,service=_unlisted"] != nil)
}
