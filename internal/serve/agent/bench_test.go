package agent

import (
	"context"
	"fmt"
	"runtime/pprof"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// benchSpec is as long as the specification of an average job.
var benchSpec = fmt.Sprintf("%01200d", 0)

// Measures a leader with its calls under a steady load of jobs of 12 tasks. A profile of
// what belongs to the entry, without the stand-ins, is printed by
// go test -run xxx -bench Leader/300 -benchtime 600x -cpuprofile F and
// go tool pprof -tagfocus part=entry F.
func BenchmarkLeader(b *testing.B) {
	for _, executors := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) { benchLeader(b, executors) })
	}
}

func benchLeader(b *testing.B, executors int) {
	const perSecond = 60
	r := &rig{t: &testing.T{}, log: &lines{}, world: fake.NewWorld(map[string]int{"pool-a": executors})}
	defer r.world.Close()
	r.world.Plan = func(string, string) fake.RunEnd { return fake.RunEnd{After: 600 * time.Millisecond, How: "done"} }
	r.configure("")
	ps := ports(r.t, 3)
	r.sets = append(r.sets, r.world.Settings("entry-0", ps[0], ps[1], ps[2]))
	r.entries = append(r.entries, nil)
	pprof.Do(context.Background(), pprof.Labels("part", "entry"), func(context.Context) { r.start(0) })
	defer r.kill(r.entries[0])
	r.until("an entry leads", func() bool { return r.leader() >= 0 && r.entries[0].Config() != nil })
	a := r.entries[0]
	q := a.Config().Queue("qa")
	body := fmt.Appendf(nil, `{"spec":"%s","phases":[{"count":8,"cpu":3000,"mem_mb":64,"estimate_ms":600},{"count":4,"cpu":3000,"mem_mb":64,"estimate_ms":600,"after":[0]}]}`, benchSpec)
	b.ResetTimer()
	var all sync.WaitGroup
	ticks := time.NewTicker(time.Second / perSecond)
	defer ticks.Stop()
	for n := range b.N {
		<-ticks.C
		id := fmt.Sprintf("%016x", n+1)
		all.Go(func() {
			ans := a.Submit(context.Background(), relay.Submission{ID: id, Queue: "qa", Body: body}, q)
			assert.Check(b, ans.Verdict == relay.Taken)
		})
	}
	all.Wait()
	r.until("all jobs are complete", func() bool {
		for n := range b.N {
			if s, ok := a.Query(context.Background(), fmt.Sprintf("%016x", n+1)); !ok || s != model.Complete {
				return false
			}
		}
		return true
	})
}
