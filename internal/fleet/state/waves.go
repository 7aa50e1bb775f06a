package state

import (
	"slices"
	"strings"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// maxFinishedWaves is the maximum number of finished waves that are kept for operators to
// read.
const maxFinishedWaves = 16

// WavePhase is the phase of a wave.
type WavePhase uint8

// Phases of a wave.
const (
	Running WavePhase = iota + 1
	Halted
	Finished
)

// String returns the name of the phase.
func (p WavePhase) String() string {
	names := [...]string{"none", "running", "halted", "finished"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Outcome is the state of one instance in a wave.
type Outcome uint8

// Outcomes of instances in a wave.
const (
	// Todo instances have not been rebooted or are being rebooted.
	Todo Outcome = iota + 1
	// Done instances have returned from their reboot.
	Done
	// Failed instances did not return from their reboot.
	Failed
	// Skipped instances were left out when a halted wave was ordered to go on without
	// them.
	Skipped
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	names := [...]string{"none", "todo", "done", "failed", "skipped"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// WaveStep is one instance of a wave with its outcome.
type WaveStep struct {
	Name    string
	Outcome Outcome
}

// Wave is a maintenance wave: a reboot of all instances that were in its pools when the
// wave started.
type Wave struct {
	Name string
	// Version is the offset of the last order. Steps don't change it, so that an
	// operator's order to a wave that makes progress doesn't conflict.
	Version uint64
	// Pools lists the names of the pools, sorted.
	Pools []string
	Phase WavePhase
	// Reason is the reason why the wave was halted or finished, empty while it runs.
	Reason string
	// Limit is the maximum number of instances under grants of the wave at a time, 0 for
	// no limit besides the availability budget.
	Limit uint32
	// Started is the offset of the start.
	Started uint64
	// Steps lists the instances, sorted by name.
	Steps []WaveStep
}

// HasPool reports whether the wave includes a pool.
func (w *Wave) HasPool(pool string) bool {
	_, ok := slices.BinarySearch(w.Pools, pool)
	return ok
}

// find returns the index of the step of an instance, and false if there is none.
func (w *Wave) find(name string) (int, bool) {
	return slices.BinarySearchFunc(w.Steps, name, func(s WaveStep, name string) int {
		return strings.Compare(s.Name, name)
	})
}

// Step returns the outcome of an instance and whether the wave includes it.
func (w *Wave) Step(name string) (Outcome, bool) {
	n, ok := w.find(name)
	if !ok {
		return 0, false
	}
	return w.Steps[n].Outcome, true
}

// Count returns the number of instances with an outcome.
func (w *Wave) Count(o Outcome) int {
	n := 0
	for _, s := range w.Steps {
		if s.Outcome == o {
			n++
		}
	}
	return n
}

// WithStep returns the wave with an outcome of an instance. It changes nothing if the
// wave does not include the instance.
func (w *Wave) WithStep(name string, o Outcome) *Wave {
	n := *w
	if at, ok := w.find(name); ok {
		n.Steps = slices.Clone(w.Steps)
		n.Steps[at].Outcome = o
	}
	return &n
}

// WithPhase returns the wave with the phase and the reason of an order at an offset.
func (w *Wave) WithPhase(p WavePhase, reason string, offset uint64) *Wave {
	n := *w
	n.Phase, n.Reason, n.Version = p, reason, offset
	return &n
}

func (w *Wave) key() string { return w.Name }

func (w *Wave) code(c *coder) {
	c.str(&w.Name)
	c.u64(&w.Version)
	codeList(c, &w.Pools, (*coder).str)
	codeEnum(c, &w.Phase)
	c.str(&w.Reason)
	c.u32(&w.Limit)
	c.u64(&w.Started)
	codeList(c, &w.Steps, func(c *coder, s *WaveStep) {
		c.str(&s.Name)
		codeEnum(c, &s.Outcome)
	})
}

func (s *State) applyWave(offset uint64, r *recpb.Wave) Verdict {
	if !isValidName(r.GetName()) {
		return malformed
	}
	w, ok := s.waves.get(r.GetName())
	var current uint64
	if ok {
		current = w.Version
	}
	if v, ok := checkBase(r.GetEdit(), current); !ok {
		return v
	}
	if r.GetEdit().GetRemove() {
		return s.removeWave(w)
	}
	if r.GetOrder() == recpb.Wave_START {
		return s.startWave(offset, w, r)
	}
	if w == nil {
		return refused(NotFound)
	}
	return s.applyWaveOrder(offset, w, r)
}

// applyWaveOrder judges the orders to an existing wave.
func (s *State) applyWaveOrder(offset uint64, w *Wave, r *recpb.Wave) Verdict {
	switch r.GetOrder() {
	case recpb.Wave_HALT:
		if w.Phase != Running {
			return refused(WrongPhase)
		}
		s.setWave(w.WithPhase(Halted, r.GetReason(), offset))
	case recpb.Wave_RESUME:
		if w.Phase != Halted {
			return refused(WrongPhase)
		}
		s.setWave(w.withRetries().WithPhase(Running, "", offset))
	case recpb.Wave_ROLLON:
		if w.Phase != Halted {
			return refused(WrongPhase)
		}
		s.setWave(s.withSkipped(w).WithPhase(Running, "", offset))
	case recpb.Wave_FINISH:
		if w.Phase == Finished {
			return refused(WrongPhase)
		}
		s.setWave(w.WithPhase(Finished, r.GetReason(), offset))
		s.dropFinished()
	default:
		return malformed
	}
	return accepted
}

func (s *State) setWave(w *Wave) { s.waves = s.waves.set(w) }

// startWave starts a wave under a new name, or under that of a finished wave without
// grants.
func (s *State) startWave(offset uint64, old *Wave, r *recpb.Wave) Verdict {
	if old != nil && old.Phase != Finished {
		return refused(WrongPhase)
	}
	if s.countGrants(r.GetName()) > 0 {
		return refused(InUse)
	}
	pools := slices.Clone(r.GetPools())
	slices.Sort(pools)
	pools = slices.Compact(pools)
	if len(pools) == 0 {
		return malformed
	}
	w := &Wave{
		Name: r.GetName(), Version: offset, Pools: pools, Phase: Running,
		Limit: r.GetLimit(), Started: offset,
	}
	for _, p := range pools {
		if _, ok := s.pools.get(p); !ok {
			return refused(NotFound)
		}
	}
	for i := range s.Instances() {
		if w.HasPool(i.Pool) {
			w.Steps = append(w.Steps, WaveStep{i.Name, Todo})
		}
	}
	s.setWave(w)
	return accepted
}

// withRetries returns the wave with its failed instances set to Todo.
func (w *Wave) withRetries() *Wave {
	n := *w
	n.Steps = slices.Clone(w.Steps)
	for at := range n.Steps {
		if n.Steps[at].Outcome == Failed {
			n.Steps[at].Outcome = Todo
		}
	}
	return &n
}

// withSkipped returns the wave with those instances set to Skipped that have failed or
// are still under a grant of the wave.
func (s *State) withSkipped(w *Wave) *Wave {
	n := *w
	n.Steps = slices.Clone(w.Steps)
	for at, step := range n.Steps {
		isRebooting := step.Outcome == Todo && s.hasWaveGrant(w.Name, step.Name)
		if isRebooting || step.Outcome == Failed {
			n.Steps[at].Outcome = Skipped
		}
	}
	return &n
}

// hasWaveGrant reports whether an instance is under a grant of a wave.
func (s *State) hasWaveGrant(wave, name string) bool {
	i, ok := s.instances.get(name)
	return ok && i.Grant != nil && i.Grant.Wave == wave
}

// removeWave removes a finished wave without grants.
func (s *State) removeWave(w *Wave) Verdict {
	if w == nil {
		return refused(NotFound)
	}
	if w.Phase != Finished {
		return refused(WrongPhase)
	}
	if s.countGrants(w.Name) > 0 {
		return refused(InUse)
	}
	s.waves = s.waves.unset(w.Name)
	return accepted
}

// dropFinished removes the wave that finished first if too many finished ones are kept.
func (s *State) dropFinished() {
	var first *Wave
	n := 0
	for w := range s.Waves() {
		if w.Phase != Finished {
			continue
		}
		n++
		if first == nil || w.Version < first.Version {
			first = w
		}
	}
	if n > maxFinishedWaves {
		s.waves = s.waves.unset(first.Name)
	}
}

// applyStep records an outcome. Success is refused while the instance is under a grant of
// the wave, so that a wave counts only instances that have returned.
func (s *State) applyStep(r *recpb.Step) Verdict {
	w, ok := s.waves.get(r.GetWave())
	if !ok {
		return refused(NotFound)
	}
	if w.Phase == Finished {
		return refused(WrongPhase)
	}
	old, ok := w.Step(r.GetName())
	if !ok {
		return refused(NotFound)
	}
	outcome := Done
	if r.GetFailed() {
		outcome = Failed
	}
	switch {
	case old == outcome:
		return duplicateOf(w.Started)
	case old == Done, old == Skipped && outcome == Failed:
		return refused(WrongPhase)
	case outcome == Done && s.hasWaveGrant(w.Name, r.GetName()):
		return refused(WrongPhase)
	}
	s.setWave(w.WithStep(r.GetName(), outcome))
	return accepted
}
