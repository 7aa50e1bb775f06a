// Package retry decides when callers that can't be served at present may retry. It is built for
// outages of the store of less than a second to about ten seconds. Callers retry a few times and
// then give up, and all that wait come back at about the same time.
package retry

import "time"

const (
	// minDelay is the shortest delay, and the unit of the Retry-After header.
	minDelay = 1 * time.Second
	// maxDelay is the longest delay. A caller no longer needs the response some ten seconds after
	// its first request.
	maxDelay = 5 * time.Second
	// delayPerOutage is the delay per second that the outage has lasted.
	delayPerOutage = 0.75
	// jitterShare is the share of the delay that is random, so that callers don't all come back in
	// the same second.
	jitterShare = 0.5
)

// After returns the delay after which a caller may retry while the store has not answered for so
// long. An outage that has lasted for a while is about as likely as not to end within the same time
// again, so the delays grow with it. draw is a random number in [0, 1).
func After(outage time.Duration, draw float64) time.Duration {
	t := time.Duration(float64(outage) * delayPerOutage * (1 - jitterShare/2 + jitterShare*draw))
	return min(max(t.Round(minDelay), minDelay), maxDelay)
}
