package ports

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// ErrWorkers is the class of calls to the workers that failed or whose answer was
// lost. The action may or may not have been carried out.
var ErrWorkers = errs.Class("workers unavailable")

// TaskPhase is the phase of a task on its worker.
type TaskPhase string

// Phases of a task.
const (
	TaskRunning   TaskPhase = "running"
	TaskSucceeded TaskPhase = "succeeded"
	TaskFailed    TaskPhase = "failed"
	// TaskStopped tasks were ended by Checkpoint or Stop.
	TaskStopped TaskPhase = "stopped"
)

// Size is an amount of a worker's resources.
type Size struct {
	// Cores is in thousandths of a core.
	Cores int64
	// Memory is in bytes.
	Memory       int64
	Accelerators int64
}

// Task is one task as its worker last reported it. A worker lists an ended task until
// it is told to forget it.
type Task struct {
	Job   string
	Token uint64
	Phase TaskPhase
	// Used is the present use. Accelerators are not measured.
	Used Size
	// Throttled says that the task has half of its cores since a Throttle.
	Throttled bool
}

// Worker is one worker as it last reported itself.
type Worker struct {
	Name   string
	Size   Size
	Rack   string
	Centre string
	// Boot increases each time the worker lost its tasks and what it knew of them.
	Boot uint64
	// Age is the age of the report. A worker whose report is older than the lease of a
	// task does not hold the task any more.
	Age   time.Duration
	Tasks []Task
}

// TaskKey names one placement of a job.
type TaskKey struct {
	Worker string
	Job    string
	// Token is the fencing token of the placement.
	Token uint64
}

// TaskSpec is what a task is started with.
type TaskSpec struct {
	// Boot is the boot number that the worker must have.
	Boot uint64
	// Lease is how long the worker holds the task without a report of the worker.
	Lease time.Duration
	// Need is the declared need.
	Need Size
	// Checkpoint says that the job can be stopped at a checkpoint.
	Checkpoint bool
}

// Means is what a worker is asked to do with a task.
type Means string

// Means of making room, Restore, which ends a throttle, and Forget, which takes an
// ended task off the list.
const (
	Throttle   Means = "throttle"
	Restore    Means = "restore"
	Checkpoint Means = "checkpoint"
	Stop       Means = "stop"
	Forget     Means = "forget"
)

// Workers runs tasks on the platform's workers. The list lags behind the truth.
type Workers interface {
	// Workers returns all workers. It returns an ErrWorkers.
	Workers(ctx context.Context) ([]Worker, error)
	// Start starts a task. Starting a job again under the same token is one task. It
	// returns a *StaleTaskError or a *NotStartedError, after which the call started
	// nothing, or an ErrWorkers.
	Start(ctx context.Context, k TaskKey, s TaskSpec) error
	// Ask throttles, restores, checkpoints, stops or forgets a task, and returns the
	// phase that the task then has. A task that has ended before keeps its phase. It
	// returns a *NoTaskError or an ErrWorkers.
	Ask(ctx context.Context, k TaskKey, m Means) (TaskPhase, error)
}

// StaleTaskError says that the worker has seen a newer token for the job, or has
// forgotten a task that ended under the same token.
type StaleTaskError struct {
	Key TaskKey
	// Newest is the newest token that the worker has seen for the job.
	Newest uint64
}

func (e *StaleTaskError) Error() string {
	return fmt.Sprintf("worker %s has seen token %d for job %q, which ends token %d",
		e.Key.Worker, e.Newest, e.Key.Job, e.Key.Token)
}

// NotStartedError says that a worker refused a task and that the call started nothing.
type NotStartedError struct {
	Key TaskKey
	// Reason is the worker's word for the refusal: unknown, boot or full.
	Reason string
}

func (e *NotStartedError) Error() string {
	return fmt.Sprintf("worker %s did not start job %q: %s", e.Key.Worker, e.Key.Job, e.Reason)
}

// NoTaskError says that a worker has no task under a token.
type NoTaskError struct {
	Key TaskKey
}

func (e *NoTaskError) Error() string {
	return fmt.Sprintf("worker %s has no task of job %q under token %d", e.Key.Worker, e.Key.Job, e.Key.Token)
}
