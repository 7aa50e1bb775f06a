package peers

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	oteltrace "go.opentelemetry.io/otel/trace"
)

// markedConn counts what is reported to it.
type markedConn struct {
	net.Conn
	complete, consumed, bytes *atomic.Int64
}

func (c markedConn) MarkComplete() { c.complete.Add(1) }
func (c markedConn) Consume(n int) { c.consumed.Add(1); c.bytes.Add(int64(n)) }

func (c markedConn) Keep(int)          {}
func (c markedConn) BeginAnswer(n int) { c.bytes.Add(int64(n)) }
func (c markedConn) EndAnswer(n int)   { c.bytes.Add(-int64(n)) }

// markedListener accepts marked connections.
type markedListener struct {
	net.Listener
	conn markedConn
}

func (l markedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := l.conn
	c.Conn = conn
	return c, nil
}

// Guards against messages that count as held after their call has ended, which would close sound connections
// between entries, and against a server that does not end.
func TestMessagesAreMarked(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	conn := markedConn{complete: &atomic.Int64{}, consumed: &atomic.Int64{}, bytes: &atomic.Int64{}}
	h := &gossipServer{spans: make(chan oteltrace.SpanContext, 10)}
	s, err := Serve(context.Background(), markedListener{lis, conn}, h, nil, WithMessageMarks())
	assert.NilError(t, err)
	for range 3 {
		name, err := gossip(t, context.Background(), lis.Addr().String(), nil)
		assert.NilError(t, err)
		assert.Equal(t, name, "peer")
	}
	assert.NilError(t, s.Close())
	assert.Equal(t, conn.complete.Load(), int64(3))
	assert.Equal(t, conn.consumed.Load(), int64(3))
}

// Guards against submissions that are refused for want of memory while the handler of a stream waits: its messages
// count as requests that are being answered, and the connection is never closed.
func TestMessagesOfStreamsAreNotComplete(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	conn := markedConn{complete: &atomic.Int64{}, consumed: &atomic.Int64{}, bytes: &atomic.Int64{}}
	h := &gossipServer{spans: make(chan oteltrace.SpanContext, 10)}
	s, err := Serve(context.Background(), markedListener{lis, conn}, h, nil, WithMessageMarks("/chervilgauge.peer.v1.Peer/Gossip"))
	assert.NilError(t, err)
	_, err = gossip(t, context.Background(), lis.Addr().String(), nil)
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	assert.Equal(t, conn.complete.Load(), int64(0))
	assert.Equal(t, conn.consumed.Load(), int64(1))
}
