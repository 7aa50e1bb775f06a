// Package fleet implements a fake of the platform's instance list for tests: it records the
// history of every instance, serves a delayed view of it over HTTP, simulates reboots and
// injects faults.
package fleet

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// Event is one change of the actual state of an instance.
type Event struct {
	// At is the monotonic time since the construction of the fake.
	At    time.Duration
	Name  string
	Phase ports.Phase
	Boot  uint64
}

// Hook is called after an instance entered a phase, by a reboot or a request. Calls for one
// instance do not overlap.
type Hook func(name string, phase ports.Phase, boot uint64)

// Fleet is the fake instance list.
type Fleet struct {
	clk   clock.Clock
	start time.Duration
	addr  string
	hook  Hook
	mux   *http.ServeMux
	quit  chan struct{}
	once  sync.Once
	// wg counts the reboots in progress.
	wg sync.WaitGroup

	initial Faults

	mu        sync.Mutex
	names     []string
	events    map[string][]Event
	rebooting map[string]bool
	faults    Faults
	rng       *rand.Rand
	srv       *local.Server
}

// Option changes a Fleet at construction.
type Option func(*Fleet)

// WithClock sets the clock of the history, the lag and the reboots.
func WithClock(c clock.Clock) Option { return func(f *Fleet) { f.clk = c } }

// WithInstances adds instances that are live from the start, with boot number 1.
func WithInstances(names ...string) Option {
	return func(f *Fleet) { f.names = append(f.names, names...) }
}

// WithHook sets the function that is called on each change of phase.
func WithHook(h Hook) Option { return func(f *Fleet) { f.hook = h } }

// WithFaults sets the initial settings, among them the lag and the times of a reboot.
func WithFaults(o Faults) Option { return func(f *Fleet) { f.faults = o } }

// WithAddr sets the address for Start; the default is a free port of 127.0.0.1.
func WithAddr(addr string) Option { return func(f *Fleet) { f.addr = addr } }

// New returns an instance list. It is an http.Handler; Start serves it on a TCP port.
func New(opts ...Option) *Fleet {
	f := &Fleet{
		clk:       clock.NewSystem(),
		addr:      "127.0.0.1:0",
		hook:      func(string, ports.Phase, uint64) {},
		quit:      make(chan struct{}),
		events:    map[string][]Event{},
		rebooting: map[string]bool{},
	}
	for _, o := range opts {
		o(f)
	}
	f.initial = f.faults.clone()
	f.rng = rand.New(rand.NewPCG(f.faults.Seed, 0))
	f.start = f.clk.Now()
	for _, n := range f.names {
		f.events[n] = []Event{{0, n, ports.Live, 1}}
	}
	f.mux = f.routes()
	return f
}

func (f *Fleet) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("GET /instances", f.list)
	m.HandleFunc("POST /instances/{name}/reboot", f.reboot)
	m.HandleFunc("PUT /instances/{name}", f.put)
	m.HandleFunc("GET /faults", f.showFaults)
	m.HandleFunc("PUT /faults", f.updateFaults)
	m.HandleFunc("DELETE /faults", f.resetFaults)
	m.HandleFunc("GET /history", f.showHistory)
	return m
}

// ServeHTTP serves the list's protocol, the fault settings and the history.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// Start serves the list on a TCP port and returns its base URL. Its errors are of class
// local.ErrListen.
func (f *Fleet) Start() (string, error) {
	s, err := local.Listen(f.addr, &http.Server{Handler: f}, nil)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	f.srv = s
	f.mu.Unlock()
	return s.URL(), nil
}

// Close closes the port, aborts the reboots in progress and waits for both.
func (f *Fleet) Close() {
	f.once.Do(func() { close(f.quit) })
	f.mu.Lock()
	s := f.srv
	f.mu.Unlock()
	if s != nil {
		s.Close()
	}
	f.wg.Wait()
}

func (f *Fleet) now() time.Duration { return f.clk.Now() - f.start }

// stateAt returns the newest change of an instance up to a time. The caller holds mu.
func (f *Fleet) stateAt(name string, at time.Duration) Event {
	es := f.events[name]
	for i := len(es) - 1; i > 0; i-- {
		if es[i].At <= at {
			return es[i]
		}
	}
	return es[0]
}

// record adds a change to the history. The caller holds mu.
func (f *Fleet) record(name string, p ports.Phase, boot uint64) Event {
	e := Event{f.now(), name, p, boot}
	f.events[name] = append(f.events[name], e)
	return e
}
