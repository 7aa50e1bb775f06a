package worker

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/local"
	"chervilgauge.example/chervilgauge/internal/fake/worker"
	"chervilgauge.example/chervilgauge/internal/plat/httpc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig holds a fake worker named w on a fake clock and a client of it.
type rig struct {
	t    *testing.T
	base string
	clk  *clock.Fake
	c    *Client
}

var spec = ports.TaskSpec{Boot: 1, Lease: time.Minute, Need: ports.Resources{Cores: 1000, Memory: 1 << 30}}

func key(token uint64) ports.TaskKey { return ports.TaskKey{Worker: "w", Job: "../b c", Token: token} }

func start(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, clk: clock.NewFake(time.Unix(0, 0))}
	f := worker.New(worker.WithClock(r.clk), worker.WithFaults(worker.Faults{Run: 1000}),
		worker.WithWorkers(ports.Worker{Name: "w", Rack: "r", Centre: "c", Size: ports.Resources{Cores: 4000, Memory: 8 << 30, Accelerators: 1}}))
	var err error
	r.base, err = f.Start()
	assert.NilError(t, err)
	r.c, err = New(r.base)
	assert.NilError(t, err)
	t.Cleanup(func() { r.c.Close(); f.Close() })
	return r
}

// send sends a request of the fake's control API, such as one that sets faults.
func (r *rig) send(method, path, body string) {
	r.t.Helper()
	assert.NilError(r.t, local.SendControl(method, r.base+path, body))
}

// listWorker returns the only worker in the list.
func (r *rig) listWorker() ports.Worker {
	r.t.Helper()
	all, err := r.c.Workers(r.t.Context())
	assert.NilError(r.t, err)
	assert.Equal(r.t, len(all), 1)
	return all[0]
}

func (r *rig) start(token uint64) error { return r.c.Start(r.t.Context(), key(token), spec) }

func (r *rig) command(token uint64, kind ports.CommandKind) ports.TaskPhase {
	r.t.Helper()
	p, err := r.c.Command(r.t.Context(), key(token), kind)
	assert.NilError(r.t, err)
	return p
}

// Guards against two tasks for one token, and against a task that starts under an older token
// than the worker has received or under the token of a forgotten task.
func TestTokensFence(t *testing.T) {
	r := start(t)
	assert.NilError(t, r.start(5))
	assert.NilError(t, r.start(5))
	w := r.listWorker()
	assert.DeepEqual(t, w, ports.Worker{
		Name: "w", Rack: "r", Centre: "c", Boot: 1, Size: ports.Resources{Cores: 4000, Memory: 8 << 30, Accelerators: 1},
		Tasks: []ports.Task{{Job: "../b c", Token: 5, Phase: ports.TaskRunning, Used: ports.Resources{Cores: 1000, Memory: 1 << 30}}},
	})
	var stale *ports.StaleTaskError
	assert.Assert(t, errors.As(r.start(4), &stale))
	assert.Equal(t, stale.Newest, uint64(5))
	r.clk.Advance(2 * time.Second)
	assert.Equal(t, r.listWorker().Tasks[0].Phase, ports.TaskSucceeded)
	assert.Equal(t, r.command(5, ports.Stop), ports.TaskSucceeded, "a late stop does not hide the result")
	assert.Equal(t, r.listWorker().Tasks[0].Phase, ports.TaskSucceeded)
	assert.Equal(t, r.command(5, ports.Forget), ports.TaskSucceeded)
	assert.Equal(t, len(r.listWorker().Tasks), 0)
	assert.Assert(t, errors.As(r.start(5), &stale), "a token is not used again after its task was forgotten")
}

// Guards against a refusal that is reported as an unknown outcome, and against the reverse.
func TestFailuresAreTyped(t *testing.T) {
	r := start(t)
	r.send("PUT", "/faults", `{"lose":1}`)
	assert.Assert(t, ports.ErrWorkers.Has(r.start(1)))
	r.send("PUT", "/faults", `{"lose":0}`)
	assert.Equal(t, len(r.listWorker().Tasks), 1)
	r.send("POST", "/workers/w/restart", "")
	var refused *ports.NotStartedError
	assert.Assert(t, errors.As(r.start(2), &refused))
	assert.Equal(t, refused.Reason, "boot")
	var none *ports.NoTaskError
	_, err := r.c.Command(t.Context(), key(1), ports.Throttle)
	assert.Assert(t, errors.As(err, &none))
	r.send("PUT", "/faults", `{"down":true}`)
	assert.Assert(t, ports.ErrWorkers.Has(r.start(2)))
	_, err = r.c.Workers(t.Context())
	assert.Assert(t, ports.ErrWorkers.Has(err))
}

// Guards against a paused worker whose report has a low age or whose task makes progress.
func TestPausedWorkerAges(t *testing.T) {
	r := start(t)
	r.send("PUT", "/faults", `{"lag":250}`)
	assert.NilError(t, r.start(1))
	r.clk.Advance(500 * time.Millisecond)
	r.send("POST", "/workers/w/pause", "")
	r.clk.Advance(time.Minute)
	w := r.listWorker()
	assert.Equal(t, w.Age, time.Minute)
	assert.Equal(t, w.Tasks[0].Phase, ports.TaskRunning)
	_, err := r.c.Command(t.Context(), key(1), ports.Stop)
	assert.Assert(t, ports.ErrWorkers.Has(err))
	r.send("POST", "/workers/w/resume", "")
	r.clk.Advance(time.Second)
	assert.Equal(t, r.listWorker().Age, 250*time.Millisecond)
	assert.Equal(t, r.listWorker().Tasks[0].Phase, ports.TaskSucceeded)
}

// Guards against a malformed list that is read as an empty or a partial one.
func TestFaultyListIsRefused(t *testing.T) {
	var body string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer s.Close()
	c, err := New(s.URL)
	assert.NilError(t, err)
	defer c.Close()
	for _, body = range []string{
		"", "null", "{}", `[{"name":""}]`, `[{"name":"w"},{"name":"w"}]`,
		`[{"name":"w","size":{"cores":-1}}]`, `[{"name":"w","tasks":[{"job":"a","phase":"odd"}]}]`,
	} {
		_, err := c.Workers(t.Context())
		assert.Assert(t, ports.ErrWorkers.Has(err), "%q", body)
	}
	_, err = New("workers")
	assert.Assert(t, httpc.ErrBase.Has(err))
}
