package track

import (
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Tracker holds all jobs that are not forgotten.
type Tracker struct {
	jobs map[string]*Job
	// active are the jobs that are not over, in no order.
	active map[string]*Job
	// runs has all runs by executor.
	runs map[string]map[*Run]struct{}
	// dirtyOcc and dirtyEnd are the occurrences and ended jobs whose changes are not stored yet.
	dirtyOcc []*Occurrence
	dirtyEnd []*Job
	// attemptBase is the highest attempt assumed for tasks that an earlier leader may have started.
	attemptBase int
	// earlyCancels are the times of cancels whose jobs are not known yet.
	earlyCancels map[string]time.Duration
	// recordBytes is the size of the largest record that the store accepts.
	recordBytes int
	// checkpointsSeen counts the checkpoints observed so far.
	checkpointsSeen int64
	// usage follows the runs.
	usage Usage
	leftState
	parkedState
}

// Option changes a new tracker.
type Option func(*Tracker)

// WithRecordBytes sets the size in bytes of the largest record that the store accepts.
func WithRecordBytes(n int) Option { return func(tr *Tracker) { tr.recordBytes = n } }

// New returns an empty tracker. Attempts of tasks that an earlier leader may have started are
// numbered above base.
func New(base int, options ...Option) *Tracker {
	tr := &Tracker{
		jobs: map[string]*Job{}, active: map[string]*Job{}, runs: map[string]map[*Run]struct{}{},
		attemptBase: base, earlyCancels: map[string]time.Duration{}, recordBytes: defaultRecordBytes, usage: noUsage{},
	}
	for _, o := range options {
		o(tr)
	}
	return tr
}

// Job returns a job, or nil if it is not known.
func (tr *Tracker) Job(id string) *Job { return tr.jobs[id] }

// Active returns the jobs that are not over. The caller must not change the map.
func (tr *Tracker) Active() map[string]*Job { return tr.active }

// Len returns the number of jobs, including ended ones that are not forgotten.
func (tr *Tracker) Len() int { return len(tr.jobs) }

// Cancel sets the final state of a job to cancelled, unless it is over. The caller stops its runs.
// It returns false for an unknown job, whose cancel is kept until the job is accepted.
func (tr *Tracker) Cancel(id string, wall time.Duration) bool {
	j := tr.jobs[id]
	if j == nil {
		tr.earlyCancels[id] = wall
		return false
	}
	tr.Expand(id, wall) // its record says what its runs may need
	tr.setFinal(j, model.Cancelled, wall)
	return true
}

// setFinal ends a job with a final state.
func (tr *Tracker) setFinal(j *Job, s model.State, wall time.Duration) {
	if j.IsOver() {
		return
	}
	j.state = s
	j.endedAt = wall
	tr.dirtyEnd = append(tr.dirtyEnd, j)
	delete(tr.active, j.ID)
	tr.recordLeft(j)
	tr.trim(j)
}

// trim frees what a job no longer needs: occurrences that are complete, stored and without runs,
// and all occurrences of a job that is over and has no runs.
func (tr *Tracker) trim(j *Job) {
	if j.IsOver() {
		busy := false
		j.ForEachRun(func(*Run) { busy = true })
		if !busy {
			j.Open, j.unopenedProgress, j.complete = nil, nil, occurrenceSet{}
			j.Spec = model.JobSpec{}
		}
		return
	}
	if j.Spec.Scheduled {
		j.Open = slices.DeleteFunc(j.Open, func(o *Occurrence) bool {
			if o.Left > 0 || len(o.dirtyParts) > 0 {
				return false
			}
			busy := false
			o.forEachRun(func(*Run) { busy = true })
			return !busy
		})
	}
}

// BeginRun adds a run that is about to be ordered. Attempt 0 stands for the next attempt.
func (tr *Tracker) BeginRun(t *Task, executor string, attempt int, now time.Duration) *Run {
	if attempt == 0 {
		attempt = t.Attempt + 1
	}
	t.Attempt = max(t.Attempt, attempt)
	r := &Run{
		Attempt: attempt, Executor: executor, OrderedAt: now, PhaseSince: now, LastProgress: now,
		Checkpoint: t.owner().Checkpoint, savedSeen: t.owner().savedSeen, Pace: 100, Task: t,
	}
	t.Runs = append(t.Runs, r)
	t.Step.Running++
	t.Step.Occ.Job.evidence.started++
	tr.runSet(executor)[r] = struct{}{}
	tr.usage.RunBegins(t.Step)
	return r
}

func (tr *Tracker) runSet(id string) map[*Run]struct{} {
	m := tr.runs[id]
	if m == nil {
		m = map[*Run]struct{}{}
		tr.runs[id] = m
	}
	return m
}

// RunsOn returns the runs on an executor. The caller must not change the map.
func (tr *Tracker) RunsOn(executor string) map[*Run]struct{} { return tr.runs[executor] }

// ConfirmRun records that a run has started on its executor.
func (tr *Tracker) ConfirmRun(r *Run, now time.Duration) {
	if r.Phase == Starting || r.Phase == Uncertain {
		r.Phase, r.PhaseSince, r.LastProgress = Running, now, now
	}
	r.Task.Step.Occ.Job.begun = true
}

// MoveRun records that a run may be on another executor, or nowhere.
func (tr *Tracker) MoveRun(r *Run, executor string, now time.Duration) {
	delete(tr.runs[r.Executor], r)
	if len(tr.runs[r.Executor]) == 0 {
		delete(tr.runs, r.Executor)
	}
	r.Executor, r.Phase, r.PhaseSince = executor, Uncertain, now
	tr.runSet(executor)[r] = struct{}{}
}

// RemoveRun removes a run that has ended for certain: it was refused, its lease expired or its
// executor is gone. Its last known checkpoint is kept.
func (tr *Tracker) RemoveRun(r *Run) {
	t := r.Task
	if i := slices.Index(t.Runs, r); i >= 0 {
		t.Runs = slices.Delete(t.Runs, i, i+1)
		t.Step.Running--
		tr.usage.RunEnded(t.Step)
	}
	delete(tr.runs[r.Executor], r)
	if len(tr.runs[r.Executor]) == 0 {
		delete(tr.runs, r.Executor)
	}
	tr.keepCheckpoint(t, r.Checkpoint, r.Attempt, r.savedSeen)
	tr.trim(t.Step.Occ.Job)
}

// FindRun returns the run that an executor lists, or nil.
func (tr *Tracker) FindRun(executor string, id model.TaskID, attempt int) *Run {
	j := tr.jobs[id.Job]
	if j == nil {
		return nil
	}
	t := j.Task(id)
	if t == nil {
		return nil
	}
	for _, r := range t.Runs {
		if r.Executor == executor && r.Attempt == attempt {
			return r
		}
	}
	return nil
}

// Effect is the result of applying the end of a run.
type Effect struct {
	// Known is set if the run belongs to a known task.
	Known bool
	// Done is set if a task is now done.
	Done bool
	// Failed is set if a failure was recorded that is not confirmed yet.
	Failed bool
	// Over is set if the job is now over.
	Over bool
}

// ApplyEnd applies the end of a run. If the run was removed before, only success counts, unless adopt
// is set, for an executor that was adopted from an earlier leader.
func (tr *Tracker) ApplyEnd(executor string, e model.End, adopt bool, wall time.Duration) Effect {
	j := tr.jobs[e.Task.Job]
	if j == nil || j.IsOver() && len(j.Open) == 0 {
		return Effect{}
	}
	t := j.Task(e.Task)
	if t == nil {
		return Effect{}
	}
	t.Attempt = max(t.Attempt, e.Attempt)
	r := tr.FindRun(executor, e.Task, e.Attempt)
	if r == nil && (t.Done || !adopt && (e.Ending != model.EndedDone || t.Step.LongRunning)) {
		return Effect{}
	}
	if r != nil {
		tr.ObserveCheckpoint(r, e.Checkpoint)
		tr.RemoveRun(r)
	} else {
		tr.checkpointsSeen++
		tr.keepCheckpoint(t, e.Checkpoint, e.Attempt, tr.checkpointsSeen)
	}
	eff := Effect{Known: true}
	if j.IsOver() || t.Done {
		return eff
	}
	switch {
	case t.Step.LongRunning:
		// A long-running task is started again until its job is cancelled.
		if e.Ending == model.EndedFailed {
			t.Avoid(executor)
		}
	case e.Ending == model.EndedDone:
		eff.Done = true
		tr.setDone(t, wall)
	case e.Ending == model.EndedFailed:
		eff.Failed = true
		tr.recordFailure(t, executor, e.Attempt)
	}
	eff.Over = j.IsOver()
	return eff
}

// maxAvoided is the largest number of executors that a task avoids.
const maxAvoided = 4

// Avoid keeps the task away from an executor as long as another one is suitable.
func (t *Task) Avoid(executor string) {
	if !slices.Contains(t.Avoided, executor) && len(t.Avoided) < maxAvoided {
		t.Avoided = append(t.Avoided, executor)
	}
}

// setDone marks a task, or all tasks of a gang, as done.
func (tr *Tracker) setDone(t *Task, wall time.Duration) {
	s, o := t.Step, t.Step.Occ
	o.Job.evidence.succeeded = true
	mark := func(t *Task) {
		if !t.Done {
			t.Done = true
			t.Unresolved = false
			s.Left--
			o.Left--
		}
	}
	mark(t)
	if s.Gang {
		for _, m := range s.Tasks {
			mark(m)
		}
	}
	tr.markDirty(o, 0)
	tr.closeIfComplete(o, wall)
}

// closeIfComplete counts an occurrence whose tasks are all done, and ends the job after the last
// one.
func (tr *Tracker) closeIfComplete(o *Occurrence, wall time.Duration) {
	j := o.Job
	if o.Left > 0 || j.IsOver() {
		return
	}
	if j.Spec.Scheduled {
		j.complete.add(o.Number)
	}
	if !j.Spec.Scheduled || j.complete.count == j.Spec.Repeats {
		tr.setFinal(j, model.Complete, wall)
	}
}

// recordFailure records a failed run. A new leader can receive the same failure twice: from the
// store, and from the executor if that was not told that the end is stored.
func (tr *Tracker) recordFailure(t *Task, executor string, attempt int) {
	t.Avoid(executor)
	owner := t.owner()
	for i := range owner.failures {
		if owner.failures[i].attempt == attempt {
			owner.failures[i].confirmed = false
			return
		}
	}
	owner.failures = append(owner.failures, failure{attempt: attempt})
	tr.markDirty(t.Step.Occ, t.part())
}

// ConfirmFailure counts a failure permanently, ends the job if the task has no attempts left, and
// reports whether this ended the job.
func (tr *Tracker) ConfirmFailure(id model.TaskID, attempt int, wall time.Duration) bool {
	j := tr.jobs[id.Job]
	if j == nil || j.IsOver() {
		return false
	}
	t := j.Task(id)
	if t == nil {
		return false
	}
	owner := t.owner()
	for i := range owner.failures {
		if owner.failures[i].attempt == attempt {
			owner.failures[i].confirmed = true
		}
	}
	return tr.failIfExhausted(t, wall)
}

// failIfExhausted ends the job of a task that has no attempts left and reports whether it did.
func (tr *Tracker) failIfExhausted(t *Task, wall time.Duration) bool {
	j := t.Step.Occ.Job
	if j.IsOver() || t.Step.LongRunning || t.confirmedFailures() < j.maxFailures() {
		return false
	}
	tr.setFinal(j, model.Failed, wall)
	return true
}

// VoidFailure removes a failure whose executor was lost before it was told that the end is stored.
func (tr *Tracker) VoidFailure(id model.TaskID, attempt int) {
	j := tr.jobs[id.Job]
	if j == nil || j.IsOver() {
		return
	}
	if t := j.Task(id); t != nil {
		owner := t.owner()
		owner.failures = slices.DeleteFunc(owner.failures, func(f failure) bool { return f.attempt == attempt && !f.confirmed })
		tr.markDirty(t.Step.Occ, t.part())
	}
}

// CountPending returns for each queue the number of jobs of which no task has started.
func (tr *Tracker) CountPending() map[string]int {
	out := map[string]int{}
	for _, j := range tr.active {
		if !j.begun {
			out[j.Queue]++
		}
	}
	for _, j := range tr.parked {
		if j.parked != nil && !j.begun {
			out[j.Queue]++
		}
	}
	return out
}
