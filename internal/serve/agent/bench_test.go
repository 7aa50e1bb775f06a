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

// benchSpec has the length of an average job's specification.
var benchSpec = fmt.Sprintf("%01200d", 0)

// BenchmarkLeader measures a leader under a steady load of jobs of 12 tasks, with three more
// entries that can make its calls. These commands print a profile of the leader without the
// stand-ins and the other entries:
//
//	go test -run xxx -bench Leader/300 -benchtime 600x -cpuprofile F
//	go tool pprof -tagfocus part=entry F
func BenchmarkLeader(b *testing.B) {
	for _, executors := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) { benchLeader(b, executors) })
	}
}

func benchLeader(b *testing.B, executors int) {
	const perSecond, entries = 100, 4
	r := &rig{t: &testing.T{}, log: &logBuffer{}, platform: fake.NewPlatform(map[string]int{"pool-a": executors})}
	defer r.platform.Close()
	r.platform.Plan = func(string, string) fake.RunPlan {
		return fake.RunPlan{Duration: 600 * time.Millisecond, Result: "done"}
	}
	r.configure("")
	ps := freePorts(r.t, 3*entries)
	for i := range entries {
		r.settings = append(r.settings, r.platform.Settings(fmt.Sprint("entry-", i), ps[3*i], ps[3*i+1], ps[3*i+2]))
		r.entries = append(r.entries, nil)
		part := "entry"
		if i > 0 {
			part = "others"
		}
		pprof.Do(context.Background(), pprof.Labels("part", part), func(context.Context) { r.start(i) })
		defer r.kill(r.entries[i])
		r.until("the first entry leads", func() bool { return r.leader() == 0 && r.entries[0].Config() != nil })
	}
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
			assert.Check(b, ans.Verdict == relay.Stored)
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
