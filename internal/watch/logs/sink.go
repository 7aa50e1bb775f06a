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
	// maxBuffered bounds the lines that wait to be written, in bytes. While the reader of
	// the output doesn't read, further lines are dropped and the callers don't block.
	maxBuffered = 256 << 10
	// flushInterval is the time between writes, so that lines are written in batches.
	flushInterval = 100 * time.Millisecond
	// maxWrite bounds one write, in bytes: POSIX makes writes to a pipe atomic only up to
	// PIPE_BUF, and log collectors truncate longer writes.
	maxWrite = 4 << 10
)

// Sink is a writer that never blocks: it buffers lines, which a goroutine writes. Lines that
// don't fit into the buffer are dropped and counted.
type Sink struct {
	mu      sync.Mutex
	buf     []byte
	spare   []byte
	omitted int
	out     io.Writer
	quit    chan struct{}
	done    chan struct{}
}

// NewSink returns a sink whose goroutine writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, quit: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers a line, or drops it if the buffer is full. It returns no error.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buf)+len(p) > maxBuffered {
		s.omitted++
	} else {
		s.buf = append(s.buf, p...)
	}
	return len(p), nil
}

// Close writes the buffered lines. It waits for the write at most flushInterval, so that it
// also returns if the output blocks.
func (s *Sink) Close() {
	close(s.quit)
	timeout := clock.NewSystem().After(flushInterval)
	defer timeout.Close()
	select {
	case <-s.done:
	case <-timeout.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	ticks := clock.NewSystem().Subscribe(flushInterval)
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
		n := writeLen(rest)
		// A failure to write the log can't be reported anywhere.
		_, _ = s.out.Write(rest[:n])
		rest = rest[n:]
	}
	s.mu.Lock()
	s.spare = out
	s.mu.Unlock()
}

// writeLen returns the length in bytes of the complete lines that fit into one write, or that
// of the first line if it doesn't fit.
func writeLen(p []byte) int {
	if len(p) <= maxWrite {
		return len(p)
	}
	if n := bytes.LastIndexByte(p[:maxWrite], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(p, '\n'); n >= 0 {
		return n + 1
	}
	return len(p)
}
