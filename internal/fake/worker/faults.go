package worker

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// Faults are the orders that can be given to the workers.
type Faults struct {
	// Lag is the age of the view that the list shows, in milliseconds.
	Lag float64 `json:"lag"`
	// Run is how long a task runs, in milliseconds.
	Run float64 `json:"run"`
	// Down answers the list, starts and asks with 503 and without effect.
	Down bool `json:"down"`
	// Lose is the share of starts and asks, 0 to 1, that are done and whose connection
	// is then cut without an answer.
	Lose float64 `json:"lose"`
	// Drop is the share of starts and asks, 0 to 1, whose connection is cut without an
	// effect.
	Drop float64 `json:"drop"`
	// Fail names the workers that fail every task after a tenth of Run.
	Fail []string `json:"fail"`
	// Bad names the jobs that fail on every worker.
	Bad []string `json:"bad"`
	// Endless names the jobs that do not end unless they are stopped.
	Endless []string `json:"endless"`
	// Deaf names the workers that answer asks without carrying them out.
	Deaf []string `json:"deaf"`
	// Factor holds the true use of jobs as a multiple of the declared one.
	Factor map[string]float64 `json:"factor"`
	// Seed starts the sequence that decides which calls are lost.
	Seed uint64 `json:"seed"`
}

// clone returns a copy that shares no map or slice.
func (o Faults) clone() Faults {
	o.Fail = slices.Clone(o.Fail)
	o.Bad = slices.Clone(o.Bad)
	o.Endless = slices.Clone(o.Endless)
	o.Deaf = slices.Clone(o.Deaf)
	o.Factor = maps.Clone(o.Factor)
	return o
}

// Faults returns the present orders.
func (f *Workers) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.clone()
}

// SetFaults replaces the orders. Tasks that run already keep their course.
func (f *Workers) SetFaults(o Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Seed != f.faults.Seed {
		f.rng = rand.New(rand.NewPCG(o.Seed, 0))
	}
	f.faults = o.clone()
}

// orderFaults changes the fields that the order holds. A map or list is replaced.
func (f *Workers) orderFaults(w http.ResponseWriter, r *http.Request) {
	o := f.Faults()
	factor := o.Factor
	o.Factor = nil
	if !local.ReadOrder(w, r, &o) {
		return
	}
	if o.Factor == nil {
		o.Factor = factor
	}
	f.SetFaults(o)
	f.showFaults(w, r)
}

// clearFaults sets the orders to those at the start.
func (f *Workers) clearFaults(w http.ResponseWriter, r *http.Request) {
	f.SetFaults(f.initial)
	f.showFaults(w, r)
}

func (f *Workers) showFaults(w http.ResponseWriter, _ *http.Request) {
	local.WriteJSON(w, http.StatusOK, f.Faults())
}

// order pauses, resumes or restarts a worker.
func (f *Workers) order(w http.ResponseWriter, r *http.Request) {
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

// Pause stops the time of a worker: its tasks make no progress, it reports nothing and
// calls to it are cut without an effect. It returns false if there is no such worker
// that runs.
func (f *Workers) Pause(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byName[name]
	if w == nil || w.paused >= 0 {
		return false
	}
	w.paused = f.now()
	return true
}

// Resume lets a paused worker go on. It does not know that its leases may have lapsed,
// and its tasks end and are reported late. It returns false if there is no such worker
// that is paused.
func (f *Workers) Resume(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byName[name]
	if w == nil || w.paused < 0 {
		return false
	}
	w.lost += f.now() - w.paused
	w.paused = -1
	return true
}

// Restart takes all tasks and tokens from a worker and gives it the next boot number.
// It returns false if there is no such worker.
func (f *Workers) Restart(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byName[name]
	if w == nil {
		return false
	}
	w.Boot++
	w.tasks = nil
	clear(w.newest)
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
