// Package claim decides at-most-once execution of non-idempotent requests. An Index applies the
// claims stream of one slice and decides which claim of an id wins. Attempts tracks the state of
// the claims that this entry holds.
package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	// SliceCount is the number of claims streams.
	SliceCount = 8
	// IDLifetime is how long an id can be used after its issue time.
	IDLifetime = 10 * time.Minute
	// MaxClockSkew is the largest accepted difference between any two wall clocks of callers and
	// entries.
	MaxClockSkew = 5 * time.Second
)

// ID is a request id, a UUID of version 7.
type ID [16]byte

// IDError is the error for a text that is not a valid request id.
type IDError struct {
	Text   string
	Reason string
}

func (e *IDError) Error() string {
	return fmt.Sprintf("request id %q: %s", e.Text, e.Reason)
}

// ParseID parses a UUID of version 7 in its usual text form. It returns an *IDError if the text is
// anything else.
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

// Slice returns the number of the claims stream that the id belongs to.
func (id ID) Slice() int { return int(xxhash.Sum64(id[:]) % SliceCount) }

// Stream returns the name of the claims stream of a slice.
func Stream(slice int) string { return fmt.Sprintf("claims-%d", slice) }

// Age classifies the issue time of an id relative to a wall-clock time.
type Age uint8

// Ages of an id.
const (
	Current Age = iota
	// Old ids may have been removed from the index; their outcome is unknown.
	Old
	// Future ids are refused, because the clock of the caller is wrong.
	Future
)

// AgeAt classifies the id at a wall-clock time in milliseconds since the Unix epoch.
func (id ID) AgeAt(wall int64) Age {
	issued := id.Issued()
	if issued > wall+MaxClockSkew.Milliseconds() {
		return Future
	}
	if issued < wall-IDLifetime.Milliseconds() {
		return Old
	}
	return Current
}
