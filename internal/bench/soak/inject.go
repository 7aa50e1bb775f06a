package soak

import (
	"context"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// overlay applies the faults that are active at the same time to one target.
type overlay[F any] struct {
	mu     sync.Mutex
	active []*F
	apply  func([]F)
}

// add adds faults and returns a function that removes them.
func (o *overlay[F]) add(f F) func() {
	o.change(func() { o.active = append(o.active, &f) })
	return func() {
		o.change(func() {
			for i, a := range o.active {
				if a == &f {
					o.active = append(o.active[:i:i], o.active[i+1:]...)
					return
				}
			}
		})
	}
}

func (o *overlay[F]) change(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
	all := make([]F, len(o.active))
	for i, a := range o.active {
		all[i] = *a
	}
	o.apply(all)
}

// mergeCalls returns faults of calls that act like all given ones together.
func mergeCalls(fs []fake.Faults) fake.Faults {
	var out fake.Faults
	for _, f := range fs {
		out.Busy = out.Busy || f.Busy
		out.Unresponsive = out.Unresponsive || f.Unresponsive
		out.LoseAnswers = out.LoseAnswers || f.LoseAnswers
		out.Delay = max(out.Delay, f.Delay)
		out.Late = max(out.Late, f.Late)
	}
	return out
}

// mergeLinks returns faults of a link that act like all given ones together.
func mergeLinks(fs []LinkFaults) LinkFaults {
	var out LinkFaults
	for _, f := range fs {
		out.Delay = max(out.Delay, f.Delay)
		out.Reset = out.Reset || f.Reset
		out.NoCalls = out.NoCalls || f.NoCalls
		out.NoAnswers = out.NoAnswers || f.NoAnswers
		if f.Rate > 0 && (out.Rate == 0 || f.Rate < out.Rate) {
			out.Rate = f.Rate
		}
	}
	return out
}

// inject carries out a fault: it waits for its start, and undoes it at its end or at the end of
// the context.
func (r *run) inject(ctx context.Context, f Fault) {
	clock.Pause(ctx, r.clk, f.At-r.clk.Now())
	if ctx.Err() != nil {
		return
	}
	undo := r.begin(ctx, f)
	clock.Pause(ctx, r.clk, f.For)
	undo()
}

// disturb records a disturbance of an entry, or of everything, until the returned function is called.
func (r *run) disturb(c *calendar, entry int) func() {
	c.begin(entry)
	return func() { c.end(entry, r.clk.Now()) }
}

// begin starts a fault and returns a function that ends it.
func (r *run) begin(ctx context.Context, f Fault) func() {
	switch a := f.Action.(type) {
	case StoreFault:
		a.Entry = r.targets(a.Role, []int{a.Entry})[0]
		calm := r.disturb(r.unplanned, a.Entry)
		var undo []func()
		for _, e := range r.entries {
			if a.Entry == everything || a.Entry == e.index {
				undo = append(undo, e.store.add(a.Faults))
			}
		}
		return func() {
			for _, u := range undo {
				u()
			}
			calm()
		}
	case Compact:
		r.platform.Store.Compact()
		return r.disturb(r.unplanned, everything)
	case LinkFault:
		calm, undo := r.disturb(r.unplanned, a.Entry), r.entries[a.Entry].link.add(a.Faults)
		return func() { undo(); calm() }
	case MachineLinkFault:
		return r.machineLinks[r.machine(a.Machine)].add(a.Faults)
	case PeerLinkFault:
		return r.beginPeerLinks(r.targets(a.Role, []int{a.Entry}), a.Faults)
	case RestartAround:
		return r.beginAround(a, f.For, func(d time.Duration) { clock.Pause(ctx, r.clk, d) })
	case SplitLeader:
		return r.beginSplit(a, func(d time.Duration) { clock.Pause(ctx, r.clk, d) })
	case Signal:
		a.Entries = r.targets(a.Role, a.Entries)
		return r.beginSignal(a)
	case MachineFault:
		a.Machine = r.machine(a.Machine)
		return r.beginMachine(a, f.For)
	case OrderFault:
		e := r.platform.Executor(r.machine(a.Machine))
		e.Set(a.Faults)
		return func() { e.Set(fake.Faults{}) }
	case InstanceFault:
		r.platform.Cloud.Set(a.Faults)
		return func() { r.platform.Cloud.Set(fake.Faults{}) }
	case Configure:
		for range a.Changes {
			r.operator.configure(r.clk.Now())
			clock.Pause(ctx, r.clk, f.For/time.Duration(a.Changes))
		}
	case Limit:
		r.operator.setLimit(a.Account, a.Cores, r.clk.Now())
		return func() { r.operator.setLimit(a.Account, baseLimit, r.clk.Now()) }
	case Flood:
		return during(func() { r.flood(ctx, a, f.For) })
	case Revoke:
		return during(func() { r.revoke(ctx, a) })
	case Wave:
		w := model.Wave{Number: r.waves.Add(1), Instances: a.Machines, Window: waveWindow, MaxConcurrent: a.MaxConcurrent}
		r.platform.Store.Put(platform.OperatorTopic, waveKey(w.Number), fake.EncodeWave(w))
	}
	return func() {}
}

// during starts a function and returns one that waits for its end.
func during(f func()) func() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f()
	}()
	return func() { <-ended }
}

func (r *run) beginMachine(a MachineFault, d time.Duration) func() {
	switch a.Kind {
	case Crash:
		r.platform.Crash(a.Machine, d)
	case Restart:
		r.platform.Restart(a.Machine)
	case Drain:
		r.platform.Drain(a.Machine, d)
	case Failing:
		e := r.platform.Executor(a.Machine)
		e.SetFailing(true)
		return func() { e.SetFailing(false) }
	}
	return func() {}
}

// beginSignal sends a signal to entries. An entry whose process another fault has ended is left
// alone until it runs again.
func (r *run) beginSignal(a Signal) func() {
	var undo []func()
	for _, i := range a.Entries {
		e := r.entries[i]
		if a.Kind == Pause {
			calm, resumed := r.disturb(r.unplanned, i), r.disturb(r.signals, i)
			e.pause(true)
			undo = append(undo, func() { e.pause(false); calm(); resumed() })
			continue
		}
		if !e.turn.TryLock() {
			continue
		}
		c, signalled := r.planned, func() {}
		if a.Kind == Kill {
			c, signalled = r.unplanned, r.disturb(r.signals, i)
		}
		calm, ended := r.disturb(c, i), make(chan struct{})
		go func() {
			defer close(ended)
			if a.Kind == Stop {
				e.stop(r)
				return
			}
			<-e.terminate(true)
		}()
		undo = append(undo, func() {
			<-ended
			if err := e.start(r); err != nil {
				r.found("FAULT", "", "%s can't be started: %v", e.name, err)
			}
			calm()
			signalled()
			e.turn.Unlock()
		})
	}
	return func() {
		for _, u := range undo {
			u()
		}
	}
}
