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
