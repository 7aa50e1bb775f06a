// Package claim decides at-most-once execution of non-idempotent requests. An
// Index folds the claims stream of one slice and says which claim of an id wins;
// Attempts keeps the life cycle of the claims that this entry holds.
package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	// Slices is the number of claims streams.
	Slices = 8
	// Horizon is how long an id can be used after its issue time.
	Horizon = 10 * time.Minute
	// Skew bounds the difference between any two wall clocks of callers and entries.
	Skew = 5 * time.Second
)

// ID is a request id, a UUID of version 7.
type ID [16]byte

// IDError says why a request id can't be used.
type IDError struct {
	Text   string
	Reason string
}

func (e *IDError) Error() string {
	return fmt.Sprintf("request id %q: %s", e.Text, e.Reason)
}

// ParseID reads a UUID of version 7 in its usual text form. It returns an *IDError.
func ParseID(text string) (ID, error) {
	if len(text) != 36 {
		return ID{}, &IDError{Text: text, Reason: "expected a UUID of 36 characters"}
	}
	u, err := uuid.Parse(text)
	if err != nil {
		return ID{}, &IDError{Text: text, Reason: "expected a UUID"}
	}
	if u.Version() != 7 {
		return ID{}, &IDError{Text: text, Reason: "expected a UUID of version 7"}
	}
	return ID(u), nil
}

// NewID returns a new id issued at the current wall-clock time.
func NewID() ID { return ID(uuid.Must(uuid.NewV7())) }

// String returns the usual text form.
func (id ID) String() string { return uuid.UUID(id).String() }

// Issued returns the issue time in the id, in milliseconds since the Unix epoch.
func (id ID) Issued() int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// Slice returns the claims stream to which the id belongs.
func (id ID) Slice() int { return int(xxhash.Sum64(id[:]) % Slices) }

// Stream returns the name of a slice's claims stream.
func Stream(slice int) string { return fmt.Sprintf("claims-%d", slice) }

// Age says how an id's issue time relates to a wall-clock time.
type Age uint8

// Ages of an id.
const (
	Current Age = iota
	// Old ids may have been forgotten; their outcome is unknown.
	Old
	// Future ids are refused: a caller's clock is wrong.
	Future
)

// AgeAt classifies the id at a wall-clock time in milliseconds since the Unix epoch.
func (id ID) AgeAt(wall int64) Age {
	issued := id.Issued()
	if issued > wall+Skew.Milliseconds() {
		return Future
	}
	if issued < wall-Horizon.Milliseconds() {
		return Old
	}
	return Current
}
