package worker

import (
	"math"
	"net/http"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// neverEnds is the end time of an endless task.
const neverEnds = time.Duration(math.MaxInt64)

// resources and the types below are JSON bodies of the workers' protocol.
type resources struct {
	Cores        int64 `json:"cores"`
	Memory       int64 `json:"memory"`
	Accelerators int64 `json:"accelerators"`
}

type listedTask struct {
	Job   string          `json:"job"`
	Token uint64          `json:"token"`
	Phase ports.TaskPhase `json:"phase"`
	Used  resources       `json:"used"`
	// Throttled is the current state, without the lag.
	Throttled bool `json:"throttled"`
}

type listedWorker struct {
	Name   string       `json:"name"`
	Size   resources    `json:"size"`
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
		view = append(view, f.viewOf(f.byName[n]))
	}
	f.mu.Unlock()
	if down {
		local.Fail(w, http.StatusServiceUnavailable, "down")
		return
	}
	local.WriteJSON(w, http.StatusOK, view)
}

// viewOf returns the state of a worker as it was a lag ago, or when it was paused if that is
// earlier. The caller holds mu.
func (f *Workers) viewOf(w *worker) listedWorker {
	now := f.now()
	at := max(0, now-local.Millis(f.faults.Lag))
	if w.pausedAt >= 0 {
		at = min(at, w.pausedAt)
	}
	l := listedWorker{
		Name: w.Name, Size: resources(w.Size), Rack: w.Rack, Centre: w.Centre, Boot: w.Boot,
		Age: float64(now-at) / float64(time.Millisecond), Tasks: []listedTask{},
	}
	at = w.localTime(at)
	for _, t := range w.tasks {
		if t.beganAt > at || t.removedAt > 0 && t.removedAt <= at {
			continue
		}
		l.Tasks = append(l.Tasks, listedTask{t.job, t.token, t.phase(at), t.usage(at), t.throttled})
	}
	return l
}

// usage returns the resource use at a time of the worker. A throttled task uses half of the cores.
func (t *task) usage(at time.Duration) resources {
	if at >= t.endsAt {
		return resources{}
	}
	u := resources{
		Cores:  int64(float64(t.need.Cores) * t.factor),
		Memory: int64(float64(t.need.Memory) * t.factor),
	}
	if t.throttled {
		u.Cores /= 2
	}
	return u
}

// drawLoss draws whether the connection of a call is closed without an answer, and whether the
// call is carried out. A paused worker drops all calls. The caller holds mu.
func (f *Workers) drawLoss(w *worker) (cut, done bool) {
	if w != nil && w.pausedAt >= 0 {
		return true, false
	}
	x := f.rng.Float64()
	switch {
	case x < f.faults.DropRequests:
		return true, false
	case x < f.faults.DropRequests+f.faults.LoseAnswers:
		return true, true
	}
	return false, true
}

// startTask serves the start of a task.
func (f *Workers) startTask(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Job        string    `json:"job"`
		Token      uint64    `json:"token"`
		Boot       uint64    `json:"boot"`
		Lease      float64   `json:"lease"`
		Need       resources `json:"need"`
		Checkpoint bool      `json:"checkpoint"`
	}
	if !local.ReadJSON(w, r, &o) {
		return
	}
	f.serveCall(w, r, func(x *worker) (int, any) {
		return f.runTask(x, o.Job, o.Token, o.Boot, ports.Resources(o.Need))
	})
}

// serveCall carries out a call to a worker and answers it, with the current faults.
func (f *Workers) serveCall(w http.ResponseWriter, r *http.Request, do func(x *worker) (int, any)) {
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
	cut, done := f.drawLoss(x)
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

// runTask starts a task on a worker and returns the status and body of the answer. It refuses
// another boot number than the worker's, and a token that is older than one seen for the job, or
// as old without such a task. Other tasks of the job are removed. The caller holds mu.
func (f *Workers) runTask(w *worker, job string, token, boot uint64, need ports.Resources) (int, any) {
	newest := w.newestToken[job]
	switch {
	case boot != w.Boot:
		return http.StatusGone, refusal{Error: "boot"}
	case token < newest || token == newest && w.find(job, token) == nil:
		return http.StatusConflict, refusal{"stale", newest}
	case token == newest:
		return http.StatusOK, struct{}{}
	}
	w.newestToken[job] = token
	now := w.localTime(f.now())
	for _, t := range w.tasks {
		if t.job == job {
			w.remove(t, now)
		}
	}
	w.tasks = append(w.tasks, f.newTask(w, job, token, need, now))
	f.runs[job] = append(f.runs[job], Run{w.Name, token, f.now()})
	return http.StatusCreated, struct{}{}
}

// newTask returns a new task with its end time and result. The caller holds mu.
func (f *Workers) newTask(w *worker, job string, token uint64, need ports.Resources, now time.Duration) *task {
	t := &task{job: job, token: token, need: need, beganAt: now, result: ports.TaskSucceeded, factor: 1}
	if x, ok := f.faults.UseFactor[job]; ok {
		t.factor = x
	}
	t.endsAt = now + local.Millis(f.faults.Run)
	switch {
	case slices.Contains(f.faults.FailingWorkers, w.Name):
		t.endsAt, t.result = now+local.Millis(f.faults.Run/10), ports.TaskFailed
	case slices.Contains(f.faults.Endless, job):
		t.endsAt = neverEnds
	case slices.Contains(f.faults.FailingJobs, job):
		t.result = ports.TaskFailed
	}
	return t
}

// find returns a task that was not removed, nil if there is none.
func (w *worker) find(job string, token uint64) *task {
	for _, t := range w.tasks {
		if t.job == job && t.token == token && t.removedAt == 0 {
			return t
		}
	}
	return nil
}

// end stops a task if it is still running.
func (t *task) end(now time.Duration) {
	if now < t.endsAt {
		t.endsAt, t.result = now, ports.TaskStopped
	}
}

// remove stops a task and removes it from the list. The removal time is at least 1, because 0
// stands for tasks that were not removed.
func (w *worker) remove(t *task, now time.Duration) {
	t.end(now)
	if t.removedAt == 0 {
		t.removedAt = max(now, 1)
	}
}

// command serves a command to throttle, restore, checkpoint, stop or forget a task.
func (f *Workers) command(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Job   string `json:"job"`
		Token uint64 `json:"token"`
	}
	if !local.ReadJSON(w, r, &o) {
		return
	}
	m := ports.CommandKind(r.PathValue("means"))
	f.serveCall(w, r, func(x *worker) (int, any) {
		t := x.find(o.Job, o.Token)
		if t == nil {
			return http.StatusGone, refusal{Error: "task"}
		}
		if !slices.Contains(f.faults.IgnoreCommands, x.Name) {
			x.execute(t, m, x.localTime(f.now()))
		}
		return http.StatusOK, struct {
			Phase ports.TaskPhase `json:"phase"`
		}{t.phase(x.localTime(f.now()))}
	})
}

// execute carries out a command. A checkpoint ends the task.
func (w *worker) execute(t *task, m ports.CommandKind, now time.Duration) {
	switch m {
	case ports.Throttle:
		t.throttled = true
	case ports.Restore:
		t.throttled = false
	case ports.Checkpoint, ports.Stop:
		t.end(now)
	case ports.Forget:
		w.remove(t, now)
	}
}
