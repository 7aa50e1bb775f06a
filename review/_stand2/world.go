package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment, as in the sheets of SYSTEM.md.
const (
	holdMax       = 10 * time.Second
	stopTime      = 300 * time.Millisecond // at most stop_timeout_ms, 900
	gangTimeout   = 3 * time.Second
	checkInterval = 1 * time.Second
	restoreTime   = 250 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	moveTime      = 1500 * time.Millisecond
	maintTime     = 2 * time.Second
	cancelBound   = 3 * time.Second
	earlyBound    = 250 * time.Millisecond
)

// phase is a step of a submission, as clients send it.
type phase struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	Mem         int    `json:"mem_mb,omitempty"`
	Estimate    int    `json:"estimate_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Checkpoints bool   `json:"checkpoints,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Label       string `json:"required_label,omitempty"`
	MaxPer      int    `json:"max_per_server,omitempty"`
	Long        bool   `json:"long_running,omitempty"`
	MaxAway     int    `json:"max_unavailable,omitempty"`
}

// plan is how a run goes: it ends with a result after a time. Without a result it runs until it is stopped.
type plan struct {
	took   time.Duration
	result string
}

// job is a submission that clients have sent, or may send.
type job struct {
	id      string
	queue   string
	spec    string
	phases  []phase
	repeats int
	start   int64 // Unix ms
	period  int64
	max     int // max_attempts of its queue
	plan    func(task string, attempt int, e *executor) plan

	cancelled  time.Time // when the cancel was acknowledged
	cancelSent bool
	accepted   bool
	tasks      map[string]*taskState
	gangs      map[string]*gangState // by step and attempt
	saved      map[string]bool       // checkpoints of a task, or of a gang's step, as step/value
}

type taskState struct {
	running  *run
	done     bool
	noted    bool // an end done was taken note of
	failed   int  // ends failed that were taken note of
	failures int  // ends failed
	lapses   int  // ends lapsed
	starts   int
	lastEnd  time.Time
}

type gangState struct {
	members map[int]*run
	working bool
	ended   bool
}

type run struct {
	job     *job
	task    string
	step    int
	k       int
	index   int
	attempt int
	e       *executor
	started time.Time
	worked  time.Duration // work that a checkpoint saved
	total   time.Duration
	result  string
	saved   string
	stopped bool
	over    bool
	gang    *gangState
	timers  []*time.Timer
}

type ended struct {
	n       int64
	r       *run
	how     string
	lapses  int
	attempt int
}

type machine struct {
	name, pool, state string
	labels            []string
	cpu, mem          int
	e                 *executor
	token             uint64
	waves             map[string]bool
}

// executor is one life of an executor.
type executor struct {
	w        *world
	id       string
	m        *machine
	born     int64
	clock0   time.Time
	fence    uint64
	lease    time.Duration
	runs     map[string]*run
	high     map[string]int
	finished []ended
	n        int64
	lapses   int
	dead     bool
	silent   bool // cut off: nothing gets through
	changed  chan struct{}
	srv      *http.Server
	addr     string
	draining bool
}

type world struct {
	mu       sync.Mutex
	store    *store
	machines map[string]*machine
	order    []string
	jobs     map[string]*job
	ids      int
	begin    time.Time
	rec      *os.File
	broken   []string
	quit     chan struct{}
	storeSrv *http.Server
	cloudSrv *http.Server
	storeAt  string
	cloudAt  string
	moves    bool // the list of machines is given
	counts   map[string]int
}

func newWorld(rec *os.File) *world {
	w := &world{store: newStore(), machines: map[string]*machine{}, jobs: map[string]*job{}, begin: time.Now(), rec: rec, quit: make(chan struct{}), counts: map[string]int{}}
	w.storeSrv, w.storeAt = serve(w.store)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /chervilgauge/machines", w.listMachines)
	mux.HandleFunc("POST /chervilgauge/machine-move", w.moveMachine)
	mux.HandleFunc("POST /chervilgauge/machine-upkeep", w.upkeepMachine)
	w.cloudSrv, w.cloudAt = serve(mux)
	go w.heartbeats()
	return w
}

func serve(h http.Handler) (*http.Server, string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(lis) }()
	return srv, lis.Addr().String()
}

// note writes a line to the record. The caller may hold mu.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.rec, "%9.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// noteRun writes a line about a run, but not for submissions of thousands of subtasks, whose runs are counted only.
func (w *world) noteRun(j *job, format string, args ...any) {
	n := 0
	for _, p := range j.phases {
		n += p.Count
	}
	if n < 1000 {
		w.note(format, args...)
	}
}

// violate records a broken rule. The caller holds mu.
func (w *world) violate(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, s)
	if len(w.broken) <= 20 {
		w.note("BROKEN %s", s)
	}
}

func (w *world) addMachine(name, pool string, cpu, mem int, labels ...string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &machine{name: name, pool: pool, cpu: cpu, mem: mem, labels: labels, waves: map[string]bool{}}
	w.machines[name] = m
	w.order = append(w.order, name)
	w.boot(m, "")
	return m
}

// boot starts a new life on a machine. The caller holds mu.
func (w *world) boot(m *machine, id string) {
	if id == "" {
		w.ids++
		id = fmt.Sprintf("i-%04d", w.ids)
	}
	e := &executor{w: w, id: id, m: m, born: time.Now().UnixMilli(), clock0: time.Now(), runs: map[string]*run{}, high: map[string]int{}, changed: make(chan struct{})}
	e.srv, e.addr = serve(e)
	m.e, m.state = e, "up"
	w.report(e)
}

func (w *world) report(e *executor) {
	state := "ready"
	if e.draining {
		state = "draining"
	}
	out, _ := json.Marshal(obj{"service": e.m.pool, "addr": e.addr, "zone": "z1", "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "remaining_ms": 3000,
		"capacity": obj{"cpu": e.m.cpu, "mem_mb": e.m.mem, "gpu": 0}, "labels": e.m.labels, "clock_ms": e.clock().Milliseconds(), "born": e.born, "machine": e.m.name, "seq": time.Since(e.clock0).Milliseconds()})
	w.store.put("keyed.servers", e.id, out)
}

func (w *world) heartbeats() {
	for {
		select {
		case <-w.quit:
			return
		case <-time.After(heartbeat):
		}
		w.mu.Lock()
		for _, m := range w.machines {
			if m.state == "up" && !m.e.dead && !m.e.silent {
				w.report(m.e)
			}
		}
		w.mu.Unlock()
	}
}

// crash ends the life on a machine; another begins after down, none if that is 0.
func (w *world) crash(name string, down time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[name]
	w.note("executor %s on %s crashes", m.e.id, name)
	e := m.e
	w.end(e, "down")
	// After three status report intervals of silence the entry is removed.
	time.AfterFunc(3*heartbeat, func() { w.store.put("keyed.servers", e.id, nil) })
	if down > 0 {
		time.AfterFunc(down, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.boot(m, "")
		})
	}
}

// end ends a life. The caller holds mu.
func (w *world) end(e *executor, state string) {
	e.dead = true
	e.m.state = state
	for _, r := range e.runs {
		w.finish(r, "gone")
	}
	go e.srv.Close()
}

func (e *executor) clock() time.Duration { return time.Since(e.clock0) }

// lapse ends all runs if the lease is over. The caller holds mu.
func (e *executor) lapse() {
	if e.dead || len(e.runs) == 0 || e.clock() < e.lease {
		return
	}
	e.lapses++
	for _, r := range e.runs {
		e.w.finish(r, "lapsed")
	}
}

func (e *executor) extend(deadline int64) {
	e.lapse()
	e.lease = max(e.lease, min(time.Duration(deadline)*time.Millisecond, e.clock()+holdMax))
	time.AfterFunc(e.lease-e.clock()+time.Millisecond, func() {
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		e.lapse()
	})
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	Ack        int64  `json:"ack_seq"`
	Wait       int64  `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
}

func (e *executor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		rw.Header().Set("X-Instance-Id", e.id)
		rw.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w := e.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.dead || e.silent {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	refuse := func(reason string) {
		w.counts["refused "+reason]++
		answer(rw, http.StatusConflict, obj{"clock_ms": e.clock().Milliseconds(), "born": e.born, "reason": reason})
	}
	if o.Fence < e.fence {
		refuse("fence")
		return
	}
	e.fence = o.Fence
	switch r.URL.Path {
	case "/chervilgauge/run-start":
		if reason := w.start(e, o); reason != "" {
			refuse(reason)
			return
		}
	case "/chervilgauge/run-stop":
		w.stop(e, o)
	case "/chervilgauge/hold":
		w.hold(e, o, rw, r)
		return
	default:
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	answer(rw, http.StatusOK, obj{"clock_ms": e.clock().Milliseconds(), "born": e.born})
}

func (w *world) used(e *executor) (cpu, mem int) {
	for _, r := range e.runs {
		p := r.job.phases[r.step]
		cpu += p.CPU
		mem += p.Mem
	}
	return
}

// start begins a run, or returns the reason why it is refused. The caller holds mu.
func (w *world) start(e *executor, o order) string {
	if time.Duration(o.Deadline)*time.Millisecond <= e.clock() {
		return "late"
	}
	f := strings.Split(o.Task, ".")
	j := w.jobs[f[0]]
	if j == nil || len(f) != 4 || o.Spec != j.spec {
		w.violate("UNASKED %s starts on %s, which nobody sent so", o.Task, e.id)
		return "late"
	}
	k, _ := strconv.Atoi(f[1])
	step, _ := strconv.Atoi(f[2])
	index, _ := strconv.Atoi(f[3])
	if step >= len(j.phases) || index >= j.phases[step].Count || k >= max(j.repeats, 1) {
		w.violate("UNASKED %s starts on %s, and there is no such subtask", o.Task, e.id)
		return "late"
	}
	p := j.phases[step]
	e.extend(o.Deadline)
	if old := e.runs[o.Task]; old != nil && old.attempt == o.Attempt {
		return ""
	}
	if o.Attempt <= e.high[o.Task] || e.runs[o.Task] != nil {
		return "old"
	}
	cpu, mem := w.used(e)
	if cpu+p.CPU > e.m.cpu || mem+p.Mem > e.m.mem {
		return "room"
	}
	t := j.task(o.Task)
	t.starts++
	w.counts["starts"]++
	w.noteRun(j, "start %s attempt %d on %s (fence %d)", o.Task, o.Attempt, e.id, e.fence)
	if t.running != nil {
		w.violate("TWICE %s attempt %d starts on %s while attempt %d runs on %s", o.Task, o.Attempt, e.id, t.running.attempt, t.running.e.id)
	}
	if t.noted {
		w.violate("TWICE %s attempt %d starts on %s after its end done was taken note of", o.Task, o.Attempt, e.id)
	}
	if !p.Long && t.failed >= j.max {
		w.violate("BUDGET %s attempt %d starts on %s after %d failed runs that were taken note of", o.Task, o.Attempt, e.id, t.failed)
	}
	for _, a := range p.After {
		for i := range j.phases[a].Count {
			if b := j.tasks[name(j, k, a, i)]; b == nil || !b.done {
				w.violate("ORDER %s starts before %s is done", o.Task, name(j, k, a, i))
				break
			}
		}
	}
	if j.repeats > 0 {
		if due := time.UnixMilli(j.start + int64(k)*j.period); time.Now().Before(due.Add(-earlyBound)) {
			w.violate("ORDER %s starts %v early", o.Task, time.Until(due))
		}
	}
	if !j.cancelled.IsZero() && time.Now().After(j.cancelled.Add(cancelBound)) {
		w.violate("UNASKED %s starts %v after its cancel was acknowledged", o.Task, time.Since(j.cancelled))
	}
	if p.Label != "" && !contains(e.m.labels, p.Label) {
		w.violate("ROUTE %s starts on %s without its label", o.Task, e.id)
	}
	if p.MaxPer > 0 {
		n := 1
		for _, x := range e.runs {
			if x.job == j && x.step == step && x.k == k {
				n++
			}
		}
		if n > p.MaxPer {
			w.violate("ROUTE %s starts on %s beyond max_per_server", o.Task, e.id)
		}
	}
	owner := o.Task
	if p.Gang {
		owner = fmt.Sprint(k, ".", step)
	}
	if o.Checkpoint != "" && !j.saved[owner+"/"+o.Checkpoint] {
		w.violate("UNASKED %s starts with checkpoint %q, which is not its own", o.Task, o.Checkpoint)
	}
	pl := j.plan(o.Task, t.starts, e)
	r := &run{job: j, task: o.Task, step: step, k: k, index: index, attempt: o.Attempt, e: e, started: time.Now(), total: pl.took, result: pl.result, saved: o.Checkpoint}
	if o.Checkpoint != "" {
		ms, _ := strconv.ParseInt(o.Checkpoint[:8], 16, 64)
		r.worked = time.Duration(ms) * time.Millisecond
	}
	e.runs[o.Task] = r
	t.running = r
	if !p.Gang {
		w.work(r, pl)
		return ""
	}
	key := fmt.Sprint(k, ".", step, ".", o.Attempt)
	g := j.gangs[key]
	if g == nil {
		g = &gangState{members: map[int]*run{}}
		j.gangs[key] = g
	}
	r.gang = g
	g.members[index] = r
	for _, m := range g.members {
		if m.saved != r.saved {
			w.violate("GANG %s and %s of one attempt carry other checkpoints", r.task, m.task)
		}
	}
	if pl.result == "failed" && pl.took == 0 {
		// It fails as soon as it is started.
		r.timers = append(r.timers, time.AfterFunc(time.Millisecond, func() { w.finishLater(r, "failed") }))
		return ""
	}
	alive := 0
	for _, m := range g.members {
		if !m.over {
			alive++
		}
	}
	if alive == p.Count && !g.ended {
		g.working = true
		for _, m := range g.members {
			m.started = time.Now()
			w.work(m, plan{m.total, m.result})
		}
		return ""
	}
	r.timers = append(r.timers, time.AfterFunc(gangTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !g.working && !r.over {
			w.finish(r, "alone")
		}
	}))
	return ""
}

// work lets a run work until it ends. The caller holds mu.
func (w *world) work(r *run, p plan) {
	if p.result == "" {
		return
	}
	left := p.took - r.worked
	if r.worked > 0 {
		left += restoreTime
	}
	r.timers = append(r.timers, time.AfterFunc(max(left, 0), func() { w.finishLater(r, p.result) }))
	if !r.job.phases[r.step].Checkpoints {
		return
	}
	var save func()
	save = func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !r.over {
			w.save(r)
			r.timers = append(r.timers, time.AfterFunc(checkInterval, save))
		}
	}
	r.timers = append(r.timers, time.AfterFunc(checkInterval, save))
}

// save makes a checkpoint of a run. The caller holds mu.
func (w *world) save(r *run) {
	p := r.job.phases[r.step]
	if !p.Checkpoints || p.Gang && !r.gang.working {
		return
	}
	w.ids++
	r.saved = fmt.Sprintf("%08x%08x", (r.worked + time.Since(r.started)).Milliseconds(), w.ids)
	owner := r.task
	if p.Gang {
		owner = fmt.Sprint(r.k, ".", r.step)
	}
	r.job.saved[owner+"/"+r.saved] = true
}

func (w *world) finishLater(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(r, how)
}

// finish ends a run. The caller holds mu.
func (w *world) finish(r *run, how string) {
	if r.over {
		return
	}
	r.over = true
	for _, t := range r.timers {
		t.Stop()
	}
	e := r.e
	delete(e.runs, r.task)
	t := r.job.task(r.task)
	if t.running == r {
		t.running = nil
	}
	t.lastEnd = time.Now()
	w.counts["ends "+how]++
	w.noteRun(r.job, "end %s attempt %d on %s: %s", r.task, r.attempt, e.id, how)
	switch how {
	case "done":
		t.done = true
	case "failed":
		t.failures++
	case "lapsed":
		t.lapses++
	}
	if how != "gone" {
		e.high[r.task] = max(e.high[r.task], r.attempt)
		e.n++
		e.finished = append(e.finished, ended{e.n, r, how, e.lapses, r.attempt})
		close(e.changed)
		e.changed = make(chan struct{})
	}
	if g := r.gang; g != nil && !g.ended && how != "alone" {
		g.ended = true
		for _, m := range g.members {
			if how == "done" {
				w.finish(m, "done")
			} else {
				w.finish(m, "broken")
			}
		}
	}
}

func (w *world) stop(e *executor, o order) {
	e.high[o.Task] = max(e.high[o.Task], o.Attempt)
	r := e.runs[o.Task]
	if r == nil || r.attempt > o.Attempt || r.stopped {
		return
	}
	r.stopped = true
	r.timers = append(r.timers, time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !r.over {
			w.save(r)
			w.finish(r, "stopped")
		}
	}))
}

// hold answers with both lists. The caller holds mu.
func (w *world) hold(e *executor, o order, rw http.ResponseWriter, r *http.Request) {
	if o.Deadline > 0 {
		e.extend(o.Deadline)
	}
	for len(e.finished) > 0 && e.finished[0].n <= o.Ack {
		f := e.finished[0]
		e.finished = e.finished[1:]
		w.counts["noted "+f.how]++
		if f.lapses != e.lapses {
			continue // the lease lapsed between the two
		}
		t := f.r.job.task(f.r.task)
		switch f.how {
		case "done":
			t.noted = true
			if t.running != nil {
				w.violate("TWICE %s runs on %s, and an end done was taken note of", f.r.task, t.running.e.id)
			}
			if g := f.r.gang; g != nil {
				for _, m := range g.members {
					f.r.job.task(m.task).noted = true
				}
			}
		case "failed":
			t.failed++
		}
	}
	until := time.After(time.Duration(o.Wait) * time.Millisecond)
	for o.Wait > 0 && len(e.finished) == 0 && !e.dead {
		changed := e.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			o.Wait = 0
		case <-r.Context().Done():
			o.Wait = 0
		}
		w.mu.Lock()
	}
	if e.dead || e.silent {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, x := range e.runs {
		percent := 100.0
		if x.result != "" {
			percent = 0
			if x.gang == nil || x.gang.working {
				percent = min(99, 100*(x.worked+time.Since(x.started)).Seconds()/max(x.total.Seconds(), 0.001))
			}
		}
		running = append(running, []any{x.task, x.attempt, x.saved, percent, 0})
	}
	rows := [][]any{}
	for _, f := range e.finished[:min(len(e.finished), 500)] {
		rows = append(rows, []any{f.n, f.r.task, f.attempt, f.how, f.r.saved})
	}
	out := obj{"clock_ms": e.clock().Milliseconds(), "born": e.born, "running": running, "finished": rows}
	w.mu.Unlock()
	answer(rw, http.StatusOK, out)
	w.mu.Lock()
}

func (j *job) task(n string) *taskState {
	t := j.tasks[n]
	if t == nil {
		t = &taskState{}
		j.tasks[n] = t
	}
	return t
}

func name(j *job, k, step, index int) string { return fmt.Sprintf("%s.%d.%d.%d", j.id, k, step, index) }

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (w *world) listMachines(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	rows := []obj{}
	for _, n := range w.order {
		m := w.machines[n]
		row := obj{"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z1", "labels": m.labels, "capacity": obj{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}}
		if m.state == "up" {
			row["id"] = m.e.id
		}
		rows = append(rows, row)
	}
	w.mu.Unlock()
	answer(rw, http.StatusOK, obj{"machines": rows, "next_token": nil})
}

func (w *world) moveMachine(rw http.ResponseWriter, r *http.Request) {
	w.change(rw, r, "moving", moveTime)
}

func (w *world) upkeepMachine(rw http.ResponseWriter, r *http.Request) {
	w.change(rw, r, "upkeep", maintTime)
}

func (w *world) change(rw http.ResponseWriter, r *http.Request, state string, took time.Duration) {
	var b struct {
		Machine, Pool string
		Wave          int64
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[b.Machine]
	wave := fmt.Sprint(b.Wave)
	switch {
	case m == nil:
		rw.WriteHeader(http.StatusBadRequest)
		return
	case token < m.token:
		answer(rw, http.StatusConflict, obj{"reason": "fence"})
		return
	}
	m.token = token
	switch {
	case state == "upkeep" && m.waves[wave], state == "moving" && m.pool == b.Pool:
		answer(rw, http.StatusOK, obj{})
		return
	case m.state != "up" || m.e.draining:
		answer(rw, http.StatusConflict, obj{"reason": "busy"})
		return
	}
	if state == "moving" {
		m.pool = b.Pool
	} else {
		m.waves[wave] = true
	}
	w.note("%s %s by %s", state, m.name, r.Header.Get("X-Duty-Holder"))
	id := m.e.id
	w.end(m.e, state)
	w.store.put("keyed.servers", id, nil)
	time.AfterFunc(took, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.boot(m, "")
	})
	answer(rw, http.StatusOK, obj{})
}
