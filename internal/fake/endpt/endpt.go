// Package endpt is a fake endpoint: it runs requests of several services over HTTP
// within its slots, counts what reaches it, and carries out fault orders.
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
	clk      clock.Clock
	addr     string
	orders   string
	slots    int
	services map[string]bool
	mux      *http.ServeMux
	quit     chan struct{}
	initial  Faults
	once     sync.Once

	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	lifted chan struct{} // closed when the orders change
	held   chan struct{} // closed when the answer that is held back may be sent
	counts counts
	life   int // number of calls of Stop; runs of an earlier life hold no slot

	// gate guards the ports. It is separate from mu, which accepting a connection
	// takes, because it is held while a port is closed.
	gate    sync.Mutex
	stopped bool
	work    *local.Server   // nil while connections are refused
	old     []*local.Server // refuse connections and end those they have
	control *local.Server
}

// Option changes an Endpoint at construction.
type Option func(*Endpoint)

// WithClock sets the clock of run times.
func WithClock(c clock.Clock) Option { return func(e *Endpoint) { e.clk = c } }

// WithSlots sets how many requests run at a time.
func WithSlots(n int) Option { return func(e *Endpoint) { e.slots = n } }

// WithServices names the services that the endpoint hosts; without it, it hosts all.
func WithServices(names ...string) Option {
	return func(e *Endpoint) {
		e.services = map[string]bool{}
		for _, n := range names {
			e.services[n] = true
		}
	}
}

// WithFaults sets the orders at the start, among them the run time.
func WithFaults(f Faults) Option { return func(e *Endpoint) { e.faults = f } }

// WithAddr sets the address for requests, by default a free port of 127.0.0.1.
func WithAddr(addr string) Option { return func(e *Endpoint) { e.addr = addr } }

// WithControl sets the address for orders, by default a free port of 127.0.0.1.
func WithControl(addr string) Option { return func(e *Endpoint) { e.orders = addr } }

// New returns an endpoint. It serves as an http.Handler; Start puts it on TCP ports.
func New(opts ...Option) *Endpoint {
	e := &Endpoint{
		clk:    clock.NewSystem(),
		addr:   "127.0.0.1:0",
		orders: "127.0.0.1:0",
		slots:  defaultSlots,
		quit:   make(chan struct{}),
		lifted: make(chan struct{}),
		counts: newCounts(),
	}
	for _, o := range opts {
		o(e)
	}
	e.counts.left = e.clk.Now()
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
	m.HandleFunc("PUT /faults", e.orderFaults)
	m.HandleFunc("DELETE /faults", e.clearFaults)
	m.HandleFunc("GET /counts", e.showCounts)
	m.HandleFunc("DELETE /counts", e.clearCounts)
	m.HandleFunc("POST /cut", e.cut)
	return m
}

// ServeHTTP serves requests, probes and orders.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Start serves requests on one TCP port and orders on another one that stays
// reachable while connections are refused. It returns a local.ErrListen.
func (e *Endpoint) Start() error {
	c, err := local.Listen(e.orders, &http.Server{Handler: e}, nil)
	if err != nil {
		return err
	}
	e.gate.Lock()
	defer e.gate.Unlock()
	e.control = c
	return e.listen()
}

// listen opens the port for requests unless it is open. The caller holds gate.
func (e *Endpoint) listen() error {
	if e.stopped || e.work != nil || e.Faults().Refuse {
		return nil
	}
	srv := &http.Server{Handler: e, ConnState: e.connState, ConnContext: withConn}
	s, err := local.Listen(e.addr, srv, func(l net.Listener) net.Listener { return replayListener{l} })
	if err != nil {
		return err
	}
	e.work = s
	e.addr = s.Addr()
	return nil
}

// Addr returns the host and port for requests, which stay the same after Stop and
// Resume.
func (e *Endpoint) Addr() string {
	e.gate.Lock()
	defer e.gate.Unlock()
	return e.addr
}

// Control returns the base URL for orders and counts.
func (e *Endpoint) Control() string { return e.control.URL() }

// Stop closes the port for requests, cuts all connections to it and abandons what is
// running, as an instance that goes down does.
func (e *Endpoint) Stop() {
	e.gate.Lock()
	defer e.gate.Unlock()
	e.stopped = true
	e.disconnect()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life++
	e.counts.running = 0
}

// disconnect closes the port for requests and its connections. The caller holds gate.
func (e *Endpoint) disconnect() {
	if e.work != nil {
		e.old = append(e.old, e.work)
	}
	for _, s := range e.old {
		s.Close()
	}
	e.work, e.old = nil, nil
}

// shut closes the port for requests and lets the connections end. The caller holds
// gate.
func (e *Endpoint) shut() {
	if e.work == nil {
		return
	}
	e.work.Refuse()
	e.old = append(e.old, e.work)
	e.work = nil
}

// Resume opens the port for requests after Stop unless an order refuses connections. It returns a local.ErrListen.
func (e *Endpoint) Resume() error {
	e.gate.Lock()
	defer e.gate.Unlock()
	e.stopped = false
	return e.listen()
}

// Close ends all requests without an answer, closes the ports and waits until they
// are no longer served.
func (e *Endpoint) Close() {
	e.once.Do(func() { close(e.quit) })
	e.gate.Lock()
	defer e.gate.Unlock()
	e.stopped = true
	e.disconnect()
	if e.control != nil {
		e.control.Close()
	}
}

// cut closes all connections for requests; later ones are accepted again. What is
// running goes on.
func (e *Endpoint) cut(w http.ResponseWriter, _ *http.Request) {
	e.gate.Lock()
	e.disconnect()
	err := e.listen()
	e.gate.Unlock()
	if err != nil {
		local.Fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
