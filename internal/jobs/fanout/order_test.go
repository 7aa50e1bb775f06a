package fanout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an order that is made twice, or taken for not made, because its outcome is lost.
func TestSentOrdersWithoutAnOutcomeAreUnknown(t *testing.T) {
	for _, expired := range []bool{false, true} {
		assert.Equal(t, FateOf(true, expired), Unknown)
	}
	assert.Equal(t, FateOf(false, false), Unsent)
	assert.Equal(t, FateOf(false, true), Expired)
}

// Guards against an order that outlasts its time limit at an entry, whatever the delays of readings of
// its clock and the start of that clock are.
func TestOrdersExpireInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ahead := time.Duration(rapid.Int64Range(int64(-time.Hour), int64(time.Hour)).Draw(t, "ahead"))
		now, c := time.Hour, EntryClock{}
		for range rapid.IntRange(1, 6).Draw(t, "readings") {
			now += time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "pause"))
			delay := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay"))
			c = c.With(now-delay+ahead, now)
			limit := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "limit"))
			until := c.At(now + limit)
			if late := now + limit + ahead; until != 0 && Remaining(limit, late, until, late) > 0 {
				t.Fatalf("expires at %s of the entry's clock, not by %s", until, late)
			}
		}
	})
}

// Guards against orders that expire before they arrive because one reading of the entry's clock was
// delayed.
func TestDelayedReadingsAreNotUsed(t *testing.T) {
	c := EntryClock{}.With(second, second).With(second, second+400*time.Millisecond)
	assert.Equal(t, c.At(2*second), 2*second)
	assert.Equal(t, c.With(2*second, 7*second).At(7*second), 2*second)
}
