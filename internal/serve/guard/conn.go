package guard

import (
	"bytes"
	"net"
	"sync/atomic"
	"time"
)

// Kind is a kind of port.
type Kind int

// Kinds of ports.
const (
	Callers Kind = iota
	Entries
	Readiness
	Metrics
	// Kinds is the number of kinds.
	Kinds
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"callers", "entries", "readiness", "metrics"}[k]
}

// peerOverhead bounds the bytes besides the messages that the peer protocol needs for one call.
const peerOverhead = 16 << 10

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	g    *Guard
	kind Kind
	seq  uint64
	// held is the number of bytes received since the last answer: a bound of what the process holds for
	// the request on it.
	held atomic.Int64
	// answering is the part of held that belongs to a whole request.
	answering atomic.Int64
	// kept is the part of held that stays for further messages.
	kept     atomic.Int64
	last     atomic.Int64 // time of the last progress
	complete atomic.Bool
	served   atomic.Bool
	closed   atomic.Bool
	// writing is set while the client does not take what is written.
	writing atomic.Bool
	// header is the position in the header of the request.
	header  atomic.Int64
	onClose atomic.Pointer[func()]
}

// Read reads from the connection and counts the bytes.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.last.Store(c.g.now.Load())
		size := int64(n)
		if c.kind != Entries {
			size += fieldBytes * c.countFields(b[:n])
		}
		c.held.Add(size)
		total := c.g.held.Add(size)
		if c.closed.Load() {
			c.release()
		} else if total > c.g.limits.Held {
			c.g.relieve()
		}
	}
	return n, err
}

// Values of Conn.header: the number of the header's bytes so far times headerStep, plus lineBegun within a line
// that is not empty. Past the header it is headerEnded.
const (
	lineBegun   = 1
	headerStep  = 2
	headerEnded = -1
)

// countFields returns the number of lines of the request's header that end in b.
func (c *Conn) countFields(b []byte) int64 {
	before := c.header.Load()
	if before == headerEnded {
		return 0
	}
	size, begun, lines := before/headerStep, before%headerStep == lineBegun, int64(0)
	after := int64(headerEnded)
	for {
		i := bytes.IndexByte(b, '\n')
		line := b
		if i >= 0 {
			line = b[:i]
		}
		begun = begun || len(bytes.TrimSuffix(line, []byte{'\r'})) > 0
		if i < 0 {
			if size += int64(len(b)); size <= maxHeaderScan {
				after = size * headerStep
				if begun {
					after += lineBegun
				}
			}
			break
		}
		if !begun {
			break
		}
		lines++
		size += int64(i) + 1
		b, begun = b[i+1:], false
	}
	// If it has changed, an answer was written meanwhile and the next header begins.
	c.header.CompareAndSwap(before, after)
	return lines
}

// interim begins an answer after which the client sends the body of its request.
var interim = []byte("HTTP/1.1 100 ")

// Write writes to the connection. On the ports for HTTP, the request of a final answer is not held any more.
func (c *Conn) Write(b []byte) (int, error) {
	c.last.Store(c.g.now.Load())
	c.writing.Store(true)
	n, err := c.Conn.Write(b)
	c.writing.Store(false)
	if n > 0 {
		c.last.Store(c.g.now.Load())
		switch {
		case c.kind == Entries:
			c.consume(peerOverhead)
		case !bytes.HasPrefix(b, interim):
			c.header.Store(0)
			c.release()
			c.clearComplete()
		}
		c.served.Store(true)
	}
	return n, err
}

// OnClose sets a function that is called, possibly more than once, when the connection is closed. It must not
// wait.
func (c *Conn) OnClose(f func()) {
	c.onClose.Store(&f)
	if c.closed.Load() {
		f()
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.g.remove(c)
	return err
}

// MarkComplete reports that a whole request has been received, which will be answered.
func (c *Conn) MarkComplete() {
	c.last.Store(c.g.now.Load())
	n := max(c.held.Load()-c.kept.Load(), 0)
	c.g.answering.Add(n - c.answering.Swap(n))
	c.complete.Store(true)
}

func (c *Conn) clearComplete() {
	c.complete.Store(false)
	c.g.answering.Add(-c.answering.Swap(0))
}

// Consume reports that a message of n bytes, which MarkComplete reported, is not held any more. It is for
// connections between entries, on which the next message may have arrived in part.
func (c *Conn) Consume(n int) {
	c.clearComplete()
	c.served.Store(true)
	c.consume(int64(n) + peerOverhead)
}

// Keep reports that buffers of n bytes in all are kept until the connection is closed or Keep is called again.
// It must not be called by two goroutines at the same time.
func (c *Conn) Keep(n int) {
	diff := int64(n) - c.kept.Load()
	c.held.Add(diff)
	total := c.g.held.Add(diff)
	c.kept.Store(int64(n))
	if c.closed.Load() {
		c.release()
	} else if diff > 0 && total > c.g.limits.Held {
		c.g.relieve()
	}
}

// BeginAnswer reports that an answer of n bytes is being written, which is held until EndAnswer. The connection can be
// closed meanwhile if its client does not read.
func (c *Conn) BeginAnswer(n int) {
	c.clearComplete()
	c.last.Store(c.g.now.Load())
	c.held.Add(int64(n))
	total := c.g.held.Add(int64(n))
	if c.closed.Load() {
		c.release()
	} else if total > c.g.limits.Held {
		c.g.relieve()
	}
}

// EndAnswer reports that an answer of n bytes is not held any more.
func (c *Conn) EndAnswer(n int) { c.consume(int64(n)) }

func (c *Conn) consume(n int64) {
	for {
		held := c.held.Load()
		n := max(min(n, held-c.kept.Load()), 0)
		if c.held.CompareAndSwap(held, held-n) {
			c.g.held.Add(-n)
			return
		}
	}
}

// release releases all that is held.
func (c *Conn) release() { c.g.held.Add(-c.held.Swap(0)) }

func (c *Conn) state(now time.Duration) state {
	return state{
		conn: c, kind: c.kind, seq: c.seq, held: c.held.Load(), kept: c.kept.Load(), idle: now - time.Duration(c.last.Load()),
		complete: c.complete.Load(), served: c.served.Load(), writing: c.writing.Load(),
	}
}

type listener struct {
	net.Listener
	g    *Guard
	kind Kind
}

// Accept accepts a connection. One that exceeds the number of connections is returned closed.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.g.add(l.kind, conn), nil
}
