package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const gb = 1 << 30

// sim is a simulated fleet: it runs jobs, executes commands after 300 ms and reports usage.
type sim struct {
	now          time.Duration
	rnd          *rand.Rand
	p            *Placer
	jobs         map[string]Job
	runTime      map[string]time.Duration // true run time
	useFactor    float64                  // true use relative to the declared need
	runs         map[string]*execution
	token        uint64
	submittedAt  map[string]time.Duration
	startedAt    map[string]time.Duration
	ends         map[string]Reason
	quarantined  []string
	broken       map[string]bool // workers that fail everything
	unresponsive map[string]bool // workers that ignore commands
	alwaysFails  map[string]bool // jobs that fail everywhere
	starts       int
	coreSeconds  float64 // core-seconds used
}

type execution struct {
	worker      string
	token       uint64
	end         time.Duration
	outcome     Outcome
	reportAt    time.Duration
	throttledAt time.Duration
}

func newSim(workers int, size Amount) *sim {
	r := &sim{rnd: rand.New(rand.NewPCG(3, 3)), p: New(), useFactor: 1, jobs: map[string]Job{}, runTime: map[string]time.Duration{},
		runs: map[string]*execution{}, submittedAt: map[string]time.Duration{}, startedAt: map[string]time.Duration{},
		ends: map[string]Reason{}, broken: map[string]bool{}, unresponsive: map[string]bool{}, alwaysFails: map[string]bool{}}
	for i := range workers {
		r.p.PutWorker(Worker{Name: fmt.Sprintf("w%04d", i), Size: size})
	}
	for i := range 4 {
		r.p.PutTeam(Team{Name: fmt.Sprint(i), Weight: 1, Quota: Amount{1 << 40, 1 << 60, 1 << 20}})
	}
	return r
}

func (r *sim) submit(j Job, length time.Duration) error {
	r.jobs[j.Name], r.runTime[j.Name], r.submittedAt[j.Name] = j, length, r.now
	return r.p.Submit(j)
}

// run advances the fleet by d in steps of 100 ms. It calls each, if given, before each step.
func (r *sim) run(d time.Duration, each func()) {
	for end := r.now + d; r.now < end; r.now += 100 * time.Millisecond {
		if each != nil {
			each()
		}
		names := make([]string, 0, len(r.runs))
		for n := range r.runs {
			names = append(names, n)
		}
		slices.Sort(names)
		for _, n := range names {
			r.advance(n, r.runs[n])
		}
		for a := r.p.Next(r.now); a != nil; a = r.p.Next(r.now) {
			r.handle(a)
		}
	}
}

func (r *sim) advance(n string, x *execution) {
	j := r.jobs[n]
	r.coreSeconds += r.useFactor * float64(j.Need.Cores) / 1000 * 0.1
	if x.throttledAt > 0 && r.now >= x.throttledAt {
		x.throttledAt = 0
		_ = r.p.ReportThrottled(n, x.token)
	}
	if r.now >= x.reportAt {
		x.reportAt = r.now + time.Second
		u := Amount{int64(r.useFactor * float64(j.Need.Cores)), int64(r.useFactor * float64(j.Need.Memory)), 0}
		_ = r.p.ReportUsage(Usage{n, x.token, u, r.now - 500*time.Millisecond})
	}
	if r.now >= x.end {
		delete(r.runs, n)
		_ = r.p.ReportResult(r.now, n, x.token, x.outcome)
	}
}

func (r *sim) handle(a Action) {
	switch a := a.(type) {
	case *Start:
		r.token++
		if r.p.Confirm(r.now, a.Job, r.token) != nil {
			return
		}
		r.starts++
		if _, ok := r.startedAt[a.Job]; !ok {
			r.startedAt[a.Job] = r.now
		}
		x := &execution{worker: a.Worker, token: r.token, end: r.now + r.runTime[a.Job], reportAt: r.now + time.Second}
		if r.broken[a.Worker] || r.alwaysFails[a.Job] {
			x.end, x.outcome = r.now+time.Second, Failed
		}
		r.runs[a.Job] = x
	case *Command:
		x := r.runs[a.Job]
		switch {
		case x == nil || r.unresponsive[x.worker]:
		case a.Kind == Throttle:
			x.throttledAt = r.now + 300*time.Millisecond
		case a.Kind == Checkpoint:
			x.end, x.outcome = r.now+300*time.Millisecond, Paused
		case a.Kind == Stop:
			x.end, x.outcome = r.now+300*time.Millisecond, Stopped
		}
	case *Ended:
		r.ends[a.Job] = a.Reason
	case *Quarantine:
		r.quarantined = append(r.quarantined, a.Worker)
	}
}

// baseline places jobs first in, first out, on the first worker that fits by declared
// needs, with a full scan.
type baseline struct {
	queue []Job
	free  []Amount
}

func (n *baseline) next() (Job, int) {
	for q, j := range n.queue {
		for w := range n.free {
			if j.Need.fitsIn(n.free[w]) {
				n.free[w] = n.free[w].minus(j.Need)
				n.queue = slices.Delete(n.queue, q, q+1)
				return j, w
			}
		}
	}
	return Job{}, -1
}

// baselineWaits returns the sorted waits of the urgent jobs of TestUrgentStarts under the
// baseline policy.
func baselineWaits(workers, morning int) []time.Duration {
	type run struct {
		j Job
		w int
	}
	f := &baseline{}
	for range workers {
		f.free = append(f.free, cores(32))
	}
	for range morning {
		f.queue = append(f.queue, Job{Need: cores(4), Length: time.Minute, Urgency: Deferrable})
	}
	ends := map[time.Duration][]run{}
	var waits []time.Duration
	for now := time.Duration(0); len(waits) < 1200; now += 100 * time.Millisecond {
		for i := 0; i < 2 && now >= 10*time.Second && now < 70*time.Second; i++ {
			f.queue = append(f.queue, Job{Need: cores(8), Length: 2 * time.Second, Deadline: now})
		}
		for _, r := range ends[now] {
			f.finish(r.j, r.w)
		}
		for j, w := f.next(); w >= 0; j, w = f.next() {
			ends[now+j.Length] = append(ends[now+j.Length], run{j, w})
			if j.Urgency == Urgent {
				waits = append(waits, now-j.Deadline)
			}
		}
	}
	slices.Sort(waits)
	return waits
}

// finish frees the resources of a job.
func (n *baseline) finish(j Job, w int) { n.free[w] = n.free[w].plus(j.Need) }
