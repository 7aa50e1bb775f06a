package logs

import (
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
	// sinkEvery groups lines into one write.
	sinkEvery = 100 * time.Millisecond
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
	if len(out) > 0 {
		// A standard output that can't be written has no place to say so.
		_, _ = s.out.Write(out)
	}
	s.mu.Lock()
	s.spare = out
	s.mu.Unlock()
}
