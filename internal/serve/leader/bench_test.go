package leader

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/scale"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
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

// storedBodies are bodies of an ordinary job and of the largest ones.
var storedBodies = []struct{ name, body string }{
	{"8 tasks", `{"phases":[{"count":8,"cpu":2000,"estimate_ms":400}]}`},
	{"100000 tasks", `{"phases":[{"count":100000,"cpu":1}]}`},
	{"20000 steps of 5 tasks", `{"phases":[` + strings.Repeat(`{"count":5},`, 19_999) + `{"count":5}]}`},
}

// BenchmarkJobStored measures how long the control goroutine takes for a job that was stored.
func BenchmarkJobStored(b *testing.B) {
	for _, c := range storedBodies {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				l := &Leader{
					Deps: Deps{Orders: &orders.Orders{}, Log: zerolog.Nop(), Meters: NewMeters(tally.NoopScope)}, tracker: track.New(0), planDue: map[string]bool{},
				}
				l.fleet.arrivals = map[string]*scale.Arrivals{}
				ev := &submitRequest{Submission: relay.Submission{ID: "x", Body: []byte(c.body)}, settings: model.Queue{Service: "s"}, reply: make(chan relay.Answer, 1)}
				p := prepareJob(l.tracker, ev)
				b.StartTimer()
				l.onJobStored(ev, p)
				if a := <-ev.reply; a.Verdict != relay.Stored {
					b.Fatal(a)
				}
			}
		})
	}
}

// BenchmarkPrepareJob measures the decoding of the body and the building of the tasks, which other goroutines do.
func BenchmarkPrepareJob(b *testing.B) {
	for _, c := range storedBodies {
		b.Run(c.name, func(b *testing.B) {
			tr, ev := track.New(0), &submitRequest{Submission: relay.Submission{ID: "x", Body: []byte(c.body)}}
			b.ReportAllocs()
			for b.Loop() {
				if p := prepareJob(tr, ev); p.err != nil {
					b.Fatal(p.err)
				}
			}
		})
	}
}
