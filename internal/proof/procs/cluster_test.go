package procs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chervilgauge.example/chervilgauge/internal/bench/inproc"
	"chervilgauge.example/chervilgauge/internal/fake/local"
	"chervilgauge.example/chervilgauge/internal/proof/built"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// programPath is the path of the program under test, which TestMain builds.
var programPath string

func TestMain(m *testing.M) { built.Main(m, &programPath) }

// process is a running process of the program under test.
type process struct {
	cmd          *exec.Cmd
	announcement string
	ended        chan struct{}
	stderr       bytes.Buffer
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stop sends a signal and waits until the process ends. After 30 s it kills the process, and the
// test fails.
func (p *process) stop(t testing.TB, s syscall.Signal) {
	p.signal(s)
	select {
	case <-p.ended:
	case <-time.After(30 * time.Second):
		t.Errorf("process %v did not end", p.cmd.Args)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// startProcess starts the program under test. If announces is set, it waits for the first line of
// output, which has the address, and stores it as the announcement.
func startProcess(t testing.TB, announces bool, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(programPath, args...), ended: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	assert.NilError(t, err)
	p.cmd.Stderr = &p.stderr
	assert.NilError(t, p.cmd.Start())
	r := bufio.NewReader(out)
	if announces {
		p.announcement, err = r.ReadString('\n')
		assert.NilError(t, err, "%s", args)
	}
	go func() {
		_, _ = io.Copy(io.Discard, r)
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.stop(t, syscall.SIGKILL)
	})
	return p
}

// entryProcess is an entry of a cluster.
type entryProcess struct {
	*process
	file                                string
	callers, operators, peers, healthAt string
}

// endpoint is a fake endpoint of a cluster.
type endpoint struct {
	name, addr, control string
}

// cluster is a deployment of separate processes with one pool and one service, plan.
type cluster struct {
	t         testing.TB
	log, list string
	endpoints []endpoint
	entries   []*entryProcess
	http      *http.Client
}

// newCluster starts the processes and waits until every entry is ready and every endpoint is
// available. The run time of requests is in milliseconds.
func newCluster(t testing.TB, entries, endpoints, runTime int) *cluster {
	t.Helper()
	c := &cluster{t: t, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	c.log = strings.Fields(startProcess(t, true, "standin", "log").announcement)[1]
	var names, controls []string
	for n := range endpoints {
		f := strings.Fields(startProcess(t, true, "standin", "endpoint", "-services", "plan", "-run", fmt.Sprint(runTime)).announcement)
		e := endpoint{fmt.Sprintf("i%d", n), strings.TrimPrefix(f[1], "http://"), f[3]}
		c.endpoints = append(c.endpoints, e)
		names = append(names, e.name)
		controls = append(controls, e.name+"="+e.control)
	}
	c.list = strings.Fields(startProcess(t, true, "standin", "list",
		"-instances", strings.Join(names, ","), "-controls", strings.Join(controls, ",")).announcement)[1]
	for n := range entries {
		c.entries = append(c.entries, c.entry(n))
	}
	for _, m := range c.entries {
		c.waitReady(m)
	}
	c.configure()
	return c
}

// entry starts an entry. If another process takes one of its ports before it listens, it is
// started again with other ports.
func (c *cluster) entry(n int) *entryProcess {
	c.t.Helper()
	for range 5 {
		m := c.startEntry(n)
		if c.listens(m) {
			return m
		}
		assert.Assert(c.t, strings.Contains(m.stderr.String(), "address already in use"), "%s", m.stderr.String())
	}
	c.t.Fatal("no free ports")
	return nil
}

// listens waits until an entry serves its health page or ends, and reports whether it serves.
func (c *cluster) listens(m *entryProcess) bool {
	for {
		select {
		case <-m.ended:
			return false
		case <-time.After(20 * time.Millisecond):
		}
		resp, err := http.Get("http://" + m.healthAt + "/healthz")
		if err == nil {
			_ = resp.Body.Close()
			return true
		}
	}
}

// startEntry writes the settings of an entry and starts it.
func (c *cluster) startEntry(n int) *entryProcess {
	addrs, err := local.FreeAddrs(4)
	assert.NilError(c.t, err)
	m := &entryProcess{
		callers: addrs[0], operators: addrs[1], peers: addrs[2], healthAt: addrs[3],
		file: filepath.Join(c.t.TempDir(), fmt.Sprintf("entry-%d.jsonc", n)),
	}
	text := fmt.Sprintf(`{"name": "entry-%d", "centre": "north",
		"listen": {"callers": %q, "operators": %q, "peers": %q, "health": %q},
		"log": {"url": %q, "timeout": "1s"}, "list": {"url": %q, "timeout": "1s"},
		"limits": {"run": "5s"}, "stop": {"lag": "200ms", "limit": "20s"}}`,
		n, m.callers, m.operators, m.peers, m.healthAt, c.log, c.list)
	assert.NilError(c.t, os.WriteFile(m.file, []byte(text), 0o600))
	m.process = startProcess(c.t, false, "serve", m.file)
	return m
}

// until polls a condition for at most 20 s.
func (c *cluster) waitUntil(what string, cond func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (c *cluster) isReady(m *entryProcess) bool {
	resp, err := http.Get("http://" + m.healthAt + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) waitReady(m *entryProcess) {
	c.t.Helper()
	c.waitUntil("entry is not ready", func() bool { return c.isReady(m) })
}

// operators returns a client for the operators' API of an entry.
func (c *cluster) operators(m *entryProcess) opspb.OperatorsClient {
	conn, err := grpc.NewClient(m.operators, grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close() })
	return opspb.NewOperatorsClient(conn)
}

func (c *cluster) status(m *entryProcess) *opspb.StatusReply {
	r, err := c.operators(m).Status(context.Background(), &opspb.StatusAsk{})
	assert.NilError(c.t, err)
	return r
}

// configure creates the pools, the service and the instances, and waits until every entry sees
// them as available.
func (c *cluster) configure() {
	ctx := context.Background()
	ops := c.operators(c.entries[0])
	for _, p := range []string{"main", "other"} {
		_, err := ops.PutPool(ctx, &recpb.Pool{Name: p, Budget: &recpb.Budget{Total: 1}})
		assert.NilError(c.t, err)
	}
	_, err := ops.PutService(ctx, &recpb.Service{Name: "plan", Pool: "main", Weight: 1})
	assert.NilError(c.t, err)
	for n, e := range c.endpoints {
		_, err := ops.PutInstance(ctx, &recpb.Instance{Name: e.name, Pool: "main", Addr: e.addr,
			Rack: fmt.Sprintf("r%d", n/2), Centre: "north", Slots: 8, Conns: 64})
		assert.NilError(c.t, err)
	}
	for _, m := range c.entries {
		c.waitUntil("endpoints are not up", func() bool { return c.availableInstances(m) == len(c.endpoints) })
	}
}

// availableInstances returns the number of instances that an entry sees as available.
func (c *cluster) availableInstances(m *entryProcess) int {
	n := 0
	for _, i := range c.status(m).GetInstances() {
		if i.GetPhase() == "serving" && i.GetHealth() == "up" {
			n++
		}
	}
	return n
}

func (c *cluster) instance(m *entryProcess, name string) *opspb.InstanceStatus {
	for _, i := range c.status(m).GetInstances() {
		if i.GetName() == name {
			return i
		}
	}
	c.t.Fatalf("no instance %q", name)
	return nil
}

// call sends one request to an entry.
func (c *cluster) call(m *entryProcess, call inproc.Call) inproc.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	call.Service = "plan"
	return inproc.Send(ctx, c.http, m.callers, call)
}

// sendControl sends a control request to a fake, such as a change of its faults.
func (c *cluster) sendControl(method, url string, body any) {
	c.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(c.t, err)
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	assert.NilError(c.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(c.t, err)
	text, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	assert.Assert(c.t, resp.StatusCode < 300, "%s %s: %s", method, url, text)
}

// counts are the counters of an endpoint.
type counts struct {
	Runs   int            `json:"runs"`
	IDs    map[string]int `json:"ids"`
	MaxRun int            `json:"maxrun"`
	// Late holds when requests arrived after the endpoint was set leaving, in milliseconds
	// since then.
	Late []float64 `json:"late"`
}

func (c *cluster) counts(e endpoint) counts {
	resp, err := http.Get(e.control + "/counts?ids=1")
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	var n counts
	assert.NilError(c.t, json.NewDecoder(resp.Body).Decode(&n))
	return n
}

// executions returns how often each request id ran, over all endpoints.
func (c *cluster) executions() map[string]int {
	out := map[string]int{}
	for _, e := range c.endpoints {
		for id, k := range c.counts(e).IDs {
			out[id] += k
		}
	}
	return out
}

// traffic is a load from several goroutines. It records the replies to the callers, by request id.
type traffic struct {
	mu      sync.Mutex
	replies map[string][]inproc.Reply
	quit    chan struct{}
	wg      sync.WaitGroup
}

// startTraffic starts callers, which send requests until the traffic is stopped. Each sends its
// requests to the entries in turn and, until one is answered, repeats it with the same id through
// the next entry. It makes at most tries attempts.
func (c *cluster) startTraffic(callers, tries int, idempotent bool) *traffic {
	tr := &traffic{replies: map[string][]inproc.Reply{}, quit: make(chan struct{})}
	for n := range callers {
		tr.wg.Add(1)
		go func() {
			defer tr.wg.Done()
			for k := n; !tr.stopped(); k++ {
				c.sendRequest(tr, k, tries, idempotent)
			}
		}()
	}
	return tr
}

func (tr *traffic) stopped() bool {
	select {
	case <-tr.quit:
		return true
	default:
		return false
	}
}

// sendRequest sends one request in up to tries attempts, through one entry after another. The
// attempt number is kept after an attempt that was not run.
func (c *cluster) sendRequest(tr *traffic, k, tries int, idempotent bool) {
	id := inproc.NewID()
	attempt := 1
	for n := range tries {
		m := c.entries[(k+n)%len(c.entries)]
		r := c.call(m, inproc.Call{ID: id, Idempotent: idempotent, Attempt: attempt, Timeout: 3 * time.Second})
		tr.mu.Lock()
		tr.replies[id] = append(tr.replies[id], r)
		tr.mu.Unlock()
		if r.Err == nil && r.Outcome == "answered" {
			return
		}
		if r.Outcome != "not-run" {
			attempt++
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// stop stops the traffic and returns the replies by request id.
func (tr *traffic) stop() map[string][]inproc.Reply {
	close(tr.quit)
	tr.wg.Wait()
	return tr.replies
}
