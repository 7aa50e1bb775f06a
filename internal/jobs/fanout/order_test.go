package fanout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an order that is made twice, or taken for not made, because its outcome is lost.
func TestSentOrdersWithoutAnOutcomeAreUnknown(t *testing.T) {
	for _, expired := range []bool{false, true} {
		assert.Equal(t, FateOf(true, expired), Unknown)
	}
	assert.Equal(t, FateOf(false, false), Unsent)
	assert.Equal(t, FateOf(false, true), Expired)
}

// Guards against an order that is carried out after its time limit, because the entry was stopped before
// it read the order or after that.
func TestOrdersExpireAtTheEarlierLimit(t *testing.T) {
	const limit = 300 * time.Millisecond
	assert.Equal(t, Expiry(limit, 2*second, second), second)
	assert.Equal(t, Expiry(limit, second, 2*second), second+limit)
	assert.Equal(t, Expiry(limit, second, 0), second+limit)
	assert.Assert(t, SendLimit(second, second, second) <= 0)
	assert.Assert(t, SendLimit(2*second, second, second) <= 0)
	assert.Equal(t, SendLimit(second, second, 0), second-AnswerMargin)
}
