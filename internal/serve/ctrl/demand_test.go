package ctrl

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Guards against counting the demand of members that were not heard from for 5 s, that have left,
// or of their earlier incarnations, and against an old reply that replaces a newer one.
func TestDemandSum(t *testing.T) {
	st := state.New()
	for n, name := range []string{"a", "b"} {
		st, _ = st.Apply(uint64(n+1), &recpb.Record{Id: []byte{15: byte(n)}, Schema: state.Schema, Body: &recpb.Record_Join{
			Join: &recpb.Join{Name: name, Incarnation: 7, Addr: "127.0.0.1:1"}}})
	}
	report := func(name string, inc uint64, waiting uint32) *peerpb.Digest {
		return &peerpb.Digest{Name: name, Incarnation: inc, Demand: []*peerpb.Demand{{Pool: "p", Waiting: waiting, Running: 1}}}
	}
	d := demands{}
	d.record(2*time.Second, report("a", 7, 10))
	d.record(time.Second, report("a", 7, 99))
	d.record(4*time.Second, report("b", 7, 100))
	d.record(4*time.Second, report("b", 6, 1000))
	d.record(4*time.Second, report("c", 7, 1000))
	at := func(now time.Duration) map[string]Demand { return d.sum(now, st) }
	assert.Equal(t, at(6 * time.Second)["p"], Demand{110, 2})
	assert.Equal(t, at(7 * time.Second)["p"], Demand{100, 1})
	assert.Equal(t, at(9 * time.Second)["p"], Demand{})
	assert.Equal(t, len(d), 0)
}
