package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// newAccounts returns a configuration with limited accounts, and a step of each that may run two tasks.
func newAccounts(n int) (*model.Config, []*track.Step) {
	c, tr := model.Config{}, track.New(0)
	var steps []*track.Step
	for i := range n {
		name := fmt.Sprintf("account-%04d", i)
		c.Accounts = append(c.Accounts, model.Account{Name: name, Limit: cores(2)})
		j := tr.Accept(name, model.Queue{Name: "q"}, model.JobSpec{Repeats: 1, Account: name, Steps: []model.Step{{Count: 3, Need: cores(1)}}}, 0, 0)
		steps = append(steps, j.Open[0].Steps[0])
	}
	return c.Indexed(), steps
}

// BenchmarkStart measures the decision about one start and the count of its run and its end, with a task
// of another account each time.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{20, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, steps := newAccounts(n)
			ledger := &Ledger{}
			round := ledger.Begin(c, "s", 0)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				s := steps[i%n]
				i++
				if !round.Fits(s) {
					b.Fatal("not within the limit")
				}
				round.Take(s)
				round.End()
				ledger.RunBegins(s)
				ledger.RunEnded(s)
			}
		})
	}
}

// BenchmarkRefusal measures the decision about a task whose account is at its limit.
func BenchmarkRefusal(b *testing.B) {
	for _, n := range []int{20, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, steps := newAccounts(n)
			ledger := &Ledger{}
			for _, s := range steps {
				ledger.RunBegins(s)
				ledger.RunBegins(s)
			}
			round := ledger.Begin(c, "s", 0)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if round.Fits(steps[i%n]) {
					b.Fatal("above the limit")
				}
				i++
			}
		})
	}
}

// BenchmarkMemory measures the bytes of the ledger for each account, with one service that its tasks wait
// for.
func BenchmarkMemory(b *testing.B) {
	const n = 2000
	c, steps := newAccounts(n)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		ledger := &Ledger{}
		for _, s := range steps {
			ledger.RunBegins(s)
			ledger.RunBegins(s)
			ledger.Begin(c, "s", 0).Fits(s)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(ledger)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/account")
}

// BenchmarkBegin measures the begin of a round of one of 20 services while each account has room reserved for
// a gang of 100 tasks.
func BenchmarkBegin(b *testing.B) {
	for _, n := range []int{20, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, tr, ledger := model.Config{}, track.New(0), &Ledger{}
			for i := range n {
				c.Accounts = append(c.Accounts, model.Account{Name: fmt.Sprint(i), Limit: cores(100)})
			}
			config := c.Indexed()
			for _, a := range config.Accounts {
				gang := model.Step{Count: 100, Need: cores(1), Gang: true}
				j := tr.Accept(a.Name, model.Queue{Name: "q"}, model.JobSpec{Repeats: 1, Account: a.Name, Steps: []model.Step{gang}}, 0, 0)
				ledger.Charge(a.Name, cores(1))
				if ledger.Begin(config, "s", 0).Fits(j.Open[0].Steps[0]) {
					b.Fatal("within the limit")
				}
			}
			b.ReportAllocs()
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				if i%20 == 0 {
					now++
				}
				ledger.Begin(config, "s", now)
			}
		})
	}
}
