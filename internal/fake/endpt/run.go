package endpt

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"

	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// maxBody is the largest accepted request body in bytes.
const maxBody = 64 << 20

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// run serves one request. It reads the body before it refuses a request, because closing a
// connection with unread bytes resets it, and the client may lose the answer.
func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) {
	e.countArrival()
	body := readBody(r)
	id := r.Header.Get("Request-Id")
	if id == "" {
		local.Fail(w, http.StatusBadRequest, "no Request-Id")
		return
	}
	service := r.PathValue("service")
	p, refused := e.takeSlot(id, service)
	if refused != "" {
		e.refuse(w, id, refused)
		return
	}
	if r.URL.RawQuery != "" && r.URL.Query().Get("trailer") == "1" {
		p.Trailer = true
	}
	if !e.execute(p) {
		local.Cut()
	}
	if p.affected && p.Reorder && !e.holdAnswer(p) {
		defer e.releaseHeld(w)
	}
	if p.affected && p.Double {
		duplicateAnswer(r)
	}
	if p.affected && p.Swap {
		id += "-swapped"
		body = append(body, "-swapped"...)
	}
	e.answer(w, p, service, id, body)
}

// readBody returns the body of a request. It closes the connection if the body is incomplete or
// too large.
func readBody(r *http.Request) []byte {
	if r.ContentLength > maxBody {
		local.Cut()
	}
	if r.ContentLength < 0 {
		b, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
		if err != nil || len(b) > maxBody {
			local.Cut()
		}
		return b
	}
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b); err != nil {
		local.Cut()
	}
	return b
}

// takeSlot takes a slot for a request and returns its plan, or returns the reason to refuse it.
func (e *Endpoint) takeSlot(id, service string) (p plan, refused string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.counts
	switch {
	case e.services != nil && !e.services[service]:
		refused = "service"
	case e.faults.Leaving:
		refused = "leaving"
	case c.running >= e.slots:
		refused = "slots"
	}
	if refused != "" {
		c.refused[refused]++
		return plan{}, refused
	}
	c.running++
	c.maxRun = max(c.maxRun, c.running)
	c.total++
	c.runs[id]++
	return e.drawPlan(), ""
}

// execute waits for the run time and frees the slot, unless Stop freed it meanwhile. It returns
// false if there must be no answer.
func (e *Endpoint) execute(p plan) bool {
	defer func() {
		e.mu.Lock()
		if p.incarnation == e.incarnation {
			e.counts.running--
		}
		e.mu.Unlock()
	}()
	if p.affected && p.Hang {
		select {
		case <-p.faultsChanged:
		case <-e.quit:
		}
		return false
	}
	if p.affected && p.Fail {
		return true
	}
	return local.Pause(e.clk, local.Millis(p.Run), e.quit)
}

// holdAnswer waits until the next answer has been sent, or the faults change, and returns true.
// It returns false at once if another answer is held back.
func (e *Endpoint) holdAnswer(p plan) bool {
	e.mu.Lock()
	if e.heldAnswer != nil {
		e.mu.Unlock()
		return false
	}
	held := make(chan struct{})
	e.heldAnswer = held
	e.mu.Unlock()
	select {
	case <-held:
		return true
	case <-p.faultsChanged:
	case <-e.quit:
	}
	e.mu.Lock()
	if e.heldAnswer == held {
		e.heldAnswer = nil
	}
	e.mu.Unlock()
	return true
}

// releaseHeld flushes an answer and releases the one that is held back.
func (e *Endpoint) releaseHeld(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.heldAnswer != nil {
		close(e.heldAnswer)
		e.heldAnswer = nil
	}
}

// duplicateAnswer makes the connection send the answer to a request twice.
func duplicateAnswer(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*replayConn); ok {
		c.record()
	}
}

func (e *Endpoint) probe(w http.ResponseWriter, _ *http.Request) {
	e.markLeaving(w.Header())
	w.WriteHeader(http.StatusOK)
}

// markLeaving announces in an answer that the endpoint is leaving.
func (e *Endpoint) markLeaving(h http.Header) {
	if e.Faults().Leaving {
		h["Leaving"] = []string{"true"}
	}
}

// refuse answers a request that was not run, with the reason.
func (e *Endpoint) refuse(w http.ResponseWriter, id, reason string) {
	h := w.Header()
	e.markLeaving(h)
	h["Request-Id"] = []string{id}
	h["Refused"] = []string{reason}
	status := http.StatusServiceUnavailable
	if reason == "service" {
		status = http.StatusNotFound
	}
	w.WriteHeader(status)
}

// answer sends the answer with the faults of the plan.
func (e *Endpoint) answer(w http.ResponseWriter, p plan, service, id string, request []byte) {
	h := w.Header()
	e.markLeaving(h)
	body := Body(service, id, request, p.Size)
	digest := Digest(body)
	h["Request-Id"] = []string{id}
	h["Content-Type"] = []string{"text/plain"}
	if p.Trailer {
		h["Trailer"] = []string{"Content-Digest"}
	} else {
		h["Content-Length"] = []string{strconv.Itoa(len(body))}
		h["Content-Digest"] = []string{digest}
	}
	status := http.StatusOK
	if p.affected && p.Fail {
		status = http.StatusInternalServerError
		h["Failed"] = []string{"true"}
	}
	w.WriteHeader(status)
	if p.affected && p.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		local.Cut()
	}
	if p.affected && p.Corrupt {
		body[len(body)/2] ^= 1
	}
	_, _ = w.Write(body)
	if p.Trailer {
		h["Content-Digest"] = []string{digest}
	}
}

// Body returns the body that answers a request: a line with the service, the id and
// the SHA-256 of the request's body, followed by a repetition of that sum up to a
// size in bytes.
func Body(service, id string, request []byte, size int) []byte {
	sum := sha256.Sum256(request)
	text := hex.EncodeToString(sum[:])
	b := make([]byte, 0, max(size, len(service)+len(id)+len(text)+16))
	b = strconv.AppendQuote(b, service)
	b = append(b, ' ')
	b = strconv.AppendQuote(b, id)
	b = append(b, ' ')
	b = append(b, text...)
	b = append(b, '\n')
	for len(b) < size {
		b = append(b, text[:min(len(text), size-len(b))]...)
	}
	return b
}

// Digest returns the value of the Content-Digest header of a body (RFC 9530).
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
