// Package memnet connects processes in memory, with delays and faults. It does not use the operating
// system, so that a whole deployment can run in the virtual time of testing/synctest.
package memnet

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// acceptBuffer is the number of connections that a listener has not accepted yet.
const acceptBuffer = 512

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	delay time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[[2]string]int
	// changed is closed and replaced when a host is paused or resumed, or a cut begins or ends.
	changed chan struct{}
}

// New returns a network in which data takes delay from one host to another.
func New(delay time.Duration) *Network {
	return &Network{delay: delay, listeners: map[string]*listener{}, cuts: map[[2]string]int{}, changed: make(chan struct{})}
}

// notify wakes all that wait for a change. The caller holds mu.
func (n *Network) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut holds back all data from one host to another until the returned function is called. Cuts add up.
func (n *Network) Cut(from, to string) (heal func()) {
	n.change([2]string{from, to}, 1)
	return func() { n.change([2]string{from, to}, -1) }
}

func (n *Network) change(way [2]string, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[way] += by
	n.notify()
}

// Host is a process with its connections.
type Host struct {
	n    *Network
	name string

	// The fields below are guarded by n.mu.
	pauses int
	killed bool
	conns  map[*conn]struct{}
	bound  []string
}

// Host returns a new process on a host. A process that replaces a killed one has the same name.
func (n *Network) Host(name string) *Host {
	return &Host{n: n, name: name, conns: map[*conn]struct{}{}}
}

// Pause suspends the process until the returned function is called: it accepts and receives nothing.
// What it has sent arrives. Pauses add up.
func (h *Host) Pause() (resume func()) {
	h.pause(1)
	return func() { h.pause(-1) }
}

func (h *Host) pause(by int) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	h.pauses += by
	h.n.notify()
}

// Paused returns a channel that is closed after the next change, or nil if the process runs.
func (h *Host) Paused() <-chan struct{} {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if h.pauses == 0 {
		return nil
	}
	return h.n.changed
}

// Kill ends the process: its listeners and connections are reset, and it can open no more.
func (h *Host) Kill() {
	h.n.mu.Lock()
	h.killed = true
	for _, addr := range h.bound {
		if l := h.n.listeners[addr]; l != nil && l.host == h {
			delete(h.n.listeners, addr)
			l.closeOnce.Do(func() { close(l.closed) })
		}
	}
	var open []*conn
	for c := range h.conns {
		open = append(open, c)
	}
	h.n.mu.Unlock()
	for _, c := range open {
		c.reset()
	}
}

// gate returns a channel that is closed after the next change, and whether data to the host from
// another one passes.
func (h *Host) gate(from string) (changed <-chan struct{}, passes bool) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	return h.n.changed, h.pauses == 0 && h.n.cuts[[2]string{from, h.name}] == 0
}

type listener struct {
	host      *Host
	addr      net.Addr
	accepts   chan *conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen listens at an address of an IP and a port.
func (h *Host) Listen(addr string) (net.Listener, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if h.killed {
		return nil, failed("listen", syscall.ENETDOWN)
	}
	if h.n.listeners[addr] != nil {
		return nil, failed("listen", syscall.EADDRINUSE)
	}
	l := &listener{host: h, addr: net.TCPAddrFromAddrPort(ap), accepts: make(chan *conn, acceptBuffer), closed: make(chan struct{})}
	h.n.listeners[addr] = l
	h.bound = append(h.bound, addr)
	return l, nil
}

func failed(op string, cause syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, cause)}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if paused := l.host.Paused(); paused != nil {
			select {
			case <-paused:
				continue
			case <-l.closed:
				return nil, net.ErrClosed
			}
		}
		select {
		case c := <-l.accepts:
			return c, nil
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.host.n.mu.Lock()
	defer l.host.n.mu.Unlock()
	if a := l.addr.String(); l.host.n.listeners[a] == l {
		delete(l.host.n.listeners, a)
	}
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }

// Dial opens a connection to an address. It is refused if nothing listens there, and waits while the way is
// cut.
func (h *Host) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	wait := time.NewTimer(2 * h.n.delay)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for {
		h.n.mu.Lock()
		l, changed := h.n.listeners[addr], h.n.changed
		cut := l != nil && h.n.cuts[[2]string{h.name, l.host.name}]+h.n.cuts[[2]string{l.host.name, h.name}] > 0
		switch {
		case h.killed:
			h.n.mu.Unlock()
			return nil, failed("connect", syscall.ENETDOWN)
		case l == nil:
			h.n.mu.Unlock()
			return nil, failed("connect", syscall.ECONNREFUSED)
		case !cut:
			near, far := connect(h, l.host, l.addr)
			h.conns[near], l.host.conns[far] = struct{}{}, struct{}{}
			h.n.mu.Unlock()
			select {
			case l.accepts <- far:
				return near, nil
			case <-l.closed:
				near.reset()
				return nil, failed("connect", syscall.ECONNREFUSED)
			case <-ctx.Done():
				near.reset()
				return nil, ctx.Err()
			}
		}
		h.n.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
