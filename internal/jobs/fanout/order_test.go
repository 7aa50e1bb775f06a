package fanout

import (
	"testing"

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
