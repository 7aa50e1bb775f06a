package plans

import (
	"context"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/place"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
)

const (
	// workersInterval is how often the workers are listed.
	workersInterval = 500 * time.Millisecond
	// freshness is the age of a report from which a worker gets no new job.
	freshness = 10 * time.Second
	// taskLease is how long a worker holds a task without a report. It is well above
	// freshness, so that no new job is placed on a worker whose leases lapse.
	taskLease = 30 * time.Second
)

// seenWorker is the last report of a worker.
type seenWorker struct {
	ports.Worker
	// reported is when the worker made the report.
	reported time.Duration
	tasks    map[string]*ports.Task
}

// workerWatch is what the planner knows about workers.
type workerWatch struct {
	// known is set once the list was read.
	known bool
	asked time.Duration
	// read is when the last list was asked for that was received.
	read time.Duration
	busy bool
	// news is set if the list was received since the last step.
	news bool
	seen map[string]*seenWorker
	// put holds what the placer knows.
	put map[string]place.Worker
	// draining holds the workers that are under a grant and will reboot.
	draining map[string]bool
}

func newWorkerWatch() workerWatch {
	return workerWatch{
		asked: -time.Hour,
		seen:  map[string]*seenWorker{},
		put:   map[string]place.Worker{},

		draining: map[string]bool{},
	}
}

// readWorkers lists the workers in the background.
func (p *Planner) readWorkers(ctx context.Context, now time.Duration) {
	w := p.jobs
	if w.workers.busy || now-w.workers.asked < workersInterval {
		return
	}
	w.workers.busy = true
	w.workers.asked = now
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		list, err := p.Workers.Workers(ctx)
		w.done <- func(time.Duration) {
			w.workers.busy = false
			if err != nil {
				p.Scope.Counter("workers_failed").Inc(1)
				return
			}
			w.receive(now, list)
		}
	}()
}

// receive takes in a list that was asked for at a time. A worker that is not listed
// any more keeps its last report, which ages.
func (w *jobWatch) receive(asked time.Duration, list []ports.Worker) {
	w.workers.known, w.workers.news = true, true
	w.workers.read = asked
	for _, l := range list {
		s := &seenWorker{Worker: l, reported: asked - l.Age, tasks: make(map[string]*ports.Task, len(l.Tasks))}
		for i := range l.Tasks {
			// An ended task of an older placement may be listed beside the newer one.
			t := &l.Tasks[i]
			if o := s.tasks[t.Job]; o == nil || o.Token < t.Token {
				s.tasks[t.Job] = t
			}
		}
		w.workers.seen[l.Name] = s
	}
	for name, s := range w.workers.seen {
		_, put := w.workers.put[name]
		if !put && asked-s.reported > 2*taskLease {
			// All placements there have been given up.
			delete(w.workers.seen, name)
		}
	}
	for _, h := range w.active {
		w.measure(h)
	}
}

// measure passes the reported use of a job to the placer.
func (w *jobWatch) measure(h *heldJob) {
	s := w.workers.seen[h.worker]
	if h.mode != running || !h.task.inside || s == nil {
		return
	}
	t := s.tasks[h.job.Name]
	if t == nil || t.Token != h.token || t.Phase != ports.TaskRunning {
		return
	}
	// A report about a placement that the placer does not know is of no use.
	_ = w.placer.Report(place.Usage{Job: h.job.Name, Token: h.token, Used: place.Amount(t.Used), At: s.reported})
}

// silent returns the age of a worker's last report when the list was last read. The
// time since then does not count, because the list may be unavailable to the planner
// only. A worker that was never listed is silent since it was first asked for.
func (w *jobWatch) silent(name string) time.Duration {
	s := w.workers.seen[name]
	if s == nil {
		s = &seenWorker{Worker: ports.Worker{Name: name}, reported: w.workers.read}
		w.workers.seen[name] = s
	}
	return w.workers.read - s.reported
}

// syncWorkers brings the placer up to date with the workers. Only registered instances
// are workers, and one takes new jobs only while it is available and not under a
// grant. One that was removed is kept until its tasks have ended.
func (w *jobWatch) syncWorkers(now time.Duration, st *state.State) {
	clear(w.workers.draining)
	for name, s := range w.workers.seen {
		i, ok := st.Instance(name)
		if ok && i.Grant != nil && i.Grant.Target == "" {
			w.workers.draining[name] = true
		}
		old, put := w.workers.put[name]
		if !ok && put && !w.used(name) {
			w.placer.DropWorker(now, name)
			delete(w.workers.put, name)
			w.fleet++
			continue
		}
		if !ok && !put || s.Size == (ports.Size{}) {
			continue
		}
		n := place.Worker{
			Name:   name,
			Size:   place.Amount(s.Size),
			Closed: !ok || !i.Available() || i.Grant != nil || w.silent(name) > freshness,
		}
		if old == n {
			continue
		}
		w.workers.put[name] = n
		w.placer.PutWorker(n)
		if old.Size != n.Size {
			w.fleet++
		}
	}
}

// used says whether a worker has a placement or an offer.
func (w *jobWatch) used(name string) bool {
	for _, h := range w.active {
		if h.worker == name && h.mode != dropped {
			return true
		}
	}
	return false
}

// loseSilent gives up the placements on workers whose leases have lapsed.
func (w *jobWatch) loseSilent(now time.Duration) {
	var names []string
	for _, h := range w.active {
		if h.mode == running && !h.task.over && now-h.task.since > taskLease && w.silent(h.worker) > taskLease {
			names = append(names, h.worker)
		}
	}
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		w.lose(now, n)
	}
}

// lose gives up all placements on a worker. Idempotent jobs are placed again, and
// the token of the next placement fences off the present one. The others may have
// run and end as failed.
func (w *jobWatch) lose(now time.Duration, worker string) {
	for _, h := range w.active {
		if h.mode == offered && h.worker == worker {
			w.placer.Reject(h.job.Name)
			w.set(h, waiting)
		}
	}
	w.placer.Lost(now, worker)
	if n, ok := w.workers.put[worker]; ok {
		n.Closed = true
		w.workers.put[worker] = n
	}
	for _, h := range w.active {
		if h.mode != running || h.worker != worker || h.task.over {
			continue
		}
		inside := h.task.inside
		h.task.inside = false
		if h.job.Idempotent && h.job.Phase == state.Placed && inside {
			w.set(h, waiting)
			continue
		}
		h.task.end(place.Stopped)
	}
}

// dropJobs forgets the placement of jobs when this entry is no longer the planner.
func (p *Planner) dropJobs() {
	if p.jobs == nil {
		return
	}
	p.jobs = nil
	p.showUnfit(0)
}

// showUnfit shows the number of queued jobs that fit no worker or quota.
func (p *Planner) showUnfit(n int) { p.Scope.Gauge("jobs_unfit").Update(float64(n)) }
