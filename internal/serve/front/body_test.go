package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
)

// Guards against a body that is changed or cut off by the way it is read.
func TestBodiesAreReadWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("0123456789abcdef!"), rapid.IntRange(0, 6000).Draw(t, "length"))
		size := rapid.SampledFrom([]int64{-1, int64(len(want)), 1, 1 << 20}).Draw(t, "announced")
		r := rapid.SampledFrom([]io.Reader{
			bytes.NewReader(want), iotest.HalfReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want)),
		}).Draw(t, "reader")
		got, err := readAll(r, size)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, want))
	})
}

// slowJobs answers submissions once released.
type slowJobs struct {
	stubJobs
	release chan struct{}
}

func (s slowJobs) Submit(ctx context.Context, _ relay.Submission, _ *model.Queue) relay.Answer {
	select {
	case <-s.release:
	case <-ctx.Done():
	}
	return relay.Answer{Verdict: relay.Stored}
}

// serveGuarded serves callers with a guard and returns the address.
func serveGuarded(t *testing.T, j Jobs) string {
	t.Helper()
	g := guard.New(context.Background(), guard.NewLimits(guard.DefaultMemory, 0), clock.NewSystem(), tally.NoopScope)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := Serve(g.Listener(guard.Callers, lis), j, zerolog.Nop(), WithGuard(g))
	t.Cleanup(func() {
		s.CloseNow()
		g.Close()
	})
	return lis.Addr().String()
}

// post sends a submission on a connection of its own.
func post(t *testing.T, addr, header string, body []byte) *bufio.Reader {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /q/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\n%s\r\n\r\n", header)
	assert.NilError(t, err)
	go func() { _, _ = conn.Write(body) }()
	return bufio.NewReader(conn)
}

func status(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	return resp
}

// Guards against a request of the largest legal size that is refused or cut off in calm.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	release := make(chan struct{})
	close(release)
	addr := serveGuarded(t, slowJobs{release: release})
	steps := []byte(`{"phases":[{"count":1}`)
	for len(steps) < maxBodyBytes-20 {
		steps = append(steps, `,{"count":1}`...)
	}
	steps = append(steps, "]}"...)
	plain := []byte(`{"phases":[{"count":1}]}` + strings.Repeat(" ", maxBodyBytes-24))
	for _, body := range [][]byte{steps, plain} {
		assert.Equal(t, status(t, post(t, addr, fmt.Sprint("Content-Length: ", len(body)), body)).StatusCode, http.StatusOK)
	}
	var chunks bytes.Buffer
	for _, b := range plain {
		fmt.Fprintf(&chunks, "1\r\n%c\r\n", b)
	}
	chunks.WriteString("0\r\n\r\n")
	assert.Equal(t, status(t, post(t, addr, "Transfer-Encoding: chunked", chunks.Bytes())).StatusCode, http.StatusOK)
}

// Guards against an entry that reads a body which was announced to be over the limit before it answers.
func TestAnnouncedBodyOverTheLimitIsNotRead(t *testing.T) {
	resp := status(t, post(t, serveGuarded(t, stubJobs{}), fmt.Sprint("Content-Length: ", maxBodyBytes+1), nil))
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	assert.Assert(t, resp.Close)
}

// Guards against whole bodies that use up the memory, against a refusal without Retry-After, and against
// requests that are refused although there is memory again.
func TestBodiesAreRefusedWithoutMemory(t *testing.T) {
	release := make(chan struct{})
	addr := serveGuarded(t, slowJobs{release: release})
	body := []byte(`{"phases":[{"count":1}]}` + strings.Repeat(" ", maxBodyBytes-24))
	header := fmt.Sprint("X-Deadline-Ms: 15000\r\nContent-Length: ", len(body))
	results := make(chan *http.Response)
	const n = 60 // some 15 MB, more than half of the budget
	for range n {
		in := post(t, addr, header, body)
		go func() {
			resp, _ := http.ReadResponse(in, nil)
			results <- resp
		}()
	}
	refused := <-results // the others wait
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, refused.Header.Get("Retry-After"), "1")
	close(release)
	served := 0
	for range n - 1 {
		if r := <-results; r != nil && r.StatusCode == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served >= 20, "%d requests were served", served)
	assert.Equal(t, status(t, post(t, addr, header, body)).StatusCode, http.StatusOK)
}

// Guards against a body whose decoding allocates far more than that of a valid one.
func TestBodyOfEmptyObjectsIsRefused(t *testing.T) {
	body := []byte(`{"phases":[` + strings.Repeat("{},", 80_000) + "{}]}")
	resp := status(t, post(t, serveGuarded(t, stubJobs{}), fmt.Sprint("Content-Length: ", len(body)), body))
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}

// Guards against submissions that hold their bodies for an hour after the guard has closed their connections: the
// server does not notice that while a byte of a further request waits to be read.
func TestClosedConnectionsEndTheirRequests(t *testing.T) {
	g := guard.New(context.Background(), guard.NewLimits(guard.DefaultMemory, 0), clock.NewSystem(), tally.NoopScope)
	defer g.Close()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	accepted := make(chan net.Conn, 1)
	j := endingJobs{began: make(chan struct{}, 1), ended: make(chan struct{}, 1)}
	s := Serve(recordingListener{g.Listener(guard.Callers, lis), accepted}, j, zerolog.Nop(), WithGuard(g))
	defer s.CloseNow()
	body := `{"phases":[{"count":1}]}`
	conn, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /q/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: 3600000\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	<-j.began
	// The server reads one byte in the background, and nothing more before it has answered.
	_, err = conn.Write([]byte("G"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, (<-accepted).Close())
	select {
	case <-j.ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the request goes on")
	}
}

// endingJobs reports when a submission begins and when its context ends.
type endingJobs struct {
	stubJobs
	began, ended chan struct{}
}

func (j endingJobs) Submit(ctx context.Context, _ relay.Submission, _ *model.Queue) relay.Answer {
	j.began <- struct{}{}
	select {
	case <-ctx.Done():
		j.ended <- struct{}{}
	case <-time.After(10 * time.Second):
	}
	return relay.Answer{Verdict: relay.Unknown}
}

// recordingListener passes on the connections that it accepts.
type recordingListener struct {
	net.Listener
	accepted chan<- net.Conn
}

func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- conn
	}
	return conn, err
}
