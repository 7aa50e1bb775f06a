package soak

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/serve/agent"
)

// LinkFaults are faults of a link.
type LinkFaults struct {
	// Delay is added to each piece of data that passes.
	Delay time.Duration
	// Reset resets all connections, and new ones as soon as they are there.
	Reset bool
	// NoCalls and NoAnswers hold back all data to and from the server.
	NoCalls, NoAnswers bool
	// Rate is the bandwidth of each connection in bytes per second, 0 for no limit.
	Rate int
}

const (
	// pieceBytes is the largest piece of data that a link passes on at once.
	pieceBytes = 16 << 10
	// holdCheck is the time between checks whether data is still held back.
	holdCheck = 10 * time.Millisecond
)

// Link is a TCP proxy on loopback with faults.
type Link struct {
	addr   string
	net    agent.Network
	clk    clock.Clock
	ctx    context.Context
	cancel context.CancelFunc
	faults atomic.Pointer[LinkFaults]
	target atomic.Pointer[string]
	// rewrite changes what passes, in place, nil for not at all. isCall is set for data to the target.
	rewrite atomic.Pointer[func(isCall bool, data []byte)]
	wg      sync.WaitGroup

	mu    sync.Mutex
	lis   net.Listener // nil while the link is shut
	conns map[net.Conn]bool
}

// LinkOption configures a link.
type LinkOption func(*Link)

// WithAddr sets the address of the link. It has a free port otherwise.
func WithAddr(addr string) LinkOption { return func(l *Link) { l.addr = addr } }

// WithNetwork sets where the link listens and connects. It uses TCP otherwise.
func WithNetwork(n agent.Network) LinkOption { return func(l *Link) { l.net = n } }

// NewLink starts a link without a target. Close stops it. It returns an Err.
func NewLink(clk clock.Clock, opts ...LinkOption) (*Link, error) {
	l := &Link{addr: "127.0.0.1:0", net: agent.TCP{}, clk: clk, conns: map[net.Conn]bool{}}
	for _, o := range opts {
		o(l)
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.faults.Store(&LinkFaults{})
	if err := l.Open(); err != nil {
		return nil, err
	}
	l.addr = l.lis.Addr().String()
	return l, nil
}

// Open accepts connections again after Shut. It returns an Err.
func (l *Link) Open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lis != nil {
		return nil
	}
	lis, err := l.net.Listen(l.addr)
	if err != nil {
		return Err.Wrap(err)
	}
	l.lis = lis
	l.wg.Add(1)
	go l.accept(lis)
	return nil
}

// Shut refuses new connections until Open.
func (l *Link) Shut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lis != nil {
		_ = l.lis.Close()
		l.lis = nil
	}
}

// Addr returns the host and port of the link.
func (l *Link) Addr() string { return l.addr }

// SetRewrite sets a function that changes what passes, in place.
func (l *Link) SetRewrite(f func(isCall bool, data []byte)) { l.rewrite.Store(&f) }

// SetTarget sets the address that new connections lead to.
func (l *Link) SetTarget(addr string) { l.target.Store(&addr) }

// Set replaces the faults.
func (l *Link) Set(f LinkFaults) {
	l.faults.Store(&f)
	if f.Reset {
		l.reset()
	}
}

// Close closes the link and all its connections, and waits for its goroutines.
func (l *Link) Close() {
	l.cancel()
	l.Shut()
	l.reset()
	l.wg.Wait()
}

// reset resets all connections.
func (l *Link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(l.conns)
}

// add records a connection, and resets it if that is the fault at present or the link is closed.
func (l *Link) add(c net.Conn) {
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	if l.faults.Load().Reset || l.ctx.Err() != nil {
		l.reset()
	}
}

func (l *Link) accept(lis net.Listener) {
	defer l.wg.Done()
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.serve(c)
		}()
	}
}

// serve connects a caller to the target until either side closes its connection.
func (l *Link) serve(caller net.Conn) {
	l.add(caller)
	target := l.target.Load()
	if target == nil {
		_ = caller.Close()
		return
	}
	server, err := l.net.Dial(l.ctx, "tcp", *target)
	if err != nil {
		_ = caller.Close()
		return
	}
	l.add(server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(server, caller, true)
	}()
	l.copy(caller, server, false)
	<-done
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, caller)
	delete(l.conns, server)
}

// isHeld reports whether data to or from the server is held back.
func (l *Link) isHeld(isCall bool) bool {
	f := l.faults.Load()
	return isCall && f.NoCalls || !isCall && f.NoAnswers
}

// copy passes data on until a connection is closed, and then closes both.
func (l *Link) copy(to, from net.Conn, isCall bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		f := l.faults.Load()
		wait := f.Delay
		if f.Rate > 0 {
			wait += time.Duration(n) * time.Second / time.Duration(f.Rate)
		}
		if wait > 0 {
			clock.Pause(l.ctx, l.clk, wait)
		}
		if rewrite := l.rewrite.Load(); rewrite != nil {
			(*rewrite)(isCall, buf[:n])
		}
		for l.isHeld(isCall) && l.ctx.Err() == nil {
			clock.Pause(l.ctx, l.clk, holdCheck)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
