// Package worker implements a fake of the platform's workers for tests: it simulates the tasks,
// serves a delayed view of them over HTTP, and injects faults.
package worker

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// Run is the start of one task on a worker.
type Run struct {
	Worker string
	Token  uint64
	// Began is the time of the start, counted from the construction of the fake.
	Began time.Duration
}

// task is one task. Its times are on the clock of its worker, which stops while the worker is
// paused.
type task struct {
	job       string
	token     uint64
	need      ports.Resources
	beganAt   time.Duration
	endsAt    time.Duration
	result    ports.TaskPhase
	factor    float64
	throttled bool
	removedAt time.Duration // when it was removed from the list, 0 for never
}

// phase returns the phase at a time of the worker.
func (t *task) phase(at time.Duration) ports.TaskPhase {
	if at < t.endsAt {
		return ports.TaskRunning
	}
	return t.result
}

// worker is one worker with its tasks.
type worker struct {
	ports.Worker
	tasks       []*task
	newestToken map[string]uint64
	// pausedAt is when the worker was paused, -1 if it is not paused, and pausedTotal the
	// total length of its earlier pauses.
	pausedAt    time.Duration
	pausedTotal time.Duration
}

// Workers is the set of fake workers.
type Workers struct {
	clk   clock.Clock
	start time.Duration
	addr  string
	mux   *http.ServeMux

	initial Faults

	mu     sync.Mutex
	names  []string
	byName map[string]*worker
	runs   map[string][]Run
	faults Faults
	rng    *rand.Rand
	srv    *local.Server
}

// Option changes Workers at construction.
type Option func(*Workers)

// WithClock sets the clock of the tasks, the lag and the pauses.
func WithClock(c clock.Clock) Option { return func(f *Workers) { f.clk = c } }

// WithWorkers adds workers. Only the name, rack, data centre and size of each are used.
func WithWorkers(all ...ports.Worker) Option {
	return func(f *Workers) {
		for _, w := range all {
			f.add(w)
		}
	}
}

// WithFaults sets the initial settings, among them the run time of tasks.
func WithFaults(o Faults) Option { return func(f *Workers) { f.faults = o } }

// WithAddr sets the address for Start; the default is a free port of 127.0.0.1.
func WithAddr(addr string) Option { return func(f *Workers) { f.addr = addr } }

// New returns a set of workers. It is an http.Handler; Start serves it on a TCP port.
func New(opts ...Option) *Workers {
	f := &Workers{
		clk:    clock.NewSystem(),
		addr:   "127.0.0.1:0",
		byName: map[string]*worker{},
		runs:   map[string][]Run{},
	}
	for _, o := range opts {
		o(f)
	}
	f.initial = f.faults.clone()
	f.rng = rand.New(rand.NewPCG(f.faults.Seed, 0))
	f.start = f.clk.Now()
	f.mux = f.routes()
	return f
}

func (f *Workers) add(w ports.Worker) {
	w.Boot = 1
	w.Tasks = nil
	f.names = append(f.names, w.Name)
	f.byName[w.Name] = &worker{Worker: w, newestToken: map[string]uint64{}, pausedAt: -1}
}

func (f *Workers) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("GET /workers", f.list)
	m.HandleFunc("PUT /workers/{name}/tasks", f.startTask)
	m.HandleFunc("POST /workers/{name}/tasks/{means}", f.command)
	m.HandleFunc("POST /workers/{name}/{order}", f.control)
	m.HandleFunc("GET /faults", f.showFaults)
	m.HandleFunc("PUT /faults", f.updateFaults)
	m.HandleFunc("DELETE /faults", f.resetFaults)
	m.HandleFunc("GET /runs", f.showRuns)
	return m
}

// ServeHTTP serves the workers' protocol, the fault settings and the record of runs.
func (f *Workers) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// Start serves the workers on a TCP port and returns the base URL. Its errors are of class
// local.ErrListen.
func (f *Workers) Start() (string, error) {
	s, err := local.Listen(f.addr, &http.Server{Handler: f}, nil)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	f.srv = s
	f.mu.Unlock()
	return s.URL(), nil
}

// Close closes the port and all connections.
func (f *Workers) Close() {
	f.mu.Lock()
	s := f.srv
	f.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Runs returns the starts of a job's tasks, in order of time.
func (f *Workers) Runs(job string) []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Run(nil), f.runs[job]...)
}

// Running returns the number of workers on which a job actually runs, including paused workers.
func (f *Workers) Running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.byName {
		for _, t := range w.tasks {
			if t.job == job && t.phase(w.localTime(f.now())) == ports.TaskRunning {
				n++
			}
		}
	}
	return n
}

func (f *Workers) now() time.Duration { return f.clk.Now() - f.start }

// localTime converts a time to the clock of the worker.
func (w *worker) localTime(now time.Duration) time.Duration {
	if w.pausedAt >= 0 {
		now = min(now, w.pausedAt)
	}
	return now - w.pausedTotal
}
