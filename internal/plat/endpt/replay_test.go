package endpt

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	fake "chervilgauge.example/chervilgauge/internal/fake/endpt"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// closingHandler counts the requests that it receives and closes connections that the client
// would reuse: after each answer if afterAnswer is set, else after every second request without
// an answer.
type closingHandler struct {
	afterAnswer bool
	mu          sync.Mutex
	total       int
	ids         map[string]int
}

func (h *closingHandler) count(id string) (total int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ids[id]++
	h.total++
	return h.total
}

func (h *closingHandler) runs(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ids[id]
}

// ServeHTTP answers requests. If afterAnswer is set it writes to the raw connection, so that no
// header announces that the connection will be closed.
func (h *closingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	n := h.count(id)
	if !h.afterAnswer {
		if n%2 == 0 {
			local.Cut()
		}
		r.Body, r.ContentLength = http.NoBody, 0
		fake.New().ServeHTTP(w, r)
		return
	}
	c, _, _ := http.NewResponseController(w).Hijack()
	b := fake.Body("plan", id, body, 0)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\nContent-Digest: %s\r\n\r\n%s", id, len(b), fake.Digest(b), b)
	_ = c.Close()
}

// Guards against a second attempt by the transport, and against a request that ran although the
// error reports that it was not sent. The endpoint closes a reused connection, either after it
// has read a request or while the connection is idle. net/http treats both as a closed idle
// connection and replays the request if that is allowed.
func TestNoReplay(t *testing.T) {
	for _, afterAnswer := range []bool{false, true} {
		for _, body := range []string{"", "thread"} {
			s := &closingHandler{afterAnswer: afterAnswer, ids: map[string]int{}}
			srv := httptest.NewServer(s)
			defer srv.Close()
			c := New()
			defer c.Close()
			for i := range 200 {
				id := fmt.Sprint(i)
				_, _, err := call(t.Context(), c, srv.Listener.Addr().String(), ports.Request{ID: id, Service: "plan", Body: []byte(body)})
				var broken *ports.UnknownOutcomeError
				var ns *ports.NotSentError
				switch {
				case errors.As(err, &ns):
					assert.Equal(t, s.runs(id), 0, "%v", err)
				case errors.As(err, &broken):
					assert.Assert(t, s.runs(id) <= 1, "%v", err)
				default:
					assert.NilError(t, err)
					assert.Equal(t, s.runs(id), 1)
				}
				assert.Assert(t, afterAnswer || (err != nil) == (i%2 == 1) && s.runs(id) == 1, "%v", err)
			}
		}
	}
}

// Guards against a header and a body that are sent in separate writes.
func TestOneWrite(t *testing.T) {
	e, c := start(t)
	var got *conn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { got, _ = i.Conn.(*conn) }}
	_, _, err := call(httptrace.WithClientTrace(t.Context(), trace), c, e.Addr(), request("a"))
	assert.NilError(t, err)
	assert.Equal(t, got.writes(), uint64(1))
}

// Guards against a connection that accepts writes after seal reported that nothing was written,
// and against a seal that misses a write.
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
