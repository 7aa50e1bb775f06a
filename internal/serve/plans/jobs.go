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
	// unsubmitted jobs are not in the placer.
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
func (jt *jobTracker) runCallbacks(now time.Duration) {
	for {
		select {
		case f := <-jt.callbacks:
			f(now)
		default:
			return
		}
	}
}

func (jt *jobTracker) syncTeams(st *state.State) {
	for t := range st.Teams() {
		n := place.Team{Name: t.Name, Weight: float64(t.Weight), Quota: teamQuota(t)}
		if jt.teams[t.Name] != n {
			jt.teams[t.Name] = n
			jt.placer.PutTeam(n)
			jt.capacityVersion++
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
	jt := p.jobs
	if jt.triedVersion != jt.capacityVersion {
		jt.triedVersion = jt.capacityVersion
		for _, tj := range slices.Collect(maps.Values(jt.tooLarge)) {
			jt.setMode(tj, unsubmitted)
			p.submitJob(now, tj)
		}
	}
	if jt.scannedOffset == st.Applied() {
		return
	}
	if now < jt.nextScan {
		for _, tj := range slices.Collect(maps.Values(jt.active)) {
			j, ok := st.Job(tj.job.Name)
			if !ok {
				jt.untrack(now, tj)
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
	jt := p.jobs
	jt.scannedOffset = st.Applied()
	old, next := jt.byName, jt.byNameBuf[:0]
	for j := range st.Jobs() {
		for len(old) > 0 && old[0].job.Name < j.Name {
			jt.untrackByName(now, old[0].job.Name)
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
		if tj := jt.jobs[j.Name]; tj != nil {
			next = append(next, tj)
		}
	}
	for _, tj := range old {
		jt.untrackByName(now, tj.job.Name)
	}
	jt.byName, jt.byNameBuf = next, jt.byName
	jt.nextScan = now + scanPauseFactor*(p.Clock.Now()-now)
}

// untrackByName stops tracking a job that is no longer in the state.
func (jt *jobTracker) untrackByName(now time.Duration, name string) {
	if tj := jt.jobs[name]; tj != nil {
		jt.untrack(now, tj)
	}
}

func (p *Planner) syncJob(now time.Duration, j *state.Job) {
	jt := p.jobs
	tj := jt.jobs[j.Name]
	if tj != nil && tj.job.Submitted != j.Submitted {
		jt.untrack(now, tj)
		tj = nil
	}
	if tj == nil {
		if j.Phase.IsFinal() {
			return
		}
		tj = &trackedJob{}
		jt.jobs[j.Name] = tj
	}
	if tj.job == j {
		return
	}
	tj.job = j
	switch {
	case j.Phase.IsFinal():
		jt.finishJob(now, tj)
	case j.Phase == state.Queued:
		p.syncQueued(now, tj)
	default:
		p.syncPlaced(now, tj)
	}
}

// syncQueued updates a job that the state shows as queued.
func (p *Planner) syncQueued(now time.Duration, tj *trackedJob) {
	jt := p.jobs
	if tj.mode == running && tj.task.inPlacer {
		// It fails if the placer has no such placement.
		if jt.placer.ReportResult(now, tj.job.Name, tj.token, tj.task.resultOr(place.Stopped)) == nil {
			jt.setMode(tj, waiting)
			return
		}
	}
	if tj.mode == running || tj.mode == unsubmitted {
		jt.removeFromPlacer(now, tj)
		p.submitJob(now, tj)
	}
}

// syncPlaced updates a job that the state shows as placed or being cancelled.
func (p *Planner) syncPlaced(now time.Duration, tj *trackedJob) {
	jt := p.jobs
	j := tj.job
	if j.Token > tj.token {
		p.acceptPlacement(now, tj)
	}
	if j.Phase != state.Cancelling {
		return
	}
	if tj.mode != running {
		// The placement was given up before the job was cancelled.
		jt.removeFromPlacer(now, tj)
		jt.setMode(tj, running)
		tj.worker = j.Worker
		tj.task = task{trackedSince: now}
		tj.task.setResult(place.Stopped)
		return
	}
	jt.placer.Cancel(j.Name)
}

// acceptPlacement adopts a recorded placement. If another planner chose it, this one starts the
// task only if the job is idempotent, because the worker may have run it and lost its record of
// that.
func (p *Planner) acceptPlacement(now time.Duration, tj *trackedJob) {
	jt := p.jobs
	j := tj.job
	if tj.mode == offered && tj.worker == j.Worker && jt.placer.Confirm(now, j.Name, j.Token) == nil {
		tj.token = j.Token
		tj.task = task{trackedSince: now, inPlacer: true, chosenHere: true, canStart: true, boot: tj.task.boot}
		jt.setMode(tj, running)
		return
	}
	p.adoptPlacement(now, tj)
}

// adoptPlacement adopts a placement that this planner did not choose, or had given up.
func (p *Planner) adoptPlacement(now time.Duration, tj *trackedJob) {
	jt := p.jobs
	j := tj.job
	jt.removeFromPlacer(now, tj)
	tj.worker, tj.token = j.Worker, j.Token
	tj.task = task{trackedSince: now, canStart: j.Idempotent}
	tj.task.inPlacer = jt.placer.Adopt(now, p.toPlacerJob(now, j), j.Worker, j.Token) == nil
	jt.setMode(tj, running)
}

// submitJob queues a job in the placer.
func (p *Planner) submitJob(now time.Duration, tj *trackedJob) {
	jt := p.jobs
	tj.token = tj.job.Token
	tj.task = task{}
	err := jt.placer.Submit(p.toPlacerJob(now, tj.job))
	var queued *place.DuplicateError
	if err == nil || errors.As(err, &queued) {
		jt.setMode(tj, waiting)
		return
	}
	if !tj.logged {
		tj.logged = true
		p.Logger.Info().Str("job", tj.job.Name).Str("reason", err.Error()).Msg("job cannot run at present")
	}
	jt.setMode(tj, tooLarge)
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
func (jt *jobTracker) setMode(tj *trackedJob, m jobMode) {
	if tj.mode == offered {
		jt.offers--
	}
	delete(jt.active, tj.job.Name)
	delete(jt.tooLarge, tj.job.Name)
	tj.mode = m
	switch m {
	case offered:
		jt.offers++
		jt.active[tj.job.Name] = tj
	case running, abandoned:
		jt.active[tj.job.Name] = tj
	case tooLarge:
		jt.tooLarge[tj.job.Name] = tj
	case unsubmitted, waiting:
	}
}

// removeFromPlacer removes a job from the placer, whatever its state there.
func (jt *jobTracker) removeFromPlacer(now time.Duration, tj *trackedJob) {
	name := tj.job.Name
	if tj.mode == running && tj.task.inPlacer {
		_ = jt.placer.ReportResult(now, name, tj.token, place.Paused)
	}
	// The placer may hold an offer that was not fetched from it yet.
	jt.placer.Reject(name)
	jt.placer.Cancel(name)
	jt.placer.Forget(name)
	jt.setMode(tj, unsubmitted)
}

// finishJob reports the outcome of an ended job to the placer and stops tracking the job.
func (jt *jobTracker) finishJob(now time.Duration, tj *trackedJob) {
	if tj.mode == running && tj.task.inPlacer {
		o := place.Stopped
		switch tj.job.Phase {
		case state.Succeeded:
			o = place.Done
		case state.Broken:
			o = tj.task.resultOr(place.Failed)
		}
		_ = jt.placer.ReportResult(now, tj.job.Name, tj.token, o)
		tj.task.inPlacer = false
	}
	jt.untrack(now, tj)
}

func (jt *jobTracker) untrack(now time.Duration, tj *trackedJob) {
	jt.removeFromPlacer(now, tj)
	delete(jt.jobs, tj.job.Name)
	tj.removed = true
}

// appendJobRecord appends a record about a job unless another one is under way or maxAppends is
// reached. If the record was read back, settled is called in the planner's goroutine, whatever the
// verdict.
func (p *Planner) appendJobRecord(ctx context.Context, tj *trackedJob, r *recpb.Record, settled func(s ctrl.Result)) {
	jt := p.jobs
	subject := "job/" + tj.job.Name
	if jt.appends >= maxAppends || !p.begin(subject) {
		return
	}
	jt.appends++
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		s, _ := p.submit(ctx, r)
		p.end(subject)
		jt.callbacks <- func(time.Duration) {
			jt.appends--
			if s.Offset > 0 {
				settled(s)
			}
		}
	}()
}
