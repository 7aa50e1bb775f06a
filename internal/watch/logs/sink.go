package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
)

const (
	// sinkSize bounds the lines that wait to be written, in bytes. A reader that stops
	// reading costs lines and no time.
	sinkSize = 256 << 10
	// sinkEvery groups lines into few writes.
	sinkEvery = 100 * time.Millisecond
	// writeSize bounds one write, in bytes: POSIX writes up to PIPE_BUF to a pipe as a
	// whole, and collectors were seen to cut longer writes off.
	writeSize = 4 << 10
)

// Sink is a writer that never blocks: a goroutine writes what it holds, and lines that
// do not fit are left out and counted.
type Sink struct {
	mu      sync.Mutex
	buf     []byte
	spare   []byte
	omitted int
	out     io.Writer
	quit    chan struct{}
	done    chan struct{}
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, quit: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write keeps a line, or leaves it out. It never fails.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buf)+len(p) > sinkSize {
		s.omitted++
	} else {
		s.buf = append(s.buf, p...)
	}
	return len(p), nil
}

// Close writes what is left and waits, but not for a reader that does not read.
func (s *Sink) Close() {
	close(s.quit)
	clk := clock.NewSystem().After(sinkEvery)
	defer clk.Close()
	select {
	case <-s.done:
	case <-clk.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	ticks := clock.NewSystem().Subscribe(sinkEvery)
	defer ticks.Close()
	for {
		select {
		case <-ticks.C:
			s.flush()
		case <-s.quit:
			s.flush()
			return
		}
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	out, omitted := s.buf, s.omitted
	s.buf, s.omitted = s.spare[:0], 0
	s.mu.Unlock()
	if omitted > 0 {
		out = fmt.Appendf(out, "{\"level\":\"warn\",\"omitted\":%d,\"message\":\"log lines were left out\"}\n", omitted)
	}
	for rest := out; len(rest) > 0; {
		n := whole(rest)
		// A standard output that can't be written has no place to say so.
		_, _ = s.out.Write(rest[:n])
		rest = rest[n:]
	}
	s.mu.Lock()
	s.spare = out
	s.mu.Unlock()
}

// whole returns the size of the lines that fit into one write, or that of the first line
// if it does not fit.
func whole(p []byte) int {
	if len(p) <= writeSize {
		return len(p)
	}
	if n := bytes.LastIndexByte(p[:writeSize], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(p, '\n'); n >= 0 {
		return n + 1
	}
	return len(p)
}
