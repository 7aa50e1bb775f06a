// Package entry assembles one entry from its parts, starts it and stops it.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	oteltrace "go.opentelemetry.io/otel/trace"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/flow/alloc"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/plat/endpt"
	"chervilgauge.example/chervilgauge/internal/plat/insts"
	"chervilgauge.example/chervilgauge/internal/plat/logsvc"
	"chervilgauge.example/chervilgauge/internal/plat/worker"
	"chervilgauge.example/chervilgauge/internal/serve/admin"
	"chervilgauge.example/chervilgauge/internal/serve/caller"
	"chervilgauge.example/chervilgauge/internal/serve/claims"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/serve/flows"
	"chervilgauge.example/chervilgauge/internal/serve/health"
	"chervilgauge.example/chervilgauge/internal/serve/peers"
	"chervilgauge.example/chervilgauge/internal/serve/plans"
	"chervilgauge.example/chervilgauge/internal/serve/slots"
	"chervilgauge.example/chervilgauge/internal/setup/certs"
	"chervilgauge.example/chervilgauge/internal/setup/config"
	"chervilgauge.example/chervilgauge/internal/watch/gauge"
	"chervilgauge.example/chervilgauge/internal/watch/meter"
	"chervilgauge.example/chervilgauge/internal/watch/trace"
)

// Err is the error class of failures to start or to stop an entry.
var Err = errs.Class("entry")

// Entry is one incarnation of an entry.
type Entry struct {
	cfg    config.Config
	clk    clock.Clock
	logger zerolog.Logger
	self   state.Incarnation
	meter  *meter.Meter
	tracer *trace.Tracer

	log      *logsvc.Client
	list     *insts.Client
	workers  *worker.Client // nil if the settings name no workers
	endpoint *endpt.Client
	client   *peers.Client

	attempts *claim.Attempts
	core     *ctrl.Core
	engine   *flows.Engine
	claims   *claims.Service
	slots    *slots.Service
	planner  *plans.Planner
	gauges   *gauge.Publisher

	callers   *caller.Server
	operators *admin.Server
	peers     *peers.Server
	health    *health.Server

	cancel         context.CancelFunc
	stopping       atomic.Bool
	membershipLost chan struct{}
	goroutines     *goroutines
}

// listeners are the open listeners of an entry.
type listeners struct {
	callers, operators, peers, health net.Listener
}

// Start opens the listeners and starts every part. The entry joins in the background and is ready
// once its view is confirmed. Errors are of class Err.
func Start(ctx context.Context, cfg config.Config, logger zerolog.Logger) (*Entry, error) {
	ls, err := listen(cfg.Listen)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	cfg.Listen = ls.addrs()
	ctx, cancel := context.WithCancel(ctx)
	e := &Entry{
		cfg:            cfg,
		clk:            clock.NewSystem(),
		logger:         logger,
		self:           state.Incarnation{Name: cfg.Name, Number: newIncarnation()},
		cancel:         cancel,
		membershipLost: make(chan struct{}),
	}
	if err := e.buildParts(ctx, ls); err != nil {
		cancel()
		return nil, errs.Combine(Err.Wrap(err), ls.close())
	}
	return e, nil
}

func (e *Entry) buildParts(ctx context.Context, ls listeners) error {
	if err := e.openAdapters(); err != nil {
		return err
	}
	operatorTLS, peerTLS, clientTLS, err := e.loadTLS()
	if err != nil {
		return err
	}
	e.client = peers.NewClient(clientTLS)
	e.attempts = claim.NewAttempts(e.cfg.Limits.Outcomes)
	e.slots = slots.New(slots.Deps{
		Clock:  e.clk,
		Peers:  peersByName{e},
		Scope:  e.meter.Scope(),
		Self:   alloc.Member{Name: e.self.Name, Incarnation: e.self.Number},
		MaxRun: e.cfg.Limits.Run,
	})
	e.claims = claims.New(ctx, claims.Deps{
		Log:        e.log,
		Clock:      e.clk,
		Peers:      e.client,
		Attempts:   e.attempts,
		Tracer:     e.tracer,
		Self:       claims.Entry{Name: e.self.Name, Incarnation: e.self.Number, Addr: e.cfg.Listen.Peers},
		Live:       e.liveMembers,
		IsLinked:   func() bool { return e.core.IsLogLinked() },
		FindMember: e.findMember,
	})
	e.engine = flows.New(ctx, flows.Deps{
		Clock:          e.clk,
		Endpoint:       e.endpoint,
		Gate:           gate{e},
		Claims:         e.claims,
		Attempts:       e.attempts,
		Scope:          e.meter.Scope(),
		Tracer:         e.tracer,
		Centre:         e.cfg.Centre,
		OnSlotShortage: e.slots.ReportSoon,
		OnLeaving:      func(instance string) { e.core.RecordLeaving(instance) },
	}, flows.Limits{QueueTime: e.cfg.Limits.Queue, ClaimTimeout: e.cfg.Limits.Claim, MaxWaiting: e.cfg.Limits.Waiting})
	e.startControl(ctx)
	e.planner = plans.New(ctx, plans.Deps{
		Control:   e.core,
		Engine:    e.engine,
		Instances: e.list,
		Endpoint:  e.endpoint,
		Workers:   e.jobWorkers(),
		Clock:     e.clk,
		Scope:     e.meter.Scope(),
		Logger:    e.logger,
		Self:      e.self,
		Weights:   plans.Weights(e.cfg.Spare),
	})
	e.slots.Start(ctx, e.engine)
	e.gauges = gauge.Start(ctx, e.clk, e.meter.Scope(), e.measure)
	e.goroutines = newGoroutines(ctx)
	e.goroutines.start(e.join)
	e.goroutines.start(e.maintain)
	return e.startServers(ctx, ls, operatorTLS, peerTLS)
}

// startControl starts the control goroutine after the other parts that it calls.
func (e *Entry) startControl(ctx context.Context) {
	e.core = ctrl.New(ctx, ctrl.Deps{
		Clock:     e.clk,
		Log:       e.log,
		Peers:     e.client,
		Scope:     e.meter.Scope(),
		Logger:    e.logger,
		Self:      e.self,
		Addr:      e.cfg.Listen.Peers,
		Centre:    e.cfg.Centre,
		Seeds:     e.cfg.Seeds,
		OnChange:  e.applyView,
		OnLeaving: e.recordLeaving,
		Demands:   e.ownDemands,
	})
}

func (e *Entry) openAdapters() error {
	var err error
	e.meter = meter.New(e.cfg.Name)
	if e.tracer, err = trace.New(e.cfg.Trace.File, e.cfg.Name, e.cfg.Trace.Share); err != nil {
		return err
	}
	e.log, err = logsvc.New(e.cfg.Log.URL, logsvc.WithTimeout(e.cfg.Log.Timeout), logsvc.WithName(e.cfg.Name))
	if err != nil {
		return err
	}
	e.list, err = insts.New(e.cfg.List.URL, insts.WithTimeout(e.cfg.List.Timeout))
	if err != nil {
		return err
	}
	if e.cfg.Workers.URL != "" {
		if e.workers, err = worker.New(e.cfg.Workers.URL, worker.WithTimeout(e.cfg.Workers.Timeout)); err != nil {
			return err
		}
	}
	e.endpoint = endpt.New(endpt.WithWrapper(e.withTracing), endpt.WithMaxConns(e.cfg.Limits.Conns))
	return nil
}

func (e *Entry) jobWorkers() ports.Workers {
	if e.workers == nil {
		return nil
	}
	return e.workers
}

// withTracing adds the W3C trace context to requests to endpoints if spans are written.
func (e *Entry) withTracing(rt http.RoundTripper) http.RoundTripper {
	if e.cfg.Trace.File == "" {
		return rt
	}
	return otelhttp.NewTransport(rt,
		otelhttp.WithTracerProvider(e.tracer.Provider()),
		otelhttp.WithPropagators(trace.Propagator()))
}

// loadTLS returns the TLS settings of the operators' and the peers' listeners and of the
// connections to peers, nil for plain TCP.
func (e *Entry) loadTLS() (operators, server *tls.Config, client func() (*tls.Config, error), err error) {
	if e.cfg.TLS.Operators.IsSet() {
		s, err := certs.Open(e.cfg.TLS.Operators)
		if err != nil {
			return nil, nil, nil, err
		}
		operators = s.Server()
	}
	if e.cfg.TLS.Peers.IsSet() {
		s, err := certs.Open(e.cfg.TLS.Peers)
		if err != nil {
			return nil, nil, nil, err
		}
		server, client = s.Server(), s.Client
	}
	return operators, server, client, nil
}

func (e *Entry) startServers(ctx context.Context, ls listeners, operatorTLS, peerTLS *tls.Config) error {
	var err error
	e.peers, err = peers.Serve(ctx, ls.peers, peerHandler{entry: e}, peerTLS, peers.WithTracer(e.tracer), peers.WithLog(e.logger))
	if err != nil {
		return err
	}
	e.operators = admin.Serve(ls.operators, e.core, e.clk, e.cfg.Name, operatorTLS)
	e.health = health.Serve(ls.health, e.Ready, e.meter.Handler())
	e.callers = caller.Serve(ls.callers, e, caller.Limits{
		MaxBody:       e.cfg.Limits.Body,
		MaxRunTime:    e.cfg.Limits.Run,
		HeaderTimeout: e.cfg.Limits.Header,
	}, e.clk.Wall, e.spanProvider())
	return nil
}

// spanProvider returns the tracer provider for the callers' listener, nil if no spans are written.
func (e *Entry) spanProvider() oteltrace.TracerProvider {
	if e.cfg.Trace.File == "" {
		return nil
	}
	return e.tracer.Provider()
}

// Ready reports whether the entry accepts requests, and if not, why.
func (e *Entry) Ready() (bool, string) {
	switch {
	case e.stopping.Load():
		return false, "stopping"
	case !e.core.View().Joined:
		return false, "not a member yet"
	case !e.core.MaySend():
		return false, "view not confirmed by the log or by a majority of entries"
	}
	return true, ""
}

// MembershipLost returns a channel that is closed when this incarnation is no longer an active
// member. The entry must then be closed and started again.
func (e *Entry) MembershipLost() <-chan struct{} { return e.membershipLost }

func listen(l config.Listen) (ls listeners, err error) {
	for _, one := range []struct {
		dst  *net.Listener
		addr string
	}{{&ls.callers, l.Callers}, {&ls.operators, l.Operators}, {&ls.peers, l.Peers}, {&ls.health, l.Health}} {
		*one.dst, err = net.Listen("tcp", one.addr)
		if err != nil {
			return ls, errs.Combine(err, ls.close())
		}
	}
	return ls, nil
}

// addrs returns the addresses in use. They differ from the settings where those let the system
// choose the port.
func (ls listeners) addrs() config.Listen {
	return config.Listen{
		Callers:   ls.callers.Addr().String(),
		Operators: ls.operators.Addr().String(),
		Peers:     ls.peers.Addr().String(),
		Health:    ls.health.Addr().String(),
	}
}

// Addrs returns the addresses on which the entry listens.
func (e *Entry) Addrs() config.Listen { return e.cfg.Listen }

func (ls listeners) close() error {
	var group errs.Group
	for _, l := range []net.Listener{ls.callers, ls.operators, ls.peers, ls.health} {
		if l != nil {
			group.Add(l.Close())
		}
	}
	return group.Err()
}

// joinRetryPause is the pause between attempts to join.
const joinRetryPause = 500 * time.Millisecond
