package guard

import (
	"context"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/platform"
)

// newTestGuard returns a Guard whose time is set by the test.
func newTestGuard(t *testing.T, l Limits) *Guard {
	t.Helper()
	g := New(context.Background(), l, clock.NewSystem(), tally.NoopScope)
	g.Close()
	g.now.Store(0)
	return g
}

// client is the client's end of a connection.
type client struct {
	net.Conn
	server *Conn
}

// dial adds a connection and returns both ends.
func dial(g *Guard, k Kind) client {
	here, there := net.Pipe()
	return client{here, g.add(k, there)}
}

// send sends n bytes, which the server reads.
func (c client) send(n int) {
	go func() { _, _ = c.Write(make([]byte, n)) }()
	buf := make([]byte, n)
	for n > 0 {
		m, err := c.server.Read(buf[:n])
		if err != nil {
			return
		}
		n -= m
	}
}

// answer sends a byte from the server.
func (c client) answer(t *testing.T) {
	t.Helper()
	go func() { _, _ = c.Read(make([]byte, 1)) }()
	_, err := c.server.Write([]byte{0})
	assert.NilError(t, err)
}

var testLimits = Limits{Conns: [Kinds]int{3, 3, 1, 1}, Held: 1000 << 10, Decode: 1000}

// Guards against a process that runs out of memory by unfinished requests, and against a whole request that is
// closed although unfinished ones hold enough.
func TestUnfinishedRequestsAreClosed(t *testing.T) {
	g := newTestGuard(t, testLimits)
	whole, large, small := dial(g, Callers), dial(g, Callers), dial(g, Callers)
	whole.send(400 << 10)
	whole.server.MarkComplete()
	large.send(500 << 10)
	small.send(90 << 10)
	assert.Equal(t, g.held.Load(), int64(990<<10))
	small.send(20 << 10)
	assert.Assert(t, large.server.closed.Load())
	assert.Assert(t, !whole.server.closed.Load() && !small.server.closed.Load())
	assert.Equal(t, g.held.Load(), int64(510<<10))
	whole.answer(t)
	assert.Equal(t, g.held.Load(), int64(110<<10))
	assert.Equal(t, g.answering.Load(), int64(0))
	assert.NilError(t, small.server.Close())
	assert.Equal(t, g.held.Load(), int64(0))
}

// Guards against a process without descriptors, and against new callers that are refused because others leave
// idle connections open.
func TestOldestIdleConnectionIsClosed(t *testing.T) {
	g := newTestGuard(t, testLimits)
	var all []client
	for i := range 4 {
		g.now.Store(int64(i) * int64(time.Second))
		all = append(all, dial(g, Callers))
	}
	assert.Assert(t, all[0].server.closed.Load())
	all[1].send(1)
	all[1].server.MarkComplete()
	dial(g, Callers)
	assert.Assert(t, !all[1].server.closed.Load() && all[2].server.closed.Load())
	assert.Equal(t, g.count(Callers), 3)
}

// Guards against entries that lose the leader: connections that serve calls stay open when others open many, and
// while they are idle.
func TestConnectionsOfEntriesStayOpen(t *testing.T) {
	g := newTestGuard(t, testLimits)
	sound := dial(g, Entries)
	sound.send(100)
	sound.server.MarkComplete()
	sound.answer(t)
	sound.server.Consume(90)
	sound.send(3) // a part of a message
	for i := range 20 {
		g.now.Store(int64(i) * int64(time.Second))
		dial(g, Entries)
		g.closeStalled()
	}
	assert.Assert(t, !sound.server.closed.Load())
	assert.Equal(t, g.count(Entries), 3)
}

// Guards against a stalled request that holds its memory, and against one that is closed while it is answered.
func TestStalledRequestsAreClosed(t *testing.T) {
	g := newTestGuard(t, testLimits)
	stalled, idle, whole := dial(g, Callers), dial(g, Callers), dial(g, Callers)
	stalled.send(10)
	whole.send(10)
	whole.server.MarkComplete()
	message := dial(g, Entries)
	message.send(peerStallBytes)
	g.now.Store(int64(progressTimeout))
	g.closeStalled()
	assert.Assert(t, stalled.server.closed.Load() && message.server.closed.Load())
	assert.Assert(t, !idle.server.closed.Load() && !whole.server.closed.Load())
}

// Guards against requests that fill the budget with bodies which can't be closed any more.
func TestWholeRequestsAreBounded(t *testing.T) {
	g := newTestGuard(t, testLimits)
	a := dial(g, Callers)
	a.send(501 << 10)
	assert.Assert(t, !g.IsFull())
	a.server.MarkComplete()
	assert.Assert(t, g.IsFull())
	a.answer(t)
	assert.Assert(t, !g.IsFull())
	assert.Assert(t, !(*Guard)(nil).IsFull())
}

// Guards against too many decoded bodies at once, and against a large one that is never decoded.
func TestDecodingIsBounded(t *testing.T) {
	g := newTestGuard(t, testLimits)
	release, ok := g.Decode(context.Background(), make([]byte, 1<<20))
	assert.Assert(t, ok)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, ok = g.Decode(ctx, []byte("{"))
	assert.Assert(t, !ok)
	release()
	_, ok = g.Decode(context.Background(), []byte("{"))
	assert.Assert(t, ok)
}

// Guards against a decoded form that is larger than what is reserved for it, and against a body whose decoding
// allocates much more than that of any valid one.
func TestDecodeEstimate(t *testing.T) {
	// The rest of the process allocates as well, which exceeded the estimate of a small body once.
	const decodings = 64
	body := func(first, next string, size int) []byte {
		out := []byte(`{"phases":[` + first)
		for len(out) < size {
			out = append(out, next...)
		}
		return out
	}
	for name, b := range map[string][]byte{
		"steps": append(body(`{"count":1}`, `,{"count":1}`, 262_100), "]}"...),
		"after": append(body(`{"count":1},{"count":1,"after":[0`, `,0`, 262_100), "]}]}"...),
		// A valid specification may hold any text.
		"braces":   append(append([]byte(`{"spec":"`+strings.Repeat(`{\"`, 2000)+`",`), body(`{"count":1}`, `,{"count":8,"cpu":1000,"mem_mb":1000}`, 14_000)[1:]...), "]}"...),
		"ordinary": append(body(`{"count":8,"cpu":100}`, `,{"count":64,"cpu":1000,"mem_mb":100,"after":[0]}`, 300), "]}"...),
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range decodings {
			_, err := platform.DecodeJob(b)
			assert.NilError(t, err)
		}
		runtime.ReadMemStats(&after)
		took := int64(after.TotalAlloc-before.TotalAlloc) / decodings
		t.Logf("%s: %d bytes allocated for %d, estimate %d", name, took, len(b), decodeBytes(b))
		assert.Assert(t, took <= decodeBytes(b)*5/4, name)
		assert.Assert(t, !HasTooManyObjects(b), name)
	}
	assert.Assert(t, HasTooManyObjects(append(body(`{}`, `,{}`, 262_100), "]}"...)))
}
