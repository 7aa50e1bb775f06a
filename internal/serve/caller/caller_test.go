package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/serve/flows"
)

// runnerFunc runs calls.
type runnerFunc func(c *flows.Call) flows.Result

func (f runnerFunc) Run(_ context.Context, c *flows.Call) flows.Result { return f(c) }

func serve(t *testing.T, r Runner) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := Serve(lis, r, Limits{MaxBody: 100, MaxRunTime: time.Second, HeaderTimeout: 200 * time.Millisecond}, time.Now, nil)
	t.Cleanup(func() { assert.NilError(t, s.Close(context.Background())) })
	return lis.Addr().String()
}

func echoBody(c *flows.Call) flows.Result {
	return flows.Answered{Status: 200, ContentType: "text/plain", Length: int64(len(c.Body)), Whole: c.Body}
}

func post(t *testing.T, addr, path, body string, head map[string]string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	assert.NilError(t, err)
	for k, v := range head {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// Guards against invalid requests that reach admission, or that get any other answer than a refusal
// with its status and outcome.
func TestInvalidRequests(t *testing.T) {
	addr := serve(t, runnerFunc(func(c *flows.Call) flows.Result {
		t.Errorf("call reached admission: %+v", c)
		return flows.NotRun{}
	}))
	future := claim.NewID()
	future[0]++
	for _, c := range []struct {
		name, body string
		head       map[string]string
		status     int
		outcome    string
	}{
		{"no id", "", nil, 400, outcomeNotRun},
		{"bad id", "", map[string]string{headerID: "x"}, 400, outcomeNotRun},
		{"old version of id", "", map[string]string{headerID: "018bcfe5-6800-4000-8000-000000000001"}, 400, outcomeNotRun},
		{"id in the future", "", map[string]string{headerID: future.String()}, 400, outcomeNotRun},
		{"expired deadline", "", map[string]string{headerTimeout: "-1"}, 400, outcomeNotRun},
		{"bad urgency", "", map[string]string{headerUrgency: "high"}, 400, outcomeNotRun},
		{"large body", strings.Repeat("x", 101), map[string]string{headerIdempotent: "true"}, 413, outcomeNotRun},
		{"repeated bad id", "", map[string]string{headerAttempt: "2"}, 400, outcomeUnknown},
		{"long team", "", map[string]string{headerTeam: strings.Repeat("t", 64)}, 400, outcomeNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp := post(t, addr, "/v1/call/s", c.body, c.head)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, resp.Header.Get(headerOutcome), c.outcome)
		})
	}
	resp := post(t, addr, "/v2/call/s", "", nil)
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
}

// Guards against a client that keeps a connection open by sending its header slowly.
func TestSlowHeaderIsCutOff(t *testing.T) {
	addr := serve(t, runnerFunc(echoBody))
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /v1/call/s HTTP/1.1\r\nHost: a\r\n"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadAll(conn)
	assert.NilError(t, err, "connection is still open")
}

var errTruncated = errors.New("truncated")

// truncatedBody is a body that ends with an error.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errTruncated
	}
	return n, err
}

func (truncatedBody) Close() error { return nil }

// Guards against a truncated answer that looks complete to the caller, with and without a declared
// length.
func TestTruncatedAnswerIsRecognised(t *testing.T) {
	for _, length := range []int64{10, -1} {
		addr := serve(t, runnerFunc(func(*flows.Call) flows.Result {
			body := truncatedBody{bytes.NewReader([]byte("half"))}
			return flows.Answered{Status: 200, ContentType: "text/plain", Length: length, Body: body}
		}))
		assert.Assert(t, callAndRead(addr) != nil, "truncated body of length %d was read without an error", length)
	}
}

// callAndRead sends a call and reads the whole answer.
func callAndRead(addr string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/call/s", nil)
	if err != nil {
		return err
	}
	req.Header.Set(headerIdempotent, "true")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against outcomes that share a status or lack their reason.
func TestOutcomes(t *testing.T) {
	results := []flows.Result{
		flows.Answered{Status: 201, Whole: []byte("a"), Length: 1},
		flows.Failed{Answered: flows.Answered{Status: 500, Whole: []byte("f"), Length: 1}},
		flows.NotRun{Reason: flows.Busy, RetryAfter: 1500 * time.Millisecond},
		flows.Unknown{Reason: flows.Broken},
	}
	next := 0
	addr := serve(t, runnerFunc(func(*flows.Call) flows.Result { next++; return results[next-1] }))
	for _, want := range []struct {
		status  int
		outcome string
		body    string
	}{
		{201, outcomeAnswered, "a"},
		{502, outcomeFailed, "f"},
		{429, outcomeNotRun, `{"outcome":"not-run","reason":"busy","after":1500}` + "\n"},
		{504, outcomeUnknown, `{"outcome":"unknown","reason":"no-whole-answer"}` + "\n"},
	} {
		resp := post(t, addr, "/v1/call/s", "", map[string]string{headerIdempotent: "true"})
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, want.status)
		assert.Equal(t, resp.Header.Get(headerOutcome), want.outcome)
		assert.Equal(t, string(body), want.body)
	}
}
