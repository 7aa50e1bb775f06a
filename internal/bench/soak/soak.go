// Package soak runs entries as processes, or in virtual time in this one, beside the platform's test
// servers, injects faults at random, and checks what callers, executors and the instance service see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/fake/memnet"
	"chervilgauge.example/chervilgauge/internal/serve/agent"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Err is the class of failures to carry out a run. A finding is not one.
var Err = errs.Class("soak")

// Limits of the number of entries.
const (
	MinEntries = 3
	MaxEntries = 40
)

const (
	callers = 8
	// readyTimeout is how long the entries may take to be ready, and readyCheck the time between
	// checks.
	readyTimeout, readyCheck = 20 * time.Second, 100 * time.Millisecond
	// portsPerEntry is the number of ports of an entry and its links.
	portsPerEntry = 4
	// zones is the number of data centres, over which entries and machines are spread.
	zones = 3
	// largeCores and smallCores are the processor time of large and small entries in cores. A small one
	// does not lead while there is a large one.
	largeCores, smallCores = 0.4, 0.15
	// largeHeartbeat is the time between the reports of an executor in a fleet of delegateFrom or more.
	largeHeartbeat = 1500 * time.Millisecond
	// targetStream is the random stream of the targets that are drawn when a fault starts.
	targetStream = 1 << 41
)

// Limits of the number of executors.
const (
	MinExecutors = 5
	MaxExecutors = 1000
)

// pools returns the number of machines of each service: two fifths each for those with queues, and the
// rest for the spare one.
func pools(executors int) map[string]int {
	n := executors * 2 / 5
	return map[string]int{"pool-a": n, "pool-b": n, "rest": executors - 2*n}
}

// DefaultExecutors is the number of executors of a run that does not set it.
const DefaultExecutors = 10

// Config describes a run.
type Config struct {
	// Program is the path of the program that runs an entry with the argument agent.
	Program string
	Seed    uint64
	// Length is the time in which there are faults. The checks after it take up to half a minute.
	Length time.Duration
	// Entries is the number of entries, Small the number of those that are small, and Series that of the
	// series of faults, which overlap.
	Entries, Small, Series int
	// Executors is the number of executors, 0 for DefaultExecutors. From 100 on other entries make the
	// leader's calls to executors.
	Executors int
	// Keep keeps the logs of a run without findings too.
	Keep bool
	// Virtual runs the entries in this process on a network in memory. Run then has to be called within
	// testing/synctest, whose time passes as fast as the processor allows. Program is not used.
	Virtual bool
	// Only restricts the plan to the faults whose description contains it.
	Only string
}

// delegates reports whether entries make the leader's calls to executors.
func (c Config) delegates() bool { return c.Executors >= delegateFrom }

// run is a run in progress.
type run struct {
	cfg          Config
	clk          clock.Clock
	net          agent.Network // of the stand-ins, links and callers
	memory       *memnet.Network
	nextPort     int
	plan         []Fault
	platform     *fake.Platform
	entries      []*entry
	links        []*Link
	machineLinks map[string]*overlay[LinkFaults]
	operator     *operator
	roles        roles
	reserved     net.Listener // keeps the ports of the entries from other runs
	jobs         *registry
	waves        atomic.Int64
	// unplanned and planned hold disturbances of entries and of the store, and signals those of
	// unplanned signals only.
	unplanned, planned, signals *calendar
	submits                     *latency
	shares                      shares
	wg                          sync.WaitGroup // processes

	mu       sync.Mutex
	findings []Finding
	answers  map[string]int
}

// count counts an answer.
func (r *run) count(method string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[fmt.Sprint(method, " ", status)]++
}

// Run carries out a run, writes its plan to w and returns what it found. It returns an Err if the
// run can't be carried out.
func Run(ctx context.Context, cfg Config, w io.Writer) (*Report, error) {
	if cfg.Executors == 0 {
		cfg.Executors = DefaultExecutors
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, Err.Wrap(err)
	}
	r := &run{
		cfg: cfg, clk: clock.NewSystem(), net: agent.TCP{}, machineLinks: map[string]*overlay[LinkFaults]{}, jobs: &registry{byID: map[string]*job{}},
		roles:     newRoles(rand.New(rand.NewPCG(cfg.Seed, targetStream))),
		unplanned: newCalendar(), planned: newCalendar(), signals: newCalendar(), submits: newLatency(), answers: map[string]int{},
	}
	if cfg.Virtual {
		r.memory, r.nextPort = memnet.New(memoryDelay), firstPort
		r.net = r.memory.Host("stand-ins")
	}
	err = r.prepare(dir)
	if err == nil {
		r.plan = NewPlan(cfg.Seed, cfg.Length, cfg.Series, cfg.Entries, r.platform.Machines(), cfg.Only)
		say(w, "seed %d, %d entries (%d small), %d executors, %d series of faults, %s\n", cfg.Seed, cfg.Entries, cfg.Small, cfg.Executors, cfg.Series, cfg.Length)
		for _, f := range r.plan {
			say(w, "%s\n", f)
		}
		err = r.play(ctx)
	}
	r.close()
	if cfg.Virtual {
		// A connection that was opened while its entry ended closes when it has been idle for long enough.
		clock.Pause(context.Background(), r.clk, idleTimeout)
	}
	out := r.report()
	if len(out.Findings) > 0 || err != nil || cfg.Keep {
		out.Dir = dir
		return out, errs.Combine(err, r.shares.write(dir, fmt.Sprintf("Shares of accounts, seed %d", cfg.Seed)))
	}
	return out, Err.Wrap(os.RemoveAll(dir))
}

// prepare starts the stand-ins and the entries.
func (r *run) prepare(dir string) error {
	if r.cfg.Entries < MinEntries || r.cfg.Entries > MaxEntries || r.cfg.Series < 0 {
		return Err.New("%d entries and %d series: a run takes %d to %d entries", r.cfg.Entries, r.cfg.Series, MinEntries, MaxEntries)
	}
	if r.cfg.Executors < MinExecutors || r.cfg.Executors > MaxExecutors || r.cfg.Small < 0 || r.cfg.Small > r.cfg.Entries {
		return Err.New("%d executors and %d small entries: a run takes %d to %d executors, and not more small entries than entries", r.cfg.Executors, r.cfg.Small, MinExecutors, MaxExecutors)
	}
	targets := map[string]*Link{}
	for pool, n := range pools(r.cfg.Executors) {
		for i := range n {
			l, err := r.newLink()
			if err != nil {
				return err
			}
			name := fmt.Sprintf("m-%s-%d", pool, i)
			r.links, targets[name] = append(r.links, l), l
			r.machineLinks[name] = &overlay[LinkFaults]{apply: func(fs []LinkFaults) { l.Set(mergeLinks(fs)) }}
		}
	}
	heartbeat := fake.HeartbeatInterval
	if r.cfg.delegates() {
		heartbeat = largeHeartbeat
	}
	opts := []fake.Option{
		fake.WithUnguarded("pool-b"), fake.WithPlan(r.jobs.plan), fake.WithZones(zones), fake.WithSlowClocks(), fake.WithHeartbeat(heartbeat),
		fake.WithVia(func(machine, addr string) string {
			targets[machine].SetTarget(addr)
			return targets[machine].Addr()
		}),
	}
	if r.memory != nil {
		opts = append(opts, fake.WithListen(r.listen))
	}
	r.platform = fake.NewPlatform(pools(r.cfg.Executors), opts...)
	r.operator = newOperator(r.platform.Store, r.cfg.Seed)
	r.jobs.limit = func(account int) int { return r.operator.limitOf(account, r.clk.Now()) }
	r.operator.configure(0)
	ports, err := r.ports(portsPerEntry * r.cfg.Entries)
	if err != nil {
		return err
	}
	for i := range r.cfg.Entries {
		e, err := r.newEntry(i, dir, ports[portsPerEntry*i:])
		if err != nil {
			return err
		}
		r.entries = append(r.entries, e)
	}
	for _, e := range r.entries {
		if err := e.start(r); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all entries are ready and one of them leads.
func (r *run) awaitReady(ctx context.Context) error {
	end := r.clk.Now() + readyTimeout
	c := r.newCaller(callers)
	defer c.http.CloseIdleConnections()
	for i := 0; i < len(r.entries); {
		if status, _ := c.call(i, http.MethodGet, queues[0].Prefix, nil, callTimeout); status == http.StatusOK {
			i++
			continue
		}
		if r.clk.Now() > end || ctx.Err() != nil {
			return Err.New("%s is not ready", r.entries[i].name)
		}
		clock.Pause(ctx, r.clk, readyCheck)
	}
	return nil
}

// play runs the callers, the faults and the checks.
func (r *run) play(ctx context.Context) error {
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	begin := r.clk.Now()
	faults, endFaults := context.WithTimeout(ctx, r.cfg.Length)
	defer endFaults()
	var acting sync.WaitGroup
	do := func(f func()) {
		acting.Add(1)
		go func() {
			defer acting.Done()
			f()
		}()
	}
	for n := range callers {
		do(func() { r.newCaller(n).act(faults) })
	}
	for i, e := range r.entries {
		do(func() { r.probe(faults, r.newCaller(callers+i), e) })
	}
	for _, f := range r.plan {
		f.At += begin
		do(func() { r.inject(faults, f) })
	}
	checks, endChecks := context.WithCancel(context.Background())
	defer endChecks()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		r.watch(checks)
	}()
	acting.Wait()
	c := r.newCaller(callers + len(r.entries))
	defer c.http.CloseIdleConnections()
	if ctx.Err() == nil {
		r.settle(c)
		r.cancelLong(c)
	}
	endChecks()
	<-watched
	return Err.Wrap(ctx.Err())
}

// close ends the entries and the stand-ins.
func (r *run) close() {
	var stopped sync.WaitGroup
	for _, e := range r.entries {
		stopped.Add(1)
		go func() {
			defer stopped.Done()
			if e.isStarted() {
				<-e.terminate(true)
			}
		}()
	}
	stopped.Wait()
	r.wg.Wait()
	for _, l := range r.links {
		l.Close()
	}
	if r.platform != nil {
		r.platform.Close()
	}
	if r.reserved != nil {
		_ = r.reserved.Close()
	}
}
