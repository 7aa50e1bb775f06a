package peers

import (
	"net"

	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc"
	"storj.io/drpc/drpcwire"
)

const (
	// maxMetadata bounds the metadata of one call. A trace context has some 60 bytes, and the decoded form is
	// many times as large.
	maxMetadata = 4 << 10
	// maxFields bounds the fields of a message, whose decoded form can be 100 times as large. Batches of orders
	// have at most 256 orders and as many specifications.
	maxFields = 1024
	// maxFrameHeader is the size of the longest header of a frame: a control byte and three varints.
	maxFrameHeader = 1 + 3*10
	// maxFrame bounds the data of a frame: drpc sends at most 64 KB in one.
	maxFrame = 64 << 10
	// leastKept is the size from which kept buffers are reported: those for messages of 32 KB, which ordinary
	// submissions do not exceed. maxSmall is the number of small packets after which drpc drops the buffer of a
	// large one, and one more.
	leastKept, maxSmall = 96 << 10, 12
)

var (
	errFrame    = Err.New("frame is larger than %d bytes", maxFrame)
	errMetadata = Err.New("metadata of a call is larger than %d bytes", maxMetadata)
	errFields   = Err.New("message has more than %d fields", maxFields)
)

// limitedConn is a connection whose reads fail once a frame or the metadata of a call is too large. It reports
// the size of the buffers that the reader keeps.
type limitedConn struct {
	net.Conn
	marked   Marked
	header   []byte // of the frame that is being received
	rest     uint64 // bytes of the frame that follow
	metadata uint64
	// packet is the size of the packet that is being received, and frame and largest those of the largest frame
	// and of the largest packet whose buffer is kept. small counts the consecutive packets that need less of it.
	packet, frame, largest uint64
	id                     drpcwire.ID // of the packet that is being received
	small                  int
}

// Read reads from the connection. It is called by one goroutine.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if fault := c.scan(b[:n]); fault != nil {
		return 0, fault
	}
	return n, err
}

// scan follows the frames.
func (c *limitedConn) scan(b []byte) error {
	for len(b) > 0 {
		if c.rest > 0 {
			n := min(c.rest, uint64(len(b)))
			c.rest -= n
			b = b[n:]
			continue
		}
		c.header = append(c.header, b[0])
		b = b[1:]
		h, ok := parseHeader(c.header)
		if !ok {
			if len(c.header) >= maxFrameHeader {
				return errFrame
			}
			continue
		}
		c.header, c.rest = c.header[:0], h.length
		if h.length > maxFrame {
			return errFrame
		}
		switch h.kind {
		case drpcwire.KindInvokeMetadata:
			if c.metadata += h.length; c.metadata > maxMetadata {
				return errMetadata
			}
		case drpcwire.KindInvoke:
			c.metadata = 0
		default:
		}
		c.keep(h)
	}
	return nil
}

// keep follows the buffers of the drpc reader. It keeps those for the largest frame and the largest packet;
// the latter until maxSmall consecutive packets need less than a quarter of it.
func (c *limitedConn) keep(h frameHeader) {
	if h.id != c.id {
		c.id, c.packet = h.id, 0 // the reader drops an unfinished packet
	}
	c.packet += h.length
	before := c.frame + c.largest
	c.frame, c.largest = max(c.frame, h.length), max(c.largest, c.packet)
	if h.done {
		c.small++
		if c.packet >= c.largest/4 {
			c.small = 0
		}
		if c.small > maxSmall {
			c.small, c.largest = 0, c.packet
		}
		c.packet = 0
	}
	if after := c.frame + c.largest; after != before && c.marked != nil && max(before, after)+c.frame > leastKept {
		c.marked.Keep(int(after + c.frame)) // a buffer of frames grows by doubling
	}
}

type frameHeader struct {
	id     drpcwire.ID
	kind   drpcwire.Kind
	length uint64
	done   bool
}

// parseHeader returns a frame's header, or false if it is not complete.
func parseHeader(b []byte) (frameHeader, bool) {
	h, rest := frameHeader{kind: drpcwire.Kind(b[0]&0x7e) >> 1, done: b[0]&1 != 0}, b[1:]
	for _, field := range []*uint64{&h.id.Stream, &h.id.Message, &h.length} {
		var ok bool
		var err error
		if rest, *field, ok, err = drpcwire.ReadVarint(rest); !ok || err != nil {
			return frameHeader{}, false
		}
	}
	return h, true
}

// boundedEncoding refuses messages with too many fields before it decodes them.
type boundedEncoding struct{ drpc.Encoding }

// Unmarshal decodes a message.
func (e boundedEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	rest := buf
	for n := 0; len(rest) > 0; n++ {
		_, _, size := protowire.ConsumeField(rest)
		if size < 0 {
			break // decoding reports the fault
		}
		if n == maxFields {
			return errFields
		}
		rest = rest[size:]
	}
	return e.Encoding.Unmarshal(buf, msg)
}
