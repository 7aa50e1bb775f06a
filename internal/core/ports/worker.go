package ports

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// ErrWorkers is the class of calls to workers that failed or whose answer was lost. The call
// may or may not have taken effect.
var ErrWorkers = errs.Class("workers unavailable")

// TaskPhase is the phase of a task on its worker.
type TaskPhase string

// Phases of a task.
const (
	TaskRunning   TaskPhase = "running"
	TaskSucceeded TaskPhase = "succeeded"
	TaskFailed    TaskPhase = "failed"
	// TaskStopped is the phase of a task that Checkpoint or Stop ended.
	TaskStopped TaskPhase = "stopped"
)

// Resources is an amount of a worker's resources.
type Resources struct {
	// Cores is in thousandths of a core.
	Cores int64
	// Memory is in bytes.
	Memory       int64
	Accelerators int64
}

// Task is a task as its worker last reported it. A worker lists an ended task until it
// receives a Forget for it.
type Task struct {
	Job   string
	Token uint64
	Phase TaskPhase
	// Used is the current usage. The usage of accelerators is not measured.
	Used Resources
	// Throttled reports whether the task was reduced to half of its cores by a Throttle.
	Throttled bool
}

// Worker is a worker as it was last reported.
type Worker struct {
	Name   string
	Size   Resources
	Rack   string
	Centre string
	// Boot is a number that increases each time the worker loses its tasks and their state.
	Boot uint64
	// Age is the age of the report. A worker whose report is older than the lease of a task
	// no longer runs the task.
	Age   time.Duration
	Tasks []Task
}

// TaskKey identifies one placement of a job.
type TaskKey struct {
	Worker string
	Job    string
	// Token is the fencing token of the placement.
	Token uint64
}

// TaskSpec holds the parameters with which a task is started.
type TaskSpec struct {
	// Boot is the boot number that the worker must have; with another one it refuses the
	// task.
	Boot uint64
	// Lease is how long the worker keeps the task while it can't report.
	Lease time.Duration
	// Need is the amount of resources that the job declared.
	Need Resources
	// Checkpoint reports whether the job can be stopped at a checkpoint.
	Checkpoint bool
}

// CommandKind is the kind of a command to a worker about one of its tasks.
type CommandKind string

// Commands that free resources, Restore, which ends a throttle, and Forget, which removes an
// ended task from the list.
const (
	Throttle   CommandKind = "throttle"
	Restore    CommandKind = "restore"
	Checkpoint CommandKind = "checkpoint"
	Stop       CommandKind = "stop"
	Forget     CommandKind = "forget"
)

// Workers runs tasks on the platform's workers. The list of workers lags behind the actual
// state.
type Workers interface {
	// Workers returns all workers. It returns an ErrWorkers.
	Workers(ctx context.Context) ([]Worker, error)
	// Start starts a task. It is idempotent for a job and a token. It returns a
	// *StaleTaskError or a *NotStartedError if the call started nothing, and an ErrWorkers
	// if the outcome is unknown.
	Start(ctx context.Context, k TaskKey, s TaskSpec) error
	// Command throttles, restores, checkpoints, stops or forgets a task, and returns the
	// resulting phase of the task. A task that had ended before keeps its phase. It returns a
	// *NoTaskError or an ErrWorkers.
	Command(ctx context.Context, k TaskKey, kind CommandKind) (TaskPhase, error)
}

// StaleTaskError reports that the worker has received a newer token for the job, or has
// forgotten a task that ended under the same token.
type StaleTaskError struct {
	Key TaskKey
	// Newest is the newest token that the worker has received for the job.
	Newest uint64
}

func (e *StaleTaskError) Error() string {
	return fmt.Sprintf("worker %s has seen token %d for job %q, which ends token %d",
		e.Key.Worker, e.Newest, e.Key.Job, e.Key.Token)
}

// NotStartedError reports that a worker refused a task and that the call started nothing.
type NotStartedError struct {
	Key TaskKey
	// Reason is the reason given by the worker: unknown, boot or full.
	Reason string
}

func (e *NotStartedError) Error() string {
	return fmt.Sprintf("worker %s did not start job %q: %s", e.Key.Worker, e.Key.Job, e.Reason)
}

// NoTaskError reports that a worker has no task under a token.
type NoTaskError struct {
	Key TaskKey
}

func (e *NoTaskError) Error() string {
	return fmt.Sprintf("worker %s has no task of job %q under token %d", e.Key.Worker, e.Key.Job, e.Key.Token)
}
