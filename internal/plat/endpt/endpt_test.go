package endpt

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	fake "chervilgauge.example/chervilgauge/internal/fake/endpt"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start returns a fake endpoint and a client, which are closed after the test.
func start(t testing.TB, opts ...fake.Option) (*fake.Endpoint, *Client) {
	t.Helper()
	e := fake.New(opts...)
	assert.NilError(t, e.Start())
	t.Cleanup(e.Close)
	c := New()
	t.Cleanup(c.Close)
	return e, c
}

// setFaults sets faults of a fake endpoint over its control API.
func setFaults(t testing.TB, e *fake.Endpoint, body string) {
	t.Helper()
	assert.NilError(t, local.SendControl(http.MethodPut, e.Control()+"/faults", body))
}

func request(id string) ports.Request {
	return ports.Request{ID: id, Service: "plan", ContentType: "text/plain", Body: []byte("thread " + id), Timeout: time.Minute}
}

// wantBody returns the correct body of the answer to request(id).
func wantBody(id string, size int) []byte { return fake.Body("plan", id, request(id).Body, size) }

// call makes a call and reads the body of the answer. With an error it returns the bytes that
// were read before.
func call(ctx context.Context, c *Client, addr string, r ports.Request) (*ports.Answer, []byte, error) {
	a, err := c.Call(ctx, addr, r)
	if err != nil {
		return nil, nil, err
	}
	b, err := io.ReadAll(a.Body)
	return a, b, errors.Join(err, a.Body.Close())
}

// sizes holds body sizes next to the limits of blocks and of buffering.
var sizes = []int{0, blockSize - 1, blockSize, blockSize + 1, 2 * blockSize, maxBuffered, maxBuffered + 1, 9*blockSize - 1, 9 * blockSize}

// Guards against answers that lose, repeat or reorder bytes at the limits of blocks, and against
// a failure of the service that is reported as a transport failure.
func TestAnswer(t *testing.T) {
	e, c := start(t)
	for _, trailer := range []bool{false, true} {
		for _, size := range sizes {
			fails := size%2 == 1
			setFaults(t, e, fmt.Sprintf(`{"size":%d,"trailer":%t,"fail":%t}`, size, trailer, fails))
			a, b, err := call(t.Context(), c, e.Addr(), request("a"))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(b, wantBody("a", size)), "size %d, trailer %t", size, trailer)
			assert.Equal(t, a.Buffered != nil, !trailer && size <= maxBuffered)
			assert.Equal(t, a.Length == -1, trailer)
			assert.Equal(t, a.ContentType, "text/plain")
			assert.Equal(t, a.Status == http.StatusInternalServerError, fails)
			assert.Equal(t, a.Header.Get("Failed") == "true", fails)
			assert.Assert(t, !a.Leaving)
		}
	}
}

// Guards against a truncated, corrupt or mixed-up answer that is accepted or reported with the
// wrong error type.
func TestFaults(t *testing.T) {
	tests := []struct {
		faults string
		cause  func(error) bool
	}{
		{`{"truncate":true}`, ErrLength.Has},
		{`{"corrupt":true}`, ErrDigest.Has},
		{`{"swap":true}`, ErrEcho.Has},
	}
	for _, tt := range tests {
		for _, trailer := range []bool{false, true} {
			for _, size := range sizes {
				t.Run(fmt.Sprintf("%s/%t/%d", tt.faults, trailer, size), func(t *testing.T) {
					e, c := start(t, fake.WithFaults(fake.Faults{Size: size, Trailer: trailer}))
					setFaults(t, e, tt.faults)
					_, b, err := call(t.Context(), c, e.Addr(), request("a"))
					var broken *ports.UnknownOutcomeError
					assert.Assert(t, errors.As(err, &broken), "%v", err)
					assert.Equal(t, broken.Addr, e.Addr())
					assert.Assert(t, tt.cause(broken.Cause), "%v", broken.Cause)
					// The last block must not be returned.
					assert.Assert(t, len(b) < len(wantBody("a", size)))
					assert.Equal(t, e.Counts().Runs, 1)
				})
			}
		}
	}
}

// Guards against a refusal that is returned as an answer, and against a refused request that
// ran.
func TestRefusals(t *testing.T) {
	e, c := start(t, fake.WithServices("plan"), fake.WithSlots(0))
	checkRefused := func(r ports.Request, reason string) {
		t.Helper()
		_, err := c.Call(t.Context(), e.Addr(), r)
		var re *ports.RefusedError
		assert.Assert(t, errors.As(err, &re), "%v", err)
		assert.Equal(t, re.Reason, reason)
	}
	checkRefused(request("a"), "slots")
	other := request("b")
	other.Service = "study"
	checkRefused(other, "service")
	setFaults(t, e, `{"leaving":true}`)
	checkRefused(request("c"), "leaving")
	leaving, err := c.Probe(t.Context(), e.Addr())
	assert.NilError(t, err)
	assert.Assert(t, leaving)
	assert.Equal(t, e.Counts().Runs, 0)
	assert.Equal(t, len(e.Counts().AfterLeaving), 1)
}

// Guards against a failed connection that is reported as a request that may have run, and
// against the reverse.
func TestNotSent(t *testing.T) {
	e, c := start(t)
	_, _, err := call(t.Context(), c, e.Addr(), request("a"))
	assert.NilError(t, err)
	setFaults(t, e, `{"refuse":true}`)
	c.Close()
	_, _, err = call(t.Context(), c, e.Addr(), request("b"))
	var ns *ports.NotSentError
	assert.Assert(t, errors.As(err, &ns), "%v", err)
	_, err = c.Probe(t.Context(), e.Addr())
	assert.Assert(t, errors.As(err, &ns), "%v", err)
	late := request("c")
	late.Timeout = -1
	_, _, err = call(t.Context(), c, e.Addr(), late)
	assert.Assert(t, errors.As(err, &ns), "%v", err)
	setFaults(t, e, `{"refuse":false}`)
	_, _, err = call(t.Context(), c, e.Addr(), request("d"))
	assert.NilError(t, err)
	assert.DeepEqual(t, e.Counts().IDs, map[string]int{"a": 1, "d": 1})
}

// Guards against more connections to an endpoint than the maximum.
func TestMaxConns(t *testing.T) {
	e, _ := start(t)
	c := New(WithMaxConns(2))
	defer c.Close()
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			_, _, err := call(t.Context(), c, e.Addr(), request(fmt.Sprint(i)))
			assert.Check(t, err)
		})
	}
	wg.Wait()
	assert.Assert(t, e.Counts().MaxOpen <= 2)
}

// Guards against a call that continues after its context was cancelled, or after its timeout,
// while the endpoint doesn't answer.
func TestHang(t *testing.T) {
	e, c := start(t)
	setFaults(t, e, `{"hang":true}`)
	ctx, cancel := context.WithCancel(t.Context())
	sent := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { cancel() }}
	_, _, err := call(httptrace.WithClientTrace(ctx, sent), c, e.Addr(), request("a"))
	var broken *ports.UnknownOutcomeError
	assert.Assert(t, errors.As(err, &broken), "%v", err)
	assert.ErrorIs(t, err, context.Canceled)
	r := request("b")
	r.Timeout = time.Millisecond
	_, _, err = call(t.Context(), c, e.Addr(), r)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against an answer that is returned to another caller because answers arrive out of
// order.
func TestLate(t *testing.T) {
	e, c := start(t)
	setFaults(t, e, `{"late":true}`)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			id := fmt.Sprint(i)
			_, b, err := call(t.Context(), c, e.Addr(), request(id))
			assert.Check(t, err)
			assert.Check(t, bytes.Equal(b, wantBody(id, 0)), "id %s", id)
		})
		if i%2 == 1 {
			wg.Wait()
		}
	}
}

// Guards against the answer to another request, against a request that ran twice, and against
// one that ran although the error reports that it did not. The endpoint sends second copies of
// answers, which arrive on connections that are reused, and connections are closed and refused.
func TestCuts(t *testing.T) {
	// Discard the lines that net/http logs for each second copy on an idle connection.
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	e, c := start(t, fake.WithFaults(fake.Faults{Double: true, Share: 0.2}))
	errs := make([]error, 1600)
	var wg sync.WaitGroup
	for g := range 16 {
		wg.Go(func() {
			for i := g; i < len(errs); i += 16 {
				var b []byte
				id := fmt.Sprint(i)
				_, b, errs[i] = call(t.Context(), c, e.Addr(), request(id))
				assert.Check(t, errs[i] != nil || bytes.Equal(b, wantBody(id, 0)))
			}
		})
	}
	for i := range 50 {
		assert.NilError(t, local.SendControl(http.MethodPost, e.Control()+"/cut", ""))
		setFaults(t, e, fmt.Sprintf(`{"refuse":true,"swap":%t}`, i%2 == 0))
		setFaults(t, e, `{"refuse":false}`)
	}
	wg.Wait()
	ids := e.Counts().IDs
	for i, err := range errs {
		var broken *ports.UnknownOutcomeError
		n := ids[fmt.Sprint(i)]
		switch {
		case errors.As(err, &broken):
			assert.Check(t, n <= 1, "%v", err)
		default: // answered, or certainly not run
			assert.Check(t, (n == 1) == (err == nil) && n <= 1, "ran %d times: %v", n, err)
		}
	}
}

// Guards against answers that are accepted although their request id or digest is missing,
// malformed or wrong.
func TestUnproven(t *testing.T) {
	good := fake.Digest([]byte("x"))
	tests := map[string]struct {
		ids, digests []string
		cause        func(error) bool
	}{
		"no id":           {nil, []string{good}, ErrEcho.Has},
		"other id":        {[]string{"b"}, []string{good}, ErrEcho.Has},
		"two ids":         {[]string{"a", "b"}, []string{good}, ErrEcho.Has},
		"no digest":       {[]string{"a"}, nil, ErrDigest.Has},
		"other algorithm": {[]string{"a"}, []string{"sha-512=:AAAA:"}, ErrDigest.Has},
		"short digest":    {[]string{"a"}, []string{"sha-256=:AAAA:"}, ErrDigest.Has},
		"wrong digest":    {[]string{"a"}, []string{fake.Digest(nil)}, ErrDigest.Has},
		"refusal of b":    {[]string{"b"}, nil, ErrEcho.Has},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header()["Request-Id"] = tt.ids
				w.Header()["Content-Digest"] = tt.digests
				if strings.HasPrefix(name, "refusal") {
					w.Header().Set("Refused", "slots")
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				_, _ = io.WriteString(w, "x")
			}))
			defer s.Close()
			c := New()
			defer c.Close()
			_, err := c.Call(t.Context(), s.Listener.Addr().String(), request("a"))
			var broken *ports.UnknownOutcomeError
			assert.Assert(t, errors.As(err, &broken), "%v", err)
			assert.Assert(t, tt.cause(broken.Cause), "%v", broken.Cause)
		})
	}
}

// Guards against a wrapper that hides the connection or the end of the body, and against missing
// trace headers.
func TestTraceHeader(t *testing.T) {
	seen := make(chan string, 1)
	e := fake.New()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("Traceparent")
		e.ServeHTTP(w, r)
	}))
	defer s.Close()
	defer e.Close()
	c := New(WithWrapper(func(rt http.RoundTripper) http.RoundTripper {
		return otelhttp.NewTransport(rt, otelhttp.WithPropagators(propagation.TraceContext{}))
	}))
	defer c.Close()
	span := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}})
	ctx := trace.ContextWithSpanContext(t.Context(), span)
	_, b, err := call(ctx, c, s.Listener.Addr().String(), request("a"))
	assert.NilError(t, err)
	assert.DeepEqual(t, b, wantBody("a", 0))
	assert.Assert(t, strings.Contains(<-seen, span.TraceID().String()))
}
