package tenure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against orders for one instance from two leaders within a turn, or one of the
// earlier leader after one of the later: the earlier one is suspended before or after its
// order is stored, or with the order decided and not sent, its call arrives late, it is cut
// off from the store and not from the instances, or its clock is off.
func TestOrdersOfTwoLeadersLieATurnApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		turn := ms("turn", 5000)
		noted := time.Hour
		// The clocks of the day differ by up to 300 ms either way between two entries.
		skew := ms("skew", 600) - 300*time.Millisecond
		stored := noted + ms("append", 2000) + ms("suspended before it is stored", 8000)
		sent := stored + ms("suspended before it is sent", 8000)
		if !MaySend(noted, sent) {
			return // it is noted anew
		}
		arrives := sent + ms("way", int(OrderTimeout.Milliseconds()))
		// The later leader reads the record at any time after it is stored.
		reads := stored + ms("read", 10000)
		orders := max(reads+skew, TurnEnds(noted, turn)) - skew
		assert.Assert(t, orders >= arrives+turn, "%v after %v", orders, arrives)
	})
}

// Guards against a leader that never sends: an order that was stored in the usual time is
// sent, and one from the future of a clock is not.
func TestOrdersAreSentOnceTheyAreStored(t *testing.T) {
	assert.Assert(t, MaySend(time.Hour, time.Hour+30*time.Millisecond))
	assert.Assert(t, !MaySend(time.Hour, time.Hour+2*time.Second))
	assert.Assert(t, !MaySend(time.Hour, time.Hour-time.Second))
}
