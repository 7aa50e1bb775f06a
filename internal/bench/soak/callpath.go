package soak

import (
	"time"

	"chervilgauge.example/chervilgauge/platform/fake"
)

// delegateFrom is the number of executors from which other entries make the leader's calls. From
// there on, half of the faults are on the path of these calls.
const delegateFrom = 100

// PeerLinkFault applies faults to the connections of other entries to the peer port of an entry, or of
// all entries of a role.
type PeerLinkFault struct {
	Entry  int
	Faults LinkFaults
	Role   Role
}

// RestartAround pauses the entries of a role, or applies faults to the connections to their peer
// ports, restarts an executor under its id in the meantime, and ends the first fault.
type RestartAround struct {
	Role    Role
	Entries []int
	Pause   bool
	Faults  LinkFaults
	// Machine is that of the executor, empty for one with runs.
	Machine string
}

// SplitLeader cuts the leader off from the other entries and from the store, so that another entry takes
// over while the leader may still act, and then restarts executors under their ids: those have forgotten
// the fencing token of the new leader. With Store, the store is faulty for the leader instead of cut off.
type SplitLeader struct {
	// Entry is affected if there is no leader.
	Entry int
	Store fake.Faults
}

func (SplitLeader) action()   {}
func (PeerLinkFault) action() {}
func (RestartAround) action() {}

const (
	// takeoverTime is how long a SplitLeader waits for another leader. splitRestarts is the number of
	// restarts after it, and splitPause the time between them. The former leader may act for 5 s after
	// its last renewal.
	takeoverTime, splitPause = 1700 * time.Millisecond, 250 * time.Millisecond
	splitRestarts            = 10
)

// restartAfter is the part of a RestartAround's time after which the executor restarts.
const restartAfter = 3

// callPath draws a fault of the calls that entries make to executors for the leader.
func (p planner) callPath() Action {
	role := func() Role { return [...]Role{Leading, Caller, Caller, Callers}[p.rng.IntN(4)] }
	machine := ""
	if p.rng.IntN(4) == 0 {
		machine = p.machine()
	}
	switch n := p.rng.IntN(22); n {
	case 0, 1, 2, 3, 4, 5:
		return Signal{[...]SignalKind{Pause, Pause, Pause, Kill, Kill, Stop}[n], p.some(), role()}
	case 6, 7, 8:
		return PeerLinkFault{p.rng.IntN(p.entries), p.link(), role()}
	case 9, 10, 11, 12:
		return MachineFault{machine, [...]MachineKind{Restart, Restart, Restart, Crash}[n-9]}
	case 13, 14:
		return OrderFault{machine, p.calls()}
	case 15:
		return MachineLinkFault{machine, p.link()}
	case 16:
		return StoreFault{p.rng.IntN(p.entries), p.calls(), Leading}
	case 17, 18:
		a := SplitLeader{Entry: p.rng.IntN(p.entries)}
		if p.rng.IntN(2) == 0 {
			a.Store = p.calls()
		}
		return a
	}
	a := RestartAround{Role: role(), Entries: p.some(), Machine: machine, Pause: p.rng.IntN(2) == 0}
	if !a.Pause {
		a.Faults = p.link()
	}
	return a
}

// beginAround starts a RestartAround of the given length. It returns after the restart.
func (r *run) beginAround(a RestartAround, length time.Duration, pause func(time.Duration)) func() {
	var undo func()
	entries := r.targets(a.Role, a.Entries)
	if a.Pause {
		undo = r.beginSignal(Signal{Kind: Pause, Entries: entries})
	} else {
		undo = r.beginPeerLinks(entries, a.Faults)
	}
	pause(length / restartAfter)
	r.platform.Restart(r.machine(a.Machine))
	return undo
}

// beginSplit starts a SplitLeader. It returns after the last restart.
func (r *run) beginSplit(a SplitLeader, pause func(time.Duration)) func() {
	silent := LinkFaults{NoCalls: true, NoAnswers: true}
	entries := r.targets(Leading, []int{a.Entry})
	e := r.entries[entries[0]]
	undo := []func(){r.beginPeerLinks(entries, silent)}
	if a.Store == (fake.Faults{}) {
		undo = append(undo, e.link.add(silent))
	} else {
		undo = append(undo, e.store.add(a.Store))
	}
	pause(takeoverTime)
	for range splitRestarts {
		r.platform.Restart(r.machine(""))
		pause(splitPause)
	}
	return func() {
		for _, u := range undo {
			u()
		}
	}
}

// beginPeerLinks applies faults to the connections to the peer ports of entries.
func (r *run) beginPeerLinks(entries []int, f LinkFaults) func() {
	var undo []func()
	for _, i := range entries {
		undo = append(undo, r.entries[i].peer.add(f), r.disturb(r.unplanned, i))
	}
	return func() {
		for _, u := range undo {
			u()
		}
	}
}
