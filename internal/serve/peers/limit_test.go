package peers

import (
	"bytes"
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"storj.io/drpc"
	"storj.io/drpc/drpcwire"
)

// keptConn records the size of the kept buffers.
type keptConn struct {
	net.Conn
	n int
}

func (c *keptConn) MarkComplete() {}
func (c *keptConn) Consume(int)   {}
func (c *keptConn) Keep(n int)    { c.n = n }
func (*keptConn) BeginAnswer(int) {}
func (*keptConn) EndAnswer(int)   {}

func frames(kind drpcwire.Kind, stream, message uint64, size, split int) []byte {
	var out []byte
	for first := true; first || size > 0; first = false {
		n := min(split, size)
		size -= n
		out = drpcwire.AppendFrame(out, drpcwire.Frame{
			Data: bytes.Repeat([]byte{0xff}, n), ID: drpcwire.ID{Stream: stream, Message: message}, Kind: kind, Done: size == 0,
		})
	}
	return out
}

// Guards against sound calls that are refused, and against metadata and frames beyond the bounds that are not
// recognized because of how their bytes arrive.
func TestFramesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.IntRange(1, 9000).Draw(t, "piece")
		ids := rapid.Uint64Range(1, 1<<62).Draw(t, "stream")
		c := &limitedConn{}
		feed := func(data []byte) error {
			for len(data) > 0 {
				n := min(piece, len(data))
				if err := c.scan(data[:n]); err != nil {
					return err
				}
				data = data[n:]
			}
			return nil
		}
		for i := range uint64(3) {
			assert.NilError(t, feed(frames(drpcwire.KindInvokeMetadata, ids+i, 1, maxMetadata/2, 100)))
			assert.NilError(t, feed(frames(drpcwire.KindInvoke, ids+i, 2, 30, 100)))
			size := rapid.IntRange(0, 300_000).Draw(t, "size")
			assert.NilError(t, feed(frames(drpcwire.KindMessage, ids+i, 3, size, maxFrame)))
			assert.NilError(t, feed(frames(drpcwire.KindCloseSend, ids+i, 4, 0, 1)))
		}
		before := *c
		before.header = nil
		assert.Equal(t, feed(frames(drpcwire.KindInvokeMetadata, ids+9, 1, maxMetadata+1, rapid.IntRange(10, 9000).Draw(t, "split"))), errMetadata)
		*c = before
		assert.Equal(t, feed(frames(drpcwire.KindMessage, ids+9, 1, maxFrame+1, 1<<20)), errFrame)
		*c = before
		assert.Equal(t, feed(bytes.Repeat([]byte{0xff}, maxFrameHeader)), errFrame)
	})
}

// Guards against buffers that are kept for further messages and do not count, and against small ones that count as
// large.
func TestKeptBuffersAreReported(t *testing.T) {
	conn := &keptConn{}
	c := &limitedConn{marked: conn}
	assert.NilError(t, c.scan(frames(drpcwire.KindMessage, 1, 1, leastKept/3, maxFrame)))
	assert.Equal(t, conn.n, 0)
	// A message that its sender gives up after two of three frames.
	unfinished := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, maxFrame), ID: drpcwire.ID{Stream: 1, Message: 2}, Kind: drpcwire.KindMessage})
	assert.NilError(t, c.scan(append(unfinished, unfinished...)))
	assert.NilError(t, c.scan(frames(drpcwire.KindMessage, 1, 3, 1<<20, maxFrame)))
	assert.Equal(t, conn.n, 1<<20+2*maxFrame)
	for i := range uint64(maxSmall) {
		assert.NilError(t, c.scan(frames(drpcwire.KindMessage, 1, 4+i, 100, maxFrame)))
		assert.Equal(t, conn.n, 1<<20+2*maxFrame)
	}
	assert.NilError(t, c.scan(frames(drpcwire.KindMessage, 1, 100, 100, maxFrame)))
	assert.Equal(t, conn.n, 100+2*maxFrame)
}

// countingEncoding counts the messages that are decoded.
type countingEncoding struct {
	drpc.Encoding
	n *int
}

func (e countingEncoding) Unmarshal([]byte, drpc.Message) error { *e.n++; return nil }

// Guards against messages of very many fields, whose decoded form is many times as large, and against the largest
// batch of orders that is refused.
func TestFieldsAreBounded(t *testing.T) {
	n := 0
	e := boundedEncoding{countingEncoding{n: &n}}
	assert.NilError(t, e.Unmarshal(bytes.Repeat([]byte{0x0a, 0}, 2*256), nil))
	assert.NilError(t, e.Unmarshal(bytes.Repeat([]byte{0x0a, 0}, maxFields), nil))
	assert.NilError(t, e.Unmarshal([]byte{0xff}, nil))
	assert.Equal(t, n, 3)
	assert.Equal(t, e.Unmarshal(bytes.Repeat([]byte{0x0a, 0}, maxFields+1), nil), errFields)
	assert.Equal(t, n, 3)
}
