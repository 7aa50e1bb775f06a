package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// firstBuffer is the size of the buffer with which the reading of a body begins, whatever its
	// announced size is: a client can announce a size and send nothing.
	firstBuffer = 4 << 10
	// maxRead bounds one read of a body, so that the memory budget is checked between two of them.
	maxRead = 16 << 10
)

// WithGuard limits the memory for bodies. The listener must be the guard's.
func WithGuard(g *guard.Guard) Option { return func(h *handler) { h.guard = g } }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn returns the context of a connection's requests. It ends when the guard closes the connection: the
// server does not notice that while bytes of a further request wait to be read.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*guard.Conn); ok {
		ctx, cancel := context.WithCancel(ctx)
		c.OnClose(cancel)
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// markComplete reports to the guard that a whole request has been received.
func markComplete(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*guard.Conn); ok {
		c.MarkComplete()
	}
}

// readBody reads the body of a submission, or answers the request and returns false.
func (h *handler) readBody(c echo.Context, id string, limit int64) ([]byte, bool) {
	r := c.Request()
	switch {
	case r.ContentLength > limit:
		h.guard.Refuse("size")
		c.Response().Header().Set("Connection", "close")
		h.writeError(c, http.StatusBadRequest, id, "the body is too large", 0)
		return nil, false
	case h.guard.IsFull():
		h.refuseForMemory(c, id)
		return nil, false
	}
	body, err := readAll(http.MaxBytesReader(c.Response(), r.Body, limit), r.ContentLength)
	if err != nil {
		cause := "read"
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			cause = "size"
		}
		h.guard.Refuse(cause)
		h.writeError(c, http.StatusBadRequest, id, "the body can't be read: "+err.Error(), 0)
		return nil, false
	}
	if h.guard.IsFull() {
		h.refuseForMemory(c, id)
		return nil, false
	}
	markComplete(r)
	return body, true
}

// refuseForMemory answers that a submission has not run because there is no memory for it. The connection
// is closed, so that the rest of the body is not read.
func (h *handler) refuseForMemory(c echo.Context, id string) {
	h.guard.Refuse("memory")
	c.Response().Header().Set("Connection", "close")
	h.writeError(c, http.StatusServiceUnavailable, id, "entry has no memory for another body", guard.RetryAfter)
}

// readAll reads a body into a buffer that grows with what has arrived. size is the announced size, negative
// if there is none.
func readAll(r io.Reader, size int64) ([]byte, error) {
	// One more byte lets the last read find the end without a larger buffer.
	first := int64(firstBuffer)
	if size >= 0 {
		first = min(first, size+1)
	}
	buf := make([]byte, 0, first)
	for {
		if len(buf) == cap(buf) {
			next := 2 * cap(buf)
			if size >= int64(len(buf)) {
				next = min(next, int(size)+1)
			}
			buf = append(make([]byte, 0, next), buf...)
		}
		n, err := r.Read(buf[len(buf):min(cap(buf), len(buf)+maxRead)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// checkJob checks the body of a submission, or answers the request and returns false. The decoded form,
// which can be many times as large, is not kept.
func (h *handler) checkJob(ctx context.Context, c echo.Context, id string, body []byte) bool {
	if guard.HasTooManyObjects(body) {
		h.guard.Refuse("objects")
		h.writeError(c, http.StatusBadRequest, id, "the body has more objects than a valid job of its size", 0)
		return false
	}
	release, ok := h.guard.Decode(ctx, body)
	if !ok {
		h.refuseForMemory(c, id)
		return false
	}
	_, err := platform.DecodeJob(body)
	release()
	if err != nil {
		h.writeError(c, http.StatusBadRequest, id, err.Error(), 0)
	}
	return err == nil
}
