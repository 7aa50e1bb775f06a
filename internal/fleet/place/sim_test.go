package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const gb = 1 << 30

// rig is a simulated fleet: it runs jobs, answers asks after 300 ms and reports use.
type rig struct {
	now    time.Duration
	rnd    *rand.Rand
	p      *Placer
	jobs   map[string]Job
	length map[string]time.Duration // true run time
	use    float64                  // true use relative to the declared need
	runs   map[string]*execution
	token  uint64
	sent   map[string]time.Duration
	start  map[string]time.Duration
	ends   map[string]Reason
	locked []string
	broken map[string]bool // workers that fail everything
	deaf   map[string]bool // workers that answer no asks
	poison map[string]bool // jobs that fail everywhere
	starts int
	work   float64 // core-seconds used
}

type execution struct {
	worker  string
	token   uint64
	end     time.Duration
	outcome Outcome
	report  time.Duration
	halved  time.Duration
}

func newRig(workers int, size Amount) *rig {
	r := &rig{rnd: rand.New(rand.NewPCG(3, 3)), p: New(), use: 1, jobs: map[string]Job{}, length: map[string]time.Duration{},
		runs: map[string]*execution{}, sent: map[string]time.Duration{}, start: map[string]time.Duration{},
		ends: map[string]Reason{}, broken: map[string]bool{}, deaf: map[string]bool{}, poison: map[string]bool{}}
	for i := range workers {
		r.p.PutWorker(Worker{Name: fmt.Sprintf("w%04d", i), Size: size})
	}
	for i := range 4 {
		r.p.PutTeam(Team{Name: fmt.Sprint(i), Weight: 1, Quota: Amount{1 << 40, 1 << 60, 1 << 20}})
	}
	return r
}

func (r *rig) submit(j Job, length time.Duration) error {
	r.jobs[j.Name], r.length[j.Name], r.sent[j.Name] = j, length, r.now
	return r.p.Submit(j)
}

// run advances the fleet in steps of 100 ms.
func (r *rig) run(d time.Duration, each func()) {
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
			r.execute(n, r.runs[n])
		}
		for a := r.p.Next(r.now); a != nil; a = r.p.Next(r.now) {
			r.act(a)
		}
	}
}

func (r *rig) execute(n string, x *execution) {
	j := r.jobs[n]
	r.work += r.use * float64(j.Need.Cores) / 1000 * 0.1
	if x.halved > 0 && r.now >= x.halved {
		x.halved = 0
		_ = r.p.Throttled(n, x.token)
	}
	if r.now >= x.report {
		x.report = r.now + time.Second
		u := Amount{int64(r.use * float64(j.Need.Cores)), int64(r.use * float64(j.Need.Memory)), 0}
		_ = r.p.Report(Usage{n, x.token, u, r.now - 500*time.Millisecond})
	}
	if r.now >= x.end {
		delete(r.runs, n)
		_ = r.p.Result(r.now, n, x.token, x.outcome)
	}
}

func (r *rig) act(a Action) {
	switch a := a.(type) {
	case *Start:
		r.token++
		if r.p.Confirm(r.now, a.Job, r.token) != nil {
			return
		}
		r.starts++
		if _, ok := r.start[a.Job]; !ok {
			r.start[a.Job] = r.now
		}
		x := &execution{worker: a.Worker, token: r.token, end: r.now + r.length[a.Job], report: r.now + time.Second}
		if r.broken[a.Worker] || r.poison[a.Job] {
			x.end, x.outcome = r.now+time.Second, Failed
		}
		r.runs[a.Job] = x
	case *Ask:
		x := r.runs[a.Job]
		switch {
		case x == nil || r.deaf[x.worker]:
		case a.Means == Throttle:
			x.halved = r.now + 300*time.Millisecond
		case a.Means == Checkpoint:
			x.end, x.outcome = r.now+300*time.Millisecond, Paused
		case a.Means == Stop:
			x.end, x.outcome = r.now+300*time.Millisecond, Stopped
		}
	case *Ended:
		r.ends[a.Job] = a.Reason
	case *Quarantine:
		r.locked = append(r.locked, a.Worker)
	}
}

// naive is first fit over a full scan of workers, first in first out, by declared needs.
type naive struct {
	queue []Job
	free  []Amount
}

func (n *naive) next() (Job, int) {
	for q, j := range n.queue {
		for w := range n.free {
			if j.Need.within(n.free[w]) {
				n.free[w] = n.free[w].minus(j.Need)
				n.queue = slices.Delete(n.queue, q, q+1)
				return j, w
			}
		}
	}
	return Job{}, -1
}

// naiveWaits returns the sorted waits of the urgent jobs of TestUrgentStarts.
func naiveWaits(workers, morning int) []time.Duration {
	type run struct {
		j Job
		w int
	}
	f := &naive{}
	for range workers {
		f.free = append(f.free, cores(32))
	}
	for range morning {
		f.queue = append(f.queue, Job{Need: cores(4), Length: time.Minute, Urgency: Morning})
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

// finish gives the resources of a job back.
func (n *naive) finish(j Job, w int) { n.free[w] = n.free[w].plus(j.Need) }
