package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const delay = 5 * time.Millisecond

// pair returns both ends of a connection from host a to host b, and the hosts.
func pair(t *testing.T) (n *Network, a, b *Host, near, far net.Conn) {
	t.Helper()
	n = New(delay)
	a, b = n.Host("a"), n.Host("b")
	lis, err := b.Listen("127.0.0.1:1000")
	assert.NilError(t, err)
	near, err = a.Dial(t.Context(), "tcp", "127.0.0.1:1000")
	assert.NilError(t, err)
	far, err = lis.Accept()
	assert.NilError(t, err)
	return n, a, b, near, far
}

// readAfter returns what arrives, and how long it took.
func readAfter(t *testing.T, c net.Conn) (string, time.Duration) {
	t.Helper()
	begin, buf := time.Now(), make([]byte, 100)
	n, err := c.Read(buf)
	assert.NilError(t, err)
	return string(buf[:n]), time.Since(begin)
}

// Guards against data that does not wait for the delay, for a cut or for a paused process, or that is lost
// by them.
func TestDataWaitsForItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, b, near, far := pair(t)
		for _, c := range []struct {
			hold  func() func()
			extra time.Duration
		}{
			{func() func() { return func() {} }, 0}, {func() func() { return n.Cut("a", "b") }, time.Second}, {b.Pause, time.Second},
		} {
			end := c.hold()
			_, err := near.Write([]byte("x"))
			assert.NilError(t, err)
			time.AfterFunc(c.extra, end)
			got, took := readAfter(t, far)
			assert.Equal(t, got, "x")
			assert.Equal(t, took, max(delay, c.extra))
		}
		// The other direction is not cut.
		heal := n.Cut("a", "b")
		_, err := far.Write([]byte("y"))
		assert.NilError(t, err)
		_, took := readAfter(t, near)
		assert.Equal(t, took, delay)
		heal()
	})
}

// Guards against connections that outlive a process, and against a refused connection to one that runs.
func TestKilledProcessesResetTheirConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, near, _ := pair(t)
		_, err := a.Dial(t.Context(), "tcp", "127.0.0.1:1001")
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
		b.Kill()
		_, err = near.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		_, err = near.Write([]byte("x"))
		assert.Assert(t, errors.Is(err, syscall.EPIPE), "%v", err)
		_, err = a.Dial(t.Context(), "tcp", "127.0.0.1:1000")
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
		_, err = b.Listen("127.0.0.1:1002")
		assert.Assert(t, err != nil)
	})
}

// Guards against reads without an end, and against data that is lost when its sender closes.
func TestReadsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, _, near, far := pair(t)
		assert.NilError(t, far.SetReadDeadline(time.Now().Add(time.Second)))
		begin := time.Now()
		_, err := far.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
		assert.Equal(t, time.Since(begin), time.Second)
		assert.NilError(t, far.SetReadDeadline(time.Time{}))
		_, err = near.Write([]byte("last"))
		assert.NilError(t, err)
		assert.NilError(t, near.Close())
		got, _ := readAfter(t, far)
		assert.Equal(t, got, "last")
		_, err = far.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, io.EOF))
	})
}

// Guards against a read that does not end when its connection is closed while the process is paused.
func TestReadsOfAPausedProcessEndWithTheirConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, b, _, far := pair(t)
		resume := b.Pause()
		defer resume()
		time.AfterFunc(time.Second, func() { assert.Check(t, far.Close()) })
		_, err := far.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
	})
}

// Guards against a connection through a cut.
func TestConnectionsWaitForACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b, _, _ := pair(t)
		heal := n.Cut("b", "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := a.Dial(ctx, "tcp", "127.0.0.1:1000")
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		time.AfterFunc(time.Second, heal)
		begin := time.Now()
		_, err = a.Dial(t.Context(), "tcp", "127.0.0.1:1000")
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begin), time.Second)
		assert.Assert(t, b.Paused() == nil)
	})
}
