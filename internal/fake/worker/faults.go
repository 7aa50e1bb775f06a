package worker

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// Faults are the settings of the fake workers, most of them injected faults. Clients change them
// at /faults.
type Faults struct {
	// Lag is the age of the state that the list shows, in milliseconds.
	Lag float64 `json:"lag"`
	// Run is the run time of a task, in milliseconds.
	Run float64 `json:"run"`
	// Down answers the list, starts and commands with 503 and without effect.
	Down bool `json:"down"`
	// LoseAnswers is the share of starts and commands, 0 to 1, that are carried out and whose
	// connection is then closed without an answer.
	LoseAnswers float64 `json:"lose"`
	// DropRequests is the share of starts and commands, 0 to 1, whose connection is closed
	// without an effect.
	DropRequests float64 `json:"drop"`
	// FailingWorkers names the workers that fail every task after a tenth of Run.
	FailingWorkers []string `json:"fail"`
	// FailingJobs names the jobs that fail on every worker.
	FailingJobs []string `json:"bad"`
	// Endless names the jobs that run until they are stopped.
	Endless []string `json:"endless"`
	// IgnoreCommands names the workers that answer commands without carrying them out.
	IgnoreCommands []string `json:"deaf"`
	// UseFactor holds the actual resource use of jobs as a multiple of the declared one.
	UseFactor map[string]float64 `json:"factor"`
	// Seed seeds the random choice of the calls that are lost.
	Seed uint64 `json:"seed"`
}

// clone returns a copy that shares no map or slice.
func (o Faults) clone() Faults {
	o.FailingWorkers = slices.Clone(o.FailingWorkers)
	o.FailingJobs = slices.Clone(o.FailingJobs)
	o.Endless = slices.Clone(o.Endless)
	o.IgnoreCommands = slices.Clone(o.IgnoreCommands)
	o.UseFactor = maps.Clone(o.UseFactor)
	return o
}

// Faults returns a copy of the current settings.
func (f *Workers) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.clone()
}

// SetFaults replaces the settings. It does not affect the run time and result of tasks that run
// already.
func (f *Workers) SetFaults(o Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Seed != f.faults.Seed {
		f.rng = rand.New(rand.NewPCG(o.Seed, 0))
	}
	f.faults = o.clone()
}

// updateFaults serves PUT /faults: it changes the fields in the body and keeps the others. A map
// or list is replaced as a whole.
func (f *Workers) updateFaults(w http.ResponseWriter, r *http.Request) {
	o := f.Faults()
	factor := o.UseFactor
	o.UseFactor = nil
	if !local.ReadJSON(w, r, &o) {
		return
	}
	if o.UseFactor == nil {
		o.UseFactor = factor
	}
	f.SetFaults(o)
	f.showFaults(w, r)
}

// resetFaults restores the initial settings.
func (f *Workers) resetFaults(w http.ResponseWriter, r *http.Request) {
	f.SetFaults(f.initial)
	f.showFaults(w, r)
}

func (f *Workers) showFaults(w http.ResponseWriter, _ *http.Request) {
	local.WriteJSON(w, http.StatusOK, f.Faults())
}

// control pauses, resumes or restarts a worker.
func (f *Workers) control(w http.ResponseWriter, r *http.Request) {
	do, ok := map[string]func(string) bool{
		"pause": f.Pause, "resume": f.Resume, "restart": f.Restart,
	}[r.PathValue("order")]
	if !ok {
		local.Fail(w, http.StatusBadRequest, "order is none of pause, resume, restart")
		return
	}
	if !do(r.PathValue("name")) {
		local.Fail(w, http.StatusNotFound, "no such worker, or it is in that state already")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Pause stops the clock of a worker: its tasks make no progress, the list shows its last state
// and the connections of calls to it are closed without an effect. It returns false if there is
// no such worker or it is paused already.
func (f *Workers) Pause(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byName[name]
	if w == nil || w.pausedAt >= 0 {
		return false
	}
	w.pausedAt = f.now()
	return true
}

// Resume restarts the clock of a paused worker. Its tasks continue even if their leases have
// expired meanwhile, so they end late. It returns false if there is no such worker or it is not
// paused.
func (f *Workers) Resume(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byName[name]
	if w == nil || w.pausedAt < 0 {
		return false
	}
	w.pausedTotal += f.now() - w.pausedAt
	w.pausedAt = -1
	return true
}

// Restart removes all tasks and tokens of a worker and increments its boot number. It returns
// false if there is no such worker.
func (f *Workers) Restart(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byName[name]
	if w == nil {
		return false
	}
	w.Boot++
	w.tasks = nil
	clear(w.newestToken)
	return true
}

func (f *Workers) showRuns(w http.ResponseWriter, r *http.Request) {
	type run struct {
		Worker string  `json:"worker"`
		Token  uint64  `json:"token"`
		Began  float64 `json:"began"`
	}
	runs := []run{}
	for _, one := range f.Runs(r.URL.Query().Get("job")) {
		runs = append(runs, run{one.Worker, one.Token, float64(one.Began) / float64(time.Millisecond)})
	}
	local.WriteJSON(w, http.StatusOK, runs)
}
