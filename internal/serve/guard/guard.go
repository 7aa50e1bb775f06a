package guard

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"chervilgauge.example/chervilgauge/internal/core/clock"
)

// Cause is the reason for closing a connection.
type Cause string

// Causes.
const (
	// Memory means that unfinished requests held more than the budget, Count that there were too many
	// connections, and Stalled that no byte of a request arrived for too long.
	Memory  Cause = "memory"
	Count   Cause = "count"
	Stalled Cause = "stalled"
)

// Guard keeps the connections of an entry within its limits. A nil Guard limits nothing.
type Guard struct {
	limits Limits
	scope  tally.Scope
	now    atomic.Int64 // the time, with the resolution of tickInterval
	// held is the sum of what the connections hold, and answering the part that belongs to whole requests.
	held, answering atomic.Int64
	decoding        *semaphore.Weighted

	mu      sync.Mutex
	conns   [Kinds]map[*Conn]struct{}
	seq     uint64
	scratch []state
	closed  [Kinds]map[Cause]tally.Counter
	refused map[string]tally.Counter

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a Guard, which runs until Close.
func New(ctx context.Context, l Limits, clk clock.Clock, scope tally.Scope) *Guard {
	ctx, cancel := context.WithCancel(ctx)
	g := &Guard{
		limits: l, scope: scope, refused: map[string]tally.Counter{}, decoding: semaphore.NewWeighted(l.Decode),
		cancel: cancel, done: make(chan struct{}),
	}
	g.now.Store(int64(clk.Now()))
	for k := range Kinds {
		g.conns[k], g.closed[k] = map[*Conn]struct{}{}, map[Cause]tally.Counter{}
	}
	go g.run(ctx, clk)
	return g
}

// Close stops the Guard's goroutine and waits for its end. Its connections stay limited, but are not
// closed for a lack of progress any more.
func (g *Guard) Close() {
	g.cancel()
	<-g.done
}

// Listener returns a listener whose connections are limited.
func (g *Guard) Listener(k Kind, lis net.Listener) net.Listener { return &listener{lis, g, k} }

// IsFull reports whether the whole requests in progress hold as much as they may.
func (g *Guard) IsFull() bool {
	return g != nil && float64(g.answering.Load()) > fullShare*float64(g.limits.Held)
}

// Load returns the bytes received for requests that are not answered, and the number of open connections.
func (g *Guard) Load() (held int64, conns int) {
	if g == nil {
		return 0, 0
	}
	for k := range Kinds {
		conns += g.count(k)
	}
	return g.held.Load(), conns
}

// Refuse counts a body that was refused.
func (g *Guard) Refuse(cause string) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.refused[cause]
	if c == nil {
		c = g.scope.Tagged(map[string]string{"cause": cause}).Counter("bodies_refused")
		g.refused[cause] = c
	}
	c.Inc(1)
}

// HasTooManyObjects reports whether a body has more objects than a valid submission of its size. Decoding
// 260 KB of empty ones would allocate some 70 MB before the first is found to be invalid.
func HasTooManyObjects(body []byte) bool {
	return len(body) >= checkedSize && countObjects(body) > len(body)/leastStep+1
}

// countObjects counts the objects in a JSON text, without braces in strings: the specification of a valid
// job may consist of them.
func countObjects(body []byte) int {
	n, inString := 0, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case c == '\\' && inString:
			i++
		case c == '"':
			inString = !inString
		case c == '{' && !inString:
			n++
		}
	}
	return n
}

// decodeBytes bounds what decoding a body allocates.
func decodeBytes(body []byte) int64 {
	return decodeFactor*int64(len(body)) + objectBytes*int64(countObjects(body))
}

// Decode waits until a body may be decoded. It returns false if there is no memory for that in time;
// otherwise release must be called once the decoded form is not used any more.
func (g *Guard) Decode(ctx context.Context, body []byte) (release func(), ok bool) {
	if g == nil {
		return func() {}, true
	}
	ctx, cancel := context.WithTimeout(ctx, decodeWait)
	defer cancel()
	n := min(decodeBytes(body), g.limits.Decode)
	return func() { g.decoding.Release(n) }, g.decoding.Acquire(ctx, n) == nil
}

func (g *Guard) run(ctx context.Context, clk clock.Clock) {
	defer close(g.done)
	ticks := clk.Subscribe(tickInterval)
	defer ticks.Close()
	held := g.scope.Gauge("bytes_held")
	var conns [Kinds]tally.Gauge
	for k := range Kinds {
		conns[k] = g.scope.Tagged(map[string]string{"port": k.String()}).Gauge("connections_open")
	}
	for {
		select {
		case <-ticks.C:
			g.now.Store(int64(clk.Now()))
			g.closeStalled()
			held.Update(float64(g.held.Load()))
			for k := range Kinds {
				conns[k].Update(float64(g.count(k)))
			}
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) count(k Kind) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns[k])
}

// add adds an accepted connection and closes another one, or else this one, if there are too many.
func (g *Guard) add(k Kind, conn net.Conn) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seq++
	c := &Conn{Conn: conn, g: g, kind: k, seq: g.seq}
	c.last.Store(g.now.Load())
	if len(g.conns[k]) >= g.limits.Conns[k] {
		if s, ok := chooseOldest(g.states(k)); ok {
			g.evict(s.conn, Count)
		} else {
			g.evict(c, Count)
			return c
		}
	}
	g.conns[k][c] = struct{}{}
	return c
}

// states returns the states of the connections on some kinds of ports. The caller holds mu.
func (g *Guard) states(kinds ...Kind) []state {
	now := time.Duration(g.now.Load())
	g.scratch = g.scratch[:0]
	for _, k := range kinds {
		for c := range g.conns[k] {
			g.scratch = append(g.scratch, c.state(now))
		}
	}
	return g.scratch
}

// relieve closes connections until the others hold less than the budget.
func (g *Guard) relieve() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held.Load() <= g.limits.Held {
		return // another goroutine has closed some meanwhile
	}
	excess := g.held.Load() - int64(lowWater*float64(g.limits.Held))
	for _, s := range chooseHolders(g.states(Callers, Entries, Readiness, Metrics), excess) {
		g.evict(s.conn, Memory)
	}
}

// closeStalled closes the connections that make no progress with a request.
func (g *Guard) closeStalled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.states(Callers, Entries, Readiness, Metrics) {
		if hasStalled(s) {
			g.evict(s.conn, Stalled)
		}
	}
}

// evict closes a connection and counts it. The caller holds mu.
func (g *Guard) evict(c *Conn, cause Cause) {
	n := g.closed[c.kind][cause]
	if n == nil {
		n = g.scope.Tagged(map[string]string{"port": c.kind.String(), "cause": string(cause)}).Counter("connections_closed")
		g.closed[c.kind][cause] = n
	}
	n.Inc(1)
	_ = c.Conn.Close() // its server closes it again and ignores that
	g.drop(c)
}

func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(c)
}

// drop forgets a closed connection. The caller holds mu.
func (g *Guard) drop(c *Conn) {
	delete(g.conns[c.kind], c)
	c.closed.Store(true)
	c.release()
	c.clearComplete()
	if f := c.onClose.Load(); f != nil {
		(*f)()
	}
}
