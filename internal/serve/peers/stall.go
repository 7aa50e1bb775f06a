package peers

import (
	"net"
	"time"
)

// WithStall makes a Client close a connection on which no byte has arrived for so long, also while it
// is idle. Calls whose answers can be large then need no time limit.
func WithStall(stall time.Duration) ClientOption { return func(c *Client) { c.stall = stall } }

// stallConn is a connection whose reads fail if no byte arrives for stall.
type stallConn struct {
	net.Conn
	stall time.Duration
}

func (c stallConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.stall)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}
