package guard

import (
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
	last      atomic.Int64 // time of the last progress
	complete  atomic.Bool
	served    atomic.Bool
	closed    atomic.Bool
}

// Read reads from the connection and counts the bytes.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.last.Store(c.g.now.Load())
		c.held.Add(int64(n))
		total := c.g.held.Add(int64(n))
		if c.closed.Load() {
			c.release()
		} else if total > c.g.limits.Held {
			c.g.relieve()
		}
	}
	return n, err
}

// Write writes to the connection. On the ports for HTTP, the request of an answer is not held any more.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.last.Store(c.g.now.Load())
		if c.kind == Entries {
			c.consume(peerOverhead)
		} else {
			c.release()
			c.clearComplete()
		}
		c.served.Store(true)
	}
	return n, err
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
	n := c.held.Load()
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

func (c *Conn) consume(n int64) {
	for {
		held := c.held.Load()
		n := min(n, held)
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
		conn: c, kind: c.kind, seq: c.seq, held: c.held.Load(), idle: now - time.Duration(c.last.Load()),
		complete: c.complete.Load(), served: c.served.Load(),
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
