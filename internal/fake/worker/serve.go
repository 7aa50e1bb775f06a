package worker

import (
	"math"
	"net/http"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// forever is the end of a task that does not end.
const forever = time.Duration(math.MaxInt64)

// size and the types below are the bodies of the protocol.
type size struct {
	Cores        int64 `json:"cores"`
	Memory       int64 `json:"memory"`
	Accelerators int64 `json:"accelerators"`
}

type listedTask struct {
	Job   string          `json:"job"`
	Token uint64          `json:"token"`
	Phase ports.TaskPhase `json:"phase"`
	Used  size            `json:"used"`
	// Throttled is shown without the lag.
	Throttled bool `json:"throttled"`
}

type listedWorker struct {
	Name   string       `json:"name"`
	Size   size         `json:"size"`
	Rack   string       `json:"rack"`
	Centre string       `json:"centre"`
	Boot   uint64       `json:"boot"`
	Age    float64      `json:"age"`
	Tasks  []listedTask `json:"tasks"`
}

func (f *Workers) list(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	down := f.faults.Down
	view := make([]listedWorker, 0, len(f.names))
	for _, n := range f.names {
		view = append(view, f.report(f.byName[n]))
	}
	f.mu.Unlock()
	if down {
		local.Fail(w, http.StatusServiceUnavailable, "down")
		return
	}
	local.WriteJSON(w, http.StatusOK, view)
}

// report returns what a worker said a lag ago, or before it was paused. The caller
// holds mu.
func (f *Workers) report(w *worker) listedWorker {
	now := f.now()
	at := max(0, now-local.Millis(f.faults.Lag))
	if w.paused >= 0 {
		at = min(at, w.paused)
	}
	l := listedWorker{
		Name: w.Name, Size: size(w.Size), Rack: w.Rack, Centre: w.Centre, Boot: w.Boot,
		Age: float64(now-at) / float64(time.Millisecond), Tasks: []listedTask{},
	}
	at = w.time(at)
	for _, t := range w.tasks {
		if t.began > at || t.dropped > 0 && t.dropped <= at {
			continue
		}
		l.Tasks = append(l.Tasks, listedTask{t.job, t.token, t.phase(at), t.used(at), t.slow})
	}
	return l
}

// used returns the use at a time of the worker.
func (t *task) used(at time.Duration) size {
	if at >= t.ends {
		return size{}
	}
	u := size{
		Cores:  int64(float64(t.need.Cores) * t.factor),
		Memory: int64(float64(t.need.Memory) * t.factor),
	}
	if t.slow {
		u.Cores /= 2
	}
	return u
}

// lost says whether the connection of a call is cut, and whether the call is carried
// out. The caller holds mu.
func (f *Workers) lost(w *worker) (cut, done bool) {
	if w != nil && w.paused >= 0 {
		return true, false
	}
	x := f.rng.Float64()
	switch {
	case x < f.faults.Drop:
		return true, false
	case x < f.faults.Drop+f.faults.Lose:
		return true, true
	}
	return false, true
}

// begin starts a task.
func (f *Workers) begin(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Job        string  `json:"job"`
		Token      uint64  `json:"token"`
		Boot       uint64  `json:"boot"`
		Lease      float64 `json:"lease"`
		Need       size    `json:"need"`
		Checkpoint bool    `json:"checkpoint"`
	}
	if !local.ReadOrder(w, r, &o) {
		return
	}
	f.call(w, r, func(x *worker) (int, any) {
		return f.run(x, o.Job, o.Token, o.Boot, ports.Resources(o.Need))
	})
}

// call carries out a call to a worker unless an order prevents that, and answers it.
func (f *Workers) call(w http.ResponseWriter, r *http.Request, do func(x *worker) (int, any)) {
	f.mu.Lock()
	x := f.byName[r.PathValue("name")]
	if f.faults.Down {
		f.mu.Unlock()
		local.Fail(w, http.StatusServiceUnavailable, "down")
		return
	}
	if x == nil {
		f.mu.Unlock()
		local.Fail(w, http.StatusNotFound, "unknown")
		return
	}
	cut, done := f.lost(x)
	var status int
	var body any
	if done {
		status, body = do(x)
	}
	f.mu.Unlock()
	if cut {
		local.Cut()
	}
	local.WriteJSON(w, status, body)
}

type refusal struct {
	Error string `json:"error"`
	Token uint64 `json:"token"`
}

// run starts a task on a worker. The caller holds mu.
func (f *Workers) run(w *worker, job string, token, boot uint64, need ports.Resources) (int, any) {
	newest := w.newest[job]
	switch {
	case boot != w.Boot:
		return http.StatusGone, refusal{Error: "boot"}
	case token < newest || token == newest && w.find(job, token) == nil:
		return http.StatusConflict, refusal{"stale", newest}
	case token == newest:
		return http.StatusOK, struct{}{}
	}
	w.newest[job] = token
	now := w.time(f.now())
	for _, t := range w.tasks {
		if t.job == job {
			w.drop(t, now)
		}
	}
	w.tasks = append(w.tasks, f.course(w, job, token, need, now))
	f.runs[job] = append(f.runs[job], Run{w.Name, token, f.now()})
	return http.StatusCreated, struct{}{}
}

// course returns a new task with its end. The caller holds mu.
func (f *Workers) course(w *worker, job string, token uint64, need ports.Resources, now time.Duration) *task {
	t := &task{job: job, token: token, need: need, began: now, result: ports.TaskSucceeded, factor: 1}
	if x, ok := f.faults.Factor[job]; ok {
		t.factor = x
	}
	t.ends = now + local.Millis(f.faults.Run)
	switch {
	case slices.Contains(f.faults.Fail, w.Name):
		t.ends, t.result = now+local.Millis(f.faults.Run/10), ports.TaskFailed
	case slices.Contains(f.faults.Endless, job):
		t.ends = forever
	case slices.Contains(f.faults.Bad, job):
		t.result = ports.TaskFailed
	}
	return t
}

// find returns a task that is on the list, nil if there is none.
func (w *worker) find(job string, token uint64) *task {
	for _, t := range w.tasks {
		if t.job == job && t.token == token && t.dropped == 0 {
			return t
		}
	}
	return nil
}

// end ends a task before its time.
func (t *task) end(now time.Duration) {
	if now < t.ends {
		t.ends, t.result = now, ports.TaskStopped
	}
}

// drop ends a task and takes it off the list.
func (w *worker) drop(t *task, now time.Duration) {
	t.end(now)
	if t.dropped == 0 {
		t.dropped = max(now, 1)
	}
}

// ask throttles, restores, checkpoints, stops or forgets a task.
func (f *Workers) ask(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Job   string `json:"job"`
		Token uint64 `json:"token"`
	}
	if !local.ReadOrder(w, r, &o) {
		return
	}
	m := ports.CommandKind(r.PathValue("means"))
	f.call(w, r, func(x *worker) (int, any) {
		t := x.find(o.Job, o.Token)
		if t == nil {
			return http.StatusGone, refusal{Error: "task"}
		}
		if !slices.Contains(f.faults.Deaf, x.Name) {
			x.carryOut(t, m, x.time(f.now()))
		}
		return http.StatusOK, struct {
			Phase ports.TaskPhase `json:"phase"`
		}{t.phase(x.time(f.now()))}
	})
}

// carryOut does what was asked.
func (w *worker) carryOut(t *task, m ports.CommandKind, now time.Duration) {
	switch m {
	case ports.Throttle:
		t.slow = true
	case ports.Restore:
		t.slow = false
	case ports.Checkpoint, ports.Stop:
		t.end(now)
	case ports.Forget:
		w.drop(t, now)
	}
}
