package plans

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/place"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// maxAppends bounds the concurrent appends of records about jobs. The log accepts several
	// hundred appends/s, and one takes a few tens of ms.
	maxAppends = 64
	// maxOffers bounds the placements that are chosen but not recorded yet.
	maxOffers = 48
	// scanPauseFactor is the pause between two scans of all jobs, as a multiple of the duration of
	// a scan, so that scans use at most a twentieth of a core. A scan takes 13 ms with 100,000
	// queued jobs. Placed jobs are compared with the state in every step.
	scanPauseFactor = 20
	// maxCalls bounds the concurrent calls to workers.
	maxCalls = 64
)

// jobMode is the planner's view of a job, in addition to its phase in the state.
type jobMode uint8

const (
	// unsubmitted jobs are not known to the placer.
	unsubmitted jobMode = iota
	// waiting jobs are queued in the placer.
	waiting
	// tooLarge jobs exceed every worker or the quota of their team.
	tooLarge
	// offered jobs have a placement that the placer chose and that is not recorded yet.
	offered
	// running jobs have a recorded placement.
	running
	// abandoned jobs will not be placed any more and are being cancelled.
	abandoned
)

// trackedJob is a job that has not ended.
type trackedJob struct {
	// job is the most recently seen version of the job in the state.
	job  *state.Job
	mode jobMode
	// removed is set once the job is no longer tracked.
	removed bool
	// worker and token identify the placement. For an offer, worker is the chosen one and token
	// belongs to the previous placement.
	worker string
	token  uint64
	// recordOffset is the offset of the last record that this planner appended for the job. No
	// other record is appended before the view includes that offset.
	recordOffset uint64
	// logged is set once a log message has reported that the job does not fit.
	logged bool
	task   task
}

// jobTracker places jobs while this entry is the planner. A new planner builds its own from the
// folded state.
type jobTracker struct {
	placer  *place.Placer
	jobs    map[string]*trackedJob
	active  map[string]*trackedJob // the offered, running and abandoned ones
	teams   map[string]place.Team
	workers workerTracker
	// scannedOffset is the offset of the state that all jobs were last compared with. nextScan is
	// the earliest time of the next scan.
	scannedOffset uint64
	nextScan      time.Duration
	// byName holds the jobs in order of name as of the last scan, possibly with removed ones.
	// byNameBuf is the buffer of the next scan.
	byName, byNameBuf []*trackedJob
	// capacityVersion counts the changes of workers and teams. triedVersion is its value when jobs
	// that are too large were last submitted.
	capacityVersion, triedVersion uint64
	tooLarge                      map[string]*trackedJob
	// callbacks delivers functions that the planner's goroutine runs after a call or an append. Its
	// buffer has room for all that are under way, so that senders don't block.
	callbacks              chan func(now time.Duration)
	offers, calls, appends int
}

func newJobTracker() *jobTracker {
	return &jobTracker{
		placer:    place.New(),
		jobs:      map[string]*trackedJob{},
		active:    map[string]*trackedJob{},
		tooLarge:  map[string]*trackedJob{},
		teams:     map[string]place.Team{},
		workers:   newWorkerTracker(),
		callbacks: make(chan func(time.Duration), maxCalls+maxAppends+1),
	}
}

// runJobs advances every job.
func (p *Planner) runJobs(ctx context.Context, st *state.State) {
	if p.Workers == nil {
		return
	}
	if p.jobs == nil {
		p.jobs = newJobTracker()
	}
	now := p.Clock.Now()
	p.jobs.runCallbacks(now)
	p.readWorkers(ctx, now)
	if !p.jobs.workers.listed {
		return
	}
	p.jobs.syncTeams(st)
	p.jobs.syncWorkers(now, st)
	p.syncJobs(now, st)
	p.jobs.loseUnresponsive(now)
	p.processActive(ctx, now, st)
	p.stopOrphans(ctx, now, st)
	p.handlePlacerActions(now)
	p.processActive(ctx, now, st)
	p.setTooLargeGauge(len(p.jobs.tooLarge))
}

// runCallbacks runs the callbacks of calls and appends that have ended.
func (w *jobTracker) runCallbacks(now time.Duration) {
	for {
		select {
		case f := <-w.callbacks:
			f(now)
		default:
			return
		}
	}
}

func (w *jobTracker) syncTeams(st *state.State) {
	for t := range st.Teams() {
		n := place.Team{Name: t.Name, Weight: float64(t.Weight), Quota: teamQuota(t)}
		if w.teams[t.Name] != n {
			w.teams[t.Name] = n
			w.placer.PutTeam(n)
			w.capacityVersion++
		}
	}
}

// unlimited exceeds any fleet's size, and sums of it don't overflow.
const unlimited = 1 << 50

// teamQuota returns the most that a team's jobs may use. One slot of the quota is one core; memory
// and accelerators are not limited.
func teamQuota(t *state.Team) place.Amount {
	q := place.Amount{Cores: unlimited, Memory: unlimited, Accelerators: unlimited}
	if t.Quota > 0 {
		q.Cores = int64(t.Quota) * 1000
	}
	return q
}

// syncJobs updates the placer from the folded state.
func (p *Planner) syncJobs(now time.Duration, st *state.State) {
	w := p.jobs
	if w.triedVersion != w.capacityVersion {
		w.triedVersion = w.capacityVersion
		for _, h := range slices.Collect(maps.Values(w.tooLarge)) {
			w.setMode(h, unsubmitted)
			p.submitJob(now, h)
		}
	}
	if w.scannedOffset == st.Applied() {
		return
	}
	if now < w.nextScan {
		for _, h := range slices.Collect(maps.Values(w.active)) {
			j, ok := st.Job(h.job.Name)
			if !ok {
				w.untrack(now, h)
				continue
			}
			p.syncJob(now, j)
		}
		return
	}
	p.scanJobs(now, st)
}

// scanJobs compares all jobs with the state.
func (p *Planner) scanJobs(now time.Duration, st *state.State) {
	w := p.jobs
	w.scannedOffset = st.Applied()
	old, next := w.byName, w.byNameBuf[:0]
	for j := range st.Jobs() {
		for len(old) > 0 && old[0].job.Name < j.Name {
			w.untrackByName(now, old[0].job.Name)
			old = old[1:]
		}
		if len(old) > 0 && old[0].job == j && !old[0].removed {
			next = append(next, old[0])
			old = old[1:]
			continue
		}
		if len(old) > 0 && old[0].job.Name == j.Name {
			old = old[1:]
		}
		p.syncJob(now, j)
		if h := w.jobs[j.Name]; h != nil {
			next = append(next, h)
		}
	}
	for _, h := range old {
		w.untrackByName(now, h.job.Name)
	}
	w.byName, w.byNameBuf = next, w.byName
	w.nextScan = now + scanPauseFactor*(p.Clock.Now()-now)
}

// untrackByName stops tracking a job that is no longer in the state.
func (w *jobTracker) untrackByName(now time.Duration, name string) {
	if h := w.jobs[name]; h != nil {
		w.untrack(now, h)
	}
}

func (p *Planner) syncJob(now time.Duration, j *state.Job) {
	w := p.jobs
	h := w.jobs[j.Name]
	if h != nil && h.job.Submitted != j.Submitted {
		w.untrack(now, h)
		h = nil
	}
	if h == nil {
		if j.Phase.IsFinal() {
			return
		}
		h = &trackedJob{}
		w.jobs[j.Name] = h
	}
	if h.job == j {
		return
	}
	h.job = j
	switch {
	case j.Phase.IsFinal():
		w.finishJob(now, h)
	case j.Phase == state.Queued:
		p.syncQueued(now, h)
	default:
		p.syncPlaced(now, h)
	}
}

// syncQueued updates a job that the state shows as queued.
func (p *Planner) syncQueued(now time.Duration, h *trackedJob) {
	w := p.jobs
	if h.mode == running && h.task.inPlacer {
		// An error means that the placer does not know the placement.
		if w.placer.ReportResult(now, h.job.Name, h.token, h.task.resultOr(place.Stopped)) == nil {
			w.setMode(h, waiting)
			return
		}
	}
	if h.mode == running || h.mode == unsubmitted {
		w.removeFromPlacer(now, h)
		p.submitJob(now, h)
	}
}

// syncPlaced updates a job that the state shows as placed or being cancelled.
func (p *Planner) syncPlaced(now time.Duration, h *trackedJob) {
	w := p.jobs
	j := h.job
	if j.Token > h.token {
		p.acceptPlacement(now, h)
	}
	if j.Phase != state.Cancelling {
		return
	}
	if h.mode != running {
		// The placement was given up before the job was cancelled.
		w.removeFromPlacer(now, h)
		w.setMode(h, running)
		h.worker = j.Worker
		h.task = task{trackedSince: now}
		h.task.setResult(place.Stopped)
		return
	}
	w.placer.Cancel(j.Name)
}

// acceptPlacement adopts a recorded placement. If another planner chose it, this one starts the
// task only if the job is idempotent, because the worker may have run it and lost its record of
// that.
func (p *Planner) acceptPlacement(now time.Duration, h *trackedJob) {
	w := p.jobs
	j := h.job
	if h.mode == offered && h.worker == j.Worker && w.placer.Confirm(now, j.Name, j.Token) == nil {
		h.token = j.Token
		h.task = task{trackedSince: now, inPlacer: true, chosenHere: true, canStart: true, boot: h.task.boot}
		w.setMode(h, running)
		return
	}
	p.adoptPlacement(now, h)
}

// adoptPlacement adopts a placement that this planner did not choose, or had given up.
func (p *Planner) adoptPlacement(now time.Duration, h *trackedJob) {
	w := p.jobs
	j := h.job
	w.removeFromPlacer(now, h)
	h.worker, h.token = j.Worker, j.Token
	h.task = task{trackedSince: now, canStart: j.Idempotent}
	h.task.inPlacer = w.placer.Adopt(now, p.toPlacerJob(now, j), j.Worker, j.Token) == nil
	w.setMode(h, running)
}

// submitJob queues a job in the placer.
func (p *Planner) submitJob(now time.Duration, h *trackedJob) {
	w := p.jobs
	h.token = h.job.Token
	h.task = task{}
	err := w.placer.Submit(p.toPlacerJob(now, h.job))
	var queued *place.DuplicateError
	if err == nil || errors.As(err, &queued) {
		w.setMode(h, waiting)
		return
	}
	if !h.logged {
		h.logged = true
		p.Logger.Info().Str("job", h.job.Name).Str("reason", err.Error()).Msg("job cannot run at present")
	}
	w.setMode(h, tooLarge)
}

// urgencies maps the numbers in records, which operators set, to urgency classes.
var urgencies = []place.Urgency{place.Deferrable, place.Normal, place.Urgent}

// toPlacerJob converts a job for the placer. A job that is not idempotent is never stopped at a
// checkpoint, because the state allows it only one placement.
func (p *Planner) toPlacerJob(now time.Duration, j *state.Job) place.Job {
	n := place.Job{
		Name: j.Name, Team: j.Team, Urgency: place.Normal,
		Need: place.Amount{
			Cores:        int64(j.Cores) * 1000,
			Memory:       int64(min(j.Memory, unlimited)),
			Accelerators: int64(j.Accelerators),
		},
		Idempotent:    j.Idempotent,
		CanCheckpoint: j.Checkpoint && j.Idempotent,
	}
	if int(j.Urgency) < len(urgencies) {
		n.Urgency = urgencies[j.Urgency]
	}
	if j.Deadline != 0 {
		n.Deadline = max(1, now+time.UnixMilli(j.Deadline).Sub(p.Clock.Wall()))
	}
	return n
}

// setMode changes the mode of a job.
func (w *jobTracker) setMode(h *trackedJob, m jobMode) {
	if h.mode == offered {
		w.offers--
	}
	delete(w.active, h.job.Name)
	delete(w.tooLarge, h.job.Name)
	h.mode = m
	switch m {
	case offered:
		w.offers++
		w.active[h.job.Name] = h
	case running, abandoned:
		w.active[h.job.Name] = h
	case tooLarge:
		w.tooLarge[h.job.Name] = h
	case unsubmitted, waiting:
	}
}

// removeFromPlacer removes a job from the placer, whatever its state there.
func (w *jobTracker) removeFromPlacer(now time.Duration, h *trackedJob) {
	name := h.job.Name
	if h.mode == running && h.task.inPlacer {
		_ = w.placer.ReportResult(now, name, h.token, place.Paused)
	}
	// The placer may hold an offer that was not fetched from it yet.
	w.placer.Reject(name)
	w.placer.Cancel(name)
	w.placer.Forget(name)
	w.setMode(h, unsubmitted)
}

// finishJob reports the outcome of an ended job to the placer and stops tracking the job.
func (w *jobTracker) finishJob(now time.Duration, h *trackedJob) {
	if h.mode == running && h.task.inPlacer {
		o := place.Stopped
		switch h.job.Phase {
		case state.Succeeded:
			o = place.Done
		case state.Broken:
			o = h.task.resultOr(place.Failed)
		}
		_ = w.placer.ReportResult(now, h.job.Name, h.token, o)
		h.task.inPlacer = false
	}
	w.untrack(now, h)
}

func (w *jobTracker) untrack(now time.Duration, h *trackedJob) {
	w.removeFromPlacer(now, h)
	delete(w.jobs, h.job.Name)
	h.removed = true
}

// appendJobRecord appends a record about a job unless another one is under way or maxAppends is
// reached. If the record was read back, settled is called in the planner's goroutine, whatever the
// verdict.
func (p *Planner) appendJobRecord(ctx context.Context, h *trackedJob, r *recpb.Record, settled func(s ctrl.Result)) {
	w := p.jobs
	subject := "job/" + h.job.Name
	if w.appends >= maxAppends || !p.begin(subject) {
		return
	}
	w.appends++
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		s, _ := p.submit(ctx, r)
		p.end(subject)
		w.callbacks <- func(time.Duration) {
			w.appends--
			if s.Offset > 0 {
				settled(s)
			}
		}
	}()
}
