package soak

import "time"

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

func (PeerLinkFault) action() {}
func (RestartAround) action() {}

// restartAfter is the part of a RestartAround's time after which the executor restarts.
const restartAfter = 3

// callPath draws a fault of the calls that entries make to executors for the leader.
func (p planner) callPath() Action {
	role := func() Role { return [...]Role{Leading, Caller, Caller, Callers}[p.rng.IntN(4)] }
	machine := ""
	if p.rng.IntN(4) == 0 {
		machine = p.machine()
	}
	switch n := p.rng.IntN(20); n {
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
