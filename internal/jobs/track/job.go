// Package book keeps the jobs that were accepted, and what became of their tasks and
// runs. It makes no choices: it says which tasks can start, applies what executors
// report, and encodes the progress that must last. A Book is not safe for concurrent
// use.
package book

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Phase is what is known of a run.
type Phase uint8

// Phases of a run.
const (
	// Starting runs were ordered and not confirmed.
	Starting Phase = iota
	Running
	// Stopping runs were told to stop; their end is not listed yet.
	Stopping
	// Uncertain runs may have been started: the answer to the order was lost.
	Uncertain
)

// Run is one run of a task on an executor.
type Run struct {
	Attempt  int
	Executor string
	// Fence is the fencing token of its order: an executor that has seen a higher one does
	// not start it any more.
	Fence uint64
	Phase Phase
	// Begun is when it was ordered, and Since when it entered its phase.
	Begun, Since time.Duration
	Percent      float64
	Saved        string
	// Tail is the tail latency in milliseconds of a task that serves, else the cores in
	// use in thousandths.
	Tail int64
	// Pace is the share of its speed that it may use, in percent.
	Pace int
	// Progress is when Percent last grew.
	Progress time.Duration
	// Missed counts lists of its executor without it.
	Missed int
	Task   *Task
}

// Task is one task of an occurrence.
type Task struct {
	ID   model.TaskID
	Step *Step
	Done bool
	// failures are the runs that ended as failed. Those of a gang are kept with its first
	// task.
	failures []failure
	// Attempt is the highest attempt that was used.
	Attempt int
	// Saved is the checkpoint to resume from, empty for none.
	Saved string
	Runs  []*Run
	// Unlocated tasks may run on an executor that a new leader has not heard yet.
	Unlocated bool
	// Shunned are executors on which it failed.
	Shunned []string
	// NotBefore holds a task back after a refusal.
	NotBefore time.Duration
}

// failure is a run that failed. It counts for good once the executor knows that its end
// is stored; until then it is void if the executor is lost.
type failure struct {
	attempt   int
	confirmed bool
}

// IsWaiting says whether the task has no run and needs one.
func (t *Task) IsWaiting() bool {
	return !t.Done && len(t.Runs) == 0 && !t.Unlocated && !t.isUsedUp()
}

// counted returns the task that the failures of t are kept with.
func (t *Task) counted() *Task {
	if t.Step.Gang {
		return t.Step.Tasks[0]
	}
	return t
}

// isUsedUp says whether the task failed as often as it may, confirmed or not.
func (t *Task) isUsedUp() bool {
	return !t.Step.Lasts && len(t.counted().failures) >= t.Step.Occ.Job.attempts()
}

// confirmed counts the failures that count for good.
func (t *Task) confirmed() int {
	n := 0
	for _, f := range t.counted().failures {
		if f.confirmed {
			n++
		}
	}
	return n
}

// attempts is how often a task of the job may fail.
func (j *Job) attempts() int { return max(j.Rules.Attempts, 1) }

// index is the position of the task among all tasks of its occurrence.
func (t *Task) index() int { return t.Step.first + t.ID.Index }

// Step is one step of an occurrence.
type Step struct {
	*model.Step
	Number int
	Occ    *Occurrence
	Tasks  []*Task
	// Left is the number of tasks that are not done.
	Left int
	// first is the position of the first task among all tasks of the occurrence.
	first int
	// GangAttempt is the attempt of the present run of a gang.
	GangAttempt int
}

// IsReady says whether all earlier steps that it needs are done, and it is not.
func (s *Step) IsReady() bool {
	if s.Left == 0 {
		return false
	}
	for _, a := range s.After {
		if s.Occ.Steps[a].Left > 0 {
			return false
		}
	}
	return true
}

// atWork is the percent at which a task that lasts is at work.
const atWork = 100

// IsAtWork says whether a run of the task that lasts is at work.
func (t *Task) IsAtWork() bool {
	for _, r := range t.Runs {
		if r.Phase == Running && r.Percent >= atWork {
			return true
		}
	}
	return false
}

// Occurrence is one time that the steps of a job run.
type Occurrence struct {
	Job    *Job
	Number int
	// Due is its due time in Unix time, 0 for a job without times.
	Due   time.Duration
	Steps []*Step
	// Left is the number of tasks that are not done.
	Left  int
	dirty bool
}

// Job is one accepted job.
type Job struct {
	ID    string
	Queue string
	Work  model.Work
	// Accepted is in Unix time.
	Accepted time.Duration
	// Came is when this process learned of it.
	Came time.Duration
	// Rules are the settings of its queue when it was accepted.
	Rules model.Queue
	// Open are the occurrences that are due and not complete.
	Open []*Occurrence
	// next is the number of the next occurrence that is not due yet, and complete that
	// of those that are complete.
	next     int
	complete int
	begun    bool
	// state is final once the job is, and shown is what callers may see: a final state
	// is shown once it is stored.
	state model.State
	shown model.State
	// at is when the job ended, in Unix time.
	at time.Duration
	// written are the occurrences with a mark in the store.
	written map[int]struct{}
}

// State returns the state that callers may see.
func (j *Job) State() model.State {
	switch {
	case j.shown.Final():
		return j.shown
	case j.begun:
		return model.Active
	}
	return model.Queued
}

// IsOver says whether the job needs no more runs.
func (j *Job) IsOver() bool { return j.state.Final() }

// HasBegun says whether any task was ever started.
func (j *Job) HasBegun() bool { return j.begun }

// newOccurrence builds occurrence k with all tasks waiting.
func (j *Job) newOccurrence(k int) *Occurrence {
	o := &Occurrence{Job: j, Number: k}
	if j.Work.Timed {
		o.Due = j.Work.Start + time.Duration(k)*j.Work.Period
	}
	first := 0
	for i := range j.Work.Steps {
		ms := &j.Work.Steps[i]
		s := &Step{Step: ms, Number: i, Occ: o, Left: ms.Count, first: first, Tasks: make([]*Task, ms.Count)}
		tasks := make([]Task, ms.Count)
		for n := range tasks {
			tasks[n] = Task{ID: model.TaskID{Job: j.ID, Occurrence: k, Step: i, Index: n}, Step: s}
			s.Tasks[n] = &tasks[n]
		}
		first += ms.Count
		o.Left += ms.Count
		o.Steps = append(o.Steps, s)
	}
	return o
}

// Runs calls f for each run of the job.
func (j *Job) Runs(f func(*Run)) {
	for _, o := range j.Open {
		o.runs(f)
	}
}

func (o *Occurrence) runs(f func(*Run)) {
	for _, s := range o.Steps {
		for _, t := range s.Tasks {
			for _, r := range t.Runs {
				f(r)
			}
		}
	}
}

// Task returns a task of an open occurrence, or nil.
func (j *Job) Task(id model.TaskID) *Task {
	for _, o := range j.Open {
		if o.Number != id.Occurrence {
			continue
		}
		if id.Step >= len(o.Steps) || id.Index >= len(o.Steps[id.Step].Tasks) {
			return nil
		}
		return o.Steps[id.Step].Tasks[id.Index]
	}
	return nil
}
