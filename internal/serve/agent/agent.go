// Package agent runs one entry on the operators' platform: it serves callers, takes
// part in the choice of the leader, and leads when it is chosen.
package agent

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/serve/front"
	"chervilgauge.example/chervilgauge/internal/serve/lead"
	"chervilgauge.example/chervilgauge/internal/serve/leader"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/internal/serve/peers"
	"chervilgauge.example/chervilgauge/internal/serve/proxy"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/internal/watch/meter"
	"chervilgauge.example/chervilgauge/platform"
)

// Err is the class of failures to start or stop an entry.
var Err = errs.Class("entry")

const (
	// leaveLag is how long new connections are served after the start of a stop: the
	// platform asks each second whether the entry is ready, and needs two answers.
	leaveLag = 2500 * time.Millisecond
	// stopSlack is kept of the grace time for the end of the process.
	stopSlack = 500 * time.Millisecond
)

// Agent is a running entry.
type Agent struct {
	set      platform.Settings
	log      zerolog.Logger
	clk      clock.Clock
	client   *platform.Client
	peers    *relay.Client
	calls    *proxy.Pool
	orders   *orders.Orders
	elector  *lead.Elector
	relay    *peers.Server
	front    *front.Server
	ready    *http.Server
	readyEnd chan error

	// onLead is told when this entry begins and ends to lead.
	onLead func(leads bool)

	metricsPort int
	metrics     *http.Server
	metricsEnd  chan error

	meter    *meter.Meter
	meters   *leader.Meters
	stopping atomic.Bool
	mu       sync.Mutex
	leader   *leader.Leader
	digest   relay.Digest
	digestAt time.Duration

	announcing sync.WaitGroup
	presented  chan struct{}
	cancel     context.CancelFunc
	done       chan struct{}
}

// Option changes how an entry runs.
type Option func(*Agent)

// WithMetrics serves metrics on a port of every address.
func WithMetrics(port int) Option { return func(a *Agent) { a.metricsPort = port } }

// WithLeadNotice has f called when the entry begins to lead, and when it ends.
func WithLeadNotice(f func(leads bool)) Option { return func(a *Agent) { a.onLead = f } }

// Start starts an entry. It returns an Err.
func Start(ctx context.Context, set platform.Settings, log zerolog.Logger, opts ...Option) (*Agent, error) {
	ctx, cancel := context.WithCancel(ctx)
	a := &Agent{
		set: set, log: log, clk: clock.NewBootTime(), client: platform.NewClient(set), peers: relay.NewClient(),
		cancel: cancel, done: make(chan struct{}), readyEnd: make(chan error, 1),
		metricsEnd: make(chan error, 1), onLead: func(bool) {},
	}
	for _, o := range opts {
		o(a)
	}
	a.calls = proxy.New(ctx, a.client, a.clk, log, set.Node, a.peers.Carry)
	a.meter = meter.New(set.Node)
	a.meters = leader.NewMeters(a.meter.Scope())
	addr := net.JoinHostPort(set.IP, strconv.Itoa(set.Peers.First))
	var ls [3]net.Listener
	for i, at := range []string{set.Front, set.Ready, addr} {
		lis, err := net.Listen("tcp", at)
		if err != nil {
			cancel()
			return nil, Err.Wrap(err)
		}
		ls[i] = lis
	}
	a.orders = orders.Start(ctx, a.client, a.clk, log)
	place := elect.Rank(set.Cores)
	a.elector = lead.Start(ctx, a.client, a.peers, a.clk, log, lead.Self{Name: set.Node, Addr: addr, Zone: set.Zone, Place: place}, a.wanted, a.heard)
	var err error
	if a.relay, err = relay.Serve(ctx, ls[2], (*desk)(a)); err != nil {
		cancel()
		return nil, Err.Wrap(err)
	}
	a.present(ctx, addr, place)
	a.front = front.Serve(ls[0], a, log)
	a.ready = &http.Server{Handler: http.HandlerFunc(a.readyz), ReadHeaderTimeout: time.Second}
	go func() { a.readyEnd <- a.ready.Serve(ls[1]) }()
	if err := a.serveMetrics(); err != nil {
		// An entry serves callers without its metrics.
		log.Error().Err(err).Int("port", a.metricsPort).Msg("metrics are not served")
	}
	go a.run(ctx)
	log.Info().Str("front", set.Front).Str("peers", addr).Float64("cores", set.Cores).Int64("memory", set.Memory).Msg("entry starts")
	return a, nil
}

func (a *Agent) serveMetrics() error {
	if a.metricsPort == 0 {
		return nil
	}
	lis, err := net.Listen("tcp", net.JoinHostPort(a.set.IP, strconv.Itoa(a.metricsPort)))
	if err != nil {
		return Err.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", a.meter.Handler())
	a.metrics = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { a.metricsEnd <- a.metrics.Serve(lis) }()
	return nil
}

// closeMetrics ends the metrics. It returns an error of the listener or the scope.
func (a *Agent) closeMetrics() error {
	var err error
	if a.metrics != nil {
		err = a.metrics.Close()
		<-a.metricsEnd
	}
	return errs.Combine(err, a.meter.Close())
}

func (a *Agent) version() int64 {
	if c := a.orders.Config(); c != nil {
		return c.Version
	}
	return 0
}

// storeFresh is how long ago the store last answered an entry that reads changes of the
// configuration by itself: the longest wait of a read, and its way.
const storeFresh = 1 * time.Second

// wanted returns the version of the configuration above which the leader sends its own.
// Entries that the store answers read it there: after a change of a large one the leader
// would send it to all at once.
func (a *Agent) wanted() int64 {
	if a.orders.Age() < storeFresh {
		return math.MaxInt64
	}
	return a.version()
}

// heard takes over a digest of the leader.
func (a *Agent) heard(d relay.Digest) {
	if len(d.Config) > 0 {
		if err := a.orders.Put(d.Config); err != nil {
			a.log.Error().Err(err).Msg("configuration of the leader can't be read")
		}
	}
	if d.Backlog == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.digest, a.digestAt = d, a.clk.Now()-d.Age
}

func (a *Agent) readyz(w http.ResponseWriter, _ *http.Request) {
	if a.stopping.Load() || a.orders.Config() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// run starts and ends leading as the seat changes.
func (a *Agent) run(ctx context.Context) {
	defer close(a.done)
	for {
		seat := a.elector.Seat()
		a.mu.Lock()
		l := a.leader
		a.mu.Unlock()
		switch {
		case seat.Mine && l == nil:
			l = leader.Start(ctx, leader.Deps{
				Client: a.client, Execs: a.calls, Settings: a.set, Orders: a.orders, Clock: a.clk, Log: a.log,
				Meters: a.meters, LastRenewal: a.elector.Renewed,
			}, seat.Token)
			a.setLeader(l)
			a.onLead(true)
			a.announce(ctx, seat)
		case !seat.Mine && l != nil:
			a.setLeader(nil)
			l.Close()
			a.calls.Reset()
			a.onLead(false)
		}
		select {
		case <-a.elector.Changed():
		case <-ctx.Done():
			a.mu.Lock()
			l := a.leader
			a.leader = nil
			a.mu.Unlock()
			if l != nil {
				l.Close()
			}
			return
		}
	}
}

// entriesTopic holds what entries say of themselves by name: address, zone and place.
const entriesTopic = "keyed.chervilgauge.entries"

// announceTimeout bounds the calls that tell other entries who leads, and presentPause
// is the time between attempts to store this entry's address.
const (
	announceTimeout = 800 * time.Millisecond
	presentPause    = 500 * time.Millisecond
)

// presence is what an entry stores of itself.
type presence struct {
	addr, zone string
	place      int
}

func (p presence) encode() []byte { return fmt.Appendf(nil, "%s %d %s", p.addr, p.place, p.zone) }

// decodePresence reads what encode wrote. Entries of an earlier version store their
// address only.
func decodePresence(value []byte) presence {
	f := strings.SplitN(string(value), " ", 3)
	p := presence{addr: f[0]}
	if len(f) == 3 {
		// A place that can't be read counts as the first.
		p.place, _ = strconv.Atoi(f[1])
		p.zone = f[2]
	}
	return p
}

// present stores what this entry says of itself until that succeeds.
func (a *Agent) present(ctx context.Context, addr string, place int) {
	value := presence{addr, a.set.Zone, place}.encode()
	a.presented = make(chan struct{})
	go func() {
		defer close(a.presented)
		for ctx.Err() == nil {
			call, cancel := context.WithTimeout(ctx, announceTimeout)
			_, _, err := a.client.Append(call, platform.Append{
				Topic: entriesTopic, At: -1, Records: [][]byte{platform.KeyedRecord(a.set.Node, value)},
			})
			cancel()
			if err == nil {
				return
			}
			a.log.Warn().Err(err).Msg("address of this entry is not stored yet")
			clock.Pause(ctx, a.clk, presentPause)
		}
	}()
}

// announce tells the other entries that this one leads: the store may turn some of them
// away, the former leader among them. One call may take a while, so it is not waited
// for here but at the end of the entry.
func (a *Agent) announce(ctx context.Context, seat lead.Seat) {
	a.announcing.Add(1)
	go func() {
		defer a.announcing.Done()
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		rs, _, _, err := a.client.Newest(ctx, entriesTopic, 0, "")
		if err != nil {
			a.log.Warn().Err(err).Msg("addresses of entries can't be read")
			return
		}
		var all sync.WaitGroup
		for _, r := range rs {
			if r.Key == a.set.Node || len(r.Value) == 0 {
				continue
			}
			peer := decodePresence(r.Value)
			a.calls.Heard(r.Key, peer.addr, peer.zone, peer.place)
			all.Add(1)
			go func() {
				defer all.Done()
				if err := a.peers.Announce(ctx, peer.addr, seat.Token, seat.Name, seat.Addr); err != nil {
					a.log.Debug().Err(err).Str("peer", r.Key).Msg("entry was not told who leads")
				}
			}()
		}
		all.Wait()
	}()
}

func (a *Agent) setLeader(l *leader.Leader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = l
}

// leads returns the leader if it is this entry, or nil.
func (a *Agent) leads() *leader.Leader {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader
}

// Reload takes over what can change in the settings while an entry runs: the addresses
// of the platform's services. Its own addresses and bounds hold until it starts again.
func (a *Agent) Reload(set platform.Settings) {
	a.client.Use(set)
	a.log.Info().Str("store", set.Store.Addr).Str("instances", set.Cloud.Addr).Str("advice", set.Advice).Msg("settings are read again")
}

// Close stops the entry: it is not ready any more, hands the leadership over, answers
// what is in flight and ends. It returns an Err.
func (a *Agent) Close() error {
	a.log.Info().Bool("leads", a.leads() != nil).Msg("entry stops")
	begin := a.clk.Now()
	a.stopping.Store(true)
	a.elector.Resign()
	a.front.Leave()
	lag := a.clk.After(leaveLag)
	<-lag.C
	lag.Close()
	ctx, cancel := context.WithTimeout(context.Background(), a.set.Bounds.Grace-stopSlack-(a.clk.Now()-begin))
	defer cancel()
	err := a.front.Close(ctx)
	a.cancel()
	<-a.done
	<-a.presented
	a.announcing.Wait()
	a.elector.Close()
	a.calls.Close()
	a.orders.Close()
	err = errs.Combine(err, a.relay.Close(), a.ready.Close(), a.peers.Close(), a.closeMetrics())
	<-a.readyEnd
	a.client.Close()
	a.log.Info().Err(err).Dur("took", a.clk.Now()-begin).Msg("entry has stopped")
	return Err.Wrap(err)
}
