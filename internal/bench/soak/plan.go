package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"time"

	"chervilgauge.example/chervilgauge/platform/fake"
)

// everything is the target of faults that affect all entries.
const everything = -1

// Action is a fault to inject: one of the types below.
type Action interface{ action() }

// StoreFault applies faults to the store's answers to an entry, or to everything.
type StoreFault struct {
	Entry  int
	Faults fake.Faults
	Role   Role
}

// Compact deletes the store's history.
type Compact struct{}

// LinkFault applies faults to the connections between an entry and the store.
type LinkFault struct {
	Entry  int
	Faults LinkFaults
}

// MachineLinkFault applies faults to the connections between all entries and the executor on a
// machine. Without a machine, these and the other faults of executors affect one that has runs.
type MachineLinkFault struct {
	Machine string
	Faults  LinkFaults
}

// SignalKind is what happens to processes.
type SignalKind string

// Kinds of signals. Paused processes resume and ended ones start again when the fault ends.
const (
	Pause SignalKind = "pause"
	Kill  SignalKind = "kill"
	Stop  SignalKind = "stop"
)

// Signal sends a signal to the processes of some entries at once.
type Signal struct {
	Kind    SignalKind
	Entries []int
	Role    Role
}

// MachineKind is what happens to the executor on a machine.
type MachineKind string

// Kinds of faults of executors.
const (
	Crash   MachineKind = "crash"
	Restart MachineKind = "restart under the same id"
	Drain   MachineKind = "drain"
	Failing MachineKind = "failing runs"
)

// MachineFault is a fault of the executor on a machine.
type MachineFault struct {
	Machine string
	Kind    MachineKind
}

// OrderFault applies faults to the calls that the executor on a machine receives.
type OrderFault struct {
	Machine string
	Faults  fake.Faults
}

// InstanceFault applies faults to the instance service.
type InstanceFault struct{ Faults fake.Faults }

// Configure changes the configuration a number of times in quick succession.
type Configure struct{ Changes int }

// Wave orders the maintenance of machines.
type Wave struct {
	Machines      []string
	MaxConcurrent int
}

func (StoreFault) action()       {}
func (Compact) action()          {}
func (LinkFault) action()        {}
func (MachineLinkFault) action() {}
func (Signal) action()           {}
func (MachineFault) action()     {}
func (OrderFault) action()       {}
func (InstanceFault) action()    {}
func (Configure) action()        {}
func (Wave) action()             {}

// Fault is an action with its start, counted from the start of the run, and its duration.
type Fault struct {
	At, For time.Duration
	Action  Action
}

// unsetField matches a field of an action that has no effect.
var unsetField = regexp.MustCompile(`\b\w+:false ?|\b\w+:0s ?|Rate:0 ?`)

// String returns one line about the fault.
func (f Fault) String() string {
	action := strings.TrimPrefix(fmt.Sprintf("%T%+v", f.Action, f.Action), "soak.")
	action = strings.NewReplacer(" Role:}", "}", "Machine: ", "Machine:busy ", "Machine:}", "Machine:busy}").Replace(unsetField.ReplaceAllString(action, ""))
	return fmt.Sprintf("%7.3fs %6.3fs %s", f.At.Seconds(), f.For.Seconds(), action)
}

const (
	// calmStart is the time without faults at the start of a run.
	calmStart = 1 * time.Second
	// meanPause is the mean time between two faults of a series.
	meanPause = 1200 * time.Millisecond
	// minFault and meanFault are the least time that a fault lasts and the mean time beyond it.
	minFault, meanFault = 200 * time.Millisecond, 1300 * time.Millisecond
	// maxFault bounds the time that a fault lasts.
	maxFault = 8 * time.Second
	// lateBy is the longest time after which a call that was not answered is carried out.
	lateBy = 3 * time.Second
	// slowBy is the longest delay of slow answers and links.
	slowBy = 700 * time.Millisecond
	// minRate and maxRate bound a limited bandwidth, in bytes per second.
	minRate, maxRate = 4 << 10, 64 << 10
)

// planner draws the faults of one series.
type planner struct {
	rng      *rand.Rand
	entries  int
	machines []string
}

// delegates reports whether entries make the leader's calls to executors.
func (p planner) delegates() bool { return len(p.machines) >= delegateFrom }

// maxDraws is the number of faults that are drawn to find one whose description contains a text.
const maxDraws = 10_000

// NewPlan returns the plan of faults for a seed, sorted by time. The faults of each series follow one
// another; the series overlap, also with those of the accounts. The description of each fault contains only.
func NewPlan(seed uint64, length time.Duration, series, entries int, machines []string, only string) []Fault {
	var out []Fault
	for s := range series {
		p := planner{rand.New(rand.NewPCG(seed, uint64(s))), entries, machines}
		at := calmStart + p.exp(meanPause)
		for at < length {
			f := Fault{at, min(minFault+p.exp(meanFault), maxFault), p.action()}
			for n := 0; !strings.Contains(f.String(), only); n++ {
				if n == maxDraws {
					return nil
				}
				f.Action = p.action()
			}
			f.For = min(f.For, length-at)
			out = append(out, f)
			at += f.For + p.exp(meanPause)
		}
	}
	for _, f := range accountFaults(seed, length, entries) {
		if strings.Contains(f.String(), only) {
			out = append(out, f)
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

// exp returns an exponentially distributed time.
func (p planner) exp(mean time.Duration) time.Duration {
	return time.Duration(p.rng.ExpFloat64() * float64(mean)).Truncate(time.Millisecond)
}

// upTo returns a time between a tenth of d and d.
func (p planner) upTo(d time.Duration) time.Duration {
	return (d/10 + time.Duration(p.rng.Int64N(int64(d-d/10)))).Truncate(time.Millisecond)
}

func (p planner) machine() string { return p.machines[p.rng.IntN(len(p.machines))] }

// some returns at least one entry, mostly few of them, and rarely all.
func (p planner) some() []int {
	n := 1
	for n < p.entries && p.rng.IntN(3) == 0 {
		n++
	}
	out := p.rng.Perm(p.entries)[:n]
	slices.Sort(out)
	return out
}

// storeTarget returns one entry or everything.
func (p planner) storeTarget() int {
	if p.rng.IntN(2) == 0 {
		return everything
	}
	return p.rng.IntN(p.entries)
}

func (p planner) calls() fake.Faults {
	switch p.rng.IntN(5) {
	case 0:
		return fake.Faults{Busy: true}
	case 1:
		return fake.Faults{Unresponsive: true}
	case 2:
		return fake.Faults{LoseAnswers: true}
	case 3:
		return fake.Faults{Late: p.upTo(lateBy)}
	}
	return fake.Faults{Delay: p.upTo(slowBy)}
}

func (p planner) link() LinkFaults {
	switch p.rng.IntN(6) {
	case 0:
		return LinkFaults{Delay: p.upTo(slowBy)}
	case 1:
		return LinkFaults{Reset: true}
	case 2:
		return LinkFaults{NoCalls: true}
	case 3:
		return LinkFaults{NoAnswers: true}
	case 4:
		return LinkFaults{NoCalls: true, NoAnswers: true}
	}
	return LinkFaults{Rate: minRate + p.rng.IntN(maxRate-minRate)}
}

func (p planner) action() Action {
	if p.delegates() && p.rng.IntN(2) == 0 {
		return p.callPath()
	}
	switch n := p.rng.IntN(20); n {
	case 0, 1, 2, 3:
		return StoreFault{p.storeTarget(), p.calls(), ""}
	case 4:
		return Compact{}
	case 5, 6:
		return LinkFault{p.rng.IntN(p.entries), p.link()}
	case 7, 8:
		return MachineLinkFault{p.machine(), p.link()}
	case 9, 10, 11, 12, 13:
		return Signal{[...]SignalKind{Pause, Pause, Kill, Kill, Stop}[n-9], p.some(), ""}
	case 14, 15:
		kinds := []MachineKind{Crash, Restart, Drain, Failing}
		return MachineFault{p.machine(), kinds[p.rng.IntN(len(kinds))]}
	case 16:
		return OrderFault{p.machine(), p.calls()}
	case 17:
		return InstanceFault{p.calls()}
	case 18:
		return Configure{1 + p.rng.IntN(6)}
	}
	n := 1 + p.rng.IntN(min(4, len(p.machines)))
	w := Wave{MaxConcurrent: 1 + p.rng.IntN(2)}
	for _, i := range p.rng.Perm(len(p.machines))[:n] {
		w.Machines = append(w.Machines, p.machines[i])
	}
	slices.Sort(w.Machines)
	return w
}
