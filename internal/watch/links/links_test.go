package links

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

func TestBytesCountForTheirKindOfPeer(t *testing.T) {
	var c Counters
	a, b := net.Pipe()
	go func() { _, _ = c.Conn(Entries, a).Write([]byte("12345")) }()
	buf := make([]byte, 8)
	n, err := c.Conn(Callers, b).Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, n, 5)
	assert.Equal(t, c.Counts(Callers), Counts{Received: 5})
	assert.NilError(t, a.Close())
}

// Guards against a line a second while the use of the link varies around one bound.
func TestFullLinkIsLoggedOnce(t *testing.T) {
	var c Counters
	var out bytes.Buffer
	w := &Watcher{counters: &c, capacity: 1000, log: zerolog.New(&out)}
	for p := range Peers {
		w.sent[p], w.received[p] = tally.NoopScope.Counter("s"), tally.NoopScope.Counter("r")
	}
	for i, n := range []int64{100, 850, 700, 850, 500, 100} {
		c.received[Store].Add(n)
		w.measure(time.Duration(i+1) * time.Second)
	}
	assert.Equal(t, strings.Count(out.String(), "\n"), 2, out.String())
	assert.Assert(t, strings.Contains(out.String(), `"store":[0,850]`), out.String())
}
