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
	// workersInterval is the time between two listings of the workers.
	workersInterval = 500 * time.Millisecond
	// maxReportAge is the age of a report above which a worker gets no new jobs and no calls.
	maxReportAge = 10 * time.Second
	// taskLease is how long a worker keeps a task without contact. It is well above maxReportAge,
	// so that no new job is placed on a worker whose leases are about to lapse.
	taskLease = 30 * time.Second
)

// workerReport is the last report of a worker.
type workerReport struct {
	ports.Worker
	// reportedAt is when the worker made the report.
	reportedAt time.Duration
	tasks      map[string]*ports.Task
}

// workerTracker is what the planner knows about workers.
type workerTracker struct {
	// listed is set once a list was received.
	listed  bool
	askedAt time.Duration
	// readAt is the time of the request that returned the last list.
	readAt  time.Duration
	listing bool
	// updated is set if a list was received since the last step.
	updated bool
	reports map[string]*workerReport
	// placerWorkers holds the workers as the placer knows them.
	placerWorkers map[string]place.Worker
	// draining holds the workers that are under a grant and will reboot.
	draining map[string]bool
}

func newWorkerTracker() workerTracker {
	return workerTracker{
		askedAt:       -time.Hour,
		reports:       map[string]*workerReport{},
		placerWorkers: map[string]place.Worker{},

		draining: map[string]bool{},
	}
}

// readWorkers lists the workers in the background.
func (p *Planner) readWorkers(ctx context.Context, now time.Duration) {
	w := p.jobs
	if w.workers.listing || now-w.workers.askedAt < workersInterval {
		return
	}
	w.workers.listing = true
	w.workers.askedAt = now
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		list, err := p.Workers.Workers(ctx)
		w.callbacks <- func(time.Duration) {
			w.workers.listing = false
			if err != nil {
				p.Scope.Counter("workers_failed").Inc(1)
				return
			}
			w.receiveList(now, list)
		}
	}()
}

// receiveList processes a list that was requested at the given time. A worker that is no longer
// listed keeps its last report, which ages.
func (w *jobTracker) receiveList(asked time.Duration, list []ports.Worker) {
	w.workers.listed, w.workers.updated = true, true
	w.workers.readAt = asked
	for _, l := range list {
		s := &workerReport{Worker: l, reportedAt: asked - l.Age, tasks: make(map[string]*ports.Task, len(l.Tasks))}
		for i := range l.Tasks {
			// An ended task of an older placement may be listed beside the newer one.
			t := &l.Tasks[i]
			if o := s.tasks[t.Job]; o == nil || o.Token < t.Token {
				s.tasks[t.Job] = t
			}
		}
		w.workers.reports[l.Name] = s
	}
	for name, s := range w.workers.reports {
		_, known := w.workers.placerWorkers[name]
		if !known && asked-s.reportedAt > 2*taskLease {
			// All placements on the worker have been given up.
			delete(w.workers.reports, name)
		}
	}
	for _, h := range w.active {
		w.reportUsage(h)
	}
}

// reportUsage passes the reported resource use of a job to the placer.
func (w *jobTracker) reportUsage(h *trackedJob) {
	s := w.workers.reports[h.worker]
	if h.mode != running || !h.task.inPlacer || s == nil {
		return
	}
	t := s.tasks[h.job.Name]
	if t == nil || t.Token != h.token || t.Phase != ports.TaskRunning {
		return
	}
	// An error means that the placer does not know the placement; the report is then useless.
	_ = w.placer.ReportUsage(place.Usage{Job: h.job.Name, Token: h.token, Used: place.Amount(t.Used), At: s.reportedAt})
}

// reportAge returns the age of a worker's last report at the time of the last list. The time since
// then does not count, because the list may be unavailable only to the planner. For a worker that
// was never listed, the age counts from the last list before the first call of reportAge.
func (w *jobTracker) reportAge(name string) time.Duration {
	s := w.workers.reports[name]
	if s == nil {
		s = &workerReport{Worker: ports.Worker{Name: name}, reportedAt: w.workers.readAt}
		w.workers.reports[name] = s
	}
	return w.workers.readAt - s.reportedAt
}

// syncWorkers updates the placer's workers. Only registered instances are workers, and they accept
// new jobs only while they are available and not under a grant. A removed one is kept until its
// tasks have ended.
func (w *jobTracker) syncWorkers(now time.Duration, st *state.State) {
	clear(w.workers.draining)
	for name, s := range w.workers.reports {
		i, ok := st.Instance(name)
		if ok && i.Grant != nil && i.Grant.Target == "" {
			w.workers.draining[name] = true
		}
		old, known := w.workers.placerWorkers[name]
		if !ok && known && !w.hasPlacement(name) {
			w.placer.DropWorker(now, name)
			delete(w.workers.placerWorkers, name)
			w.capacityVersion++
			continue
		}
		if !ok && !known || s.Size == (ports.Resources{}) {
			continue
		}
		n := place.Worker{
			Name:   name,
			Size:   place.Amount(s.Size),
			Closed: !ok || !i.IsAvailable() || i.Grant != nil || w.reportAge(name) > maxReportAge,
		}
		if old == n {
			continue
		}
		w.workers.placerWorkers[name] = n
		w.placer.PutWorker(n)
		if old.Size != n.Size {
			w.capacityVersion++
		}
	}
}

// hasPlacement reports whether a worker has a placement or an offer.
func (w *jobTracker) hasPlacement(name string) bool {
	for _, h := range w.active {
		if h.worker == name && h.mode != abandoned {
			return true
		}
	}
	return false
}

// loseUnresponsive gives up the placements on workers whose leases have lapsed.
func (w *jobTracker) loseUnresponsive(now time.Duration) {
	var names []string
	for _, h := range w.active {
		if h.mode == running && !h.task.ended && now-h.task.trackedSince > taskLease && w.reportAge(h.worker) > taskLease {
			names = append(names, h.worker)
		}
	}
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		w.loseWorker(now, n)
	}
}

// loseWorker gives up all placements on a worker. Idempotent jobs are placed again, and the token
// of the next placement fences off the current one. The others may have run and end as failed.
func (w *jobTracker) loseWorker(now time.Duration, worker string) {
	for _, h := range w.active {
		if h.mode == offered && h.worker == worker {
			w.placer.Reject(h.job.Name)
			w.setMode(h, waiting)
		}
	}
	w.placer.ReportLost(now, worker)
	if n, ok := w.workers.placerWorkers[worker]; ok {
		n.Closed = true
		w.workers.placerWorkers[worker] = n
	}
	for _, h := range w.active {
		if h.mode != running || h.worker != worker || h.task.ended {
			continue
		}
		inPlacer := h.task.inPlacer
		h.task.inPlacer = false
		if h.job.Idempotent && h.job.Phase == state.Placed && inPlacer {
			w.setMode(h, waiting)
			continue
		}
		h.task.setResult(place.Stopped)
	}
}

// forgetJobs discards the job tracker when this entry is no longer the planner.
func (p *Planner) forgetJobs() {
	if p.jobs == nil {
		return
	}
	p.jobs = nil
	p.setTooLargeGauge(0)
}

// setTooLargeGauge sets the gauge of queued jobs that exceed every worker or their team's quota.
func (p *Planner) setTooLargeGauge(n int) { p.Scope.Gauge("jobs_unfit").Update(float64(n)) }
