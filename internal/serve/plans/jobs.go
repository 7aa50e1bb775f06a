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
	// maxAppends bounds the records about jobs that are appended at a time. The log
	// takes several hundred appends/s, and one takes a few tens of ms.
	maxAppends = 64
	// maxOffers bounds the jobs whose placement is not recorded yet.
	maxOffers = 48
	// scanPause is the pause between comparisons of all jobs with the state, as a
	// multiple of what one takes, so that it takes at most a twentieth of a core. With
	// a queue of 100,000 jobs one takes 13 ms. Placed jobs are compared at every step.
	scanPause = 20
	// maxCalls bounds the calls to workers at a time.
	maxCalls = 64
)

// jobMode is what the planner knows about a job beside its phase in the state.
type jobMode uint8

const (
	// fresh jobs are not known to the placer.
	fresh jobMode = iota
	// waiting jobs are queued in the placer.
	waiting
	// unfit jobs are larger than every worker or than their team's quota.
	unfit
	// offered jobs were chosen by the placer, and the record is on its way.
	offered
	// running jobs are placed by a record.
	running
	// dropped jobs will not be placed any more and are being cancelled.
	dropped
)

// heldJob is a job that has not ended.
type heldJob struct {
	// job is the job in the state that was seen last.
	job  *state.Job
	mode jobMode
	// gone is set once the job is not held any more.
	gone bool
	// worker and token are those of the placement. For an offer, the worker is the
	// chosen one and the token that of the previous placement.
	worker string
	token  uint64
	// settled is the offset of the last own record. It is not repeated before the view
	// includes it.
	settled uint64
	// told is set once it was logged that the job does not fit.
	told bool
	task task
}

// jobWatch is the placement of jobs while this entry is the planner. A new planner
// builds its own from the folded state.
type jobWatch struct {
	placer  *place.Placer
	jobs    map[string]*heldJob
	active  map[string]*heldJob // those that are offered, running or dropped
	teams   map[string]place.Team
	workers workerWatch
	// applied is the offset of the state that all jobs were last compared with, rescan
	// when that may be done again.
	applied uint64
	rescan  time.Duration
	// order holds the jobs by name as they were last compared, and possibly some that
	// are gone. spare is reused for the next order.
	order, spare []*heldJob
	// fleet counts the changes of workers and teams, tried is its value when unfit
	// jobs were last submitted.
	fleet, tried uint64
	unfit        map[string]*heldJob
	// done delivers what is to be done in the planner's goroutine after a call or an
	// append. It has room for all that run at a time.
	done                   chan func(now time.Duration)
	offers, calls, appends int
}

func newJobWatch() *jobWatch {
	return &jobWatch{
		placer:  place.New(),
		jobs:    map[string]*heldJob{},
		active:  map[string]*heldJob{},
		unfit:   map[string]*heldJob{},
		teams:   map[string]place.Team{},
		workers: newWorkerWatch(),
		done:    make(chan func(time.Duration), maxCalls+maxAppends+1),
	}
}

// runJobs takes every job one step further.
func (p *Planner) runJobs(ctx context.Context, st *state.State) {
	if p.Workers == nil {
		return
	}
	if p.jobs == nil {
		p.jobs = newJobWatch()
	}
	now := p.Clock.Now()
	p.jobs.collect(now)
	p.readWorkers(ctx, now)
	if !p.jobs.workers.known {
		return
	}
	p.jobs.syncTeams(st)
	p.jobs.syncWorkers(now, st)
	p.syncJobs(now, st)
	p.jobs.loseSilent(now)
	p.maintain(ctx, now, st)
	p.stopStrays(ctx, now, st)
	p.choose(now)
	p.maintain(ctx, now, st)
	p.showUnfit(len(p.jobs.unfit))
}

// collect takes in the calls and appends that have ended.
func (w *jobWatch) collect(now time.Duration) {
	for {
		select {
		case f := <-w.done:
			f(now)
		default:
			return
		}
	}
}

func (w *jobWatch) syncTeams(st *state.State) {
	for t := range st.Teams() {
		n := place.Team{Name: t.Name, Weight: float64(t.Weight), Quota: quota(t)}
		if w.teams[t.Name] != n {
			w.teams[t.Name] = n
			w.placer.PutTeam(n)
			w.fleet++
		}
	}
}

// unlimited is more than any fleet has, and small enough to be added up.
const unlimited = 1 << 50

// quota returns the most that a team's jobs may hold. One slot of the quota is one
// core; memory and accelerators are not limited.
func quota(t *state.Team) place.Amount {
	q := place.Amount{Cores: unlimited, Memory: unlimited, Accelerators: unlimited}
	if t.Quota > 0 {
		q.Cores = int64(t.Quota) * 1000
	}
	return q
}

// syncJobs brings the placer up to date with the folded state.
func (p *Planner) syncJobs(now time.Duration, st *state.State) {
	w := p.jobs
	if w.tried != w.fleet {
		w.tried = w.fleet
		for _, h := range slices.Collect(maps.Values(w.unfit)) {
			w.set(h, fresh)
			p.submitJob(now, h)
		}
	}
	if w.applied == st.Applied() {
		return
	}
	if now < w.rescan {
		for _, h := range slices.Collect(maps.Values(w.active)) {
			j, ok := st.Job(h.job.Name)
			if !ok {
				w.drop(now, h)
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
	w.applied = st.Applied()
	old, next := w.order, w.spare[:0]
	for j := range st.Jobs() {
		for len(old) > 0 && old[0].job.Name < j.Name {
			w.missing(now, old[0].job.Name)
			old = old[1:]
		}
		if len(old) > 0 && old[0].job == j && !old[0].gone {
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
		w.missing(now, h.job.Name)
	}
	w.order, w.spare = next, w.order
	w.rescan = now + scanPause*(p.Clock.Now()-now)
}

// missing forgets a job that is not in the state any more.
func (w *jobWatch) missing(now time.Duration, name string) {
	if h := w.jobs[name]; h != nil {
		w.drop(now, h)
	}
}

func (p *Planner) syncJob(now time.Duration, j *state.Job) {
	w := p.jobs
	h := w.jobs[j.Name]
	if h != nil && h.job.Submitted != j.Submitted {
		w.drop(now, h)
		h = nil
	}
	if h == nil {
		if j.Phase.Final() {
			return
		}
		h = &heldJob{}
		w.jobs[j.Name] = h
	}
	if h.job == j {
		return
	}
	h.job = j
	switch {
	case j.Phase.Final():
		w.finish(now, h)
	case j.Phase == state.Queued:
		p.queued(now, h)
	default:
		p.placed(now, h)
	}
}

// queued brings a job up to date that has no placement.
func (p *Planner) queued(now time.Duration, h *heldJob) {
	w := p.jobs
	if h.mode == running && h.task.inside {
		// A refused result means that the placer does not know the placement.
		if w.placer.Result(now, h.job.Name, h.token, h.task.outcome(place.Stopped)) == nil {
			w.set(h, waiting)
			return
		}
	}
	if h.mode == running || h.mode == fresh {
		w.forget(now, h)
		p.submitJob(now, h)
	}
}

// placed brings a job up to date that has a placement.
func (p *Planner) placed(now time.Duration, h *heldJob) {
	w := p.jobs
	j := h.job
	if j.Token > h.token {
		p.accept(now, h)
	}
	if j.Phase != state.Cancelling {
		return
	}
	if h.mode != running {
		// The placement was given up before the job was cancelled.
		w.forget(now, h)
		w.set(h, running)
		h.worker = j.Worker
		h.task = task{since: now}
		h.task.end(place.Stopped)
		return
	}
	w.placer.Cancel(j.Name)
}

// accept takes over a placement that was recorded. One that was not chosen by this
// planner is started here only if the job is idempotent, because the worker may have
// run it and then have lost what it knew.
func (p *Planner) accept(now time.Duration, h *heldJob) {
	w := p.jobs
	j := h.job
	if h.mode == offered && h.worker == j.Worker && w.placer.Confirm(now, j.Name, j.Token) == nil {
		h.token = j.Token
		h.task = task{since: now, inside: true, own: true, mayStart: true, boot: h.task.boot}
		w.set(h, running)
		return
	}
	p.adopt(now, h)
}

// adopt takes over a placement that this planner did not choose.
func (p *Planner) adopt(now time.Duration, h *heldJob) {
	w := p.jobs
	j := h.job
	w.forget(now, h)
	h.worker, h.token = j.Worker, j.Token
	h.task = task{since: now, mayStart: j.Idempotent}
	h.task.inside = w.placer.Adopt(now, p.placeJob(now, j), j.Worker, j.Token) == nil
	w.set(h, running)
}

// submitJob queues a job in the placer.
func (p *Planner) submitJob(now time.Duration, h *heldJob) {
	w := p.jobs
	h.token = h.job.Token
	h.task = task{}
	err := w.placer.Submit(p.placeJob(now, h.job))
	var queued *place.DuplicateError
	if err == nil || errors.As(err, &queued) {
		w.set(h, waiting)
		return
	}
	if !h.told {
		h.told = true
		p.Logger.Info().Str("job", h.job.Name).Str("reason", err.Error()).Msg("job cannot run at present")
	}
	w.set(h, unfit)
}

// urgencies holds the classes of the numbers in records, as operators give them.
var urgencies = []place.Urgency{place.Morning, place.Normal, place.Urgent}

// placeJob converts a job. A job that is not idempotent is never stopped at a
// checkpoint, because the state allows it only one placement.
func (p *Planner) placeJob(now time.Duration, j *state.Job) place.Job {
	n := place.Job{
		Name: j.Name, Team: j.Team, Urgency: place.Normal,
		Need: place.Amount{
			Cores:        int64(j.Cores) * 1000,
			Memory:       int64(min(j.Memory, unlimited)),
			Accelerators: int64(j.Accelerators),
		},
		Idempotent: j.Idempotent,
		Checkpoint: j.Checkpoint && j.Idempotent,
	}
	if int(j.Urgency) < len(urgencies) {
		n.Urgency = urgencies[j.Urgency]
	}
	if j.Deadline != 0 {
		n.Deadline = max(1, now+time.UnixMilli(j.Deadline).Sub(p.Clock.Wall()))
	}
	return n
}

// set changes the mode of a job.
func (w *jobWatch) set(h *heldJob, m jobMode) {
	if h.mode == offered {
		w.offers--
	}
	delete(w.active, h.job.Name)
	delete(w.unfit, h.job.Name)
	h.mode = m
	switch m {
	case offered:
		w.offers++
		w.active[h.job.Name] = h
	case running, dropped:
		w.active[h.job.Name] = h
	case unfit:
		w.unfit[h.job.Name] = h
	case fresh, waiting:
	}
}

// forget takes a job out of the placer whatever became of it.
func (w *jobWatch) forget(now time.Duration, h *heldJob) {
	name := h.job.Name
	if h.mode == running && h.task.inside {
		_ = w.placer.Result(now, name, h.token, place.Paused)
	}
	// The placer may have an offer that was not taken from it yet.
	w.placer.Reject(name)
	w.placer.Cancel(name)
	w.placer.Forget(name)
	w.set(h, fresh)
}

// finish tells the placer the outcome of a job that ended and forgets the job.
func (w *jobWatch) finish(now time.Duration, h *heldJob) {
	if h.mode == running && h.task.inside {
		o := place.Stopped
		switch h.job.Phase {
		case state.Succeeded:
			o = place.Done
		case state.Broken:
			o = h.task.outcome(place.Failed)
		}
		_ = w.placer.Result(now, h.job.Name, h.token, o)
		h.task.inside = false
	}
	w.drop(now, h)
}

func (w *jobWatch) drop(now time.Duration, h *heldJob) {
	w.forget(now, h)
	delete(w.jobs, h.job.Name)
	h.gone = true
}

// record appends a record about a job unless one is being appended. Then settled is
// called in the planner's goroutine if the record was read back, whatever the verdict.
func (p *Planner) record(ctx context.Context, h *heldJob, r *recpb.Record, settled func(s ctrl.Settled)) {
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
		w.done <- func(time.Duration) {
			w.appends--
			if s.Offset > 0 {
				settled(s)
			}
		}
	}()
}
