package track

import "slices"

const (
	// poisonExecutors is the number of sound executors on which a job must have failed before its
	// cause counts as the job. Sound executors fail 3% of their runs at most, so a job fails on two of
	// them before any success by their fault about once in a thousand jobs.
	poisonExecutors = 2
	// minFailedShare is the share of a job's runs so far that must have failed. Of a wide step, a few runs of a
	// sound job can fail before the first one is done.
	minFailedShare = 0.25
	// maxFailedOn bounds the executors that are remembered of a job.
	maxFailedOn = 4
)

// evidence is what speaks for and against a job that fails wherever it runs. A new leader learns it
// again, except for tasks that are done.
type evidence struct {
	// succeeded is set once any task was done, or a long-running one was serving.
	succeeded bool
	// started is the number of its runs so far, and failed that of those that failed on sound executors.
	started, failed int
	// failsEverywhere is set while enough of its runs have failed on enough sound executors.
	failsEverywhere bool
	// failedOn are sound executors on which its runs failed.
	failedOn []string
	// probe is the task that is tried while the job counts as poison.
	probe *Task
}

// RecordFailureOn records that a run failed on an executor that is not suspected.
func (j *Job) RecordFailureOn(executor string) {
	e := &j.evidence
	e.failed++
	if len(e.failedOn) < maxFailedOn && !slices.Contains(e.failedOn, executor) {
		e.failedOn = append(e.failedOn, executor)
	}
	if len(e.failedOn) >= poisonExecutors && float64(e.failed) >= minFailedShare*float64(e.started) {
		e.failsEverywhere = true
	}
}

// WithdrawFailures removes the evidence from an executor that has become a suspect.
func (j *Job) WithdrawFailures(executor string) {
	j.evidence.failedOn = slices.DeleteFunc(j.evidence.failedOn, func(e string) bool { return e == executor })
	j.evidence.failsEverywhere = j.evidence.failsEverywhere && len(j.evidence.failedOn) >= poisonExecutors
	j.evidence.probe = nil // other tasks may run until there is enough evidence again
}

// FailedOn returns the sound executors on which runs of the job failed.
func (j *Job) FailedOn() []string { return j.evidence.failedOn }

// FailsEverywhere reports whether enough runs of the job have failed on several sound executors and no task of it was
// ever done or serving.
func (j *Job) FailsEverywhere() bool {
	return !j.evidence.succeeded && j.evidence.failsEverywhere
}

// IsPoison reports whether the job will probably never succeed. Its tasks are then tried one at a time.
func (j *Job) IsPoison() bool { return j.FailsEverywhere() && !j.Spec.IsLongRunning() }

// Probe returns the task of a poison job to start next, the one with the most failures, or nil while
// the outcome of another run or failure is awaited. All members of a gang are started together.
func (j *Job) Probe() *Task {
	e := &j.evidence
	if e.probe == nil {
		e.probe = j.chooseProbe()
	}
	if e.probe == nil || !e.probe.IsWaiting() {
		return nil
	}
	return e.probe
}

// chooseProbe returns the waiting task with the most failures, or nil if a run is left from before or
// a failure may still end the job. It walks over all tasks, so its result is kept.
func (j *Job) chooseProbe() *Task {
	var best *Task
	for _, o := range j.Open {
		for _, s := range o.Steps {
			isReady := s.IsReady()
			for _, t := range s.Tasks {
				if len(t.Runs) > 0 || !t.Done && t.isExhausted() {
					return nil
				}
				if isReady && t.IsWaiting() && (best == nil || t.Failures() > best.Failures()) {
					best = t
				}
			}
		}
	}
	return best
}
