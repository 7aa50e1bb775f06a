// Package oplog implements a fake of the platform's append-only log service for tests: it keeps
// the streams in memory, serves them over HTTP and injects faults.
package oplog

import (
	"math/rand/v2"
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// defaultRate is the limit of the platform's log in appends per second.
const defaultRate = 500

// Log is the fake log service.
type Log struct {
	clk  clock.Clock
	addr string
	mux  *http.ServeMux
	quit chan struct{}
	once sync.Once

	initial Limits

	mu           sync.Mutex
	streams      map[string]*stream
	commonFaults Faults
	limits       Limits
	clientFaults map[string]Faults
	limiter      *rate.Limiter
	rng          *rand.Rand
	srv          *local.Server
}

// stream holds the retained records of one stream.
type stream struct {
	first uint64
	data  [][]byte
	// changed is closed and replaced when waiting reads must check the stream and the faults
	// again.
	changed chan struct{}
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.data)) }

// Option changes a Log at construction.
type Option func(*Log)

// WithClock sets the clock of delays, waits and the rate limit.
func WithClock(c clock.Clock) Option { return func(l *Log) { l.clk = c } }

// WithRate sets the limit in appends per second for the whole service, 0 for none.
func WithRate(perSecond float64) Option { return func(l *Log) { l.limits.Rate = perSecond } }

// WithAddr sets the address for Start; the default is a free port of 127.0.0.1.
func WithAddr(addr string) Option { return func(l *Log) { l.addr = addr } }

// New returns a log service without streams. It is an http.Handler; Start serves it on a TCP
// port.
func New(opts ...Option) *Log {
	l := &Log{
		clk:          clock.NewSystem(),
		addr:         "127.0.0.1:0",
		quit:         make(chan struct{}),
		streams:      map[string]*stream{},
		limits:       Limits{Rate: defaultRate},
		clientFaults: map[string]Faults{},
		rng:          rand.New(rand.NewPCG(1, 0)),
	}
	for _, o := range opts {
		o(l)
	}
	l.initial = l.limits
	l.applyRate()
	l.mux = l.routes()
	return l
}

func (l *Log) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("POST /streams/{name}", l.append)
	m.HandleFunc("GET /streams/{name}", l.read)
	m.HandleFunc("GET /faults", l.showFaults)
	m.HandleFunc("PUT /faults", l.updateFaults)
	m.HandleFunc("DELETE /faults", l.resetFaults)
	m.HandleFunc("POST /cut", l.truncate)
	return m
}

// ServeHTTP serves the log's protocol and the fault settings.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Start serves the log on a TCP port and returns its base URL. Its errors are of class
// local.ErrListen.
func (l *Log) Start() (string, error) {
	s, err := local.Listen(l.addr, &http.Server{Handler: l}, nil)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	l.srv = s
	l.mu.Unlock()
	return s.URL(), nil
}

// Close ends all waiting requests, closes the port and waits until it is no longer served.
func (l *Log) Close() {
	l.once.Do(func() { close(l.quit) })
	l.mu.Lock()
	s := l.srv
	l.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// stream returns a stream, which it creates if it doesn't exist. The caller holds mu.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}
