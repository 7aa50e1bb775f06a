package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/platform/fake"
)

// step is a step of a submission as it is sent.
type step struct {
	Count int `json:"count"`
	amount
	Estimate     float64 `json:"estimate_ms,omitempty"`
	After        []int   `json:"after,omitempty"`
	Checkpoints  bool    `json:"checkpoints,omitempty"`
	Gang         bool    `json:"gang,omitempty"`
	RackLocal    bool    `json:"rack_local,omitempty"`
	Speculative  bool    `json:"speculative,omitempty"`
	LongRunning  bool    `json:"long_running,omitempty"`
	Fills        bool    `json:"fills,omitempty"`
	Label        string  `json:"required_label,omitempty"`
	DataRack     string  `json:"data_rack,omitempty"`
	MaxPerServer int     `json:"max_per_server,omitempty"`
	Image        string  `json:"image,omitempty"`
}

// reserved is what a subtask takes of an executor's capacity.
func (s *step) reserved() amount {
	if s.Fills {
		return amount{Mem: s.Mem, GPU: s.GPU}
	}
	return s.amount
}

// submission is the body of a submission.
type submission struct {
	Spec    string  `json:"spec"`
	Phases  []*step `json:"phases"`
	Repeats int     `json:"repeats,omitempty"`
	Start   int64   `json:"start_at_ms,omitempty"`
	Period  int64   `json:"period_ms,omitempty"`
}

// job is a submission with what the stand-ins know of it.
type job struct {
	id     string
	queue  *queue
	spec   string
	body   submission
	raw    []byte
	work   time.Duration
	fails  map[string]int // how often each subtask is to fail, by step and index
	failed map[string]int
	tasks  map[string]*task
	steps  map[string]*stepRun

	// exact is set if each subtask takes the work as it is.
	exact bool
	// allFail is set if all runs fail.
	allFail bool
	// wild is set for a submission of an unusual shape, whose end is not awaited.
	wild bool

	sent, acked   time.Time
	accepted      bool
	rejections    int
	attempts      int
	cancelSent    time.Time
	cancelAcked   time.Time
	state         string
	stateAt       time.Time
	lastNotQueued time.Time
}

// stepRun is a step of one occurrence.
type stepRun struct {
	step  *step
	gangs map[int]*gangRun
	tasks map[int]*task
}

// task is a subtask.
type task struct {
	name        string
	job         *job
	step        *step
	stepRun     *stepRun
	occ, number int
	index       int
	work        time.Duration
	runs        []*run
	ends        []*end
	checkpoints map[string]time.Duration
	done        bool
	notedFails  int
}

func (t *task) owner() *task {
	if t.step.Gang {
		if o := t.stepRun.tasks[0]; o != nil {
			return o
		}
	}
	return t
}

func (t *task) failKey() string { return fmt.Sprintf("%d.%d.%d", t.occ, t.number, t.index) }

func (t *task) failsLeft() int {
	if t.job.allFail {
		return 1
	}
	return t.job.fails[t.failKey()] - t.job.failed[t.failKey()]
}

type queue struct {
	name, host, prefix, service string
	attempts, priority          int
}

type machine struct {
	name, pool, zone, state string
	labels                  []string
	capacity                amount
	exec                    *executor
	waves                   map[int64]bool
}

// options are the figures of a deployment.
type options struct {
	holdMax, gangTimeout, restore, saveEvery, stopTime, warm, beat time.Duration
	earlyMs, cancelMs                                              time.Duration
	remote                                                         float64
	advice                                                         bool
	maxAttempts                                                    int
	execFault                                                      func(*executor, http.Handler) http.Handler
}

func defaults() options {
	return options{
		holdMax: 10 * time.Second, gangTimeout: 3 * time.Second, restore: 100 * time.Millisecond, saveEvery: 500 * time.Millisecond,
		stopTime: 900 * time.Millisecond, warm: 900 * time.Millisecond, beat: 1500 * time.Millisecond, earlyMs: 250 * time.Millisecond,
		cancelMs: 3 * time.Second, remote: 3, maxAttempts: 3,
	}
}

type world struct {
	opt       options
	dir       string
	tmp       string // the folder of settings files and of what processes write
	log       *os.File
	began     time.Time
	store     *fake.Store
	storeAddr string
	cloudAddr string
	mu        sync.Mutex
	jobs      map[string]*job
	machines  map[string]*machine
	queues    []*queue
	services  []obj
	version   int
	ids       int
	seq       int64
	broken    map[string]int
	tickets   map[string]time.Time
	lastOrder map[string]string
	alones    int
	// trouble is when the last disturbance ended.
	trouble    time.Time
	entries    []*entry
	storeFault fault
	lateWrites *lateWrites
	// calmFrom is from when machines are in touch.
	calmFrom time.Time
	hosts    int
	quit     chan struct{}
	closing  bool
	// brief leaves the acknowledgements of ends out of the record.
	brief bool
}

func newWorld(dir string, opt options) *world {
	f, err := os.Create(dir + "/record.txt")
	must(err)
	tmp := os.Getenv("KEEP")
	if tmp == "" {
		tmp, err = os.MkdirTemp("", "review")
		must(err)
	}
	w := &world{
		opt: opt, dir: dir, tmp: tmp, log: f, began: time.Now(), store: fake.NewStore(), jobs: map[string]*job{}, machines: map[string]*machine{},
		broken: map[string]int{}, tickets: map[string]time.Time{}, lastOrder: map[string]string{}, quit: make(chan struct{}), hosts: rand.IntN(60_000),
	}
	w.storeAddr = w.listen(http.HandlerFunc(w.serveStore))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /chervilgauge/machines", w.onMachines)
	mux.HandleFunc("POST /chervilgauge/machine-move", w.onOrder)
	mux.HandleFunc("POST /chervilgauge/machine-upkeep", w.onOrder)
	mux.HandleFunc("POST /chervilgauge/advise", w.onAdvise)
	w.cloudAddr = w.listen(mux)
	return w
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// host returns a loopback address of its own.
func (w *world) host() string {
	w.hosts++
	return fmt.Sprintf("127.%d.%d.%d", 1+w.hosts/62500%250, 1+w.hosts/250%250, 1+w.hosts%250)
}

func (w *world) listen(h http.Handler) string {
	l, err := net.Listen("tcp", w.host()+":0")
	must(err)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// record writes a line into the record. The caller holds mu, or nothing else runs.
func (w *world) record(format string, args ...any) {
	fmt.Fprintf(w.log, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) violate(rule, format string, args ...any) {
	w.broken[rule]++
	w.record("BROKEN "+rule+" "+format, args...)
}

// task returns a subtask by its name, nil if nobody sent it.
func (w *world) task(name string) *task {
	f := strings.Split(name, ".")
	if len(f) != 4 {
		return nil
	}
	j := w.jobs[f[0]]
	if j == nil {
		return nil
	}
	if t := j.tasks[name]; t != nil {
		return t
	}
	occ, e1 := strconv.Atoi(f[1])
	n, e2 := strconv.Atoi(f[2])
	i, e3 := strconv.Atoi(f[3])
	if e1 != nil || e2 != nil || e3 != nil || occ < 0 || occ >= max(j.body.Repeats, 1) || n < 0 || n >= len(j.body.Phases) || i < 0 || i >= j.body.Phases[n].Count {
		return nil
	}
	return j.addTask(occ, n, i)
}

func (j *job) addTask(occ, n, i int) *task {
	s := j.body.Phases[n]
	key := fmt.Sprintf("%d.%d", occ, n)
	sr := j.steps[key]
	if sr == nil {
		sr = &stepRun{step: s, gangs: map[int]*gangRun{}, tasks: map[int]*task{}}
		j.steps[key] = sr
		if s.Gang {
			for k := range s.Count {
				j.newTask(sr, occ, n, k)
			}
		}
	}
	if t := sr.tasks[i]; t != nil {
		return t
	}
	return j.newTask(sr, occ, n, i)
}

func (j *job) newTask(sr *stepRun, occ, n, i int) *task {
	t := &task{name: fmt.Sprintf("%s.%d.%d.%d", j.id, occ, n, i), job: j, step: sr.step, stepRun: sr, occ: occ, number: n, index: i, checkpoints: map[string]time.Duration{}}
	h := fnv.New32()
	_, _ = h.Write([]byte(stepName(t.name)))
	if !sr.step.Gang {
		_, _ = h.Write([]byte(strconv.Itoa(i)))
	}
	t.work = j.work/2 + time.Duration(h.Sum32()%1000)*j.work/1000
	if j.exact {
		t.work = j.work
	}
	sr.tasks[i] = t
	j.tasks[t.name] = t
	return t
}

// due returns when an occurrence is due.
func (j *job) due(occ int) time.Time {
	return time.UnixMilli(j.body.Start + int64(occ)*j.body.Period)
}

// checkStart checks the rules for a start.
func (w *world) checkStart(r *run) {
	t, j, e := r.task, r.task.job, r.exec
	now := time.Now()
	if !t.step.Speculative {
		for _, o := range t.runs {
			if !o.ended && !o.exec.dead {
				w.violate("TWICE", "%s %d starts on %s while %d is on %s", t.name, r.attempt, e.id, o.attempt, o.exec.id)
			}
		}
		for _, x := range t.ends {
			if x.how == "done" && x.noted && !t.step.LongRunning {
				w.violate("TWICE", "%s %d starts on %s after %d was done on %s", t.name, r.attempt, e.id, x.run.attempt, x.run.exec.id)
			}
		}
	}
	if j.body.Repeats > 0 && now.Add(w.opt.earlyMs).Before(j.due(t.occ)) {
		w.violate("ORDER", "%s starts %v early", t.name, j.due(t.occ).Sub(now))
	}
	for _, a := range t.step.After {
		for i := range j.body.Phases[a].Count {
			o := j.addTask(t.occ, a, i)
			if !o.done {
				w.violate("ORDER", "%s starts before %s is done", t.name, o.name)
			}
		}
	}
	if e.service != j.queue.service && !strings.Contains(os.Getenv("MODE"), "operate") {
		w.violate("ROUTE", "%s starts on %s of %s", t.name, e.id, e.service)
	}
	if l := t.step.Label; l != "" && !slices.Contains(e.labels, l) {
		w.violate("ROUTE", "%s starts on %s without %s", t.name, e.id, l)
	}
	if m := t.step.MaxPerServer; m > 0 {
		n := 1
		for o := range e.runs {
			if o.stepRun == t.stepRun && o != t {
				n++
			}
		}
		if n > m {
			w.violate("ROUTE", "%s is subtask %d of its step on %s, at most %d", t.name, n, e.id, m)
		}
	}
	if !j.cancelAcked.IsZero() && now.After(j.cancelAcked.Add(w.opt.cancelMs)) && now.After(w.calmFrom) {
		w.violate("UNASKED", "%s starts %v after its cancel was acknowledged", t.name, now.Sub(j.cancelAcked))
	}
	if j.rejections > 0 && j.rejections == j.attempts {
		w.violate("REFUSED", "%s starts, and all attempts were rejected", t.name)
	}
	if !t.step.LongRunning && t.owner().notedFails >= w.opt.maxAttempts {
		w.violate("BUDGET", "%s starts after %d failures", t.name, t.owner().notedFails)
	}
}

// checkEnd applies the end of a run.
func (w *world) checkEnd(x *end) {
	t := x.run.task
	t.ends = append(t.ends, x)
	switch {
	case x.how == "done":
		t.done = true
		if t.step.Gang {
			for _, o := range t.stepRun.tasks {
				o.done = true
			}
		}
	case x.how == "alone":
		w.alones++
		calm := time.Since(w.trouble) > 6*time.Second
		w.record("ALONE %s %d, calm %v", t.name, x.run.attempt, calm)
		if calm && t.job.cancelSent.IsZero() {
			w.violate("GANG", "%s %d ends alone", t.name, x.run.attempt)
		}
	}
}

// failedEnds counts the runs of a subtask, or of its gang, that ended failed.
func (t *task) failedEnds() int {
	n := 0
	count := func(t *task) {
		for _, x := range t.ends {
			if x.how == "failed" {
				n++
			}
		}
	}
	if !t.step.Gang {
		count(t)
		return n
	}
	for _, m := range t.stepRun.tasks {
		count(m)
	}
	return n
}

// note records that an end was acknowledged.
func (w *world) note(x *end) {
	if x.noted {
		return
	}
	x.noted = true
	t := x.run.task
	switch {
	case x.how == "failed":
		t.owner().notedFails++
	case x.how == "done" && !t.step.Speculative && !t.step.LongRunning:
		for _, o := range t.runs {
			if o.arrived.After(x.endedAt) {
				w.violate("TWICE", "%s %d started on %s after %d was done on %s", t.name, o.attempt, o.exec.id, x.run.attempt, x.run.exec.id)
			}
		}
	}
	if w.brief {
		return
	}
	w.record("NOTED %s %d %s on %s seq %d", t.name, x.run.attempt, x.how, x.run.exec.id, x.seq)
}

// addService adds a service with machines.
func (w *world) addService(name string, n int, capacity amount, guards bool) {
	w.services = append(w.services, obj{"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": guards, "standby": false})
	for i := range n {
		m := &machine{name: fmt.Sprintf("m-%s-%d", name, i), pool: name, zone: fmt.Sprintf("z%d", i%3), state: "up", capacity: capacity, waves: map[int64]bool{}}
		m.labels = []string{"a", fmt.Sprintf("r-%d", i/4)}
		if i%3 == 0 {
			m.labels[0] = "b"
		}
		w.machines[m.name] = m
		w.boot(m, "")
	}
}

func (w *world) guards(service string) bool {
	for _, s := range w.services {
		if s["name"] == service {
			return s["admission_control"].(bool)
		}
	}
	return true
}

// boot starts an executor on a machine, under its former id if one is given. The caller holds mu.
func (w *world) boot(m *machine, id string) {
	host := ""
	if id != "" && m.exec != nil {
		host = m.exec.addr
	}
	if id == "" {
		w.ids++
		id = fmt.Sprintf("i-%08x", w.ids*7919)
	}
	if host == "" {
		host = w.host() + ":0"
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", host); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	must(err)
	e := &executor{
		w: w, id: id, born: time.Now().UnixMilli(), start: time.Now(), machine: m, service: m.pool, capacity: m.capacity, labels: m.labels,
		guards: w.guards(m.pool), rate: 1, runs: map[*task]*run{}, most: map[string]int{}, changed: make(chan struct{}), lis: l, addr: l.Addr().String(),
	}
	m.exec, m.state = e, "up"
	e.serve()
	w.seq++
	w.store.Put("keyed.servers", e.id, e.report(w.seq))
	w.record("EXECUTOR %s on %s of %s at %s", e.id, m.name, m.pool, e.addr)
}

// beat lets executors report.
func (w *world) beat() {
	for {
		select {
		case <-w.quit:
			return
		case <-time.After(w.opt.beat):
		}
		w.mu.Lock()
		for _, m := range w.machines {
			if m.exec != nil && !m.exec.dead {
				w.seq++
				w.store.Put("keyed.servers", m.exec.id, m.exec.report(w.seq))
			}
		}
		w.mu.Unlock()
	}
}

// crash ends the executor on a machine, and starts another one after a time; with reborn under its id.
func (w *world) crash(m *machine, down time.Duration, reborn bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.state != "up" {
		return
	}
	w.trouble = time.Now().Add(down)
	w.record("CRASH %s of %s for %v reborn %v", m.exec.id, m.name, down, reborn)
	m.state = "down"
	e := m.exec
	e.kill()
	id := ""
	if reborn {
		id = e.id
	} else {
		// It is removed after three intervals of silence.
		time.AfterFunc(3*w.opt.beat, func() { w.store.Put("keyed.servers", e.id, nil) })
	}
	time.AfterFunc(down, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.state == "down" {
			w.boot(m, id)
		}
	})
}

func (w *world) putConfig() {
	w.version += 3
	var routes []obj
	for _, q := range w.queues {
		r := obj{"name": q.name, "host": q.host, "path_prefix": q.prefix, "kind": "unsafe", "timeout_ms": 3000, "target_runtime_ms": 600, "priority": q.priority,
			"service": q.service, "max_attempts": q.attempts, "slack_factor": 1.6}
		if w.opt.advice {
			r["advice"] = obj{"decision_ms": 30, "per_worker_ms": 5, "valid_ms": 3000}
		}
		routes = append(routes, r)
	}
	b, _ := json.Marshal(obj{"version": w.version, "routes": routes, "services": w.services, "limits": obj{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	w.store.Put("keyed.op", "config", b)
}

func (w *world) onMachines(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := []string{}
	for n := range w.machines {
		names = append(names, n)
	}
	slices.Sort(names)
	after := r.URL.Query().Get("page_token")
	rows, next := []obj{}, any(nil)
	for _, n := range names {
		if n <= after {
			continue
		}
		if len(rows) == 200 {
			next = rows[len(rows)-1]["machine"]
			break
		}
		m := w.machines[n]
		row := obj{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels, "capacity": m.capacity}
		if m.state == "up" {
			row["id"] = m.exec.id
		}
		rows = append(rows, row)
	}
	reply(rw, 200, obj{"machines": rows, "next_token": next})
}

func (w *world) onOrder(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[b.Machine]
	w.record("ORDER %s %s %s wave %d by %s token %s", r.URL.Path, b.Machine, b.Pool, b.Wave, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token"))
	isMove := strings.HasSuffix(r.URL.Path, "move")
	switch {
	case m == nil:
		reply(rw, 400, obj{})
		return
	case isMove && m.pool == b.Pool || !isMove && m.waves[b.Wave]:
		reply(rw, 200, obj{})
		return
	case m.state != "up":
		reply(rw, 409, obj{"reason": "busy"})
		return
	}
	d := 1500 * time.Millisecond
	e := m.exec
	if isMove {
		m.state, m.pool = "moving", b.Pool
	} else {
		m.state = "upkeep"
		m.waves[b.Wave] = true
		d = 2 * time.Second
	}
	e.kill()
	w.store.Put("keyed.servers", e.id, nil)
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.boot(m, "")
	})
	reply(rw, 200, obj{})
}

// allowed reports whether the policy allows an executor to run a step.
func (w *world) allowed(phase, id string) bool {
	h := fnv.New32()
	_, _ = h.Write([]byte(phase + id))
	return h.Sum32()%3 > 0 || w.unrestricted(phase)
}

func (w *world) validTicket(e *executor, t *task, ticket string) bool {
	phase := stepName(t.name)
	return ticket == phase+"/"+e.id && time.Now().Before(w.tickets[ticket]) && w.allowed(phase, e.id)
}

func (w *world) onAdvise(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Phase   string   `json:"phase"`
		Workers []string `json:"workers"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	time.Sleep(30*time.Millisecond + time.Duration(len(b.Workers))*5*time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := [][]string{}
	for _, id := range b.Workers {
		if w.allowed(b.Phase, id) {
			v := b.Phase + "/" + id
			w.tickets[v] = time.Now().Add(3 * time.Second)
			rows = append(rows, []string{id, v})
		}
	}
	reply(rw, 200, obj{"approved": rows, "valid_ms": 3000})
}

// unrestricted reports whether a step can run on few executors only: the policy allows all of them.
func (w *world) unrestricted(phase string) bool {
	t := w.task(phase + ".0")
	return t == nil || t.step.Label != "" || t.step.MaxPerServer > 0 || t.step.GPU > 0 || t.step.Gang
}

// fault is a fault of the store, or of the link to an executor.
type fault struct {
	until time.Time
	kind  string
	delay time.Duration
}

func (f fault) now() string {
	if time.Now().After(f.until) {
		return ""
	}
	return f.kind
}

func (w *world) serveStore(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	f, late := w.storeFault, w.lateWrites
	w.mu.Unlock()
	if late != nil {
		late.serve(w.store, rw, r)
		return
	}
	serveFaulty(f, w.store, rw, r)
}

// serveFaulty serves a request with a fault.
func serveFaulty(f fault, h http.Handler, rw http.ResponseWriter, r *http.Request) {
	switch f.now() {
	case "down":
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case "cut":
		time.Sleep(f.delay)
		panic(http.ErrAbortHandler)
	case "lost":
		// It is carried out, and the answer is lost.
		b, _ := io.ReadAll(r.Body)
		r = r.WithContext(context.WithoutCancel(r.Context()))
		r.Body = io.NopCloser(bytes.NewReader(b))
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case "slow":
		time.Sleep(f.delay)
	case "late":
		// It is carried out late, though the sender has given up.
		b, _ := io.ReadAll(r.Body)
		r = r.WithContext(context.WithoutCancel(r.Context()))
		r.Body = io.NopCloser(bytes.NewReader(b))
		time.Sleep(f.delay)
		defer func() { _ = recover() }() // the executor may have ended
		h.ServeHTTP(httptest.NewRecorder(), r)
		return
	}
	h.ServeHTTP(rw, r)
}
