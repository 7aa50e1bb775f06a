// Package links counts the bytes that an entry exchanges with each kind of peer, and reports when
// they fill its network link.
package links

import (
	"net"
	"sync/atomic"
)

// Peer is the kind of process at the other end of a connection.
type Peer int

// Kinds of peers.
const (
	// Store is the platform's store.
	Store Peer = iota
	// Fleet is the instance service and the advice service.
	Fleet
	// Executors are the executors that this entry calls.
	Executors
	// Entries are the other entries.
	Entries
	// Callers are the callers that this entry serves.
	Callers
	// Peers is the number of kinds.
	Peers
)

// String returns the name of the kind in logs and metrics.
func (p Peer) String() string {
	return [...]string{"store", "fleet", "executors", "entries", "callers"}[p]
}

// Counts are the bytes exchanged with one kind of peer, without the headers of TCP and below.
type Counts struct{ Sent, Received int64 }

// Counters count the bytes on an entry's connections. The zero value is ready for use, and it is
// safe for concurrent use.
type Counters struct{ sent, received [Peers]atomic.Int64 }

// Counts returns the bytes exchanged with one kind of peer so far.
func (c *Counters) Counts(p Peer) Counts { return Counts{c.sent[p].Load(), c.received[p].Load()} }

// Conn returns a connection whose bytes count for a kind of peer.
func (c *Counters) Conn(p Peer, conn net.Conn) net.Conn {
	return &countedConn{conn, &c.sent[p], &c.received[p]}
}

// Listener returns a listener whose connections count for a kind of peer.
func (c *Counters) Listener(p Peer, lis net.Listener) net.Listener {
	return &countedListener{lis, c, p}
}

type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	counters *Counters
	peer     Peer
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counters.Conn(l.peer, conn), nil
}
