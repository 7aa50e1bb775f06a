package tenure

import "time"

// Orders for an instance that two leaders send must lie a turn apart, and none of the
// earlier leader may follow one of the later: the platform may not check their tokens. A
// leader stores each order before it sends it, and sends it only for a short while after
// that, however long it was suspended meanwhile. A later leader finds the record, and waits
// from then until no call of the earlier one can arrive any more, and a turn longer.
const (
	// sendWithin is how long after the note of an order it may be sent: an append, also while
	// the store is slow.
	sendWithin = 500 * time.Millisecond
	// OrderTimeout bounds the call that carries an order out, connecting included.
	OrderTimeout = 700 * time.Millisecond
	// clockSlack is how far the clocks of two entries may lie apart.
	clockSlack = 300 * time.Millisecond
)

// MaySend says whether an order may still be sent that was noted at noted.
func MaySend(noted, now time.Duration) bool { return now >= noted && now <= noted+sendWithin }

// TurnEnds returns when a leader may order an instance for which an earlier leader noted an
// order at noted, by the clock of the day. turn is the least time between orders of two.
func TurnEnds(noted, turn time.Duration) time.Duration {
	return noted + sendWithin + OrderTimeout + turn + clockSlack
}
