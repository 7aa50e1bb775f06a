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
	s := &sim{rnd: rand.New(rand.NewPCG(3, 3)), p: New(), useFactor: 1, jobs: map[string]Job{}, runTime: map[string]time.Duration{},
		runs: map[string]*execution{}, submittedAt: map[string]time.Duration{}, startedAt: map[string]time.Duration{},
		ends: map[string]Reason{}, broken: map[string]bool{}, unresponsive: map[string]bool{}, alwaysFails: map[string]bool{}}
	for i := range workers {
		s.p.PutWorker(Worker{Name: fmt.Sprintf("w%04d", i), Size: size})
	}
	for i := range 4 {
		s.p.PutTeam(Team{Name: fmt.Sprint(i), Weight: 1, Quota: Amount{1 << 40, 1 << 60, 1 << 20}})
	}
	return s
}

func (s *sim) submit(j Job, length time.Duration) error {
	s.jobs[j.Name], s.runTime[j.Name], s.submittedAt[j.Name] = j, length, s.now
	return s.p.Submit(j)
}

// run advances the fleet by d in steps of 100 ms. It calls each, if given, before each step.
func (s *sim) run(d time.Duration, each func()) {
	for end := s.now + d; s.now < end; s.now += 100 * time.Millisecond {
		if each != nil {
			each()
		}
		names := make([]string, 0, len(s.runs))
		for n := range s.runs {
			names = append(names, n)
		}
		slices.Sort(names)
		for _, n := range names {
			s.advance(n, s.runs[n])
		}
		for a := s.p.Next(s.now); a != nil; a = s.p.Next(s.now) {
			s.handle(a)
		}
	}
}

func (s *sim) advance(n string, x *execution) {
	j := s.jobs[n]
	s.coreSeconds += s.useFactor * float64(j.Need.Cores) / 1000 * 0.1
	if x.throttledAt > 0 && s.now >= x.throttledAt {
		x.throttledAt = 0
		_ = s.p.ReportThrottled(n, x.token)
	}
	if s.now >= x.reportAt {
		x.reportAt = s.now + time.Second
		u := Amount{int64(s.useFactor * float64(j.Need.Cores)), int64(s.useFactor * float64(j.Need.Memory)), 0}
		_ = s.p.ReportUsage(Usage{n, x.token, u, s.now - 500*time.Millisecond})
	}
	if s.now >= x.end {
		delete(s.runs, n)
		_ = s.p.ReportResult(s.now, n, x.token, x.outcome)
	}
}

func (s *sim) handle(a Action) {
	switch a := a.(type) {
	case *Start:
		s.token++
		if s.p.Confirm(s.now, a.Job, s.token) != nil {
			return
		}
		s.starts++
		if _, ok := s.startedAt[a.Job]; !ok {
			s.startedAt[a.Job] = s.now
		}
		x := &execution{worker: a.Worker, token: s.token, end: s.now + s.runTime[a.Job], reportAt: s.now + time.Second}
		if s.broken[a.Worker] || s.alwaysFails[a.Job] {
			x.end, x.outcome = s.now+time.Second, Failed
		}
		s.runs[a.Job] = x
	case *Command:
		x := s.runs[a.Job]
		switch {
		case x == nil || s.unresponsive[x.worker]:
		case a.Kind == Throttle:
			x.throttledAt = s.now + 300*time.Millisecond
		case a.Kind == Checkpoint:
			x.end, x.outcome = s.now+300*time.Millisecond, Paused
		case a.Kind == Stop:
			x.end, x.outcome = s.now+300*time.Millisecond, Stopped
		}
	case *Ended:
		s.ends[a.Job] = a.Reason
	case *Quarantine:
		s.quarantined = append(s.quarantined, a.Worker)
	}
}

// baseline places jobs first in, first out, on the first worker that fits by declared
// needs, with a full scan.
type baseline struct {
	queue []Job
	free  []Amount
}

func (b *baseline) next() (Job, int) {
	for q, j := range b.queue {
		for w := range b.free {
			if j.Need.fitsIn(b.free[w]) {
				b.free[w] = b.free[w].minus(j.Need)
				b.queue = slices.Delete(b.queue, q, q+1)
				return j, w
			}
		}
	}
	return Job{}, -1
}

// baselineWaits returns the sorted waits of the urgent jobs of TestUrgentStarts under the
// baseline policy.
func baselineWaits(workers, deferrableJobs int) []time.Duration {
	type run struct {
		j Job
		w int
	}
	f := &baseline{}
	for range workers {
		f.free = append(f.free, cores(32))
	}
	for range deferrableJobs {
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
func (b *baseline) finish(j Job, w int) { b.free[w] = b.free[w].plus(j.Need) }
