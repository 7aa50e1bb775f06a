package agent

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a leader that ends because of a registration with a negative rank: the rank is an
// index in the choice of entries that make calls.
func TestRegistrationHasNoNegativeRank(t *testing.T) {
	assert.Equal(t, decodeRegistration([]byte("127.0.0.1:1 -1 c")), registration{addr: "127.0.0.1:1", centre: "c"})
}

// Whatever is stored as a registration, its rank is not negative, and what an entry encodes is
// decoded again.
func FuzzRegistration(f *testing.F) {
	f.Add([]byte("127.0.0.1:4000 1 north"))
	f.Add([]byte("127.0.0.1:4000"))
	f.Add([]byte("a -9223372036854775809 c d"))
	f.Add([]byte(""))
	f.Fuzz(func(t *testing.T, value []byte) {
		r := decodeRegistration(value)
		assert.Assert(t, r.rank >= 0)
		assert.Equal(t, decodeRegistration(r.encode()), r)
	})
}
