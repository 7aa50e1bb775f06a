package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// client is what one client of a crowd sends: pieces in order. It then leaves its connection open and
// reads, until the crowd is closed.
type client func(send func(piece []byte) bool)

// clients are the open connections of a crowd.
type clients struct {
	mu     sync.Mutex
	conns  []net.Conn
	closed bool
	wg     sync.WaitGroup
}

// open starts clients of one address at once and waits until each has sent its pieces or has failed to. It
// returns with the connections open.
func open(addr string, all ...client) *clients {
	c := &clients{}
	var sent sync.WaitGroup
	for _, act := range all {
		sent.Add(1)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			conn := c.dial(addr)
			if conn == nil {
				sent.Done()
				return
			}
			// Answers are read while the client sends, so that no write waits for them.
			read := make(chan struct{})
			go func() {
				defer close(read)
				_, _ = io.Copy(io.Discard, conn)
			}()
			act(func(piece []byte) bool {
				_ = conn.SetWriteDeadline(time.Now().Add(testTimeout))
				_, err := conn.Write(piece)
				return err == nil
			})
			sent.Done()
			<-read
			_ = conn.Close()
		}()
	}
	sent.Wait()
	return c
}

func (c *clients) dial(addr string) net.Conn {
	conn, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil
	}
	c.conns = append(c.conns, conn)
	return conn
}

// close closes all connections and waits for the clients to end.
func (c *clients) close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// times returns n clients.
func times(n int, newClient func(i int) client) []client {
	out := make([]client, n)
	for i := range out {
		out[i] = newClient(i)
	}
	return out
}

// inPieces sends a header and data in pieces of a size.
func inPieces(header, data []byte, size int) client {
	return func(send func([]byte) bool) {
		if !send(header) {
			return
		}
		for len(data) > 0 {
			n := min(size, len(data))
			if !send(data[:n]) {
				return
			}
			data = data[n:]
		}
	}
}

// chunked encodes data as chunks of a size, without the last, empty chunk.
func chunked(data []byte, size int) []byte {
	var out bytes.Buffer
	for len(data) > 0 {
		n := min(size, len(data))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	return out.Bytes()
}
