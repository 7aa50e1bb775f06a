package guard

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deliver lets the server read data in pieces of a size.
func (c client) deliver(t *testing.T, data string, size int) {
	t.Helper()
	go func() { _, _ = c.Write([]byte(data)) }()
	buf := make([]byte, size)
	for n := len(data); n > 0; {
		m, err := c.server.Read(buf)
		assert.NilError(t, err)
		n -= m
	}
}

// Guards against headers of many short fields that hold many times what was received for them, and against bodies
// whose lines count as fields.
func TestHeaderFieldsAreCounted(t *testing.T) {
	body := strings.Repeat("\n", 1000)
	for _, end := range []string{"\n", "\r\n"} {
		header := "POST / HTTP/1.1" + end + strings.Repeat("a:"+end, 100) + end
		for _, size := range []int{1, 2, 7, 1 << 12} {
			g := newTestGuard(t, testLimits)
			c := dial(g, Callers)
			for range 2 {
				c.deliver(t, header+body, size)
				assert.Equal(t, g.held.Load(), int64(len(header+body)+101*fieldBytes), "%q %d", end, size)
				c.answer(t)
				assert.Equal(t, g.held.Load(), int64(0))
			}
			e := dial(g, Entries)
			e.deliver(t, header, size)
			assert.Equal(t, g.held.Load(), int64(len(header)))
		}
	}
}

// Guards against a request that is not counted any more because its client was told to send the body.
func TestInterimAnswersReleaseNothing(t *testing.T) {
	g := newTestGuard(t, testLimits)
	c := dial(g, Callers)
	c.send(1000)
	go func() { _, _ = c.Read(make([]byte, 100)) }()
	_, err := fmt.Fprint(c.server, "HTTP/1.1 100 Continue\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, g.held.Load(), int64(1000))
	c.answer(t)
	assert.Equal(t, g.held.Load(), int64(0))
}

// Guards against new callers that are refused because others don't read their answers.
func TestUnreadAnswersAreClosed(t *testing.T) {
	g := newTestGuard(t, testLimits)
	var all []client
	for range 3 {
		c := dial(g, Callers)
		c.send(10)
		c.server.MarkComplete()
		all = append(all, c)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = all[1].server.Write([]byte{0}) // it is never read
	}()
	for !all[1].server.writing.Load() {
		time.Sleep(time.Millisecond)
	}
	g.now.Store(int64(progressTimeout) - 1)
	refused := dial(g, Callers)
	assert.Assert(t, refused.server.closed.Load() && !all[1].server.closed.Load())
	g.now.Store(int64(progressTimeout))
	added := dial(g, Callers)
	<-done
	assert.Assert(t, all[1].server.closed.Load())
	assert.Assert(t, !added.server.closed.Load() && !all[0].server.closed.Load() && !all[2].server.closed.Load())
}

// Guards against work for a connection that goes on after it was closed.
func TestOnClose(t *testing.T) {
	g := newTestGuard(t, testLimits)
	c, calls := dial(g, Callers), 0
	c.server.OnClose(func() { calls++ })
	assert.Equal(t, calls, 0)
	assert.NilError(t, c.server.Close())
	assert.Assert(t, calls > 0)
	calls = 0
	c.server.OnClose(func() { calls++ })
	assert.Equal(t, calls, 1)
}

// Guards against buffers of connections between entries that don't count once a message was handled, and against
// sound idle connections that are closed because of them while there is memory.
func TestKeptBuffersCount(t *testing.T) {
	g := newTestGuard(t, testLimits)
	c := dial(g, Entries)
	c.send(300 << 10)
	c.server.Keep(400 << 10)
	assert.Equal(t, g.held.Load(), int64(700<<10))
	c.server.MarkComplete()
	assert.Equal(t, g.answering.Load(), int64(300<<10))
	c.answer(t)
	c.server.Consume(300 << 10)
	assert.Equal(t, g.held.Load(), int64(400<<10))
	g.now.Store(int64(progressTimeout))
	g.closeStalled()
	for range 5 {
		dial(g, Entries)
	}
	assert.Assert(t, !c.server.closed.Load())
	other := dial(g, Callers)
	other.send(700 << 10)
	assert.Assert(t, c.server.closed.Load() && !other.server.closed.Load())
	assert.Equal(t, g.held.Load(), int64(700<<10))
	c.server.Keep(0)
	assert.Equal(t, g.held.Load(), int64(700<<10))
}

// Guards against large answers between entries that their clients don't read: they don't count, or their connections
// are never closed.
func TestAnswersBeingWrittenCount(t *testing.T) {
	g := newTestGuard(t, testLimits)
	all := []client{dial(g, Entries), dial(g, Entries), dial(g, Entries)}
	for _, c := range all {
		c.send(100)
		c.server.MarkComplete()
	}
	all[0].server.BeginAnswer(600 << 10)
	assert.Equal(t, g.held.Load(), int64(600<<10+300))
	g.now.Store(int64(stallTime))
	all[1].server.BeginAnswer(500 << 10)
	assert.Assert(t, all[0].server.closed.Load(), "the client that does not read keeps its connection")
	assert.Assert(t, !all[1].server.closed.Load() && !all[2].server.closed.Load())
	all[0].server.EndAnswer(600 << 10)
	all[1].server.EndAnswer(500 << 10)
	assert.Equal(t, g.held.Load(), int64(200))
	all[2].server.BeginAnswer(peerStallBytes)
	g.now.Store(int64(stallTime + progressTimeout))
	g.closeStalled()
	assert.Assert(t, all[2].server.closed.Load() && !all[1].server.closed.Load())
}
