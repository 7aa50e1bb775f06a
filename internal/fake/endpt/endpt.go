// Package endpt implements a fake endpoint for tests: it runs requests of several services over
// HTTP within its slots, counts requests and connections, and injects faults.
package endpt

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// defaultSlots is the number of slots of an executor.
const defaultSlots = 8

// Endpoint is the fake endpoint.
type Endpoint struct {
	clk         clock.Clock
	addr        string
	controlAddr string
	slots       int
	services    map[string]bool
	mux         *http.ServeMux
	quit        chan struct{}
	initial     Faults
	once        sync.Once

	mu            sync.Mutex
	faults        Faults
	rng           *rand.Rand
	faultsChanged chan struct{} // closed and replaced when the faults change
	heldAnswer    chan struct{} // closed when the held answer may be sent, nil if none is held
	counts        counts
	incarnation   int // number of calls of Stop; requests of an earlier one hold no slot

	// portsMu guards the fields below. It is separate from mu because it is held while a
	// port is closed, and connState locks mu meanwhile.
	portsMu  sync.Mutex
	stopped  bool
	requests *local.Server   // nil while the port for requests is closed
	draining []*local.Server // have stopped listening and finish the requests on their connections
	control  *local.Server
}

// Option changes an Endpoint at construction.
type Option func(*Endpoint)

// WithClock sets the clock of run times and arrival times.
func WithClock(c clock.Clock) Option { return func(e *Endpoint) { e.clk = c } }

// WithSlots sets how many requests may run at the same time, by default 8.
func WithSlots(n int) Option { return func(e *Endpoint) { e.slots = n } }

// WithServices sets the services that the endpoint hosts, by default all.
func WithServices(names ...string) Option {
	return func(e *Endpoint) {
		e.services = map[string]bool{}
		for _, n := range names {
			e.services[n] = true
		}
	}
}

// WithFaults sets the initial settings, among them the run time.
func WithFaults(f Faults) Option { return func(e *Endpoint) { e.faults = f } }

// WithAddr sets the address for requests; the default is a free port of 127.0.0.1.
func WithAddr(addr string) Option { return func(e *Endpoint) { e.addr = addr } }

// WithControl sets the address for fault settings and counters; the default is a free port of
// 127.0.0.1.
func WithControl(addr string) Option { return func(e *Endpoint) { e.controlAddr = addr } }

// New returns an endpoint. It is an http.Handler; Start serves it on two TCP ports.
func New(opts ...Option) *Endpoint {
	e := &Endpoint{
		clk:           clock.NewSystem(),
		addr:          "127.0.0.1:0",
		controlAddr:   "127.0.0.1:0",
		slots:         defaultSlots,
		quit:          make(chan struct{}),
		faultsChanged: make(chan struct{}),
		counts:        newCounts(),
	}
	for _, o := range opts {
		o(e)
	}
	e.counts.leavingSince = e.clk.Now()
	e.initial = e.faults
	e.rng = rand.New(rand.NewPCG(e.faults.Seed, 0))
	e.mux = e.routes()
	return e
}

func (e *Endpoint) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("POST /run/{service}", e.run)
	m.HandleFunc("GET /probe", e.probe)
	m.HandleFunc("GET /faults", e.showFaults)
	m.HandleFunc("PUT /faults", e.updateFaults)
	m.HandleFunc("DELETE /faults", e.resetFaults)
	m.HandleFunc("GET /counts", e.showCounts)
	m.HandleFunc("DELETE /counts", e.resetCounts)
	m.HandleFunc("POST /cut", e.cut)
	return m
}

// ServeHTTP serves requests, probes, fault settings and counters.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Start serves requests on one TCP port, and fault settings and counters on another one, which
// stays reachable while the first is closed. Its errors are of class local.ErrListen.
func (e *Endpoint) Start() error {
	c, err := local.Listen(e.controlAddr, &http.Server{Handler: e}, nil)
	if err != nil {
		return err
	}
	e.portsMu.Lock()
	defer e.portsMu.Unlock()
	e.control = c
	return e.listen()
}

// listen opens the port for requests unless it is open, the endpoint is stopped or the faults
// keep the port closed. The caller holds portsMu.
func (e *Endpoint) listen() error {
	if e.stopped || e.requests != nil || e.Faults().Refuse {
		return nil
	}
	srv := &http.Server{Handler: e, ConnState: e.connState, ConnContext: withConn}
	s, err := local.Listen(e.addr, srv, func(l net.Listener) net.Listener { return replayListener{l} })
	if err != nil {
		return err
	}
	e.requests = s
	e.addr = s.Addr()
	return nil
}

// Addr returns the host and port for requests. They stay the same after Stop and Resume.
func (e *Endpoint) Addr() string {
	e.portsMu.Lock()
	defer e.portsMu.Unlock()
	return e.addr
}

// Control returns the base URL for fault settings and counters.
func (e *Endpoint) Control() string { return e.control.URL() }

// Stop closes the port for requests and all its connections and abandons the running requests,
// as when an instance goes down.
func (e *Endpoint) Stop() {
	e.portsMu.Lock()
	defer e.portsMu.Unlock()
	e.stopped = true
	e.disconnect()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.counts.running = 0
}

// disconnect closes the port for requests and its connections. The caller holds portsMu.
func (e *Endpoint) disconnect() {
	if e.requests != nil {
		e.draining = append(e.draining, e.requests)
	}
	for _, s := range e.draining {
		s.Close()
	}
	e.requests, e.draining = nil, nil
}

// stopListening closes the port for requests. Connections stay open until the request in flight
// on them is answered. The caller holds portsMu.
func (e *Endpoint) stopListening() {
	if e.requests == nil {
		return
	}
	e.requests.StopListening()
	e.draining = append(e.draining, e.requests)
	e.requests = nil
}

// Resume opens the port for requests after Stop, unless the faults keep it closed. Its errors are
// of class local.ErrListen.
func (e *Endpoint) Resume() error {
	e.portsMu.Lock()
	defer e.portsMu.Unlock()
	e.stopped = false
	return e.listen()
}

// Close ends all requests without an answer, closes the ports and waits until they are no longer
// served.
func (e *Endpoint) Close() {
	e.once.Do(func() { close(e.quit) })
	e.portsMu.Lock()
	defer e.portsMu.Unlock()
	e.stopped = true
	e.disconnect()
	if e.control != nil {
		e.control.Close()
	}
}

// cut closes all connections for requests. The requests continue to run, and new connections are
// accepted.
func (e *Endpoint) cut(w http.ResponseWriter, _ *http.Request) {
	e.portsMu.Lock()
	e.disconnect()
	err := e.listen()
	e.portsMu.Unlock()
	if err != nil {
		local.Fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
