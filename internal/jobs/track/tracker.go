package book

import (
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Book holds all jobs that are not forgotten.
type Book struct {
	jobs map[string]*Job
	// active are the jobs that are not over, in no order.
	active map[string]*Job
	// runs has every run by the executor that it is on.
	runs map[string]map[*Run]struct{}
	// dirty are occurrences and ends that are not stored.
	dirtyOcc []*Occurrence
	dirtyEnd []*Job
	// base is added to attempts of tasks whose history is not known.
	base int
	// early are cancels of jobs that are not known yet.
	early map[string]time.Duration
}

// New returns an empty book. Attempts of jobs that an earlier leader may have started
// are numbered from base on.
func New(base int) *Book {
	return &Book{
		jobs: map[string]*Job{}, active: map[string]*Job{}, runs: map[string]map[*Run]struct{}{},
		base: base, early: map[string]time.Duration{},
	}
}

// Job returns a job, or nil.
func (b *Book) Job(id string) *Job { return b.jobs[id] }

// Active returns the jobs that are not over. The caller must not change the map.
func (b *Book) Active() map[string]*Job { return b.active }

// Len returns the number of jobs that are kept.
func (b *Book) Len() int { return len(b.jobs) }

// Accept adds a stored job. A job that is known is returned as it is.
func (b *Book) Accept(id string, rules model.Queue, w model.Work, accepted, now time.Duration) *Job {
	if j := b.jobs[id]; j != nil {
		return j
	}
	j := &Job{ID: id, Queue: rules.Name, Work: w, Accepted: accepted, Came: now, Rules: rules, written: map[int]struct{}{}}
	b.jobs[id] = j
	b.active[id] = j
	if !w.Timed {
		j.Open = append(j.Open, j.newOccurrence(0))
		j.next = 1
	}
	if at, ok := b.early[id]; ok {
		delete(b.early, id)
		b.Cancel(id, at)
	}
	return j
}

// Open opens the occurrences of a job that are due at a wall-clock time, and says
// whether there were any.
func (b *Book) Open(j *Job, wall time.Duration) bool {
	opened := false
	for j.Work.Timed && !j.IsOver() && j.next < j.Work.Repeats &&
		j.Work.Start+time.Duration(j.next)*j.Work.Period <= wall {
		j.Open = append(j.Open, j.newOccurrence(j.next))
		j.next++
		opened = true
	}
	return opened
}

// NextDue returns when the next occurrence of a job is due in Unix time, or false.
func (j *Job) NextDue() (time.Duration, bool) {
	if !j.Work.Timed || j.IsOver() || j.next >= j.Work.Repeats {
		return 0, false
	}
	return j.Work.Start + time.Duration(j.next)*j.Work.Period, true
}

// Cancel ends a job as cancelled, unless it is over. The caller stops its runs. It
// returns false for a job that is not known, whose cancel is kept.
func (b *Book) Cancel(id string, wall time.Duration) bool {
	j := b.jobs[id]
	if j == nil {
		b.early[id] = wall
		return false
	}
	b.finish(j, model.Cancelled, wall)
	return true
}

// finish makes a state final.
func (b *Book) finish(j *Job, s model.State, wall time.Duration) {
	if j.IsOver() {
		return
	}
	j.state = s
	j.at = wall
	b.dirtyEnd = append(b.dirtyEnd, j)
	delete(b.active, j.ID)
	b.trim(j)
}

// trim drops what a job needs no more: occurrences that are complete and stored, and
// all of a job that is over and has no runs.
func (b *Book) trim(j *Job) {
	if j.IsOver() {
		busy := false
		j.Runs(func(*Run) { busy = true })
		if !busy {
			j.Open = nil
			j.Work = model.Work{}
		}
		return
	}
	if j.Work.Timed {
		j.Open = slices.DeleteFunc(j.Open, func(o *Occurrence) bool {
			busy := false
			o.runs(func(*Run) { busy = true })
			return o.Left == 0 && !busy && !o.dirty
		})
	}
}

// Begin adds a run that is to be ordered. Attempt 0 takes the next one.
func (b *Book) Begin(t *Task, executor string, attempt int, now time.Duration) *Run {
	if attempt == 0 {
		attempt = t.Attempt + 1
	}
	t.Attempt = max(t.Attempt, attempt)
	r := &Run{Attempt: attempt, Executor: executor, Begun: now, Since: now, Progress: now, Saved: t.Saved, Pace: 100, Task: t}
	t.Runs = append(t.Runs, r)
	b.onExecutor(executor)[r] = struct{}{}
	return r
}

func (b *Book) onExecutor(id string) map[*Run]struct{} {
	m := b.runs[id]
	if m == nil {
		m = map[*Run]struct{}{}
		b.runs[id] = m
	}
	return m
}

// On returns the runs on an executor. The caller must not change the map.
func (b *Book) On(executor string) map[*Run]struct{} { return b.runs[executor] }

// Confirm says that a run is there.
func (b *Book) Confirm(r *Run, now time.Duration) {
	if r.Phase == Starting || r.Phase == Uncertain {
		r.Phase, r.Since, r.Progress = Running, now, now
	}
	r.Task.Step.Occ.Job.begun = true
}

// Drop removes a run that is not there and does not come back: it was refused, its
// lease lapsed or its executor is gone. Its last known checkpoint is kept.
func (b *Book) Drop(r *Run) {
	t := r.Task
	if i := slices.Index(t.Runs, r); i >= 0 {
		t.Runs = slices.Delete(t.Runs, i, i+1)
	}
	delete(b.runs[r.Executor], r)
	if len(b.runs[r.Executor]) == 0 {
		delete(b.runs, r.Executor)
	}
	if r.Saved != "" && r.Saved != t.Saved && !t.Done {
		t.Saved = r.Saved
		b.touch(t.Step.Occ)
	}
	b.trim(t.Step.Occ.Job)
}

func (b *Book) touch(o *Occurrence) {
	if !o.dirty && !o.Job.IsOver() {
		o.dirty = true
		b.dirtyOcc = append(b.dirtyOcc, o)
	}
}

// Find returns the run that an executor lists, or nil.
func (b *Book) Find(executor string, id model.TaskID, attempt int) *Run {
	j := b.jobs[id.Job]
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

// Effect is what the end of a run changed.
type Effect struct {
	// Known says that the run was in the book.
	Known bool
	// Done says that a task is done now.
	Done bool
	// Failed says that a failure was noted that waits to be confirmed.
	Failed bool
	// Over says that the job is over now.
	Over bool
}

// End applies the end of a run. A run that was given up, and ended before that was
// known, changes nothing, unless the executor was adopted from an earlier leader.
func (b *Book) End(executor string, e model.End, adopt bool, wall time.Duration) Effect {
	j := b.jobs[e.Task.Job]
	if j == nil || j.IsOver() && len(j.Open) == 0 {
		return Effect{}
	}
	t := j.Task(e.Task)
	if t == nil {
		return Effect{}
	}
	t.Attempt = max(t.Attempt, e.Attempt)
	r := b.Find(executor, e.Task, e.Attempt)
	if r == nil && (!adopt || t.Done) {
		return Effect{}
	}
	if e.Saved != "" {
		if r != nil {
			r.Saved = e.Saved
		} else {
			t.Saved = e.Saved
		}
	}
	if r != nil {
		b.Drop(r)
	}
	eff := Effect{Known: true}
	if j.IsOver() || t.Done {
		return eff
	}
	switch {
	case t.Step.Lasts:
		// It runs until the job is cancelled, however a run ends.
		if e.How == model.EndedFailed {
			t.Shun(executor)
		}
	case e.How == model.EndedDone:
		eff.Done = true
		b.done(t, wall)
	case e.How == model.EndedFailed:
		eff.Failed = true
		b.failed(t, executor, e.Attempt)
	}
	eff.Over = j.IsOver()
	return eff
}

// maxShunned bounds the executors that a task keeps away from.
const maxShunned = 4

// Shun keeps the task away from an executor if there is another one.
func (t *Task) Shun(executor string) {
	if !slices.Contains(t.Shunned, executor) && len(t.Shunned) < maxShunned {
		t.Shunned = append(t.Shunned, executor)
	}
}

// done marks a task, or all tasks of a gang, as done.
func (b *Book) done(t *Task, wall time.Duration) {
	s, o := t.Step, t.Step.Occ
	mark := func(t *Task) {
		if !t.Done {
			t.Done = true
			t.Unlocated = false
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
	b.touch(o)
	b.close(o, wall)
}

// close ends an occurrence that is complete, and the job with its last one.
func (b *Book) close(o *Occurrence, wall time.Duration) {
	j := o.Job
	if o.Left > 0 || j.IsOver() {
		return
	}
	j.complete++
	if j.complete == j.Work.Repeats {
		b.finish(j, model.Complete, wall)
	}
}

// failed notes a failed run. A new leader can learn twice of it: from the store, and
// from the executor that was not told that it is stored.
func (b *Book) failed(t *Task, executor string, attempt int) {
	t.Shun(executor)
	c := t.counted()
	for i := range c.failures {
		if c.failures[i].attempt == attempt {
			c.failures[i].confirmed = false
			return
		}
	}
	c.failures = append(c.failures, failure{attempt: attempt})
	b.touch(t.Step.Occ)
}

// ConfirmFailure makes a failure count for good, and ends the job if it was one too
// many. It says whether the job is over now.
func (b *Book) ConfirmFailure(id model.TaskID, attempt int, wall time.Duration) bool {
	j := b.jobs[id.Job]
	if j == nil || j.IsOver() {
		return false
	}
	t := j.Task(id)
	if t == nil {
		return false
	}
	c := t.counted()
	for i := range c.failures {
		if c.failures[i].attempt == attempt {
			c.failures[i].confirmed = true
		}
	}
	return b.giveUp(t, wall)
}

// giveUp ends the job of a task that failed as often as it may.
func (b *Book) giveUp(t *Task, wall time.Duration) bool {
	j := t.Step.Occ.Job
	if j.IsOver() || t.Step.Lasts || t.confirmed() < j.attempts() {
		return false
	}
	b.finish(j, model.Failed, wall)
	return true
}

// VoidFailure drops a failure whose executor was lost before it knew that its end is
// stored.
func (b *Book) VoidFailure(id model.TaskID, attempt int) {
	j := b.jobs[id.Job]
	if j == nil || j.IsOver() {
		return
	}
	if t := j.Task(id); t != nil {
		c := t.counted()
		c.failures = slices.DeleteFunc(c.failures, func(f failure) bool { return f.attempt == attempt && !f.confirmed })
		b.touch(t.Step.Occ)
	}
}

// Pending counts the jobs of each queue of which no task has started.
func (b *Book) Pending() map[string]int {
	out := map[string]int{}
	for _, j := range b.active {
		if !j.begun {
			out[j.Queue]++
		}
	}
	return out
}

// Forget drops jobs that ended before a wall-clock time, and returns their keys.
func (b *Book) Forget(before time.Duration) []string {
	var ids []string
	for id, j := range b.jobs {
		if j.shown.Final() && j.at < before && len(j.Open) == 0 {
			delete(b.jobs, id)
			ids = append(ids, id)
		}
	}
	return ids
}
