package local

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a port that is returned twice: an entry of TestEntryCutFromLog got the same
// address for two of its listeners.
func TestFreeAddrsAreDistinct(t *testing.T) {
	const n = 700
	addrs, err := FreeAddrs(n)
	assert.NilError(t, err)
	seen := map[string]bool{}
	for _, a := range addrs {
		seen[a] = true
	}
	assert.Equal(t, len(seen), n)
}
