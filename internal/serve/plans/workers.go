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

// workerTracker holds what the planner has observed about workers.
type workerTracker struct {
	// listed is set once a list was received.
	listed bool
	// requestedAt is the time of the last request for a list.
	requestedAt time.Duration
	// readAt is the time of the request that returned the last list.
	readAt time.Duration
	// listing is set while a request for a list is in progress.
	listing bool
	// updated is set if a list was received since the last step.
	updated bool
	reports map[string]*workerReport
	// placerWorkers holds the workers as they were last passed to the placer.
	placerWorkers map[string]place.Worker
	// draining holds the workers that are under a grant and will reboot.
	draining map[string]bool
}

func newWorkerTracker() workerTracker {
	return workerTracker{
		requestedAt:   -time.Hour,
		reports:       map[string]*workerReport{},
		placerWorkers: map[string]place.Worker{},

		draining: map[string]bool{},
	}
}

// readWorkers lists the workers in the background.
func (p *Planner) readWorkers(ctx context.Context, now time.Duration) {
	jt := p.jobs
	if jt.workers.listing || now-jt.workers.requestedAt < workersInterval {
		return
	}
	jt.workers.listing = true
	jt.workers.requestedAt = now
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		list, err := p.Workers.Workers(ctx)
		jt.callbacks <- func(time.Duration) {
			jt.workers.listing = false
			if err != nil {
				p.Scope.Counter("workers_failed").Inc(1)
				return
			}
			jt.receiveList(now, list)
		}
	}()
}

// receiveList processes a list that was requested at the given time. A worker that is no longer
// listed keeps its last report, which ages.
func (jt *jobTracker) receiveList(asked time.Duration, list []ports.Worker) {
	jt.workers.listed, jt.workers.updated = true, true
	jt.workers.readAt = asked
	for _, l := range list {
		s := &workerReport{Worker: l, reportedAt: asked - l.Age, tasks: make(map[string]*ports.Task, len(l.Tasks))}
		for i := range l.Tasks {
			// An ended task of an older placement may be listed beside the newer one.
			t := &l.Tasks[i]
			if o := s.tasks[t.Job]; o == nil || o.Token < t.Token {
				s.tasks[t.Job] = t
			}
		}
		jt.workers.reports[l.Name] = s
	}
	for name, s := range jt.workers.reports {
		_, known := jt.workers.placerWorkers[name]
		if !known && asked-s.reportedAt > 2*taskLease {
			// All placements on the worker have been given up.
			delete(jt.workers.reports, name)
		}
	}
	for _, tj := range jt.active {
		jt.reportUsage(tj)
	}
}

// reportUsage passes the reported resource use of a job to the placer.
func (jt *jobTracker) reportUsage(tj *trackedJob) {
	s := jt.workers.reports[tj.worker]
	if tj.mode != running || !tj.task.inPlacer || s == nil {
		return
	}
	t := s.tasks[tj.job.Name]
	if t == nil || t.Token != tj.token || t.Phase != ports.TaskRunning {
		return
	}
	// It fails if the placer has no such placement. The report is useless then.
	_ = jt.placer.ReportUsage(place.Usage{Job: tj.job.Name, Token: tj.token, Used: place.Amount(t.Used), At: s.reportedAt})
}

// reportAge returns the age of a worker's last report at the time of the last list. The time since
// then does not count, because the list may be unavailable only to the planner. For a worker that
// was never listed, the age counts from the last list before the first call of reportAge.
func (jt *jobTracker) reportAge(name string) time.Duration {
	s := jt.workers.reports[name]
	if s == nil {
		s = &workerReport{Worker: ports.Worker{Name: name}, reportedAt: jt.workers.readAt}
		jt.workers.reports[name] = s
	}
	return jt.workers.readAt - s.reportedAt
}

// syncWorkers updates the placer's workers. Only registered instances are workers, and they accept
// new jobs only while they are available and not under a grant. A removed one is kept until its
// tasks have ended.
func (jt *jobTracker) syncWorkers(now time.Duration, st *state.State) {
	clear(jt.workers.draining)
	for name, s := range jt.workers.reports {
		i, ok := st.Instance(name)
		if ok && i.Grant != nil && i.Grant.Target == "" {
			jt.workers.draining[name] = true
		}
		old, known := jt.workers.placerWorkers[name]
		if !ok && known && !jt.hasPlacement(name) {
			jt.placer.DropWorker(now, name)
			delete(jt.workers.placerWorkers, name)
			jt.capacityVersion++
			continue
		}
		if !ok && !known || s.Size == (ports.Resources{}) {
			continue
		}
		n := place.Worker{
			Name:   name,
			Size:   place.Amount(s.Size),
			Closed: !ok || !i.IsAvailable() || i.Grant != nil || jt.reportAge(name) > maxReportAge,
		}
		if old == n {
			continue
		}
		jt.workers.placerWorkers[name] = n
		jt.placer.PutWorker(n)
		if old.Size != n.Size {
			jt.capacityVersion++
		}
	}
}

// hasPlacement reports whether a worker has a placement or an offer.
func (jt *jobTracker) hasPlacement(name string) bool {
	for _, tj := range jt.active {
		if tj.worker == name && tj.mode != abandoned {
			return true
		}
	}
	return false
}

// loseUnresponsive gives up the placements on workers whose leases have lapsed.
func (jt *jobTracker) loseUnresponsive(now time.Duration) {
	var names []string
	for _, tj := range jt.active {
		if tj.mode == running && !tj.task.ended && now-tj.task.trackedSince > taskLease && jt.reportAge(tj.worker) > taskLease {
			names = append(names, tj.worker)
		}
	}
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		jt.loseWorker(now, n)
	}
}

// loseWorker gives up all placements on a worker. Idempotent jobs are placed again, and the token
// of the next placement fences off the current one. The others may have run and end as failed.
func (jt *jobTracker) loseWorker(now time.Duration, worker string) {
	for _, tj := range jt.active {
		if tj.mode == offered && tj.worker == worker {
			jt.placer.Reject(tj.job.Name)
			jt.setMode(tj, waiting)
		}
	}
	jt.placer.ReportLost(now, worker)
	if n, ok := jt.workers.placerWorkers[worker]; ok {
		n.Closed = true
		jt.workers.placerWorkers[worker] = n
	}
	for _, tj := range jt.active {
		if tj.mode != running || tj.worker != worker || tj.task.ended {
			continue
		}
		inPlacer := tj.task.inPlacer
		tj.task.inPlacer = false
		if tj.job.Idempotent && tj.job.Phase == state.Placed && inPlacer {
			jt.setMode(tj, waiting)
			continue
		}
		tj.task.setResult(place.Stopped)
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
