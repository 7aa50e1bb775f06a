package endpt

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	fake "chervilgauge.example/chervilgauge/internal/fake/endpt"
)

// rawServer reads requests, counts their ids and closes each connection after the
// given number of answers: silently when idle, or after it read a further request.
type rawServer struct {
	l       net.Listener
	answers int
	read    bool // read a further request before closing
	mu      sync.Mutex
	ids     map[string]int
	wg      sync.WaitGroup
}

func serveRaw(t *testing.T, answers int, read bool) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &rawServer{l: l, answers: answers, read: read, ids: map[string]int{}}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.wg.Wait()
	})
	return s
}

func (s *rawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		if n == s.answers && !s.read {
			return
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		s.mu.Lock()
		s.ids[id]++
		s.mu.Unlock()
		if n == s.answers {
			return
		}
		b := fake.Body("plan", id, body, 0)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\nContent-Digest: %s\r\n\r\n%s",
			id, len(b), fake.Digest(b), b)
	}
}

func (s *rawServer) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// Guards against a hidden second attempt: the endpoint reads a request on a
// connection that was used before and closes it without an answer, which net/http
// takes for an idle connection that was closed, and replays if it may.
func TestNoReplay(t *testing.T) {
	for _, body := range []string{"", "thread"} {
		s := serveRaw(t, 1, true)
		c := New()
		defer c.Close()
		for i := range 50 {
			id := fmt.Sprint(i)
			_, _, err := call(t.Context(), c, s.l.Addr().String(), ports.Request{ID: id, Service: "plan", Body: []byte(body)})
			var broken *ports.BrokenError
			assert.Equal(t, i%2 == 1, errors.As(err, &broken), "%v", err)
			assert.Equal(t, s.runs(id), 1)
		}
	}
}

// Guards against a request on a connection closed by the endpoint that runs twice, or
// that ran although the error says that it was not sent.
func TestIdleClose(t *testing.T) {
	for _, body := range []string{"", "thread"} {
		s := serveRaw(t, 1, false)
		c := New()
		defer c.Close()
		for i := range 500 {
			id := fmt.Sprint(i)
			_, _, err := call(t.Context(), c, s.l.Addr().String(), ports.Request{ID: id, Service: "plan", Body: []byte(body)})
			var ns *ports.NotSentError
			if errors.As(err, &ns) {
				assert.Equal(t, s.runs(id), 0, "%v", err)
			}
			if err == nil {
				assert.Equal(t, s.runs(id), 1)
			}
			assert.Assert(t, s.runs(id) <= 1)
		}
	}
}

// Guards against a connection that writes after it was declared unwritten.
func TestSeal(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := &conn{Conn: near}
	_, err := c.Write([]byte("first request"))
	assert.NilError(t, err)
	mark := c.writes()
	assert.Assert(t, c.seal(mark))
	_, err = c.Write([]byte("second request"))
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Assert(t, !c.seal(mark-1))
}
