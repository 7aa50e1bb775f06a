package fanout

import "time"

// AnswerMargin is how much earlier than the leader an entry abandons a call, so that its outcome
// arrives before the leader's timeout.
const AnswerMargin = 50 * time.Millisecond

// SendLimit returns the time limit of a call that the leader waits for until expires. An order whose
// limit is not positive is not sent.
func SendLimit(expires, now time.Duration) time.Duration { return expires - now - AnswerMargin }

// readingKeep is how long a reading of an entry's clock is used at most, since clocks drift.
const readingKeep = 5 * time.Second

// EntryClock is the leader's estimate of another entry's clock, which is not ahead of that clock. The
// zero value has no estimate.
type EntryClock struct {
	known         bool
	ahead, readAt time.Duration
}

// With returns the estimate after a reading of the entry's clock arrived at now.
func (c EntryClock) With(reading, now time.Duration) EntryClock {
	// A reading that was delayed less is closer.
	if ahead := reading - now; !c.known || ahead >= c.ahead || now > c.readAt+readingKeep {
		return EntryClock{known: true, ahead: ahead, readAt: now}
	}
	return c
}

// IsKnown reports whether there is an estimate.
func (c EntryClock) IsKnown() bool { return c.known }

// At returns what the entry's clock shows at least at a time of the leader's clock.
func (c EntryClock) At(t time.Duration) time.Duration { return t + c.ahead }

// Remaining returns how long an order that expires at until may still be carried out, on the clock of
// the entry that makes the call. An order whose remaining time is not positive is refused: the leader
// no longer waits for it, and may have taken its run for gone since. An order without until comes from
// an entry of an earlier version, and expires limit after its arrival.
func Remaining(limit, arrived, until, now time.Duration) time.Duration {
	if until != 0 {
		return until - now
	}
	return limit - (now - arrived)
}

// Fate is what the leader assumes of an order for which it has no outcome.
type Fate uint8

// Fates of orders without an outcome.
const (
	// Unsent orders were not sent, and there is time for the leader to make the call itself.
	Unsent Fate = iota
	// Expired orders were not sent, and the time for the call is over.
	Expired
	// Unknown orders may have been carried out, or may be later.
	Unknown
)

// FateOf returns the fate of an order without an outcome. sent reports whether it may have left the
// leader's process, and expired whether the time for the call is over.
func FateOf(sent, expired bool) Fate {
	switch {
	case sent:
		return Unknown
	case expired:
		return Expired
	}
	return Unsent
}
