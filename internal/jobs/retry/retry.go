// Package retry decides when callers may come back that can't be served at present. It
// answers outages of the store, which last from under a second to some ten: callers ask a
// few times and then give up, and all that wait come back at about the same time.
package retry

import "time"

const (
	// least is the shortest time that a caller is sent away for, and the unit of the
	// header that tells it.
	minDelay = 1 * time.Second
	// most bounds it: a caller's use for an answer ends some ten seconds after it asked.
	maxDelay = 5 * time.Second
	// growth is the time of an attempt's pause for each second that the outage has lasted.
	delayPerOutage = 0.75
	// spread is the part of the time by which callers are drawn apart, so that not all of
	// them come back in the same second.
	jitterShare = 0.5
)

// After returns when a caller may come back while the store has not answered for so long.
// An outage that has lasted for a while is about as likely to end within that time again
// as not, so the times between a caller's attempts grow with it. draw is a random number in
// [0, 1).
func After(outage time.Duration, draw float64) time.Duration {
	t := time.Duration(float64(outage) * delayPerOutage * (1 - jitterShare/2 + jitterShare*draw))
	return min(max(t.Round(minDelay), minDelay), maxDelay)
}
