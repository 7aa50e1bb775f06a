// Package flows runs callers' requests from admission to the answer: it queues them, claims
// non-idempotent ids, picks endpoints, retries where that is safe, and checks the view lease right
// before each attempt.
package flows

import (
	"io"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
)

// Call is one request of a caller.
type Call struct {
	// RequestID is the request id as text.
	RequestID string
	// ID is the parsed id of a non-idempotent request.
	ID         claim.ID
	Idempotent bool
	// Repeated reports that an earlier request with the same id may have run.
	Repeated bool
	// Pool is the pool on which the caller expects the service, empty for any.
	Pool        string
	Service     string
	Team        string
	Urgency     admit.Urgency
	ContentType string
	Body        []byte
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
}

// Result is the result of a call: Answered, Failed, NotRun or Unknown.
type Result interface{ isResult() }

// Answered is the endpoint's complete answer, or the verified head of a streamed one.
type Answered struct {
	Status      int
	ContentType string
	// Length is the length of the body in bytes, -1 if it is not known.
	Length int64
	// Whole is the body if it was buffered.
	Whole []byte
	// Body streams the body otherwise and must be closed. A read error means that the body is
	// truncated.
	Body io.ReadCloser
}

// Failed reports that the request ran and that the service reported a failure.
type Failed struct{ Answered }

// NotRun reports that the request was not run and will not be run under this attempt.
type NotRun struct {
	Reason Reason
	// RetryAfter is the time after which the caller may retry, 0 if none is given.
	RetryAfter time.Duration
}

// Unknown reports that the request may have run. It is not run again.
type Unknown struct{ Reason Reason }

func (Answered) isResult() {}
func (NotRun) isResult()   {}
func (Unknown) isResult()  {}

// Reason is why a request was not run or why its outcome is unknown.
type Reason string

// Reasons for NotRun.
const (
	// UnknownService: no service of that name is configured.
	UnknownService Reason = "unknown-service"
	// WrongPool: the service is placed on another pool.
	WrongPool Reason = "wrong-pool"
	// Deadline: the deadline can't be met, or has passed in the queue.
	Deadline Reason = "deadline"
	// Busy: the queue is too long.
	Busy Reason = "busy"
	// NoEndpoint: no endpoint can take the request.
	NoEndpoint Reason = "no-endpoint"
	// Unconfirmed: this entry can't confirm that its view is current.
	Unconfirmed Reason = "unconfirmed-view"
	// Unclaimed: the claim of the id was not granted in time.
	Unclaimed Reason = "claim-unavailable"
	// Cancelled: the caller disconnected before the request was sent.
	Cancelled Reason = "cancelled"
	// Stopping: this entry is stopping.
	Stopping Reason = "stopping"
)

// Reasons for Unknown.
const (
	// Broken: the endpoint returned no complete answer.
	Broken Reason = "no-whole-answer"
	// Running: the first attempt is still running.
	Running Reason = "running"
	// HolderLost: the entry that ran the request can't be reached or has no record of it.
	HolderLost Reason = "holder-lost"
	// TooOld: the id is older than the time for which ids are kept.
	TooOld Reason = "id-too-old"
	// EarlierAttempt: this request was refused, and the outcome of an earlier one with the same id
	// is not known to this entry.
	EarlierAttempt Reason = "earlier-attempt"
	// AnswerNotKept: the answer was streamed and not kept.
	AnswerNotKept Reason = "answer-not-kept"
)
