package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newFullPlacer returns a placer with 200 teams, a full fleet and n queued jobs, the
// running jobs in the order of their tokens from 1, and a function that makes further jobs.
func newFullPlacer(workers, accelerators, n int) (*Placer, []Start, func(int) Job) {
	rnd := rand.New(rand.NewPCG(5, 5))
	p := New()
	for i := range 200 {
		p.PutTeam(Team{fmt.Sprint(i), 1, Amount{1 << 40, 1 << 60, 1 << 20}})
	}
	for i := range workers {
		size := cores(64)
		if i < accelerators/8 {
			size.Accelerators = 8
		}
		p.PutWorker(Worker{Name: fmt.Sprintf("w%04d", i), Size: size})
	}
	make := func(i int) Job {
		j := Job{Name: fmt.Sprint(i), Team: fmt.Sprint(rnd.IntN(200)), Kind: fmt.Sprint(rnd.IntN(4)), Length: time.Minute, Urgency: Normal, Idempotent: true}
		j.Need = cores(1 + int64(rnd.IntN(16)))
		if rnd.IntN(8) == 0 && accelerators > 0 {
			j.Need.Accelerators = 1 << rnd.IntN(3)
		}
		return j
	}
	var started []Start
	k := 0
	for ; len(started) < workers*12 && k < workers*12+n; k++ {
		_ = p.Submit(make(k))
		for a := p.Next(0); a != nil; a = p.Next(0) {
			started = append(started, *a.(*Start))
			_ = p.Confirm(0, started[len(started)-1].Job, uint64(len(started)))
		}
	}
	for q := len(p.jobs) - len(started); q < n; q++ {
		k++
		_ = p.Submit(make(k))
	}
	return p, started, func(i int) Job { return make(k + 1 + i) }
}

// BenchmarkPlace ends one job, submits one and places those that fit, on a full fleet.
func BenchmarkPlace(b *testing.B) {
	for _, w := range []struct{ workers, accelerators int }{{50, 0}, {1500, 1800}} {
		for _, n := range []int{1000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("workers=%d/queue=%d", w.workers, n), func(b *testing.B) {
				p, started, make := newFullPlacer(w.workers, w.accelerators, n)
				rnd := rand.New(rand.NewPCG(5, 6))
				token, placed, i := uint64(1<<32), 0, 0
				tokens := map[string]uint64{}
				for k, s := range started {
					tokens[s.Job] = uint64(k + 1)
				}
				for b.Loop() {
					k := rnd.IntN(len(started))
					_ = p.ReportResult(0, started[k].Job, tokens[started[k].Job], Done)
					delete(tokens, started[k].Job)
					started[k] = started[len(started)-1]
					started = started[:len(started)-1]
					_ = p.Submit(make(i))
					i++
					for a := p.Next(0); a != nil; a = p.Next(0) {
						s := a.(*Start)
						token++
						placed++
						_ = p.Confirm(0, s.Job, token)
						tokens[s.Job] = token
						started = append(started, *s)
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(placed, 1)), "ns/placement")
			})
		}
	}
}

// BenchmarkBaseline ends one job and places the first that fits by a full scan.
func BenchmarkBaseline(b *testing.B) {
	for _, w := range []struct{ workers, accelerators int }{{50, 0}, {1500, 1800}} {
		for _, n := range []int{1000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("workers=%d/queue=%d", w.workers, n), func(b *testing.B) {
				p, _, make := newFullPlacer(w.workers, w.accelerators, 0)
				f := &baseline{}
				for _, x := range p.fillOrder {
					f.free = append(f.free, x.Size)
				}
				for i := range n + 12*w.workers {
					f.queue = append(f.queue, make(i))
				}
				type at struct {
					j Job
					w int
				}
				var started []at
				for j, w := f.next(); w >= 0 && len(f.queue) > n; j, w = f.next() {
					started = append(started, at{j, w})
				}
				rnd := rand.New(rand.NewPCG(5, 6))
				i := 0
				for b.Loop() {
					k := rnd.IntN(len(started))
					f.finish(started[k].j, started[k].w)
					started[k] = started[len(started)-1]
					started = started[:len(started)-1]
					i++
					f.queue = append(f.queue, make(1<<30+i))
					if j, w := f.next(); w >= 0 {
						started = append(started, at{j, w})
					}
				}
			})
		}
	}
}

// BenchmarkCancel cancels one of 100,000 queued jobs.
func BenchmarkCancel(b *testing.B) {
	p, _, make := newFullPlacer(50, 0, 100_000)
	i := 0
	for b.Loop() {
		j := make(i)
		i++
		_ = p.Submit(j)
		p.Cancel(j.Name)
	}
}
