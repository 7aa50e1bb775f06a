package elect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against orders of two leaders for one instance within the handover interval, and against
// an order of the earlier leader after one of the later. The earlier leader is suspended before or
// after its order is stored, its call arrives late, it is cut off from the store but not from the
// instances, or its clock is off.
func TestOrdersOfTwoLeadersKeepTheInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		interval := ms("interval", 5000)
		recorded := time.Hour
		// The wall clocks of two entries differ by up to 300 ms either way.
		skew := ms("skew", 600) - 300*time.Millisecond
		stored := recorded + ms("append", 2000) + ms("suspended before it is stored", 8000)
		sent := stored + ms("suspended before it is sent", 8000)
		if !MaySend(recorded, sent) {
			return // it is recorded again
		}
		arrives := sent + ms("transit", int(OrderTimeout.Milliseconds()))
		// The later leader reads the record at any time after it is stored.
		reads := stored + ms("read", 10000)
		orders := max(reads+skew, HandoverEnd(recorded, interval)) - skew
		assert.Assert(t, orders >= arrives+interval, "%v after %v", orders, arrives)
	})
}

// Guards against a leader that never sends an order. An order that was stored in the usual time is
// sent; one that was recorded in the future, by a clock that was set back, is not.
func TestStoredOrdersAreSent(t *testing.T) {
	assert.Assert(t, MaySend(time.Hour, time.Hour+30*time.Millisecond))
	assert.Assert(t, !MaySend(time.Hour, time.Hour+2*time.Second))
	assert.Assert(t, !MaySend(time.Hour, time.Hour-time.Second))
}
