// Package soak runs entries as processes beside the platform's test servers, injects faults at
// random, and checks what callers, executors and the instance service see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/fake/local"
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
	// portsPerEntry is the number of ports of an entry.
	portsPerEntry = 3
)

// pools are the machines of each service.
var pools = map[string]int{"pool-a": 4, "pool-b": 4, "rest": 2}

// Config describes a run.
type Config struct {
	// Program is the path of the program that runs an entry with the argument agent.
	Program string
	Seed    uint64
	// Length is the time in which there are faults. The checks after it take up to half a minute.
	Length time.Duration
	// Entries is the number of entries, and Series that of the series of faults, which overlap.
	Entries, Series int
	// Only restricts the plan to the faults whose description contains it.
	Only string
}

// run is a run in progress.
type run struct {
	cfg          Config
	clk          clock.Clock
	plan         []Fault
	platform     *fake.Platform
	entries      []*entry
	links        []*Link
	machineLinks map[string]*overlay[LinkFaults]
	operator     *operator
	jobs         *registry
	waves        atomic.Int64
	// unplanned and planned hold disturbances of entries and of the store, and signals those of
	// unplanned signals only.
	unplanned, planned, signals *calendar
	submits                     *latency
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
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, Err.Wrap(err)
	}
	r := &run{
		cfg: cfg, clk: clock.NewSystem(), machineLinks: map[string]*overlay[LinkFaults]{}, jobs: &registry{byID: map[string]*job{}},
		unplanned: newCalendar(), planned: newCalendar(), signals: newCalendar(), submits: newLatency(), answers: map[string]int{},
	}
	err = r.prepare(dir)
	if err == nil {
		r.plan = NewPlan(cfg.Seed, cfg.Length, cfg.Series, cfg.Entries, r.platform.Machines(), cfg.Only)
		say(w, "seed %d, %d entries, %d series of faults, %s\n", cfg.Seed, cfg.Entries, cfg.Series, cfg.Length)
		for _, f := range r.plan {
			say(w, "%s\n", f)
		}
		err = r.play(ctx)
	}
	r.close()
	out := r.report()
	if len(out.Findings) > 0 || err != nil {
		out.Dir = dir
		return out, err
	}
	return out, Err.Wrap(os.RemoveAll(dir))
}

// prepare starts the stand-ins and the entries.
func (r *run) prepare(dir string) error {
	if r.cfg.Entries < MinEntries || r.cfg.Entries > MaxEntries || r.cfg.Series < 0 {
		return Err.New("%d entries and %d series: a run takes %d to %d entries", r.cfg.Entries, r.cfg.Series, MinEntries, MaxEntries)
	}
	targets := map[string]*Link{}
	for pool, n := range pools {
		for i := range n {
			l, err := NewLink(r.clk)
			if err != nil {
				return err
			}
			name := fmt.Sprintf("m-%s-%d", pool, i)
			r.links, targets[name] = append(r.links, l), l
			r.machineLinks[name] = &overlay[LinkFaults]{apply: func(fs []LinkFaults) { l.Set(mergeLinks(fs)) }}
		}
	}
	r.platform = fake.NewPlatform(pools, fake.WithUnguarded("pool-b"), fake.WithPlan(r.jobs.plan), fake.WithVia(func(machine, addr string) string {
		targets[machine].SetTarget(addr)
		return targets[machine].Addr()
	}))
	r.operator = &operator{store: r.platform.Store, rng: rand.New(rand.NewPCG(r.cfg.Seed, operatorStream))}
	r.operator.configure(0)
	addrs, err := local.FreeAddrs(portsPerEntry * r.cfg.Entries)
	if err != nil {
		return Err.Wrap(err)
	}
	var ports []int
	for _, a := range addrs {
		ap, err := netip.ParseAddrPort(a)
		if err != nil {
			return Err.Wrap(err)
		}
		ports = append(ports, int(ap.Port()))
	}
	for i := range r.cfg.Entries {
		e, err := r.newEntry(i, dir, ports[portsPerEntry*i:])
		if err != nil {
			return err
		}
		if err := e.start(r); err != nil {
			return err
		}
		r.entries = append(r.entries, e)
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
			<-e.signal(syscall.SIGKILL, true)
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
}
