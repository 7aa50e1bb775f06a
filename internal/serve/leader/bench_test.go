package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
)

// BenchmarkSweep measures the sweep over all runs, which is made five times a second.
func BenchmarkSweep(b *testing.B) {
	l := &Leader{
		Deps: Deps{Orders: &orders.Orders{}, Log: zerolog.Nop(), Meters: NewMeters(tally.NoopScope)}, tracker: track.New(0),
		members: map[string]*member{}, runtimeRatios: map[string]*runtimeRatio{}, planDue: map[string]bool{}, now: time.Minute,
	}
	for i := range 350 {
		key := fmt.Sprint(i)
		l.members[key] = &member{Member: execs.Member{Key: key, Contact: execs.Live, Slowness: 1}, clockAt: l.now}
		step := model.Step{Count: 30, Estimate: time.Second, WritesCheckpoints: i%2 == 1}
		j := l.tracker.Accept(key, model.Queue{Service: "s", Attempts: 2}, model.JobSpec{Repeats: 1, Steps: []model.Step{step}}, 0, 0)
		for _, task := range j.Open[0].Steps[0].Tasks {
			l.tracker.ConfirmRun(l.tracker.BeginRun(task, key, 0, l.now), l.now)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		l.retryStops()
	}
}
