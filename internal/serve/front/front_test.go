package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
)

// stubJobs answers every request at once.
type stubJobs struct{}

func (stubJobs) View() View {
	return View{Config: model.Config{Queues: []model.Queue{{Name: "q", Host: "jobs.example", Prefix: "/q/"}}}.Indexed()}
}

func (stubJobs) Submit(context.Context, relay.Submission, *model.Queue) relay.Answer {
	return relay.Answer{Verdict: relay.Stored}
}
func (stubJobs) Query(context.Context, string) (model.State, bool) { return model.Active, true }
func (stubJobs) Cancel(context.Context, string) relay.Verdict      { return relay.Stored }
func (stubJobs) Pending(string) (int, bool)                        { return 1, true }

// Guards against a planned stop that closes a connection on which a request waits to be read. This
// lost a request that arrived 82 ms after SIGTERM at an entry that was short of processor time.
func TestLeavingAnswersOpenConnections(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := Serve(lis, stubJobs{}, zerolog.Nop())
	conn, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	in := bufio.NewReader(conn)
	ask := func() *http.Response {
		_, err := fmt.Fprint(conn, "GET /q/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		return resp
	}
	assert.Assert(t, !ask().Close)
	s.Drain()
	// Wait long enough for an idle connection to be closed, if the server did that.
	time.Sleep(50 * time.Millisecond)
	resp := ask()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Close(ctx))
}

// panicJobs panics in each query.
type panicJobs struct{ stubJobs }

func (panicJobs) Query(context.Context, string) (model.State, bool) { panic("unexpected request") }

// Guards against a process that ends because the handler of one request panics.
func TestPanickingHandlerEndsOnlyItsRequest(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := Serve(lis, panicJobs{}, zerolog.Nop())
	defer s.CloseNow()
	for _, want := range []int{0, http.StatusOK} {
		path := map[int]string{0: "0123456789abcdef", http.StatusOK: ""}[want]
		req, err := http.NewRequest(http.MethodGet, "http://"+lis.Addr().String()+"/q/"+path, nil)
		assert.NilError(t, err)
		req.Host = "jobs.example"
		resp, err := http.DefaultClient.Do(req)
		if want == 0 {
			assert.ErrorContains(t, err, "EOF")
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, want)
		assert.NilError(t, resp.Body.Close())
	}
}
