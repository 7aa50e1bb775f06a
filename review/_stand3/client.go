package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// entry is a process of the project.
type entry struct {
	w          *world
	name, ip   string
	cmd        *exec.Cmd
	done       chan struct{}
	path       string
	starts     int
	stoppedNow bool
}

const (
	frontPort = 28624
	readyPort = 28622
	peerPort  = 27060
	metrics   = 9464
)

func (w *world) settings(e *entry, store string) string {
	o := w.opt
	return fmt.Sprintf(`node_id: %q
role: "entry"
machine_class: "frontend"
serves:
  - "frontend"
ip: %q
zone: "z0"
region: "r"
zones:
  z0: "r"
  z1: "r"
  z2: "r"
listen:
  front: "%s:%d"
  readiness: "%s:%d"
port_range:
  - %d
  - %d
bootstrap: true
limits:
  cpu_share: 0.4
  cores: 1
  memory_mb: 284
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: %d
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stability_window_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 6
  loss_slack_ms: 200
  config_apply_ms: 2000
  downgrade_slack_ms: 250
  max_skew_ms: 5000
  recovery_s: 12
  hold_max_ms: %d
  stop_timeout_ms: %d
  gang_timeout_ms: %d
  cancel_ms: %d
  visible_ms: 3000
  early_ms: %d
  finish_s: 14
  status_s: 120
  remote_factor: %g
  checkpoint_interval_s: %g
  restore_ms: %d
  notice_ms: 4500
  migrate_s: 1.5
  maintenance_s: 2
  fencing: false
  lease_ms: 3000
  thaw_ms: 300
  pace_ms: 100
  impact_ms: 4000
control_mode: "invocation"
advice: %q
platform:
  addr: %q
  form: "log"
  writes_per_s: 800
  reads_per_s: 2000
  parts: 12
  append_ms: 2.0
  partition_bw_s: 20.0
  read_bw_s: 80.0
  record_bytes: 262144
  request_bytes: 2097152
  keep_s: 300
  partition_mb: 200
  ttl_min_ms: 1000
cloud:
  addr: %q
  rate_per_s: 64.0
  duties: []
  duty_per_s: 64.0
`, e.name, e.ip, e.ip, frontPort, e.ip, readyPort, peerPort, peerPort+15, o.beat.Milliseconds(), o.holdMax.Milliseconds(), o.stopTime.Milliseconds(),
		o.gangTimeout.Milliseconds(), o.cancelMs.Milliseconds(), o.earlyMs.Milliseconds(), o.remote, o.saveEvery.Seconds(), o.restore.Milliseconds(),
		w.cloudAddr, store, w.cloudAddr)
}

// freeHost returns a loopback address on which all ports of an entry are free.
func (w *world) freeHost() string {
	for {
		ip, free := w.host(), true
		for _, port := range []int{frontPort, readyPort, peerPort, metrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; !free {
				break
			}
			_ = l.Close()
		}
		if free {
			return ip
		}
	}
}

func (w *world) addEntry(store string) *entry {
	e := &entry{w: w, name: fmt.Sprintf("frontend-z0-%d", len(w.entries)+1), ip: w.freeHost()}
	e.path = fmt.Sprintf("%s/%s.yaml", w.tmp, e.name)
	must(os.WriteFile(e.path, []byte(w.settings(e, store)), 0o644))
	w.entries = append(w.entries, e)
	e.run()
	return e
}

// run starts the process.
func (e *entry) run() {
	e.starts++
	out, err := os.Create(fmt.Sprintf("%s/%s.%d.log", e.w.tmp, e.name, e.starts))
	must(err)
	defer out.Close()
	c := exec.Command("target/chervilgauge", "agent", "-metrics", fmt.Sprint(metrics))
	c.Env = append(os.Environ(), "CHERVILGAUGE_SETTINGS="+e.path)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(c.Start())
	e.cmd, e.done = c, make(chan struct{})
	done := e.done
	go func() {
		_ = c.Wait()
		e.w.mu.Lock()
		if !e.stoppedNow && !e.w.closing {
			e.w.violate("Fault", "%s has ended by itself: %v", e.name, c.ProcessState)
		}
		e.w.mu.Unlock()
		close(done)
	}()
}

func (e *entry) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.done
}

// leads reports whether the entry says that it leads.
func (e *entry) leads() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/status", e.ip, metrics))
	if err != nil {
		return false
	}
	defer r.Body.Close()
	var b struct{ Leads bool }
	_ = json.NewDecoder(r.Body).Decode(&b)
	return b.Leads
}

func (w *world) leader() *entry {
	for range 100 {
		for _, e := range w.entries {
			if !e.stoppedNow && e.leads() {
				return e
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func (w *world) awaitReady() {
	for _, e := range w.entries {
		ok := false
		for range 200 {
			r, err := http.Get(fmt.Sprintf("http://%s:%d/chervilgauge/readyz", e.ip, readyPort))
			if err == nil {
				r.Body.Close()
				if ok = r.StatusCode == 200; ok {
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !ok {
			fmt.Fprintln(os.Stderr, e.name, "is not ready")
			os.Exit(2)
		}
	}
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second}}

// call makes a call of a client, and returns the status, 0 for none.
func (e *entry) call(method, path, host string, body []byte, wait time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", e.ip, frontPort, path), bytes.NewReader(body))
	must(err)
	r.Host = host
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

func (w *world) pick(n int) *entry {
	for i := range w.entries {
		if e := w.entries[(n+i)%len(w.entries)]; !e.stoppedNow {
			return e
		}
	}
	return w.entries[0]
}

// submit hands a submission in, with up to four retries.
func (w *world) submit(j *job, n int) bool {
	w.mu.Lock()
	w.jobs[j.id] = j
	j.sent = time.Now()
	w.record("SUBMIT %s %s", j.id, j.raw)
	w.mu.Unlock()
	for i := range 5 {
		e := w.pick(n + i)
		w.mu.Lock()
		j.attempts++
		w.mu.Unlock()
		status, body := e.call("POST", j.queue.prefix+j.id, j.queue.host, j.raw, 3*time.Second)
		w.mu.Lock()
		w.record("ANSWER %s by %s: %d %s", j.id, e.name, status, strings.TrimSpace(string(body)))
		if status == 429 || status == 503 || status == 404 || status == 400 {
			j.rejections++
		}
		if status/100 == 2 {
			j.accepted, j.acked = true, time.Now()
		}
		w.mu.Unlock()
		if status/100 == 2 {
			return true
		}
		if status == 400 {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func (w *world) cancel(j *job, n int) bool {
	w.mu.Lock()
	j.cancelSent = time.Now()
	w.mu.Unlock()
	for i := range 6 {
		e := w.pick(n + i)
		status, _ := e.call("DELETE", j.queue.prefix+j.id, j.queue.host, nil, 3*time.Second)
		w.mu.Lock()
		w.record("CANCEL %s by %s: %d", j.id, e.name, status)
		if status/100 == 2 || status == 410 {
			j.cancelAcked = time.Now()
			w.mu.Unlock()
			return true
		}
		w.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// ask asks for the state of a submission, and returns "410" if it is not known, empty for no answer.
func (w *world) ask(j *job, n int) string {
	e := w.pick(n)
	status, body := e.call("GET", j.queue.prefix+j.id, j.queue.host, nil, 3*time.Second)
	s := ""
	switch status {
	case 200:
		var b struct{ State string }
		_ = json.Unmarshal(body, &b)
		s = b.State
	case 410:
		s = "410"
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s != j.state && s != "" {
		w.record("STATE %s %s by %s", j.id, s, e.name)
	}
	if s == "" {
		return s
	}
	j.state, j.stateAt = s, time.Now()
	switch s {
	case "410":
		if j.accepted && j.cancelSent.IsZero() && time.Since(j.acked) > 3*time.Second {
			w.violate("LOST", "%s: 410 by %s", j.id, e.name)
		}
	case "complete":
		for occ := range max(j.body.Repeats, 1) {
			for p, s := range j.body.Phases {
				for i := range s.Count {
					if t := j.addTask(occ, p, i); !t.done {
						w.violate("MIXED", "%s is shown as complete, and %s has not ended so", j.id, t.name)
					}
				}
			}
		}
	case "failed":
		bad := false
		for _, t := range j.tasks {
			bad = bad || t.failedEnds() >= w.opt.maxAttempts
		}
		if !bad {
			w.violate("LOST", "%s is shown as failed without cause", j.id)
		}
	case "cancelled":
		if j.cancelSent.IsZero() {
			w.violate("LOST", "%s is shown as cancelled without cause", j.id)
		}
	}
	return s
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	close(w.quit)
	for _, e := range w.entries {
		e.signal(syscall.SIGCONT)
		e.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.tmp)
	}
}
