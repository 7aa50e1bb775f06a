package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const idLength = 16

// capacity is the room of each executor.
var capacity = obj{"cpu": 64000, "mem_mb": 131072, "gpu": 0}

const (
	capacityCPU    = 64000
	capacityMemory = 131072
)

// run is one run of a subtask.
type run struct {
	task     string
	attempt  int
	job      *submission
	step     *step
	gang     *gang
	from     time.Duration // progress at its start
	works    time.Time     // when it began to work, zero while its gang waits
	result   string
	timer    *time.Timer
	stopping bool
	given    string // checkpoint of its start
}

// gang is one run of a gang: the members with the same attempt and checkpoint.
type gang struct {
	members []*run
	execs   []*executor
	works   bool
}

type ended struct {
	seq     int64
	task    string
	attempt int
	how     string
	saved   string
}

// executor is one life of a machine. The world's mu guards it.
type executor struct {
	w          *world
	m          *machine
	id, addr   string
	born       int64
	since      time.Time
	beats      int
	fence      uint64
	leaseEnd   time.Duration
	leaseTimer *time.Timer
	runs       map[string]*run
	highest    map[string]int
	finished   []ended
	seq        int64
	news       chan struct{}
	dead       bool
	fails      bool // fails all that it starts
	isCut      bool // reached by nobody, and reaches nobody
	srv        *http.Server
}

func newExecutor(w *world, m *machine) *executor {
	e := &executor{
		w: w, m: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), since: time.Now(), born: time.Now().UnixMilli(),
		runs: map[string]*run{}, highest: map[string]int{}, news: make(chan struct{}),
	}
	e.leaseTimer = time.AfterFunc(time.Hour, e.lapse)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chervilgauge/run-start", e.order(e.startRun))
	mux.HandleFunc("POST /chervilgauge/run-stop", e.order(e.stopRun))
	mux.HandleFunc("POST /chervilgauge/hold", e.order(e.hold))
	e.addr = w.serve("127.0.0.1:0", mux)
	e.srv = w.servers[len(w.servers)-1]
	return e
}

func (e *executor) clock() time.Duration { return time.Since(e.since) }

type orderBody struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	Acked      int64  `json:"ack_seq"`
	Wait       int64  `json:"wait_ms"`
	Ticket     string `json:"ticket"`
	Checkpoint string `json:"checkpoint"`
}

// order decodes an order, locks mu and checks lifetime and fence before the order is carried out.
func (e *executor) order(do func(rw http.ResponseWriter, r *http.Request, b orderBody)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var b orderBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		if e.isCut {
			e.w.mu.Unlock()
			<-r.Context().Done()
			e.w.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		if e.dead {
			panic(http.ErrAbortHandler)
		}
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != e.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if b.Fence < e.fence {
			e.reply(rw, http.StatusConflict, obj{"reason": "fence"})
			return
		}
		e.fence = b.Fence
		do(rw, r, b)
	}
}

func (e *executor) reply(rw http.ResponseWriter, status int, more obj) {
	out := obj{"clock_ms": e.clock().Milliseconds(), "born": e.born}
	for k, v := range more {
		out[k] = v
	}
	answer(rw, status, out)
}

func (e *executor) extend(deadline int64) {
	e.leaseEnd = max(e.leaseEnd, min(time.Duration(deadline)*time.Millisecond, e.clock()+maxLease))
	if left := e.leaseEnd - e.clock(); left > 0 {
		e.leaseTimer.Reset(left)
	}
}

func (e *executor) lapse() {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	if e.dead || e.clock() < e.leaseEnd {
		return
	}
	for _, x := range e.runs {
		e.finish(x, "lapsed")
	}
}

// used returns the cores and the memory in use.
func (e *executor) used() (cpu, memory int) {
	for _, x := range e.runs {
		cpu, memory = cpu+x.step.CPU, memory+x.step.Memory
	}
	return cpu, memory
}

func (e *executor) startRun(rw http.ResponseWriter, _ *http.Request, b orderBody) {
	w := e.w
	refuse := func(reason string) {
		w.say("start %s/%d on %s (%s) is refused: %s", b.Task, b.Attempt, e.id, e.m.name, reason)
		e.reply(rw, http.StatusConflict, obj{"reason": reason})
	}
	parts := strings.Split(b.Task, ".")
	job := w.jobs[parts[0]]
	if job == nil || len(parts) != 4 || job.Spec != b.Spec {
		w.violate("UNASKED: start of %s, which no client sent", b.Task)
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	n, _ := strconv.Atoi(parts[2])
	st := &job.Steps[n]
	if time.Duration(b.Deadline)*time.Millisecond <= e.clock() {
		refuse("late")
		return
	}
	if w.needTickets && job.Prefix == prefix && !e.isValid(b) {
		refuse("ticket")
		return
	}
	e.extend(b.Deadline)
	if x := e.runs[b.Task]; x != nil && x.attempt == b.Attempt {
		e.reply(rw, http.StatusOK, nil)
		return
	}
	if b.Attempt <= e.highest[b.Task] || e.runs[b.Task] != nil {
		refuse("old")
		return
	}
	if cpu, memory := e.used(); cpu+st.CPU > capacityCPU || memory+st.Memory > capacityMemory {
		refuse("room")
		return
	}
	x := &run{task: b.Task, attempt: b.Attempt, job: job, step: st, result: "done", given: b.Checkpoint}
	if b.Checkpoint != "" {
		ms, err := strconv.ParseInt(b.Checkpoint[:min(8, len(b.Checkpoint))], 16, 64)
		if err != nil || b.Checkpoint != checkpoint(st, b.Task, time.Duration(ms)*time.Millisecond) {
			w.violate("UNASKED: start of %s with checkpoint %q, which is not the subtask's", b.Task, b.Checkpoint)
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		x.from = time.Duration(ms) * time.Millisecond
	}
	if e.fails {
		x.result = "failed"
	}
	if o := w.otherRun(b.Task); o != nil {
		w.violate("TWICE: start of %s/%d on %s while it runs on %s, which is up", b.Task, b.Attempt, e.id, o.id)
	}
	e.runs[b.Task] = x
	w.say("start %s/%d on %s (%s) with checkpoint %q", b.Task, b.Attempt, e.id, e.m.name, b.Checkpoint)
	if st.Gang {
		e.join(x)
	} else {
		e.work(x)
	}
	e.reply(rw, http.StatusOK, nil)
}

// otherRun returns an executor that is up and runs a subtask, or nil.
func (w *world) otherRun(task string) *executor {
	for _, m := range w.machines {
		if m.state == "up" && m.exec.runs[task] != nil {
			return m.exec
		}
	}
	return nil
}

// isValid reports whether the ticket of a start is valid.
func (e *executor) isValid(b orderBody) bool {
	f := strings.Split(b.Ticket, adviceSeparator)
	if len(f) != 3 || f[0] != b.Task[:strings.LastIndexByte(b.Task, '.')] || f[1] != e.id {
		return false
	}
	until, err := strconv.ParseInt(f[2], 10, 64)
	return err == nil && time.Now().UnixMilli() < until
}

// checkpoint returns the checkpoint of a subtask, or of its gang, at a progress.
func checkpoint(st *step, task string, at time.Duration) string {
	owner := task
	if st.Gang {
		owner = task[:strings.LastIndexByte(task, '.')] // any member's is valid for the gang
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(owner))
	return fmt.Sprintf("%08x%08x", at.Milliseconds(), h.Sum32())
}

// join adds a run to its gang, which works once all members of one run are there. All must carry the
// same checkpoint.
func (e *executor) join(x *run) {
	w := e.w
	key := fmt.Sprintf("%s/%d/%s", x.task[:strings.LastIndexByte(x.task, '.')], x.attempt, x.given)
	g := w.gangs[key]
	if g == nil {
		g = &gang{}
		w.gangs[key] = g
	}
	x.gang = g
	g.members, g.execs = append(g.members, x), append(g.execs, e)
	if len(g.members) == x.step.Count {
		g.works = true
		w.say("gang %s works", key)
		for i, o := range g.members {
			if o.timer != nil {
				o.timer.Stop()
			}
			g.execs[i].work(o)
		}
		return
	}
	x.timer = time.AfterFunc(gangTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !g.works && e.runs[x.task] == x {
			e.finish(x, "alone")
		}
	})
}

// work lets a run work until its end.
func (e *executor) work(x *run) {
	x.works = time.Now()
	if x.step.Lasts {
		return
	}
	left := x.job.Work - x.from
	if x.from > 0 {
		left += restoreTime
		x.works = x.works.Add(restoreTime)
	}
	if x.result == "failed" {
		left /= 2
	}
	x.timer = time.AfterFunc(max(left, 0), func() {
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		e.finish(x, x.result)
	})
}

// progress returns the work done, and the newest checkpoint.
func (e *executor) progress(x *run, now bool) (time.Duration, string) {
	at := x.from
	if !x.works.IsZero() {
		at += max(time.Since(x.works), 0)
	}
	at = min(at, x.job.Work)
	if !x.step.Checkpoints {
		return at, ""
	}
	saved := at / e.w.interval * e.w.interval
	if now {
		saved = at
	}
	if saved <= x.from {
		return at, x.given
	}
	return at, checkpoint(x.step, x.task, saved)
}

// finish ends a run.
func (e *executor) finish(x *run, how string) {
	if e.dead || e.runs[x.task] != x {
		return
	}
	_, saved := e.progress(x, how == "stopped")
	e.drop(x, how, saved)
	if g := x.gang; g != nil && g.works {
		// The members end together: done if one is done, or because one is gone.
		other := "broken"
		if how == "done" {
			other = "done"
		}
		e.w.endGang(g, other)
	}
}

// drop lists the end of a run.
func (e *executor) drop(x *run, how, saved string) {
	delete(e.runs, x.task)
	if x.timer != nil {
		x.timer.Stop()
	}
	e.highest[x.task] = max(e.highest[x.task], x.attempt)
	e.seq++
	if how == "done" {
		saved = ""
	}
	e.finished = append(e.finished, ended{e.seq, x.task, x.attempt, how, saved})
	e.w.say("end %s/%d on %s (%s): %s, saved %q", x.task, x.attempt, e.id, e.m.name, how, saved)
	if how == "alone" && e.w.isCalm(gangTimeout+stabilityWindow) && x.job.State != "cancelled" {
		e.w.violate("GANG: run %s/%d ends alone, with no disturbance for %v", x.task, x.attempt, gangTimeout+stabilityWindow)
	}
	close(e.news)
	e.news = make(chan struct{})
}

// endGang ends the members of a gang that are still there. The caller holds mu.
func (w *world) endGang(g *gang, how string) {
	for i, o := range g.members {
		if x := g.execs[i]; !x.dead && x.runs[o.task] == o {
			_, saved := x.progress(o, false)
			x.drop(o, how, saved)
		}
	}
}

// end ends the executor with all that runs on it. The caller holds mu.
func (e *executor) end() {
	e.dead = true
	e.leaseTimer.Stop()
	go func() { _ = e.srv.Close() }()
	for _, x := range e.runs {
		if x.timer != nil {
			x.timer.Stop()
		}
		e.w.say("end %s/%d on %s (%s): gone with its executor", x.task, x.attempt, e.id, e.m.name)
		if x.gang != nil && x.gang.works {
			e.w.endGang(x.gang, "broken")
		}
	}
	close(e.news)
	e.news = make(chan struct{})
}

func (e *executor) stopRun(rw http.ResponseWriter, _ *http.Request, b orderBody) {
	e.highest[b.Task] = max(e.highest[b.Task], b.Attempt)
	if x := e.runs[b.Task]; x != nil && x.attempt <= b.Attempt && !x.stopping {
		x.stopping = true
		e.w.say("stop %s/%d on %s (%s)", x.task, x.attempt, e.id, e.m.name)
		time.AfterFunc(stopTime, func() {
			e.w.mu.Lock()
			defer e.w.mu.Unlock()
			e.finish(x, "stopped")
		})
	}
	e.reply(rw, http.StatusOK, nil)
}

func (e *executor) hold(rw http.ResponseWriter, r *http.Request, b orderBody) {
	if b.Deadline > 0 {
		e.extend(b.Deadline)
	}
	for len(e.finished) > 0 && e.finished[0].seq <= b.Acked {
		e.finished = e.finished[1:]
	}
	until := time.After(time.Duration(b.Wait) * time.Millisecond)
	for b.Wait > 0 && len(e.finished) == 0 && !e.dead {
		news := e.news
		e.w.mu.Unlock()
		select {
		case <-news:
		case <-until:
			b.Wait = 0
		case <-r.Context().Done():
			b.Wait = 0
		}
		e.w.mu.Lock()
	}
	if e.dead {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, x := range e.runs {
		at, saved := e.progress(x, false)
		percent := 100
		if !x.step.Lasts {
			percent = int(100 * at.Seconds() / x.job.Work.Seconds())
		}
		running = append(running, []any{x.task, x.attempt, saved, percent, x.step.CPU})
	}
	finished := [][]any{}
	for _, f := range e.finished[:min(len(e.finished), 500)] {
		finished = append(finished, []any{f.seq, f.task, f.attempt, f.how, f.saved})
	}
	e.reply(rw, http.StatusOK, obj{"running": running, "finished": finished})
}
