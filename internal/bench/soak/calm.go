package soak

import (
	"sync"
	"time"
)

// calendar records when entries were disturbed.
type calendar struct {
	mu      sync.Mutex
	ongoing map[int]int           // disturbances in progress, by entry or everything
	last    map[int]time.Duration // when the last one ended
}

func newCalendar() *calendar { return &calendar{ongoing: map[int]int{}, last: map[int]time.Duration{}} }

// begin records the start of a disturbance of an entry, or of everything.
func (c *calendar) begin(entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ongoing[entry]++
}

// end records the end of a disturbance.
func (c *calendar) end(entry int, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ongoing[entry]--
	c.last[entry] = now
}

// isCalmSince reports whether an entry has been undisturbed since a time.
func (c *calendar) isCalmSince(entry int, at time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range []int{entry, everything} {
		if last, ok := c.last[e]; c.ongoing[e] > 0 || ok && last >= at {
			return false
		}
	}
	return true
}
