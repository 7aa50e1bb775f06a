package logs

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a reader that never reads and holds up the entry, or its memory.
func TestSinkDoesNotWaitForItsReader(t *testing.T) {
	r, w := io.Pipe()
	s := NewSink(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10_000 {
			n, err := s.Write(line)
			assert.Check(t, err == nil && n == len(line))
		}
		s.Close()
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the writer waits for a reader that does not read")
	}
	s.mu.Lock()
	assert.Assert(t, len(s.buf) <= sinkSize)
	s.mu.Unlock()
	text := make(chan string)
	go func() {
		out, err := io.ReadAll(r)
		assert.Check(t, err)
		text <- string(out)
	}()
	<-s.done
	assert.NilError(t, w.Close())
	out := <-text
	assert.Assert(t, len(out) < 3*sinkSize)
	assert.Assert(t, strings.Contains(out, `"omitted":`))
}

// safe is a buffer that several goroutines use.
type safe struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safe) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Guards against lines that are lost without a word, or not written at the end.
func TestSinkCountsWhatItLeavesOut(t *testing.T) {
	var out safe
	s := NewSink(&out)
	big := bytes.Repeat([]byte("y"), sinkSize)
	for _, p := range [][]byte{[]byte("first\n"), big, []byte("last\n")} {
		_, err := s.Write(p)
		assert.NilError(t, err)
	}
	s.Close()
	text := out.b.String()
	assert.Assert(t, strings.HasPrefix(text, "first\nlast\n"), "%.40s", text)
	assert.Assert(t, strings.Contains(text, `"omitted":1`))
}

// writes keeps the sizes of the writes and whether each ended a line.
type writes struct {
	mu    sync.Mutex
	sizes []int
	torn  int
}

func (w *writes) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sizes = append(w.sizes, len(p))
	if len(p) == 0 || p[len(p)-1] != '\n' {
		w.torn++
	}
	return len(p), nil
}

// Guards against lines that a collector cuts off because they are in the middle of a long
// write: "state is loaded" was missing from the logs of a takeover.
func TestSinkWritesWholeLinesInShortWrites(t *testing.T) {
	var out writes
	s := NewSink(&out)
	for i := range 300 {
		_, err := s.Write([]byte(strings.Repeat("x", 37+i) + "\n"))
		assert.NilError(t, err)
	}
	long := strings.Repeat("y", 2*writeSize) + "\n"
	_, err := s.Write([]byte(long + "last\n"))
	assert.NilError(t, err)
	s.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	sum := 0
	for _, n := range out.sizes {
		assert.Assert(t, n <= writeSize || n == len(long), "a write of %d bytes", n)
		sum += n
	}
	assert.Equal(t, out.torn, 0)
	assert.Equal(t, sum, 300*38+300*299/2+len(long)+len("last\n"))
}
