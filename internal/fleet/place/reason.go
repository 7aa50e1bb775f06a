package place

import (
	"fmt"
	"strings"
	"time"
)

// Reason is why a job ended without a result. It is one of *NeverFits, *OverQuota,
// *DeadlinePassed, *RetriesExhausted, *OutcomeUnknown, *NotRetryable and *Cancelled.
type Reason interface {
	error
	reason()
}

// NeverFits reports a job that is larger than every worker. Largest is the worker size that
// comes closest.
type NeverFits struct {
	Job           string
	Need, Largest Amount
}

// OverQuota reports a job that is larger than its team's whole quota.
type OverQuota struct {
	Job, Team string
	Need      Amount
	Quota     Amount
}

// DeadlinePassed reports a job whose deadline passed before it was placed.
type DeadlinePassed struct {
	Job      string
	Deadline time.Duration
}

// RetriesExhausted reports a job that failed on several healthy workers.
type RetriesExhausted struct {
	Job     string
	Workers []string
}

// OutcomeUnknown reports a non-idempotent job whose worker was lost: it may have run.
type OutcomeUnknown struct{ Job, Worker string }

// NotRetryable reports a non-idempotent job that ran and failed or was stopped.
type NotRetryable struct{ Job, Worker string }

// Cancelled reports a running job that was cancelled and has stopped.
type Cancelled struct{ Job string }

// UnknownTeamError is returned for a job of a team that does not exist.
type UnknownTeamError struct{ Job, Team string }

// DuplicateError is returned for a job whose name is queued or running already.
type DuplicateError struct{ Job string }

// StaleTokenError is returned for a report under a token that is not the current one.
type StaleTokenError struct {
	Job            string
	Token, Current uint64
}

func (*NeverFits) reason()        {}
func (*OverQuota) reason()        {}
func (*DeadlinePassed) reason()   {}
func (*RetriesExhausted) reason() {}
func (*OutcomeUnknown) reason()   {}
func (*NotRetryable) reason()     {}
func (*Cancelled) reason()        {}

func (e *NeverFits) Error() string {
	return fmt.Sprintf("job %q needs %+v, the closest worker has %+v", e.Job, e.Need, e.Largest)
}

func (e *OverQuota) Error() string {
	return fmt.Sprintf("job %q needs %+v, team %q has a quota of %+v", e.Job, e.Need, e.Team, e.Quota)
}

func (e *DeadlinePassed) Error() string {
	return fmt.Sprintf("job %q was not placed before its deadline at %v", e.Job, e.Deadline)
}

func (e *RetriesExhausted) Error() string {
	return fmt.Sprintf("job %q failed on healthy workers: %s", e.Job, strings.Join(e.Workers, ", "))
}

func (e *OutcomeUnknown) Error() string {
	return fmt.Sprintf("outcome of job %q unknown: worker %q was lost", e.Job, e.Worker)
}

func (e *NotRetryable) Error() string {
	return fmt.Sprintf("non-idempotent job %q ran on worker %q and failed", e.Job, e.Worker)
}

func (e *Cancelled) Error() string {
	return fmt.Sprintf("job %q was cancelled", e.Job)
}

func (e *UnknownTeamError) Error() string {
	return fmt.Sprintf("job %q names unknown team %q", e.Job, e.Team)
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("job %q is queued or running already", e.Job)
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("token %d of job %q is not the current token %d", e.Token, e.Job, e.Current)
}
