package admit

import "time"

// Reason is why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	// Deadline means that the request was expected to end after its deadline.
	Deadline Reason = iota
	// TooLong means that the request was expected to wait longer than its urgency allows.
	TooLong
	// Full means that the service has reached its limit of waiting tickets.
	Full
	reasons
)

// String returns the name of the reason.
func (r Reason) String() string {
	switch r {
	case Deadline:
		return "deadline"
	case TooLong:
		return "queue too long"
	case Full:
		return "queue full"
	default:
		return "unknown"
	}
}

// RefusedError is the error that Push returns for a request that was refused. The request did not
// run.
type RefusedError struct {
	// Reason is the limit that the request exceeds.
	Reason Reason
	// RetryAfter is the time after which the queue is expected to be short enough, 0 if waiting
	// does not help.
	RetryAfter time.Duration
}

// Error returns the reason and the time after which a repeated request may be accepted.
func (e *RefusedError) Error() string {
	return "request refused and not run: " + e.Reason.String() + ", retry after " + e.RetryAfter.String()
}
