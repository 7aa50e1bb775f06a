package admit

import "time"

// Reason tells why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	// Deadline means that the request would end after its deadline.
	Deadline Reason = iota
	// TooLong means that the request would wait longer than its urgency allows.
	TooLong
	// Full means that the service has as many waiting tickets as it may have.
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

// RefusedError is returned by Push for a request that does not enter the queue. The request
// did not run.
type RefusedError struct {
	// Reason tells which limit refused the request.
	Reason Reason
	// After is the time after which the queue is expected to be short enough, 0 if waiting
	// does not help.
	After time.Duration
}

// Error returns the reason and the time after which a repeated request may be accepted.
func (e *RefusedError) Error() string {
	return "request refused and not run: " + e.Reason.String() + ", retry after " + e.After.String()
}
