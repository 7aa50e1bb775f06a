package fanout

import "time"

// AnswerMargin is how much earlier than the leader an entry abandons a call, so that its outcome
// arrives before the leader's timeout.
const AnswerMargin = 50 * time.Millisecond

// SendLimit returns the time limit of a call that the leader waits for until expires. An order whose
// limit is not positive is not sent.
func SendLimit(expires, now time.Duration) time.Duration { return expires - now - AnswerMargin }

// Remaining returns how long an order that arrived at arrived may still be carried out. An order
// whose remaining time is not positive is refused: the leader no longer waits for it, and its lease
// may have expired since.
func Remaining(limit, arrived, now time.Duration) time.Duration { return limit - (now - arrived) }

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
