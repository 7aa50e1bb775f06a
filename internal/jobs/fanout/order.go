package fanout

import "time"

// AnswerMargin is how much earlier than the leader an entry abandons a call, so that its outcome
// arrives before the leader's timeout.
const AnswerMargin = 50 * time.Millisecond

// SendLimit returns the time limit of a call that the leader waits for until expires, and that may be begun
// until until. An order whose limit is not positive is not sent.
func SendLimit(expires, until, now time.Duration) time.Duration {
	if now >= until {
		return 0
	}
	return expires - now - AnswerMargin
}

// Expiry returns when an order expires, on the clock of the entry that makes the call: at until, or limit
// after its arrival if that is earlier. The leader no longer waits for it then, and may have started the
// task elsewhere. An order without until comes from an entry of an earlier version.
func Expiry(limit, arrived, until time.Duration) time.Duration {
	if until != 0 {
		return min(arrived+limit, until)
	}
	return arrived + limit
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
