package ctrl

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// TestDemandSum guards against demand of members that were not heard for 5 s, that are
// gone or that runs before theirs had, and against an old reply that replaces a newer one.
func TestDemandSum(t *testing.T) {
	st := state.New()
	for n, name := range []string{"a", "b"} {
		st, _ = st.Apply(uint64(n+1), &recpb.Record{Id: []byte{15: byte(n)}, Schema: state.Schema, Body: &recpb.Record_Join{
			Join: &recpb.Join{Name: name, Incarnation: 7, Addr: "127.0.0.1:1"}}})
	}
	told := func(name string, inc uint64, waiting uint32) *peerpb.Digest {
		return &peerpb.Digest{Name: name, Incarnation: inc, Demand: []*peerpb.Demand{{Pool: "p", Waiting: waiting, Running: 1}}}
	}
	d := demands{}
	d.learn(2*time.Second, told("a", 7, 10))
	d.learn(time.Second, told("a", 7, 99))
	d.learn(4*time.Second, told("b", 7, 100))
	d.learn(4*time.Second, told("b", 6, 1000))
	d.learn(4*time.Second, told("c", 7, 1000))
	at := func(now time.Duration) map[string]Demand { return d.sum(now, st) }
	assert.Equal(t, at(6 * time.Second)["p"], Demand{110, 2})
	assert.Equal(t, at(7 * time.Second)["p"], Demand{100, 1})
	assert.Equal(t, at(9 * time.Second)["p"], Demand{})
	assert.Equal(t, len(d), 0)
}
