package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// amount is an amount of each resource, with the names of the pages.
type amount struct {
	CPU int64 `json:"cpu,omitempty"`
	Mem int64 `json:"mem_mb,omitempty"`
	GPU int64 `json:"gpu,omitempty"`
}

func (a amount) plus(b amount) amount { return amount{a.CPU + b.CPU, a.Mem + b.Mem, a.GPU + b.GPU} }

func (a amount) fits(b amount) bool { return a.CPU <= b.CPU && a.Mem <= b.Mem && a.GPU <= b.GPU }

// run is a run of a subtask on an executor.
type run struct {
	task     *task
	attempt  int
	exec     *executor
	stopping bool
	ended    bool
	// arrived is when it was started, and working whether it works: a member of a gang waits for the others.
	arrived  time.Time
	working  bool
	workFrom time.Time
	// base is the progress that it resumed from, and saved the newest checkpoint.
	base  time.Duration
	saved string
	gang  *gangRun
	timer *time.Timer
}

// done returns the work that the run has done, with that before its start.
func (r *run) done(now time.Time) time.Duration {
	if !r.working || now.Before(r.workFrom) {
		return r.base
	}
	return r.base + now.Sub(r.workFrom)
}

// gangRun is one run of a gang.
type gangRun struct {
	members map[int]*run
	broken  bool
	started bool
}

// end is an end that an executor lists until it is acknowledged.
type end struct {
	seq     int64
	run     *run
	how     string
	saved   string
	lapses  int
	noted   bool
	endedAt time.Time
}

// executor is one lifetime of an executor. The world's mutex guards it.
type executor struct {
	w          *world
	id         string
	born       int64
	start      time.Time
	machine    *machine
	service    string
	capacity   amount
	labels     []string
	guards     bool
	rate       float64
	dead       bool
	fence      uint64
	lease      time.Duration // end, on its own clock
	lapses     int
	leaseTimer *time.Timer
	runs       map[*task]*run
	most       map[string]int // the highest run that ended or was stopped there, by subtask
	ends       []*end
	seq        int64
	changed    chan struct{}
	lis        net.Listener
	srv        *http.Server
	addr       string
	draining   bool
}

func (e *executor) clock() time.Duration {
	return time.Duration(float64(time.Since(e.start)) * e.rate)
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	Acked      int64  `json:"ack_seq"`
	Wait       int64  `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Percent    int    `json:"percent"`
}

func reply(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v)
}

type obj = map[string]any

func (e *executor) answer(rw http.ResponseWriter, status int, more obj) {
	out := obj{"clock_ms": e.clock().Milliseconds()}
	for k, v := range more {
		out[k] = v
	}
	reply(rw, status, out)
}

// serve starts to serve orders.
func (e *executor) serve() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chervilgauge/run-start", e.handle(e.onStart))
	mux.HandleFunc("POST /chervilgauge/run-stop", e.handle(e.onStop))
	mux.HandleFunc("POST /chervilgauge/hold", e.handle(e.onHold))
	mux.HandleFunc("POST /chervilgauge/pace", e.handle(e.onPace))
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(200) })
	var h http.Handler = mux
	if f := e.w.opt.execFault; f != nil {
		h = f(e, mux)
	}
	e.srv = &http.Server{Handler: h}
	go func() { _ = e.srv.Serve(e.lis) }()
}

func (e *executor) handle(f func(rw http.ResponseWriter, r *http.Request, b order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var b order
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			rw.WriteHeader(400)
			return
		}
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		if e.dead {
			panic(http.ErrAbortHandler)
		}
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != e.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if b.Fence < e.fence {
			e.answer(rw, 409, obj{"reason": "fence"})
			return
		}
		e.fence = b.Fence
		f(rw, r, b)
	}
}

// extend extends the lease of all that runs there.
func (e *executor) extend(deadline int64) {
	now := e.clock()
	e.checkLease()
	if end := min(time.Duration(deadline)*time.Millisecond, now+e.w.opt.holdMax); end > e.lease {
		e.lease = end
		e.armLease()
	}
}

func (e *executor) armLease() {
	if e.leaseTimer != nil {
		e.leaseTimer.Stop()
	}
	left := time.Duration(float64(e.lease-e.clock()) / e.rate)
	e.leaseTimer = time.AfterFunc(left+time.Millisecond, func() {
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		e.checkLease()
	})
}

func (e *executor) checkLease() {
	if e.dead || e.clock() < e.lease || e.lease == 0 {
		return
	}
	e.lease = 0
	e.lapses++
	for _, r := range e.runs {
		e.finish(r, "lapsed")
	}
}

func (e *executor) used() amount {
	var a amount
	for _, r := range e.runs {
		a = a.plus(r.task.step.reserved())
	}
	return a
}

func (e *executor) onStart(rw http.ResponseWriter, _ *http.Request, b order) {
	if time.Duration(b.Deadline)*time.Millisecond <= e.clock() {
		e.answer(rw, 409, obj{"reason": "late"})
		return
	}
	e.extend(b.Deadline)
	t := e.w.task(b.Task)
	if t == nil {
		e.w.violate("UNASKED", "%s starts %s, which nobody sent", e.id, b.Task)
		e.answer(rw, 400, nil)
		return
	}
	if r := e.runs[t]; r != nil && r.attempt == b.Attempt {
		e.answer(rw, 200, nil)
		return
	}
	if b.Attempt <= e.most[b.Task] || e.runs[t] != nil {
		e.answer(rw, 409, obj{"reason": "old"})
		return
	}
	if e.w.opt.advice && !e.w.validTicket(e, t, b.Ticket) {
		e.answer(rw, 409, obj{"reason": "ticket"})
		return
	}
	need := e.used().plus(t.step.reserved())
	if e.guards && !need.fits(e.capacity) {
		e.w.record("ROOM %s refuses %s: %+v of %+v", e.id, b.Task, need, e.capacity)
		e.answer(rw, 409, obj{"reason": "room"})
		return
	}
	if !e.guards && !need.fits(e.capacity) {
		e.w.violate("LIMIT", "%s starts %s: %+v of %+v", e.id, b.Task, need, e.capacity)
	}
	r := &run{task: t, attempt: b.Attempt, exec: e, arrived: time.Now(), saved: b.Checkpoint}
	if b.Checkpoint != "" {
		p, ok := t.owner().checkpoints[b.Checkpoint]
		if !ok {
			e.w.violate("UNASKED", "%s starts %s with a checkpoint that isn't its own: %s", e.id, b.Task, b.Checkpoint)
		}
		r.base = p
	}
	if b.Spec != t.job.spec {
		e.w.violate("UNASKED", "%s starts %s with another spec", e.id, b.Task)
	}
	e.w.checkStart(r)
	e.runs[t] = r
	t.runs = append(t.runs, r)
	e.w.record("START %s %d on %s fence %d checkpoint %q", t.name, r.attempt, e.id, b.Fence, b.Checkpoint)
	if t.step.Gang {
		e.joinGang(r)
	} else {
		e.work(r)
	}
	e.answer(rw, 200, nil)
}

// joinGang adds a member to the run of its gang, which begins to work once all are present.
func (e *executor) joinGang(r *run) {
	s := r.task.stepRun
	g := s.gangs[r.attempt]
	if g == nil {
		g = &gangRun{members: map[int]*run{}}
		s.gangs[r.attempt] = g
	}
	r.gang = g
	for _, m := range g.members {
		if m.saved != r.saved && !m.working {
			e.w.violate("UNASKED", "gang of %s starts with two checkpoints", r.task.name)
		}
	}
	g.members[r.task.index] = r
	if g.broken {
		// Another member has ended: it ends as soon as it is there.
		e.finish(r, "broken")
		return
	}
	if len(g.members) == s.step.Count {
		g.started = true
		for _, m := range g.members {
			if m.timer != nil {
				m.timer.Stop()
			}
			m.exec.work(m)
		}
		return
	}
	r.timer = nil
	r.setTimer(e.w.opt.gangTimeout, func() {
		if !r.working {
			e.finish(r, "alone")
		}
	})
}

func (r *run) setTimer(d time.Duration, f func()) {
	r.timer = time.AfterFunc(d, func() {
		r.exec.w.mu.Lock()
		defer r.exec.w.mu.Unlock()
		if !r.ended {
			f()
		}
	})
}

// work lets a run begin to work.
func (e *executor) work(r *run) {
	now := time.Now()
	r.working, r.workFrom = true, now
	if r.base > 0 {
		r.workFrom = now.Add(e.w.opt.restore)
	}
	s := r.task.step
	if s.LongRunning {
		return
	}
	t := r.task
	if t.failsLeft() > 0 {
		left := min(t.work-r.base, t.work/2)
		r.setTimer(r.workFrom.Sub(now)+max(left, 20*time.Millisecond), func() {
			t.job.failed[t.failKey()]++
			e.finish(r, "failed")
		})
		return
	}
	x := 1.0
	if s.DataRack != "" && !slices.Contains(e.labels, s.DataRack) {
		x = e.w.opt.remote
	}
	left := time.Duration(float64(max(t.work-r.base, time.Millisecond)) * x)
	r.setTimer(r.workFrom.Sub(now)+left, func() { e.finish(r, "done") })
}

// save returns the newest checkpoint of a run.
func (e *executor) save(r *run, final bool) {
	if !r.task.step.Checkpoints || !r.working {
		return
	}
	p := r.done(time.Now())
	if !final {
		p = p / e.w.opt.saveEvery * e.w.opt.saveEvery
	}
	if p <= r.base {
		return
	}
	owner := r.task.owner()
	for v, q := range owner.checkpoints {
		if v == r.saved && q >= p {
			return
		}
	}
	v := fmt.Sprintf("%08x%08x", p.Milliseconds(), rand.Uint32())
	owner.checkpoints[v] = p
	r.saved = v
}

// finish ends a run. The caller holds the world's mutex.
func (e *executor) finish(r *run, how string) {
	if r.ended || e.dead {
		return
	}
	if how == "done" && r.gang != nil && !r.gang.broken {
		// They end together.
		r.gang.broken = true
		for _, m := range r.gang.members {
			m.exec.finish(m, "done")
		}
		return
	}
	r.ended = true
	if r.timer != nil {
		r.timer.Stop()
	}
	if how == "stopped" || how == "lapsed" || how == "broken" {
		e.save(r, true)
	}
	delete(e.runs, r.task)
	e.most[r.task.name] = max(e.most[r.task.name], r.attempt)
	e.seq++
	x := &end{seq: e.seq, run: r, how: how, saved: r.saved, lapses: e.lapses, endedAt: time.Now()}
	e.ends = append(e.ends, x)
	e.w.checkEnd(x)
	e.w.record("END %s %d on %s %s seq %d saved %q", r.task.name, r.attempt, e.id, how, x.seq, x.saved)
	close(e.changed)
	e.changed = make(chan struct{})
	e.breakGang(r, how)
}

// breakGang ends the other members of a gang once one has ended before the gang is done.
func (e *executor) breakGang(r *run, how string) {
	g := r.gang
	if g == nil || g.broken || how == "alone" && !g.started && len(g.members) == 0 {
		return
	}
	g.broken = true
	for _, m := range g.members {
		if m != r && !m.ended {
			m.exec.finish(m, "broken")
		}
	}
}

func (e *executor) onStop(rw http.ResponseWriter, _ *http.Request, b order) {
	e.most[b.Task] = max(e.most[b.Task], b.Attempt)
	if t := e.w.task(b.Task); t != nil {
		if r := e.runs[t]; r != nil && r.attempt <= b.Attempt && !r.stopping {
			r.stopping = true
			e.w.record("STOP %s %d on %s", b.Task, r.attempt, e.id)
			d := time.Duration(rand.Float64() * float64(e.w.opt.stopTime))
			time.AfterFunc(d, func() {
				e.w.mu.Lock()
				defer e.w.mu.Unlock()
				e.finish(r, "stopped")
			})
		}
	}
	e.answer(rw, 200, nil)
}

func (e *executor) onPace(rw http.ResponseWriter, _ *http.Request, _ order) { e.answer(rw, 200, nil) }

func (e *executor) onHold(rw http.ResponseWriter, r *http.Request, b order) {
	if b.Deadline > 0 {
		e.extend(b.Deadline)
	}
	for len(e.ends) > 0 && e.ends[0].seq <= b.Acked {
		if x := e.ends[0]; x.lapses == e.lapses {
			e.w.note(x)
		}
		e.ends = e.ends[1:]
	}
	until := time.After(time.Duration(min(b.Wait, 2000)) * time.Millisecond)
	for wait := b.Wait > 0; wait && len(e.ends) == 0 && !e.dead; {
		changed := e.changed
		e.w.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			wait = false
		case <-r.Context().Done():
			wait = false
		}
		e.w.mu.Lock()
	}
	if e.dead {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	now := time.Now()
	for t, x := range e.runs {
		e.save(x, false)
		percent := 0.0
		if t.step.LongRunning {
			if now.Sub(x.arrived) > e.w.opt.warm {
				percent = 100
			}
		} else {
			percent = min(99, 100*float64(x.done(now))/float64(t.work))
		}
		running = append(running, []any{t.name, x.attempt, x.saved, int(percent), 10})
	}
	for _, x := range e.ends[:min(len(e.ends), 500)] {
		finished = append(finished, []any{x.seq, x.run.task.name, x.run.attempt, x.how, x.saved})
	}
	e.answer(rw, 200, obj{"born": e.born, "running": running, "finished": finished})
}

// kill ends an executor with all that runs there. The caller holds the world's mutex.
func (e *executor) kill() {
	if e.dead {
		return
	}
	for _, r := range e.runs {
		r.ended = true
		if r.timer != nil {
			r.timer.Stop()
		}
		e.w.record("LOST %s %d on %s", r.task.name, r.attempt, e.id)
	}
	runs := e.runs
	e.runs = map[*task]*run{}
	e.dead = true
	if e.leaseTimer != nil {
		e.leaseTimer.Stop()
	}
	close(e.changed)
	e.changed = make(chan struct{})
	for _, r := range runs {
		e.breakGang(r, "gone")
	}
	srv := e.srv
	go func() { _ = srv.Close() }()
	e.w.record("EXECUTOR %s of %s ends", e.id, e.machine.name)
}

// report returns what the executor says about itself in the store.
func (e *executor) report(seq int64) []byte {
	state := "ready"
	out := obj{
		"service": e.service, "addr": e.addr, "zone": e.machine.zone, "version": "v1", "slots": 8, "cold_left_ms": 0, "capacity": e.capacity,
		"labels": e.labels, "clock_ms": e.clock().Milliseconds(), "seq": seq, "born": e.born, "machine": e.machine.name,
	}
	if e.draining {
		state = "draining"
		out["remaining_ms"] = 2000
	}
	out["state"] = state
	b, _ := json.Marshal(out)
	return b
}

func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }
