package ports

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Request is a request to an endpoint.
type Request struct {
	ID          string
	Service     string
	ContentType string // media type of the body
	Body        []byte
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
}

// Answer is an answer of an endpoint that echoes the id of the request. Body must be closed.
// A read of Body returns an *UnknownOutcomeError if the body is truncated or corrupt; the last
// block is returned only after the digest of the whole body was verified.
type Answer struct {
	Status      int
	ContentType string
	// Length is the length of the body in bytes, -1 if it is not declared.
	Length int64
	Header http.Header
	Body   io.ReadCloser
	// Buffered holds the verified body if it was small enough to be buffered, or nil.
	Buffered []byte
	// Leaving reports whether the endpoint announced that it accepts no new work.
	Leaving bool
}

// Endpoint sends requests to endpoints.
type Endpoint interface {
	// Call makes one attempt. It returns a *NotSentError, a *RefusedError or an
	// *UnknownOutcomeError.
	Call(ctx context.Context, addr string, r Request) (*Answer, error)
	// Probe checks that an endpoint answers and reports whether it is leaving.
	Probe(ctx context.Context, addr string) (leaving bool, err error)
}

// NotSentError reports that no byte of the request reached the endpoint.
type NotSentError struct {
	Addr  string
	Cause error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("request not sent to %s: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RefusedError reports that the endpoint refused the request without running it.
type RefusedError struct {
	Addr string
	// Reason is the reason given by the endpoint: slots, leaving or service.
	Reason string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("endpoint %s refused the request: %s", e.Addr, e.Reason)
}

// UnknownOutcomeError reports that at least a part of the request may have been sent and that
// no complete, valid answer was received, so that the request may have run.
type UnknownOutcomeError struct {
	Addr  string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("no whole answer from endpoint %s: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
