package local

import (
	"net/netip"
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

// Guards against ports that another server takes before they are used: the rig of serve/agent
// failed with "address already in use", since its stand-ins listen on ports that the system picks.
func TestFreeAddrsAreNotPickedByTheSystem(t *testing.T) {
	addrs, err := FreeAddrs(50)
	assert.NilError(t, err)
	for _, a := range addrs {
		ap, err := netip.ParseAddrPort(a)
		assert.NilError(t, err)
		assert.Assert(t, ap.Port() >= firstPort && ap.Port() <= lastPort, a)
	}
}
