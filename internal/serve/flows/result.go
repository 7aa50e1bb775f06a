// Package flows carries callers' requests from admission to the answer: it queues
// them, claims non-idempotent ids, picks endpoints, retries where that is safe, and
// checks the view lease right before each send.
package flows

import (
	"io"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
)

// Call is one request of a caller.
type Call struct {
	// Text is the request id as the caller wrote it.
	RequestID string
	// ID is the parsed id of a non-idempotent request.
	ID         claim.ID
	Idempotent bool
	// Repeated says that an earlier ask with the same id may have run.
	Repeated bool
	// Pool is the pool that the caller expects the service on, empty for any.
	Pool        string
	Service     string
	Team        string
	Urgency     admit.Urgency
	ContentType string
	Body        []byte
	// Timeout is the time until the caller's deadline.
	Timeout time.Duration
}

// Result is what a caller is told: Answered, Failed, NotRun or Unknown.
type Result interface{ isResult() }

// Answered is a whole answer of the endpoint.
type Answered struct {
	Status      int
	ContentType string
	// Length is the length of the body in bytes, -1 if it is not known.
	Length int64
	// Whole is the body if it was buffered.
	Whole []byte
	// Body streams the body otherwise and must be closed. A read error means that
	// the answer is not whole.
	Body io.ReadCloser
}

// Failed says that the request ran and that the service reported a failure.
type Failed struct{ Answered }

// NotRun says that the request was not run and will not be run under this attempt.
type NotRun struct {
	Reason Reason
	// After is the time after which another try makes sense.
	RetryAfter time.Duration
}

// Unknown says that the request may have run. It is never run again.
type Unknown struct{ Reason Reason }

func (Answered) isResult() {}
func (NotRun) isResult()   {}
func (Unknown) isResult()  {}

// Reason says why a request was not run or why its outcome is unknown.
type Reason string

// Reasons for NotRun.
const (
	// UnknownService: no service of that name is configured.
	UnknownService Reason = "unknown-service"
	// WrongPool: the service is placed on another pool.
	WrongPool Reason = "wrong-pool"
	// Deadline: the deadline can't be met or passed in the queue.
	Deadline Reason = "deadline"
	// Busy: the queue is too long.
	Busy Reason = "busy"
	// NoEndpoint: no endpoint can take the request.
	NoEndpoint Reason = "no-endpoint"
	// Unconfirmed: this entry can't confirm that its view is current.
	Unconfirmed Reason = "unconfirmed-view"
	// Unclaimed: the id could not be claimed in the log in time.
	Unclaimed Reason = "claim-unavailable"
	// Cancelled: the caller went away before the request was sent.
	Cancelled Reason = "cancelled"
	// Stopping: this entry is stopping.
	Stopping Reason = "stopping"
)

// Reasons for Unknown.
const (
	// Broken: the endpoint gave no whole answer.
	Broken Reason = "no-whole-answer"
	// Running: the first attempt is still running.
	Running Reason = "running"
	// HolderLost: the entry that ran the request can't be asked.
	HolderLost Reason = "holder-lost"
	// TooOld: the id is older than ids are remembered.
	TooOld Reason = "id-too-old"
	// EarlierAttempt: this ask was refused, and the outcome of an earlier ask with the
	// same id is not known here.
	EarlierAttempt Reason = "earlier-attempt"
	// Dropped: the answer was not kept.
	AnswerNotKept Reason = "answer-not-kept"
)
