package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// stream is one direction of a connection.
type stream struct {
	from, to *Host

	mu     sync.Mutex
	chunks []chunk
	ended  bool // nothing follows the chunks
	broken bool // the connection was reset
	// changed is closed and replaced when one of the fields changes.
	changed chan struct{}
}

// chunk is data that arrives at a time.
type chunk struct {
	at   time.Time
	data []byte
}

func (s *stream) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) write(b []byte) (int, error) {
	n, err := len(b), error(nil)
	s.change(func() {
		if s.broken || s.ended {
			n, err = 0, failed("write", syscall.EPIPE)
			return
		}
		s.chunks = append(s.chunks, chunk{time.Now().Add(s.from.n.delay), append([]byte(nil), b...)})
	})
	return n, err
}

// take returns data that has arrived. Without any it returns what to wait for: a change, and the time until
// the next chunk arrives, 0 for none.
func (s *stream) take(b []byte) (n int, changed <-chan struct{}, left time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.broken:
		return 0, nil, 0, failed("read", syscall.ECONNRESET)
	case len(s.chunks) > 0:
		c := &s.chunks[0]
		if left = time.Until(c.at); left > 0 {
			return 0, s.changed, left, nil
		}
		n = copy(b, c.data)
		if c.data = c.data[n:]; len(c.data) == 0 {
			s.chunks = s.chunks[1:]
		}
		return n, nil, 0, nil
	case s.ended:
		return 0, nil, 0, io.EOF
	}
	return 0, s.changed, 0, nil
}

func (s *stream) read(b []byte, deadline <-chan struct{}) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	for {
		select {
		case <-deadline:
			return 0, os.ErrDeadlineExceeded
		default:
		}
		gateChanged, passes := s.to.gate(s.from.name)
		changed, left := (<-chan struct{})(nil), time.Duration(0)
		if passes {
			var n int
			var err error
			if n, changed, left, err = s.take(b); n > 0 || err != nil {
				return n, err
			}
		} else if changed = s.untilBroken(); changed == nil {
			return 0, failed("read", syscall.ECONNRESET)
		}
		arrival := time.NewTimer(left)
		arrived := arrival.C
		if left == 0 {
			arrived = nil
		}
		select {
		case <-changed:
		case <-gateChanged:
		case <-arrived:
		case <-deadline:
		}
		arrival.Stop()
	}
}

// untilBroken returns a channel that is closed after the next change, or nil if the connection was reset.
func (s *stream) untilBroken() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return nil
	}
	return s.changed
}

// conn is one end of a connection.
type conn struct {
	host          *Host
	in, out       *stream
	local, remote net.Addr
	read          deadline
}

// connect returns the ends of a new connection.
func connect(from, to *Host, addr net.Addr) (near, far *conn) {
	there := &stream{from: from, to: to, changed: make(chan struct{})}
	back := &stream{from: to, to: from, changed: make(chan struct{})}
	local := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	near = &conn{host: from, in: back, out: there, local: local, remote: addr, read: newDeadline()}
	far = &conn{host: to, in: there, out: back, local: addr, remote: local, read: newDeadline()}
	return near, far
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b, c.read.wait()) }

// Write implements net.Conn. It never blocks.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements net.Conn. Data that the other end sends later is refused.
func (c *conn) Close() error {
	c.out.change(func() { c.out.ended = true })
	c.in.change(func() { c.in.broken = true })
	c.forget()
	return nil
}

// reset breaks both directions.
func (c *conn) reset() {
	for _, s := range []*stream{c.in, c.out} {
		s.change(func() { s.broken, s.chunks = true, nil })
	}
	c.forget()
}

func (c *conn) forget() {
	c.host.n.mu.Lock()
	defer c.host.n.mu.Unlock()
	delete(c.host.conns, c)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn. Writes have no deadline, since they don't block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// deadline is a channel that is closed at a time.
type deadline struct{ state *deadlineState }

type deadlineState struct {
	mu     sync.Mutex
	passed chan struct{}
	timer  *time.Timer
}

func newDeadline() deadline { return deadline{&deadlineState{passed: make(chan struct{})}} }

func (d deadline) wait() <-chan struct{} {
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	return d.state.passed
}

func (d deadline) set(t time.Time) {
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	select {
	case <-s.passed:
		s.passed = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return
	}
	passed := s.passed
	if left := time.Until(t); left > 0 {
		// A timer that was stopped too late closes the channel of an earlier deadline only.
		s.timer = time.AfterFunc(left, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.passed == passed && s.timer != nil {
				close(passed)
				s.timer = nil
			}
		})
		return
	}
	close(passed)
}
