package elect

import "time"

// Orders of two leaders for one instance must be at least a handover interval apart, and no order
// of the earlier leader may follow one of the later. The platform may not check fencing tokens, so
// this relies on time: a leader stores each order before it sends it, and sends it only within
// sendWindow of recording it, however long the process was suspended. A later leader reads the
// record and waits until no call of the earlier leader can arrive any more, and one interval
// longer.
const (
	// sendWindow is how long after an order was recorded it may be sent. It covers an append, also
	// while the store is slow.
	sendWindow = 500 * time.Millisecond
	// OrderTimeout is the timeout of the call that sends an order, including the connection.
	OrderTimeout = 700 * time.Millisecond
	// MaxClockSkew is the largest difference between the wall clocks of two entries.
	MaxClockSkew = 300 * time.Millisecond
)

// MaySend reports whether an order that was recorded at recorded may still be sent.
func MaySend(recorded, now time.Duration) bool { return now >= recorded && now <= recorded+sendWindow }

// HandoverEnd returns the wall-clock time from which a leader may send orders to an instance for
// which an earlier leader recorded an order at recorded. interval is the least time between orders
// of two leaders.
func HandoverEnd(recorded, interval time.Duration) time.Duration {
	return recorded + sendWindow + OrderTimeout + interval + MaxClockSkew
}
