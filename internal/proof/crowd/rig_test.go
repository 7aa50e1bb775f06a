package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/fake/local"
	"chervilgauge.example/chervilgauge/internal/proof/built"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

const (
	// memoryMiB and descriptors are the limits in the entry's settings, which it must stay below. The
	// smallest instance of a deployment has 184 MB and 4,100 descriptors.
	memoryMiB   = 160
	descriptors = 1024
	// testTimeout bounds each step of a test.
	testTimeout = 60 * time.Second
	// sampleInterval is the time between counts of the entry's open descriptors.
	sampleInterval = 10 * time.Millisecond
	// bodyLimit is the limit of a body in the configuration.
	bodyLimit = 262144
	// host and prefix select the queue.
	host, prefix = "jobs.example", "/a/"
)

// programPath is the path of the program under test, which TestMain builds.
var programPath string

func TestMain(m *testing.M) { built.Main(m, &programPath) }

// rig is a simulated platform and one entry, which leads, as a process.
type rig struct {
	t        *testing.T
	platform *fake.Platform
	file     string
	// front, ready, metrics and peers are the addresses of the entry's ports.
	front, ready, metrics, peers string

	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{}
	// peakDescriptors is the highest number of open descriptors seen.
	peakDescriptors atomic.Int64
	jobs            atomic.Int64
}

func newRig(t *testing.T) *rig {
	t.Helper()
	addrs, err := local.FreeAddrs(4)
	assert.NilError(t, err)
	var ports [4]int
	for i, a := range addrs {
		ports[i] = int(netip.MustParseAddrPort(a).Port())
	}
	dir := t.TempDir()
	r := &rig{
		t: t, platform: fake.NewPlatform(map[string]int{"pool-a": 1}), file: filepath.Join(dir, "entry.yaml"),
		front: addrs[0], ready: addrs[1], peers: addrs[2], metrics: addrs[3],
	}
	t.Cleanup(r.platform.Close)
	r.platform.Store.Put(platform.OperatorTopic, platform.ConfigKey, fmt.Appendf(nil, `{"version":1,"routes":[{"name":"qa","host":%q,`+
		`"path_prefix":%q,"service":"pool-a","timeout_ms":3000,"target_runtime_ms":600,"priority":0,"max_attempts":2,"slack_factor":1.6}],`+
		`"services":[{"name":"pool-a"}],"limits":{"max_body_bytes":%d,"max_header_bytes":16384}}`, host, prefix, bodyLimit))
	settings := fake.Entry{
		Name: "entry-0", Zone: "z", Cores: 0.4, Front: ports[0], Ready: ports[1], Peers: ports[2], Memory: memoryMiB, Descriptors: descriptors,
	}
	text := r.platform.SettingsText(settings, r.platform.NewStoreProxy().Addr(), fake.BoundsLine(2*time.Second, 1500*time.Millisecond, 5*time.Second))
	assert.NilError(t, os.WriteFile(r.file, []byte(text), 0o600))
	r.log, err = os.Create(filepath.Join(dir, "log"))
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			data, _ := os.ReadFile(r.log.Name())
			t.Logf("end of the log:\n%s", data[max(0, len(data)-4000):])
		}
		_ = r.log.Close()
	})
	r.start(ports[3])
	return r
}

// start starts the entry and waits until it answers an ordinary request.
func (r *rig) start(metrics int) {
	r.t.Helper()
	cmd := exec.Command(programPath, "agent", "-metrics", strconv.Itoa(metrics))
	cmd.Env = append(os.Environ(), platform.SettingsVar(r.file), "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = r.log, r.log
	assert.NilError(r.t, cmd.Start())
	ended, sampled := make(chan struct{}), make(chan struct{})
	r.cmd, r.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	go func() {
		defer close(sampled)
		for {
			select {
			case <-ended:
				return
			case <-time.After(sampleInterval):
			}
			if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid)); err == nil {
				r.peakDescriptors.Store(max(r.peakDescriptors.Load(), int64(len(fds))))
			}
		}
	}()
	r.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-ended
		<-sampled
	})
	r.serveOrdinary()
}

// restart kills the entry and starts it again, so that it loads the accepted jobs.
func (r *rig) restart() {
	r.t.Helper()
	r.check()
	_ = r.cmd.Process.Signal(syscall.SIGKILL)
	<-r.ended
	r.start(int(netip.MustParseAddrPort(r.metrics).Port()))
}

// isAlive reports whether the process that start started runs.
func (r *rig) isAlive() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// peakMemory returns the peak of the process's resident memory in KiB.
func (r *rig) peakMemory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	assert.NilError(r.t, err)
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmHWM:" {
			n, err := strconv.Atoi(f[1])
			assert.NilError(r.t, err)
			return n
		}
	}
	r.t.Fatal("no VmHWM in the status of the process")
	return 0
}

// check checks that the process lives and has stayed below the limits in its settings.
func (r *rig) check() {
	r.t.Helper()
	assert.Assert(r.t, r.isAlive(), "the process has ended: %v", r.cmd.ProcessState)
	peak, fds := r.peakMemory(), r.peakDescriptors.Load()
	r.t.Logf("peak memory %d MiB of %d, peak descriptors %d of %d", peak>>10, memoryMiB, fds, descriptors)
	if peak > memoryMiB<<10 {
		r.t.Errorf("peak memory is %d MiB, above memory_mb", peak>>10)
	}
	if fds > descriptors {
		r.t.Errorf("%d descriptors were open, above max_fds", fds)
	}
}

// serveOrdinary submits a small job and reads its state, and retries until both succeed.
func (r *rig) serveOrdinary() {
	r.t.Helper()
	id := fmt.Sprintf("%016x", 1<<60+r.jobs.Add(1))
	deadline, cause := time.Now().Add(testTimeout), ""
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	call := func(method, body string) bool {
		req, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.front+prefix+id, strings.NewReader(body))
		assert.NilError(r.t, err)
		req.Host = host
		resp, err := client.Do(req)
		if err != nil {
			cause = err.Error()
			return false
		}
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		cause = resp.Status + " " + string(answer)
		return resp.StatusCode == http.StatusOK
	}
	for _, step := range [][2]string{{http.MethodPost, `{"phases":[{"count":1,"cpu":10,"mem_mb":1}]}`}, {http.MethodGet, ""}} {
		for !call(step[0], step[1]) {
			if !r.isAlive() {
				r.t.Fatalf("the process has ended: %v", r.cmd.ProcessState)
			}
			if time.Now().After(deadline) {
				r.t.Fatalf("%s is not answered with success in %s: %s", step[0], testTimeout, cause)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// submission returns the header of a submission with a new id, and the given further lines.
func (r *rig) submission(lines ...string) []byte {
	out := fmt.Appendf(nil, "POST %s%016x HTTP/1.1\r\nHost: %s\r\n", prefix, r.jobs.Add(1), host)
	for _, l := range lines {
		out = append(out, l+"\r\n"...)
	}
	return append(out, "\r\n"...)
}

// legalBody returns a valid submission of a size.
func legalBody(size int) []byte {
	body := []byte(`{"phases":[{"count":1,"cpu":10,"mem_mb":1}]}`)
	return append(body, bytes.Repeat([]byte{' '}, size-len(body))...)
}
