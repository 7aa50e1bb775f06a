// Package track keeps the accepted jobs with the state of their tasks and runs. It decides which
// tasks can start and when a job is over, applies what executors report, and encodes the progress
// to store. It does not choose executors. A Tracker is not safe for concurrent use.
package track

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Phase is the phase of a run.
type Phase uint8

// Phases of a run.
const (
	// Starting runs were ordered and are not confirmed yet.
	Starting Phase = iota
	Running
	// Stopping runs were ordered to stop, and their end is not listed yet.
	Stopping
	// Uncertain runs may have started: there was no response to the order.
	Uncertain
)

// String returns the phase for log lines.
func (p Phase) String() string { return [...]string{"starting", "running", "stopping", "uncertain"}[p] }

// Run is one run of a task on an executor.
type Run struct {
	Attempt  int
	Executor string
	// Fence is the fencing token of its order. An executor that has seen a higher token does not
	// start the run.
	Fence uint64
	Phase Phase
	// OrderedAt is when it was ordered, and PhaseSince when it entered its phase.
	OrderedAt, PhaseSince time.Duration
	Percent               float64
	Checkpoint            string
	// savedSeen is the number of the observation of Checkpoint.
	savedSeen int64
	// Metric is the tail latency in milliseconds of a serving task, and the cores in use, in
	// thousandths, of any other task.
	Metric int64
	// Pace is the share of its full speed that it may use, in percent.
	Pace int
	// LastProgress is when Percent last grew, and PercentTime the longest time that 1% has taken so far, 0 if it has
	// not grown.
	LastProgress time.Duration
	PercentTime  time.Duration
	// Adopted is set for a run of an earlier leader.
	Adopted bool
	// rateFrom is when progress was first listed, and ratePercent that progress.
	rateFrom     time.Duration
	ratePercent  float64
	savedPercent float64
	// MissedLists counts the lists of its executor that did not contain it.
	MissedLists int
	Task        *Task
}

// Task is one task of an occurrence.
type Task struct {
	ID   model.TaskID
	Step *Step
	Done bool
	// failures are the runs that failed. The failures and the checkpoint of a gang are kept with its
	// first task.
	failures []failure
	// Attempt is the highest attempt so far.
	Attempt int
	// Checkpoint is the checkpoint to resume from, empty for none. It is from a run of the attempt
	// savedBy, 0 if it was loaded, and the observation savedSeen.
	Checkpoint string
	savedBy    int
	savedSeen  int64
	Runs       []*Run
	// Unresolved tasks may run on an executor that a new leader has not contacted yet.
	Unresolved bool
	// Avoided are executors on which it failed, and LastFailure is when it last did, 0 if this leader
	// has not seen that.
	Avoided     []string
	LastFailure time.Duration
	// NotBefore is the earliest time of the next start, after a refusal.
	NotBefore time.Duration
	// Stalls is how often this leader has stopped a run of it as stalled, and Stall the last one that no other run
	// has shown to be the executor's fault.
	Stalls int
	Stall  Stall
	// SlowMoves is how often it was moved by this leader because its run was slow.
	SlowMoves int
}

// Stall is a run that was stopped after a time without progress.
type Stall struct {
	Executor string
	Silent   time.Duration
}

// failure is a run that failed. It counts permanently once the executor was told that its end is
// stored; until then it is void if the executor is lost.
type failure struct {
	attempt   int
	confirmed bool
}

// IsWaiting reports whether the task has no run and needs one.
func (t *Task) IsWaiting() bool {
	return !t.Done && len(t.Runs) == 0 && !t.Unresolved && !t.isExhausted()
}

// owner returns the task that keeps the failures and the checkpoint of t. The members of a gang have
// to be started with the same checkpoint.
func (t *Task) owner() *Task {
	if t.Step.Gang {
		return t.Step.Tasks[0]
	}
	return t
}

// isExhausted reports whether the task has no attempts left, counting unconfirmed failures.
func (t *Task) isExhausted() bool {
	return !t.Step.LongRunning && len(t.owner().failures) >= t.Step.Occ.Job.maxFailures()
}

// HasLastAttempt reports whether one more failure ends the job.
func (t *Task) HasLastAttempt() bool {
	return !t.Step.LongRunning && len(t.owner().failures)+1 >= t.Step.Occ.Job.maxFailures()
}

// Failures returns the number of runs of the task, or of its gang, that failed, including unconfirmed
// failures.
func (t *Task) Failures() int { return len(t.owner().failures) }

// confirmedFailures returns the number of failures that count permanently.
func (t *Task) confirmedFailures() int {
	n := 0
	for _, f := range t.owner().failures {
		if f.confirmed {
			n++
		}
	}
	return n
}

// maxFailures returns the number of failures of a task after which the job fails.
func (j *Job) maxFailures() int { return max(j.Settings.Attempts, 1) }

// index returns the position of the task among all tasks of its occurrence.
func (t *Task) index() int { return t.Step.firstIndex + t.ID.Index }

// Step is one step of an occurrence.
type Step struct {
	*model.Step
	Number int
	Occ    *Occurrence
	Tasks  []*Task
	// Left is the number of tasks that are not done.
	Left int
	// Running is the number of runs of its tasks that may be on an executor.
	Running int
	// paces are those of the last runs with progress, on two executors.
	paces [2]pace
	// HeldSince is since when placement has kept its tasks away from executors with capacity, because they have
	// failed there or the executors are on probation, 0 if it does not.
	HeldSince time.Duration
	// firstIndex is the position of its first task among all tasks of the occurrence.
	firstIndex int
	// GangAttempt is the attempt of the current run of a gang.
	GangAttempt int
}

// IsReady reports whether the step is not done and all steps that it depends on are.
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

// servingPercent is the progress that a serving long-running task reports, in percent.
const servingPercent = 100

// IsServing reports whether a run of the long-running task is serving.
func (t *Task) IsServing() bool {
	for _, r := range t.Runs {
		if r.Phase == Running && r.Percent >= servingPercent {
			return true
		}
	}
	return false
}

// Occurrence is one execution of the steps of a job.
type Occurrence struct {
	Job    *Job
	Number int
	// Due is its due time in Unix time, 0 for a job that is not scheduled.
	Due   time.Duration
	Steps []*Step
	// Left is the number of tasks that are not done.
	Left int
	// dirtyParts are the parts of its progress with changes that are not stored yet.
	dirtyParts map[int]struct{}
}

// Job is one accepted job.
type Job struct {
	ID    string
	Queue string
	// Account is the client account that submitted it, empty for none.
	Account string
	// Excess is set while the job is beyond the rate that its account is owed.
	Excess bool
	Spec   model.JobSpec
	// Accepted is when it was accepted, in Unix time.
	Accepted time.Duration
	// SeenAt is when this process first received it.
	SeenAt time.Duration
	// Settings are the settings of its queue when it was accepted.
	Settings model.Queue
	// Open are the occurrences that are due and not complete, in order.
	Open []*Occurrence
	// nextOccurrence is the number of the first occurrence that was not opened in turn, and complete are those
	// that are complete.
	nextOccurrence int
	complete       occurrenceSet
	// unopened bounds the occurrences besides the open ones that an earlier leader may have had open while the
	// job is unresolved, and unopenedProgress is what is stored of occurrences that are not open yet.
	unopened         int
	unopenedProgress map[int]progressParts
	begun            bool // any task has started
	// state is the current state, if final, and visible the one that callers may see: a final state
	// becomes visible once it is stored.
	state   model.State
	visible model.State
	// endedAt is when the job ended, in Unix time, or when its record was last renewed (RenewLeft).
	endedAt time.Duration
	// unresolved is set while an earlier leader may have started tasks that are not known to run, and
	// attemptBase is the highest attempt assumed for them.
	unresolved  bool
	attemptBase int
	// layout says how its progress is divided into records, and storedProgress are those in the store.
	layout         progressLayout
	storedProgress map[progressID]struct{}
	// services are those that tasks may be sent to besides the one at acceptance, with true for those
	// that are stored.
	services map[string]bool
	// left is what its runs may have needed when it ended, and unlisted the part of it for runs that no
	// executor has listed to this leader.
	left, unlisted Left
	evidence       evidence
	// BodyBytes is the size of its submission, 0 if it is not known.
	BodyBytes int
	// parked is its stored form while its steps and tasks are not in memory, nil otherwise.
	parked *parked
}

// State returns the state that callers may see.
func (j *Job) State() model.State {
	switch {
	case j.visible.IsFinal():
		return j.visible
	case j.begun:
		return model.Active
	}
	return model.Queued
}

// IsOver reports whether the job needs no more runs.
func (j *Job) IsOver() bool { return j.state.IsFinal() }

// HasBegun reports whether any task has started.
func (j *Job) HasBegun() bool { return j.begun }

// IsUnresolved reports whether tasks of the job may run on executors that a new leader has not
// contacted yet.
func (j *Job) IsUnresolved() bool { return j.unresolved }

// due returns the due time of occurrence k of a scheduled job, in Unix time.
func (j *Job) due(k int) time.Duration { return j.Spec.Start + time.Duration(k)*j.Spec.Period }

// newOccurrence returns occurrence k with all tasks waiting.
func (j *Job) newOccurrence(k int) *Occurrence {
	o := &Occurrence{Job: j, Number: k}
	if j.Spec.Scheduled {
		o.Due = j.due(k)
	}
	first := 0
	for i := range j.Spec.Steps {
		ms := &j.Spec.Steps[i]
		s := &Step{Step: ms, Number: i, Occ: o, Left: ms.Count, firstIndex: first, Tasks: make([]*Task, ms.Count)}
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

// ForEachRun calls f for each run of the job.
func (j *Job) ForEachRun(f func(*Run)) {
	for _, o := range j.Open {
		o.forEachRun(f)
	}
}

func (o *Occurrence) forEachRun(f func(*Run)) {
	for _, s := range o.Steps {
		for _, t := range s.Tasks {
			for _, r := range t.Runs {
				f(r)
			}
		}
	}
}

// Task returns a task of an open occurrence, or nil if there is none.
func (j *Job) Task(id model.TaskID) *Task {
	i, ok := j.findOpen(id.Occurrence)
	if !ok {
		return nil
	}
	o := j.Open[i]
	if id.Step >= len(o.Steps) || id.Index >= len(o.Steps[id.Step].Tasks) {
		return nil
	}
	return o.Steps[id.Step].Tasks[id.Index]
}
