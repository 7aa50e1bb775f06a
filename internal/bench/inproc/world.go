// Package world runs entries, fakes of the platform and endpoints in one process on
// loopback, for the demo and for tests.
package world

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/endpt"
	"chervilgauge.example/chervilgauge/internal/fake/fleet"
	"chervilgauge.example/chervilgauge/internal/fake/oplog"
	"chervilgauge.example/chervilgauge/internal/serve/entry"
	"chervilgauge.example/chervilgauge/internal/setup/config"
	"chervilgauge.example/chervilgauge/internal/watch/logs"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Err is the class of failures to set up a world.
var Err = errs.Class("world")

// Pool describes one pool with one service of the same name.
type Pool struct {
	Name      string
	Instances int
	// Slots is the number of slots of each endpoint, by default 8.
	Slots int
	// Budget is the most unavailable instances.
	Budget uint32
	// Run is the run time of requests in milliseconds, the mean if Exp is set.
	Run float64
	// Exp draws exponential run times.
	Exp bool
	// Spare marks the spare pool.
	Spare bool
}

// slots returns the number of slots of each endpoint.
func (p Pool) slots() int {
	if p.Slots == 0 {
		return defaultSlots
	}
	return p.Slots
}

const defaultSlots = 8

// World is a running deployment.
type World struct {
	Log       *oplog.Log
	Fleet     *fleet.Fleet
	Endpoints map[string]*endpt.Endpoint
	Entries   []*entry.Entry

	settings settings
	logURL   string
	listURL  string
}

type settings struct {
	entries int
	pools   []Pool
	logs    io.Writer
	limits  func(*config.Config)
}

// Option changes a World.
type Option func(*settings)

// WithEntries sets the number of entries, by default 3.
func WithEntries(n int) Option { return func(s *settings) { s.entries = n } }

// WithPools sets the pools.
func WithPools(p ...Pool) Option { return func(s *settings) { s.pools = p } }

// WithLogs sets where entries log, by default nowhere.
func WithLogs(w io.Writer) Option { return func(s *settings) { s.logs = w } }

// WithSettings changes the settings of each entry.
func WithSettings(f func(*config.Config)) Option { return func(s *settings) { s.limits = f } }

// rackSize is the number of instances in a rack.
const rackSize = 4

// centres are the data centres, over which racks are spread.
var centres = [...]string{"north", "south", "west"}

// Start starts everything and waits until the entries are ready and the pools are in
// force. It returns an Err.
func Start(ctx context.Context, opts ...Option) (*World, error) {
	s := settings{
		entries: 3,
		pools:   []Pool{{Name: "plan", Instances: 4, Budget: 1, Run: 5}},
		logs:    io.Discard,
		limits:  func(*config.Config) {},
	}
	for _, o := range opts {
		o(&s)
	}
	w := &World{settings: s, Endpoints: map[string]*endpt.Endpoint{}}
	if err := w.start(ctx); err != nil {
		return nil, errs.Combine(Err.Wrap(err), w.Close())
	}
	return w, nil
}

func (w *World) start(ctx context.Context) error {
	if err := w.platform(); err != nil {
		return err
	}
	for n := range w.settings.entries {
		if _, err := w.AddEntry(ctx, n); err != nil {
			return err
		}
	}
	for n := range w.Entries {
		if err := w.Ready(ctx, n); err != nil {
			return err
		}
	}
	return w.configure(ctx)
}

// platform starts the log, the instance list and the endpoints.
func (w *World) platform() error {
	w.Log = oplog.New()
	var err error
	if w.logURL, err = w.Log.Start(); err != nil {
		return err
	}
	var names []string
	for _, p := range w.settings.pools {
		for n := range p.Instances {
			names = append(names, InstanceName(p.Name, n))
			if err := w.endpoint(p, n); err != nil {
				return err
			}
		}
	}
	w.Fleet = fleet.New(fleet.WithInstances(names...), fleet.WithHook(w.follow))
	w.listURL, err = w.Fleet.Start()
	return err
}

func (w *World) endpoint(p Pool, n int) error {
	ep := endpt.New(endpt.WithSlots(p.slots()), endpt.WithFaults(endpt.Faults{Run: p.Run, Exp: p.Exp, Seed: uint64(n + 1)}))
	w.Endpoints[InstanceName(p.Name, n)] = ep
	return ep.Start()
}

// follow makes an endpoint follow the phase of its instance.
func (w *World) follow(name string, phase ports.Phase, _ uint64) {
	if ep, ok := w.Endpoints[name]; ok {
		ep.Follow(phase)
	}
}

// InstanceName returns the name of an instance of a pool.
func InstanceName(pool string, n int) string { return fmt.Sprintf("%s-%02d", pool, n) }

// Settings returns the settings of an entry.
func (w *World) Settings(n int) config.Config {
	cfg := config.Default()
	cfg.Name = fmt.Sprintf("entry-%d", n)
	cfg.Centre = centres[n%len(centres)]
	cfg.Listen = config.Listen{
		Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0", Health: "127.0.0.1:0"}
	cfg.Log.URL = w.logURL
	cfg.List.URL = w.listURL
	cfg.Limits.Run = 10 * time.Second
	cfg.Stop.Lag = 0
	w.settings.limits(&cfg)
	return cfg
}

// AddEntry starts one more entry. It returns an Err.
func (w *World) AddEntry(ctx context.Context, n int) (*entry.Entry, error) {
	cfg := w.Settings(n)
	e, err := entry.Start(context.WithoutCancel(ctx), cfg, logs.New(w.settings.logs, cfg.Logs.Level, cfg.Name))
	if err != nil {
		return nil, Err.Wrap(err)
	}
	w.Entries = append(w.Entries, e)
	return e, nil
}

const (
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Ready waits until an entry is ready. It returns an Err.
func (w *World) Ready(ctx context.Context, n int) error {
	reason := ""
	return w.until(ctx, func() bool {
		var ok bool
		ok, reason = w.Entries[n].Ready()
		return ok
	}, func() string { return "entry not ready: " + reason })
}

// until polls a condition.
func (w *World) until(ctx context.Context, cond func() bool, what func() string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !cond() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return Err.New("%s", what())
		}
	}
	return nil
}

// Operators returns a client of an entry's operators' address and a function that
// closes it. It returns an Err.
func (w *World) Operators(n int) (opspb.OperatorsClient, func(), error) {
	conn, err := grpc.NewClient(w.Entries[n].Addrs().Operators,
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, nil, Err.Wrap(err)
	}
	return opspb.NewOperatorsClient(conn), func() { _ = conn.Close() }, nil
}

// configure creates the pools, services and instances, and waits until every instance
// is available.
func (w *World) configure(ctx context.Context) error {
	c, done, err := w.Operators(0)
	if err != nil {
		return err
	}
	defer done()
	total := 0
	for _, p := range w.settings.pools {
		total += p.Instances
		if err := w.pool(ctx, c, p); err != nil {
			return err
		}
	}
	return w.until(ctx, func() bool { return w.available() == total }, func() string {
		return fmt.Sprintf("%d of %d instances available", w.available(), total)
	})
}

func (w *World) pool(ctx context.Context, c opspb.OperatorsClient, p Pool) error {
	_, err := c.PutPool(ctx, &recpb.Pool{Name: p.Name, Budget: &recpb.Budget{Total: max(1, p.Budget)}, Spare: p.Spare})
	if err != nil {
		return err
	}
	if _, err := c.PutService(ctx, &recpb.Service{Name: p.Name, Pool: p.Name, Weight: 1}); err != nil {
		return err
	}
	for n := range p.Instances {
		name := InstanceName(p.Name, n)
		rack := n / rackSize
		_, err := c.PutInstance(ctx, &recpb.Instance{
			Name: name, Pool: p.Name, Addr: w.Endpoints[name].Addr(),
			Rack: fmt.Sprintf("%s-rack-%d", p.Name, rack), Centre: centres[rack%len(centres)],
			Slots: uint32(p.slots()), Conns: uint32(8 * p.slots()),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// available returns the number of instances that every entry knows to be up.
func (w *World) available() int {
	least := -1
	for _, e := range w.Entries {
		n := e.Available()
		if least < 0 || n < least {
			least = n
		}
	}
	return least
}

// Close stops everything. It returns an Err.
func (w *World) Close() error {
	var group errs.Group
	for _, e := range w.Entries {
		group.Add(e.Close(context.Background()))
	}
	for _, ep := range w.Endpoints {
		ep.Close()
	}
	if w.Fleet != nil {
		w.Fleet.Close()
	}
	if w.Log != nil {
		w.Log.Close()
	}
	return Err.Wrap(group.Err())
}

// SetSettings changes the settings of entries that are added from now on.
func (w *World) SetSettings(f func(*config.Config)) { w.settings.limits = f }

// LogURL returns the URL of the fake log.
func (w *World) LogURL() string { return w.logURL }
