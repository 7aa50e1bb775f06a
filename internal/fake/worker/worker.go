// Package worker is a fake of the platform's workers: it knows the true course of
// every task, shows a lagging view of it over HTTP, and carries out fault orders.
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

// Run is one task that was started on a worker.
type Run struct {
	Worker string
	Token  uint64
	// Began is the time of the start since the fake was made.
	Began time.Duration
}

// task is one task. Its times are in the time of its worker, which stands still while
// the worker is paused.
type task struct {
	job     string
	token   uint64
	need    ports.Resources
	began   time.Duration
	ends    time.Duration
	result  ports.TaskPhase
	factor  float64
	slow    bool
	dropped time.Duration // when it was taken off the list, 0 for never
}

// phase returns the phase at a time of the worker.
func (t *task) phase(at time.Duration) ports.TaskPhase {
	if at < t.ends {
		return ports.TaskRunning
	}
	return t.result
}

// worker is one worker with its tasks.
type worker struct {
	ports.Worker
	tasks  []*task
	newest map[string]uint64
	// paused is when the worker was paused, -1 if it runs, and lost how long it was
	// paused in total before.
	paused time.Duration
	lost   time.Duration
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

// WithWorkers adds workers of a size. Only the name, rack, data centre and size of a
// worker are used.
func WithWorkers(all ...ports.Worker) Option {
	return func(f *Workers) {
		for _, w := range all {
			f.add(w)
		}
	}
}

// WithFaults sets the orders at the start, among them how long tasks run.
func WithFaults(o Faults) Option { return func(f *Workers) { f.faults = o } }

// WithAddr sets the address for Start, by default a free port of 127.0.0.1.
func WithAddr(addr string) Option { return func(f *Workers) { f.addr = addr } }

// New returns a set of workers. It serves as an http.Handler; Start puts it on a TCP
// port.
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
	f.byName[w.Name] = &worker{Worker: w, newest: map[string]uint64{}, paused: -1}
}

func (f *Workers) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("GET /workers", f.list)
	m.HandleFunc("PUT /workers/{name}/tasks", f.begin)
	m.HandleFunc("POST /workers/{name}/tasks/{means}", f.ask)
	m.HandleFunc("POST /workers/{name}/{order}", f.order)
	m.HandleFunc("GET /faults", f.showFaults)
	m.HandleFunc("PUT /faults", f.orderFaults)
	m.HandleFunc("DELETE /faults", f.clearFaults)
	m.HandleFunc("GET /runs", f.showRuns)
	return m
}

// ServeHTTP serves the protocol of the workers and the orders.
func (f *Workers) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// Start serves the workers on TCP and returns the base URL. It returns a
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

// Close closes the port.
func (f *Workers) Close() {
	f.mu.Lock()
	s := f.srv
	f.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Runs returns the tasks that were started for a job, in order of time.
func (f *Workers) Runs(job string) []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Run(nil), f.runs[job]...)
}

// Running returns the number of workers on which a job runs according to the true
// state, paused ones included.
func (f *Workers) Running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.byName {
		for _, t := range w.tasks {
			if t.job == job && t.phase(w.time(f.now())) == ports.TaskRunning {
				n++
			}
		}
	}
	return n
}

func (f *Workers) now() time.Duration { return f.clk.Now() - f.start }

// time converts a time to that of the worker.
func (w *worker) time(now time.Duration) time.Duration {
	if w.paused >= 0 {
		now = min(now, w.paused)
	}
	return now - w.lost
}
