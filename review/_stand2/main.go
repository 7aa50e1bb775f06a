// Command stand-2 plays the cases of the second review: stand-ins of the platform, executors and
// clients, beside entries of the project as separate processes. It exits with 1 if a rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopAll()
	os.Exit(2)
}

// entry is a process of the project.
type entry struct {
	name, ip, front, ready string
	cmd                    *exec.Cmd
	done                   chan struct{}
	log                    string
	settings               string
	expected               bool // its end was ordered
	exits                  int
}

var (
	entriesMu sync.Mutex
	entries   []*entry
)

func stopAll() {
	entriesMu.Lock()
	defer entriesMu.Unlock()
	for _, e := range entries {
		e.expected = true
		if e.cmd != nil {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.done
			e.cmd = nil
		}
	}
}

// freePorts returns three ports that nobody listens on. They are below those that the system gives to
// connections and to listeners without a port of their own.
func freePorts(ip string) [3]int {
	var out [3]int
	for i := 0; i < len(out); {
		port := 10000 + rand.IntN(20000)
		lis, err := net.Listen("tcp", fmt.Sprint(ip, ":", port))
		if err != nil {
			continue
		}
		defer lis.Close()
		out[i] = port
		i++
	}
	return out
}

// newEntry writes the settings of an entry, as in DEPLOY.md.
func (w *world) newEntry(dir string, n, memory, status int) *entry {
	ip := fmt.Sprintf("127.0.%d.%d", 20+os.Getpid()%200, 10+n)
	e := &entry{name: fmt.Sprintf("frontend-z1-%d", n), ip: ip}
	ports := freePorts(ip)
	e.front, e.ready = fmt.Sprint(ip, ":", ports[0]), fmt.Sprint(ip, ":", ports[1])
	peers := ports[2]
	e.settings, e.log = filepath.Join(dir, e.name+".yaml"), filepath.Join(dir, e.name+".log")
	text := fmt.Sprintf(`node_id: %q
role: "entry"
machine_class: "frontend"
serves: ["frontend"]
ip: %q
zone: "z1"
region: "r1"
zones: {z1: "r1"}
listen: {front: %q, readiness: %q}
port_range: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: 1500
bounds: {stability_window_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, config_apply_ms: 2000, hold_max_ms: 10000, stop_timeout_ms: 900, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: %d, remote_factor: 1.5, checkpoint_interval_s: 1, restore_ms: 250, notice_ms: 4500, migrate_s: 1.5, maintenance_s: 2, fencing: true, lease_ms: 3000}
control_mode: "invocation"
platform: {addr: %q, form: "log", writes_per_s: 600, reads_per_s: 2000, parts: 8, append_ms: 4.0, record_bytes: 262144, request_bytes: 2097152, keep_s: 20, partition_mb: 200}
cloud: {addr: %q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`, e.name, ip, e.front, e.ready, peers, peers, memory, status, w.storeAt, w.cloudAt)
	if err := os.WriteFile(e.settings, []byte(text), 0o644); err != nil {
		fail("settings: %v", err)
	}
	entriesMu.Lock()
	entries = append(entries, e)
	entriesMu.Unlock()
	return e
}

// start runs the command of deploy/system.toml.
func (e *entry) start(w *world) {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fail("log: %v", err)
	}
	cmd := exec.Command("target/chervilgauge", "agent", "-metrics", "9464")
	cmd.Env = append(os.Environ(), "CHERVILGAUGE_SETTINGS="+e.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		fail("entry: %v", err)
	}
	done := make(chan struct{})
	entriesMu.Lock()
	e.cmd, e.done, e.expected = cmd, done, false
	entriesMu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		if !e.expected {
			e.exits++
			w.note("process %s ended by itself", e.name)
		}
		close(done)
	}()
}

func (e *entry) kill(w *world) {
	w.note("kill %s", e.name)
	e.expected = true
	_ = e.cmd.Process.Kill()
	<-e.done
}

// rss returns the resident memory of the process in MB.
func (e *entry) rss() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(data), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(l, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// leader returns the entry that led last by the logs, nil if none did.
func leader() *entry {
	var best *entry
	last := ""
	for _, e := range entries {
		data, _ := os.ReadFile(e.log)
		for _, l := range strings.Split(string(data), "\n") {
			var m struct{ Time, Message string }
			if strings.Contains(l, "leading starts") && json.Unmarshal([]byte(l), &m) == nil && m.Time > last {
				best, last = e, m.Time
			}
		}
	}
	return best
}

var web = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 3 * time.Second}

const host = "pule25.example"

func call(e *entry, method, path string, body []byte) (int, string) {
	req, _ := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(body))
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := web.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(out))
}

// add registers a submission with the stand-ins, so that executors know what they may be told.
func (w *world) add(j *job) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	j.tasks, j.gangs, j.saved = map[string]*taskState{}, map[string]*gangState{}, map[string]bool{}
	if j.max == 0 {
		j.max = 2
	}
	if j.spec == "" {
		j.spec = "work of " + j.id
	}
	w.jobs[j.id] = j
	return j
}

// others returns the entries without one.
func others(without *entry) []*entry {
	var out []*entry
	for _, e := range entries {
		if e != without {
			out = append(out, e)
		}
	}
	return out
}

// submit hands a submission in, at one entry after the other, until it is answered with 2xx.
func (w *world) submit(j *job) bool { return w.submitAt(j, entries) }

func (w *world) submitAt(j *job, entries []*entry) bool {
	b := obj{"spec": j.spec, "phases": j.phases}
	if j.repeats > 0 {
		b["repeats"], b["start_at_ms"], b["period_ms"] = j.repeats, j.start, j.period
	}
	body, _ := json.Marshal(b)
	for i := range 5 {
		e := entries[(int(j.id[15])+i)%len(entries)]
		status, text := call(e, "POST", "/"+j.queue+"/"+j.id, body)
		w.note("POST %s at %s: %d %s", j.id, e.name, status, text)
		if status/100 == 2 {
			w.mu.Lock()
			j.accepted = true
			w.mu.Unlock()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func (w *world) state(j *job) string {
	for i := range 4 {
		e := entries[(int(j.id[14])+i)%len(entries)]
		status, text := call(e, "GET", "/"+j.queue+"/"+j.id, nil)
		w.note("GET %s at %s: %d %s", j.id, e.name, status, text)
		if status == 200 {
			var s struct{ State string }
			_ = json.Unmarshal([]byte(text), &s)
			return s.State
		}
		if status == 410 {
			return "410"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "no answer"
}

func (w *world) cancel(j *job) bool {
	w.mu.Lock()
	j.cancelSent = true
	w.mu.Unlock()
	for i := range 4 {
		e := entries[(int(j.id[13])+i)%len(entries)]
		status, _ := call(e, "DELETE", "/"+j.queue+"/"+j.id, nil)
		w.note("DELETE %s at %s: %d", j.id, e.name, status)
		if status/100 == 2 || status == 410 {
			w.mu.Lock()
			j.cancelled = time.Now()
			w.mu.Unlock()
			return true
		}
	}
	return false
}

func (w *world) config(version int, queues map[string]obj, services ...string) {
	routes, svcs := []obj{}, []obj{}
	for q, more := range queues {
		r := obj{"name": "r-" + q, "host": host, "path_prefix": "/" + q + "/", "kind": "unsafe", "timeout_ms": 3000, "target_runtime_ms": 600, "priority": 0, "max_attempts": 2, "slack_factor": 1.6, "service": services[0]}
		for k, v := range more {
			r[k] = v
		}
		routes = append(routes, r)
	}
	for _, s := range services {
		svcs = append(svcs, obj{"name": s, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": true, "standby": false})
	}
	out, _ := json.Marshal(obj{"version": version, "routes": routes, "services": svcs, "limits": obj{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	w.store.put("keyed.op", "config", out)
}

// awaitReady waits until all entries answer their readiness check with 200 and one leads.
func awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range entries {
			if resp, err := web.Get("http://" + e.ready + "/chervilgauge/readyz"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(entries) && leader() != nil {
			time.Sleep(time.Second)
			return
		}
	}
	fail("entries don't become ready")
}

func main() {
	if len(os.Args) != 3 {
		fail("usage: stand-2 CASE RECORD")
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fail("no case %q", os.Args[1])
	}
	rec, err := os.Create(os.Args[2])
	if err != nil {
		fail("record: %v", err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fail("folder: %v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(118 * time.Second):
		}
		fail("the case was stopped, or took too long")
	}()
	w := newWorld(rec)
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, with the disturbance: %v", os.Args[1], trouble)
	broken := run(w, dir, trouble)
	stopAll()
	w.note("result: broken=%v", broken)
	_ = rec.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	if broken {
		os.Exit(1)
	}
}
