package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// TestNobodyIsForgotten guards against a member that is evicted although it answers,
// because no entry asked it for the suspicion time: ten minutes of calm gossip between
// 8 entries whose rounds start at random times.
func TestNobodyIsForgotten(t *testing.T) {
	const n, interval, step = 8, 750 * time.Millisecond, 50 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	s := state.New()
	views := make([]*View, n)
	phase := make([]time.Duration, n)
	for k := range views {
		id := state.Incarnation{Name: fmt.Sprintf("e%d", k), Number: 1}
		views[k] = New(id)
		phase[k] = time.Duration(rng.Int64N(int64(interval/step))) * step
		s, _ = s.Apply(uint64(k+1), &recpb.Record{Id: []byte(fmt.Sprintf("%016d", k)), Schema: 1,
			Body: &recpb.Record_Join{Join: &recpb.Join{Name: id.Name, Incarnation: 1, Addr: fmt.Sprint(k)}}})
	}
	for _, v := range views {
		v.Update(0, s)
	}
	longest := time.Duration(0)
	for now := step; now < 10*time.Minute; now += step {
		for k, v := range views {
			for m := range s.Members() {
				longest = max(longest, v.silent(m, now))
			}
			if (now+phase[k])%interval != 0 {
				continue
			}
			for _, m := range v.Asks(now, int((now+phase[k])/interval), 1) {
				v.Reply(now, views[m.Joined-1].Digest(now))
			}
			assert.Equal(t, len(v.Suspects(now)), 0, "at %v", now)
		}
	}
	t.Logf("longest silence %v", longest)
	assert.Assert(t, longest < Suspicion)
}
