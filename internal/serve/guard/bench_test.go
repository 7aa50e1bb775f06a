package guard

import (
	"context"
	"net"
	"testing"

	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/core/clock"
)

// emptyConn reads and writes nothing at once.
type emptyConn struct{ net.Conn }

func (emptyConn) Read(b []byte) (int, error)  { return len(b), nil }
func (emptyConn) Write(b []byte) (int, error) { return len(b), nil }
func (emptyConn) Close() error                { return nil }

// BenchmarkRequest measures what the guard adds to a request of one read and one write.
func BenchmarkRequest(b *testing.B) {
	g := New(context.Background(), NewLimits(0, 0), clock.NewSystem(), tally.NoopScope)
	defer g.Close()
	c := g.add(Callers, emptyConn{})
	buf := make([]byte, 1024)
	for b.Loop() {
		_, _ = c.Read(buf)
		c.MarkComplete()
		_, _ = c.Write(buf)
	}
}

// BenchmarkAcceptAtLimit measures the choice of a connection to close among as many as the smallest instance has.
func BenchmarkAcceptAtLimit(b *testing.B) {
	g := New(context.Background(), NewLimits(0, 0), clock.NewSystem(), tally.NoopScope)
	defer g.Close()
	for b.Loop() {
		g.add(Callers, emptyConn{})
	}
}
