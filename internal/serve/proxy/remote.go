package proxy

import "time"

// maxDrift is the largest fraction by which the clocks of two entries diverge.
const maxDrift = 0.001

// remoteClock estimates the clock of another entry from the readings in its messages. A message takes
// some time, so that the estimate is never ahead: an order that expires by it has expired.
type remoteClock struct {
	known bool
	// offset is what to add to the own clock, and syncedAt when it was determined.
	offset, syncedAt time.Duration
}

// sync applies a reading in microseconds that arrived at now. It reports whether it is the first one. 0
// is no reading.
func (c *remoteClock) sync(micros int64, now time.Duration) bool {
	if micros <= 0 || micros > maxClockMicros {
		return false
	}
	first := !c.known
	offset := time.Duration(micros)*time.Microsecond - now
	if first || offset >= c.at(now, now)-now {
		c.known, c.offset, c.syncedAt = true, offset, now
	}
	return first
}

// at returns the least reading that the other clock can show at a time of the own clock. now is the
// present time.
func (c *remoteClock) at(t, now time.Duration) time.Duration {
	return t + c.offset - time.Duration(maxDrift*float64(now-c.syncedAt))
}
