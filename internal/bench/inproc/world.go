// Package inproc runs a deployment in one process on loopback, for the demo and for tests:
// entries, fakes of the platform, and endpoints.
package inproc

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

// Err is the class of errors when a deployment can't be started, configured or stopped.
var Err = errs.Class("world")

// Pool describes a pool with one service of the same name.
type Pool struct {
	Name      string
	Instances int
	// Slots is the number of slots of each endpoint, by default 8.
	Slots int
	// Budget is the highest number of unavailable instances, at least 1.
	Budget uint32
	// Run is the run time of requests in milliseconds, the mean if Exp is set.
	Run float64
	// Exp makes run times exponentially distributed.
	Exp bool
	// Spare marks the spare pool.
	Spare bool
}

// slotCount returns the number of slots of each endpoint.
func (p Pool) slotCount() int {
	if p.Slots == 0 {
		return defaultSlots
	}
	return p.Slots
}

const defaultSlots = 8

// Deployment is a running deployment.
type Deployment struct {
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
	adjust  func(*config.Config)
}

// Option changes a Deployment at construction.
type Option func(*settings)

// WithEntries sets the number of entries, by default 3.
func WithEntries(n int) Option { return func(s *settings) { s.entries = n } }

// WithPools sets the pools.
func WithPools(p ...Pool) Option { return func(s *settings) { s.pools = p } }

// WithLogs sets the writer for the logs of the entries; by default they are discarded.
func WithLogs(w io.Writer) Option { return func(s *settings) { s.logs = w } }

// WithSettings sets a function that changes the settings of each entry before it starts.
func WithSettings(f func(*config.Config)) Option { return func(s *settings) { s.adjust = f } }

// rackSize is the number of instances in a rack.
const rackSize = 4

// centres are the data centres. Entries and racks are distributed over them.
var centres = [...]string{"north", "south", "west"}

// Start starts a deployment and waits until the entries are ready and all instances are available.
// Its errors are of class Err.
func Start(ctx context.Context, opts ...Option) (*Deployment, error) {
	s := settings{
		entries: 3,
		pools:   []Pool{{Name: "plan", Instances: 4, Budget: 1, Run: 5}},
		logs:    io.Discard,
		adjust:  func(*config.Config) {},
	}
	for _, o := range opts {
		o(&s)
	}
	w := &Deployment{settings: s, Endpoints: map[string]*endpt.Endpoint{}}
	if err := w.start(ctx); err != nil {
		return nil, errs.Combine(Err.Wrap(err), w.Close())
	}
	return w, nil
}

func (w *Deployment) start(ctx context.Context) error {
	if err := w.startPlatform(); err != nil {
		return err
	}
	for n := range w.settings.entries {
		if _, err := w.AddEntry(ctx, n); err != nil {
			return err
		}
	}
	for n := range w.Entries {
		if err := w.WaitReady(ctx, n); err != nil {
			return err
		}
	}
	return w.configure(ctx)
}

// startPlatform starts the log, the instance list and the endpoints.
func (w *Deployment) startPlatform() error {
	w.Log = oplog.New()
	var err error
	if w.logURL, err = w.Log.Start(); err != nil {
		return err
	}
	var names []string
	for _, p := range w.settings.pools {
		for n := range p.Instances {
			names = append(names, InstanceName(p.Name, n))
			if err := w.startEndpoint(p, n); err != nil {
				return err
			}
		}
	}
	w.Fleet = fleet.New(fleet.WithInstances(names...), fleet.WithHook(w.applyPhase))
	w.listURL, err = w.Fleet.Start()
	return err
}

func (w *Deployment) startEndpoint(p Pool, n int) error {
	ep := endpt.New(endpt.WithSlots(p.slotCount()), endpt.WithFaults(endpt.Faults{Run: p.Run, Exp: p.Exp, Seed: uint64(n + 1)}))
	w.Endpoints[InstanceName(p.Name, n)] = ep
	return ep.Start()
}

// applyPhase sets an endpoint to the phase of its instance.
func (w *Deployment) applyPhase(name string, phase ports.Phase, _ uint64) {
	if ep, ok := w.Endpoints[name]; ok {
		ep.ApplyPhase(phase)
	}
}

// InstanceName returns the name of the nth instance of a pool, counted from 0.
func InstanceName(pool string, n int) string { return fmt.Sprintf("%s-%02d", pool, n) }

// EntryConfig returns the settings of the nth entry.
func (w *Deployment) EntryConfig(n int) config.Config {
	cfg := config.Default()
	cfg.Name = fmt.Sprintf("entry-%d", n)
	cfg.Centre = centres[n%len(centres)]
	cfg.Listen = config.Listen{
		Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0", Health: "127.0.0.1:0"}
	cfg.Log.URL = w.logURL
	cfg.List.URL = w.listURL
	cfg.Limits.Run = 10 * time.Second
	cfg.Stop.Lag = 0
	w.settings.adjust(&cfg)
	return cfg
}

// AddEntry starts another entry, named by the number n, and doesn't wait until it is ready. Its
// errors are of class Err.
func (w *Deployment) AddEntry(ctx context.Context, n int) (*entry.Entry, error) {
	cfg := w.EntryConfig(n)
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

// WaitReady waits until an entry is ready. Its error after 15 s is of class Err.
func (w *Deployment) WaitReady(ctx context.Context, n int) error {
	reason := ""
	return w.waitUntil(ctx, func() bool {
		var ok bool
		ok, reason = w.Entries[n].Ready()
		return ok
	}, func() string { return "entry not ready: " + reason })
}

// waitUntil polls a condition. If it does not hold within 15 s, it returns an error with the text
// that what returns.
func (w *Deployment) waitUntil(ctx context.Context, cond func() bool, what func() string) error {
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

// Operators returns a client for the operators' API of an entry, and a function that closes it.
// Its errors are of class Err.
func (w *Deployment) Operators(n int) (opspb.OperatorsClient, func(), error) {
	conn, err := grpc.NewClient(w.Entries[n].Addrs().Operators,
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, nil, Err.Wrap(err)
	}
	return opspb.NewOperatorsClient(conn), func() { _ = conn.Close() }, nil
}

// configure creates the pools, services and instances, and waits until every instance
// is available.
func (w *Deployment) configure(ctx context.Context) error {
	c, done, err := w.Operators(0)
	if err != nil {
		return err
	}
	defer done()
	total := 0
	for _, p := range w.settings.pools {
		total += p.Instances
		if err := w.putPool(ctx, c, p); err != nil {
			return err
		}
	}
	return w.waitUntil(ctx, func() bool { return w.available() == total }, func() string {
		return fmt.Sprintf("%d of %d instances available", w.available(), total)
	})
}

// putPool creates a pool, its service and its instances.
func (w *Deployment) putPool(ctx context.Context, c opspb.OperatorsClient, p Pool) error {
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
			Slots: uint32(p.slotCount()), Conns: uint32(8 * p.slotCount()),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// available returns the smallest number of available instances that an entry reports.
func (w *Deployment) available() int {
	least := -1
	for _, e := range w.Entries {
		n := e.AvailableInstances()
		if least < 0 || n < least {
			least = n
		}
	}
	return least
}

// Close stops the entries, endpoints and fakes. Its errors are of class Err.
func (w *Deployment) Close() error {
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

// SetEntryConfig replaces the function that changes the settings of entries, for entries that are
// added later.
func (w *Deployment) SetEntryConfig(f func(*config.Config)) { w.settings.adjust = f }

// LogURL returns the base URL of the fake log.
func (w *Deployment) LogURL() string { return w.logURL }
