package endpt

import (
	"net"
	"sync"
)

// replayListener wraps the connections that it accepts.
type replayListener struct{ net.Listener }

// Accept returns the next connection as a *replayConn.
func (l replayListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &replayConn{Conn: c}, nil
}

// replayConn can send the bytes of an answer twice.
type replayConn struct {
	net.Conn
	mu   sync.Mutex
	keep bool
	sent []byte
}

// record starts to keep the bytes that are written.
func (c *replayConn) record() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep = true
}

// Write writes to the connection.
func (c *replayConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keep {
		c.sent = append(c.sent, p...)
	}
	return c.Conn.Write(p)
}

// replay writes the kept bytes again and stops keeping bytes.
func (c *replayConn) replay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.keep {
		return
	}
	_, _ = c.Conn.Write(c.sent)
	c.keep = false
	c.sent = nil
}
