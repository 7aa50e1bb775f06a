package track

import "slices"

const (
	// poisonExecutors is the number of sound executors on which a job must have failed before its
	// cause counts as the job. Sound executors fail 3% of their runs at most, so a job fails on two of
	// them before any success by their fault about once in a thousand jobs.
	poisonExecutors = 2
	// maxFailedOn bounds the executors that are remembered of a job.
	maxFailedOn = 4
)

// evidence is what speaks for and against a job that fails wherever it runs. A new leader learns it
// again, except for tasks that are done.
type evidence struct {
	// succeeded is set once any task was done.
	succeeded bool
	// failedOn are sound executors on which its runs failed.
	failedOn []string
}

// RecordFailureOn records that a run failed on an executor that is not suspected.
func (j *Job) RecordFailureOn(executor string) {
	if e := &j.evidence; len(e.failedOn) < maxFailedOn && !slices.Contains(e.failedOn, executor) {
		e.failedOn = append(e.failedOn, executor)
	}
}

// WithdrawFailures removes the evidence from an executor that has become a suspect.
func (j *Job) WithdrawFailures(executor string) {
	j.evidence.failedOn = slices.DeleteFunc(j.evidence.failedOn, func(e string) bool { return e == executor })
}

// FailedOn returns the sound executors on which runs of the job failed.
func (j *Job) FailedOn() []string { return j.evidence.failedOn }

// FailsEverywhere reports whether the job has failed on several sound executors and no task of it was
// ever done.
func (j *Job) FailsEverywhere() bool {
	return !j.evidence.succeeded && len(j.evidence.failedOn) >= poisonExecutors
}
