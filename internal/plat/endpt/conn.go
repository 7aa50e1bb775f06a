package endpt

import (
	"net"
	"sync"
)

// conn is a connection that counts its writes and can be sealed, so that it is certain whether
// anything was written since a mark. A mark is an earlier result of writes.
type conn struct {
	net.Conn
	mu     sync.Mutex
	count  uint64
	sealed bool
}

// Write writes to the connection. It returns net.ErrClosed if the connection is sealed. It
// increases the count before it writes, so that an unchanged count at the time of sealing proves
// that no byte was or will be written.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.count++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// writes returns the number of writes so far.
func (c *conn) writes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// seal closes the connection, prevents further writes and reports whether nothing was written
// since the mark.
func (c *conn) seal(mark uint64) (unwritten bool) {
	c.mu.Lock()
	c.sealed = true
	unwritten = c.count == mark
	c.mu.Unlock()
	_ = c.Close()
	return unwritten
}
