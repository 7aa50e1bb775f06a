// Package agent runs one entry on the operators' platform: it serves callers, takes part in the
// election of the leader, and runs the leader while this entry is elected.
package agent

import (
	"context"
	"fmt"
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
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/internal/serve/lead"
	"chervilgauge.example/chervilgauge/internal/serve/leader"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/internal/serve/peers"
	"chervilgauge.example/chervilgauge/internal/serve/proxy"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/internal/watch/links"
	"chervilgauge.example/chervilgauge/internal/watch/meter"
	"chervilgauge.example/chervilgauge/platform"
)

// Err is the class of failures to start or stop an entry.
var Err = errs.Class("entry")

const (
	// drainDelay is how long a stopping entry still serves new connections: the platform requests
	// the readiness each second, and stops sending requests after two answers that are not ready.
	drainDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace time that is kept for the end of the process.
	stopMargin = 500 * time.Millisecond
)

// Agent is a running entry.
type Agent struct {
	settings   platform.Settings
	log        zerolog.Logger
	clk        clock.Clock
	network    Network
	client     *platform.Client
	peerClient *relay.Client
	// configClient requests the leader's configuration.
	configClient *relay.Client
	configDone   chan struct{}
	execs        *proxy.Pool
	orders       *orders.Orders
	elector      *lead.Elector
	peerServer   *peers.Server
	guard        *guard.Guard
	proxyLimits  *proxy.Limits
	front        *front.Server
	readyServer  *http.Server
	readyDone    chan error

	// onLeaderChange is called when this entry starts and stops leading.
	onLeaderChange func(leads bool)

	metricsPort   int
	metricsServer *http.Server
	metricsDone   chan error
	encoded       encodedStatus

	traffic links.Counters
	watcher *links.Watcher

	meter    *meter.Meter
	meters   *leader.Meters
	stopping atomic.Bool
	mu       sync.Mutex
	leader   *leader.Leader
	digest   relay.Digest
	digestAt time.Duration

	announcing sync.WaitGroup
	registered chan struct{}
	cancel     context.CancelFunc
	done       chan struct{}
}

// Option configures an entry.
type Option func(*Agent)

// WithMetrics serves metrics on a port of the entry's own address.
func WithMetrics(port int) Option { return func(a *Agent) { a.metricsPort = port } }

// Network opens listeners and connections.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// TCP is the network of the operating system.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial implements Network.
func (TCP) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, network, addr)
}

// WithNetwork makes the entry use a network and a clock instead of those of the operating system.
func WithNetwork(n Network, clk clock.Clock) Option {
	return func(a *Agent) { a.network, a.clk = n, clk }
}

// WithLeaderCallback calls f with true when the entry starts leading, and with false when it stops.
func WithLeaderCallback(f func(leads bool)) Option { return func(a *Agent) { a.onLeaderChange = f } }

// Start starts an entry, which runs until Close. It returns an Err.
func Start(ctx context.Context, settings platform.Settings, log zerolog.Logger, opts ...Option) (*Agent, error) {
	ctx, cancel := context.WithCancel(ctx)
	a := &Agent{
		settings: settings, log: log, clk: clock.NewBootTime(),
		cancel: cancel, done: make(chan struct{}), configDone: make(chan struct{}), readyDone: make(chan error, 1),
		metricsDone: make(chan error, 1), onLeaderChange: func(bool) {},
	}
	for _, o := range opts {
		o(a)
	}
	clientOpts := []platform.ClientOption{platform.WithConnWrapper(a.countService), platform.WithNow(a.clk.Now)}
	if a.network == nil {
		a.network = TCP{}
	} else {
		clientOpts = append(clientOpts, platform.WithDial(a.network.Dial))
	}
	a.client = platform.NewClient(settings, clientOpts...)
	a.peerClient = relay.NewClient(peers.WithConnWrapper(func(conn net.Conn) net.Conn { return a.traffic.Conn(links.Entries, conn) }), peers.WithDial(a.network.Dial))
	a.configClient = a.newConfigClient()
	a.execs = proxy.New(ctx, a.client, a.clk, log, settings.Node, a.peerClient.OpenProxy)
	a.meter = meter.New(settings.Node)
	a.meters = leader.NewMeters(a.meter.Scope())
	limits := guard.NewLimits(settings.Memory, settings.MaxDescriptors)
	a.guard = guard.New(ctx, limits, a.clk, a.meter.Scope())
	a.proxyLimits = proxy.NewLimits(limits.Calls, limits.Specs)
	addr := net.JoinHostPort(settings.IP, strconv.Itoa(settings.Peers.First))
	var listeners [3]net.Listener
	for i, at := range []string{settings.Front, settings.Ready, addr} {
		lis, err := a.network.Listen(at)
		if err != nil {
			cancel()
			return nil, Err.Wrap(err)
		}
		listeners[i] = lis
	}
	a.orders = orders.Start(ctx, a.client, a.clk, log)
	rank := elect.Rank(settings.Cores)
	a.elector = lead.Start(ctx, a.client, a.peerClient, a.clk, log, lead.Identity{Name: settings.Node, Addr: addr, Centre: settings.Centre, Rank: rank, Memory: settings.Memory}, a.onDigest)
	var err error
	if a.peerServer, err = relay.Serve(ctx, a.guard.Listener(guard.Entries, a.traffic.Listener(links.Entries, listeners[2])), (*peerHandler)(a), peers.WithLog(log), peers.WithMessageMarks(relay.ProxyStream)); err != nil {
		cancel()
		return nil, Err.Wrap(err)
	}
	a.register(ctx, addr, rank)
	a.front = front.Serve(a.guard.Listener(guard.Callers, a.traffic.Listener(links.Callers, listeners[0])), a, log, front.WithGuard(a.guard), front.WithMetrics(a.meter.Scope()))
	a.readyServer = newAuxServer(http.HandlerFunc(a.readyz))
	go func() { a.readyDone <- a.readyServer.Serve(a.guard.Listener(guard.Readiness, listeners[1])) }()
	if err := a.serveMetrics(); err != nil {
		// The entry serves callers even if its metrics can't be served.
		log.Error().Err(err).Int("port", a.metricsPort).Msg("metrics are not served")
	}
	a.watcher = links.Watch(ctx, &a.traffic, settings.Link, a.clk, log, a.meter.Scope())
	go a.run(ctx)
	go a.followConfig(ctx)
	log.Info().Str("front", settings.Front).Str("peers", addr).Float64("cores", settings.Cores).Int64("memory", settings.Memory).Msg("entry starts")
	return a, nil
}

// countService counts the bytes of a connection to one of the platform's services.
func (a *Agent) countService(s platform.Service, conn net.Conn) net.Conn {
	p := links.Executors
	switch s {
	case platform.StoreService:
		p = links.Store
	case platform.FleetService:
		p = links.Fleet
	case platform.ExecutorService:
	}
	return a.traffic.Conn(p, conn)
}

func (a *Agent) serveMetrics() error {
	if a.metricsPort == 0 {
		return nil
	}
	lis, err := a.network.Listen(net.JoinHostPort(a.settings.IP, strconv.Itoa(a.metricsPort)))
	if err != nil {
		return Err.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", a.serveMeters)
	mux.HandleFunc("GET /status", a.status)
	a.metricsServer = newAuxServer(mux)
	go func() { a.metricsDone <- a.metricsServer.Serve(a.guard.Listener(guard.Metrics, lis)) }()
	return nil
}

// closeMetrics closes the metrics server and the meter, and returns their errors.
func (a *Agent) closeMetrics() error {
	var err error
	if a.metricsServer != nil {
		err = a.metricsServer.Close()
		<-a.metricsDone
	}
	return errs.Combine(err, a.meter.Close())
}

func (a *Agent) configVersion() int64 {
	if c := a.orders.Config(); c != nil {
		return c.Version
	}
	return 0
}

// onDigest applies a digest of the leader.
func (a *Agent) onDigest(d relay.Digest) {
	if d.Pending == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.digest, a.digestAt = d, a.clk.Now()-d.LeaseAge
}

func (a *Agent) readyz(w http.ResponseWriter, _ *http.Request) {
	if a.stopping.Load() || a.orders.Config() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// run starts and closes the leader as the elected entry changes.
func (a *Agent) run(ctx context.Context) {
	defer close(a.done)
	var token uint64 // of the leader that runs
	for {
		elected := a.elector.Leader()
		l := a.localLeader()
		if l != nil && (!elected.IsSelf || elected.Token != token) {
			a.setLeader(nil)
			l.Close()
			a.execs.Reset()
			a.onLeaderChange(false)
			continue
		}
		if elected.IsSelf && l == nil {
			token = elected.Token
			l = leader.Start(ctx, leader.Deps{
				Client: a.client, Execs: a.execs, Settings: a.settings, Orders: a.orders, Clock: a.clk, Log: a.log,
				Meters: a.meters, Guard: a.guard, LastRenewal: func() time.Duration { return a.elector.LastRenewalOf(elected.Token) },
				HasSentResignation: func() bool { return a.elector.HasSentResignation(elected.Token) },
				SmallestMemory:     func() int64 { return a.elector.SmallestMemory(guard.DefaultMemory) },
			}, elected.Token)
			a.setLeader(l)
			a.onLeaderChange(true)
			a.announce(ctx, elected)
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

// entriesTopic holds the address, rank and data centre of each entry, by its name.
const entriesTopic = "keyed.chervilgauge.entries"

// registerPause is the time between attempts to store this entry's registration.
const registerPause = 500 * time.Millisecond

// registration is an entry's record in entriesTopic.
type registration struct {
	addr, centre string
	rank         int
}

func (r registration) encode() []byte { return fmt.Appendf(nil, "%s %d %s", r.addr, r.rank, r.centre) }

// decodeRegistration decodes the value that encode returns. Entries of an earlier version stored
// only their address.
func decodeRegistration(value []byte) registration {
	f := strings.SplitN(string(value), " ", 3)
	r := registration{addr: f[0]}
	if len(f) == 3 {
		// A rank that can't be parsed, or is negative, counts as 0, the first.
		rank, _ := strconv.Atoi(f[1])
		r.rank, r.centre = max(rank, 0), f[2]
	}
	return r
}

// register stores this entry's registration in the background, and retries until that succeeds.
func (a *Agent) register(ctx context.Context, addr string, rank int) {
	value := registration{addr, a.settings.Centre, rank}.encode()
	a.registered = make(chan struct{})
	go func() {
		defer close(a.registered)
		for ctx.Err() == nil {
			call, cancel := context.WithTimeout(ctx, announceTimeout)
			_, _, err := a.client.Append(call, platform.Append{
				Topic: entriesTopic, At: -1, Records: [][]byte{platform.KeyedRecord(a.settings.Node, value)},
			})
			cancel()
			if err == nil {
				return
			}
			a.log.Warn().Err(err).Msg("storing this entry's registration failed; trying again")
			clock.Pause(ctx, a.clk, registerPause)
		}
	}()
}

func (a *Agent) setLeader(l *leader.Leader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = l
}

// localLeader returns the leader that runs in this entry, or nil.
func (a *Agent) localLeader() *leader.Leader {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader
}

// Reload applies those settings that can change while an entry runs: the addresses of the
// platform's services. The entry's own addresses and bounds stay as they are until it restarts.
func (a *Agent) Reload(settings platform.Settings) {
	a.client.SetAddrs(settings)
	a.log.Info().Str("store", settings.Store.Addr).Str("instances", settings.Cloud.Addr).Str("advice", settings.Advice).Msg("settings are reloaded")
}

// Close stops the entry: it reports that it is not ready, hands over the leadership, answers the
// requests in flight and ends. It returns an Err.
func (a *Agent) Close() error {
	a.log.Info().Bool("leads", a.localLeader() != nil).Msg("entry stops")
	begin := a.clk.Now()
	a.stopping.Store(true)
	a.elector.Resign()
	a.front.Drain()
	lag := a.clk.After(drainDelay)
	<-lag.C
	lag.Close()
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.Bounds.Grace-stopMargin-(a.clk.Now()-begin))
	defer cancel()
	err := a.front.Close(ctx)
	a.cancel()
	<-a.done
	<-a.configDone
	<-a.registered
	a.announcing.Wait()
	a.watcher.Close()
	a.guard.Close()
	a.elector.Close()
	a.execs.Close()
	a.orders.Close()
	err = errs.Combine(err, a.peerServer.Close(), a.readyServer.Close(), a.peerClient.Close(), a.configClient.Close(), a.closeMetrics())
	<-a.readyDone
	a.client.Close()
	a.log.Info().Err(err).Dur("took", a.clk.Now()-begin).Msg("entry has stopped")
	return Err.Wrap(err)
}
