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

// Guards against an entry that blocks, or whose memory grows, because the reader of its log
// never reads.
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
	assert.Assert(t, len(s.buf) <= maxBuffered)
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
	assert.Assert(t, len(out) < 3*maxBuffered)
	assert.Assert(t, strings.Contains(out, `"omitted":`))
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *lockedBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Guards against dropped lines that are not reported, and against buffered lines that Close
// doesn't write.
func TestSinkCountsWhatItLeavesOut(t *testing.T) {
	var out lockedBuffer
	s := NewSink(&out)
	big := bytes.Repeat([]byte("y"), maxBuffered)
	for _, p := range [][]byte{[]byte("first\n"), big, []byte("last\n")} {
		_, err := s.Write(p)
		assert.NilError(t, err)
	}
	s.Close()
	text := out.b.String()
	assert.Assert(t, strings.HasPrefix(text, "first\nlast\n"), "%.40s", text)
	assert.Assert(t, strings.Contains(text, `"omitted":1`))
}

// writeRecorder records the size of each write, and how many writes didn't end a line.
type writeRecorder struct {
	mu      sync.Mutex
	sizes   []int
	partial int
}

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sizes = append(w.sizes, len(p))
	if len(p) == 0 || p[len(p)-1] != '\n' {
		w.partial++
	}
	return len(p), nil
}

// Guards against lines that span two writes and against writes above maxWrite, which log
// collectors truncate: the line "state is loaded" of a change of leaders was lost that way.
func TestSinkWritesWholeLinesInShortWrites(t *testing.T) {
	var out writeRecorder
	s := NewSink(&out)
	for i := range 300 {
		_, err := s.Write([]byte(strings.Repeat("x", 37+i) + "\n"))
		assert.NilError(t, err)
	}
	long := strings.Repeat("y", 2*maxWrite) + "\n"
	_, err := s.Write([]byte(long + "last\n"))
	assert.NilError(t, err)
	s.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	sum := 0
	for _, n := range out.sizes {
		assert.Assert(t, n <= maxWrite || n == len(long), "a write of %d bytes", n)
		sum += n
	}
	assert.Equal(t, out.partial, 0)
	assert.Equal(t, sum, 300*38+300*299/2+len(long)+len("last\n"))
}
