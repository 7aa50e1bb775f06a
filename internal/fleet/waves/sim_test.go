package waves

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// timeRanges are the ranges of the drain and reboot times of a simulated fleet, in seconds.
type timeRanges struct{ drainLo, drainHi, bootLo, bootHi int }

// sim holds the true state of a fleet and simulates planner and operator in steps of 1 s.
type sim struct {
	now          time.Duration
	rnd          *rand.Rand
	instances    []Instance
	phaseEnds    []time.Duration // end of the present phase
	upAgainAt    map[int]time.Duration
	ranges       timeRanges
	budget       Budget
	waves        []Wave
	neverReturns func(s *sim, i int) bool // whether a reboot of i never ends
	injectFault  func(s *sim)
	halts        []string
	violations   int // drains granted while the true state allowed none
	drained      int
	totalTime    time.Duration // sum of drain and reboot times
	baseline     bool
	params       Params
	batch        map[int]bool
}

func newSim(n int, seed uint64, b Budget, times timeRanges) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), budget: b, ranges: times, upAgainAt: map[int]time.Duration{}}
	for i := range n {
		rack := i / 4
		s.instances = append(s.instances, Instance{Name: fmt.Sprintf("i%04d", i), Pool: "p", Rack: fmt.Sprintf("r%03d", rack),
			Centre: fmt.Sprintf("c%d", rack%3), Health: Up})
	}
	s.phaseEnds = make([]time.Duration, n)
	s.waves = []Wave{{Name: "w", Pools: []string{"p"}}}
	return s
}

func (s *sim) between(lo, hi int) time.Duration {
	return time.Duration(lo*1000+s.rnd.IntN((hi-lo)*1000+1)) * time.Millisecond
}

func (s *sim) setHealth(i int, h Health) {
	s.instances[i].Health, s.instances[i].HealthSince = h, s.now
}

func (s *sim) enterPhase(i int, p Phase) {
	s.instances[i].Phase, s.instances[i].PhaseSince = p, s.now
}

func (s *sim) drain(i int, wave string) {
	if s.isOverBudget(&s.instances[i]) {
		s.violations++
	}
	s.drained++
	s.instances[i].Wave = wave
	s.enterPhase(i, Draining)
	d := s.between(s.ranges.drainLo, s.ranges.drainHi)
	s.phaseEnds[i] = s.now + d
	s.totalTime += d
}

// isOverBudget reports whether the budget allows no further unavailable instance in the true
// state.
func (s *sim) isOverBudget(c *Instance) bool {
	var pool, centre, rack int
	for i := range s.instances {
		if x := &s.instances[i]; !x.IsAvailable() && x.Name != c.Name {
			pool++
			if x.Centre == c.Centre {
				centre++
			}
			if x.Rack == c.Rack {
				rack++
			}
		}
	}
	l := s.budget.limits()
	return pool >= l[0] || centre >= l[1] || rack >= l[2]
}

// advance puts instances whose phase ended into the next phase.
func (s *sim) advance() {
	for i := range s.instances {
		x := &s.instances[i]
		if t, ok := s.upAgainAt[i]; ok && s.now >= t {
			delete(s.upAgainAt, i)
			s.setHealth(i, Up)
		}
		if x.Phase == Serving || s.now < s.phaseEnds[i] {
			continue
		}
		w := s.wave(x.Wave)
		if x.Phase == Draining {
			w.DrainTimes = append(w.DrainTimes, s.now-x.PhaseSince)
			s.enterPhase(i, Restarting)
			s.setHealth(i, Down)
			d := s.between(s.ranges.bootLo, s.ranges.bootHi)
			s.totalTime += d
			s.phaseEnds[i] = s.now + d
			if s.neverReturns != nil && s.neverReturns(s, i) {
				s.phaseEnds[i] = 1 << 62
			}
			continue
		}
		w.RestartTimes = append(w.RestartTimes, s.now-x.PhaseSince)
		w.Done = append(w.Done, x.Name)
		x.Wave = ""
		s.enterPhase(i, Serving)
		s.setHealth(i, Up)
	}
}

func (s *sim) wave(name string) *Wave {
	for k := range s.waves {
		if s.waves[k].Name == name {
			return &s.waves[k]
		}
	}
	return nil
}

func (s *sim) index(name string) int {
	var i int
	fmt.Sscanf(name, "i%d", &i)
	return i
}

// run returns the roll-out time divided by its lower bound. The simulated operator rolls a
// halted wave on after 60 s.
func (s *sim) run(limit time.Duration) float64 {
	resumeAt := map[string]time.Duration{}
	for unfinished := true; unfinished && s.now < limit; s.now += time.Second {
		s.advance()
		if s.injectFault != nil {
			s.injectFault(s)
		}
		if s.baseline {
			unfinished = s.stepBaseline()
			continue
		}
		unfinished = false
		for k, d := range Plan(Input{Now: s.now, Waves: s.waves, Instances: s.instances, Budgets: map[string]Budget{"p": s.budget}, Params: s.params}) {
			w := &s.waves[k]
			w.Failed = append(w.Failed, d.Failed...)
			for _, n := range d.Drain {
				s.drain(s.index(n), w.Name)
			}
			if d.Halt != nil {
				s.halts = append(s.halts, fmt.Sprintf("%T", d.Halt))
				w.Status, resumeAt[w.Name] = Halted, s.now+time.Minute
			}
			if w.Status == Halted && s.now >= resumeAt[w.Name] {
				w.Status, w.ResumedAt = Running, s.now
				w.Excluded, w.Failed = append(w.Excluded, w.Failed...), nil
			}
			if d.Finished {
				w.Status = Finished
			}
			unfinished = unfinished || !d.Finished
		}
	}
	mean := s.totalTime / time.Duration(s.drained)
	lower := float64(mean) * float64(len(s.instances)*len(s.waves)) / float64(s.budget.Total)
	return float64(s.now-time.Second) / lower
}

// stepBaseline drains fixed batches in name order. It counts only its own drains and waits
// for the whole batch, up to 15 min for an instance that does not return. It reports whether
// the roll-out continues.
func (s *sim) stepBaseline() bool {
	for i := range s.batch {
		x := &s.instances[i]
		if x.Phase == Serving || s.now-x.PhaseSince > 15*time.Minute {
			delete(s.batch, i)
		}
	}
	if len(s.batch) > 0 {
		return true
	}
	done := toSet(s.waves[0].Done)
	s.batch = map[int]bool{}
	l, n := s.budget.limits(), map[string]int{}
	for i := range s.instances {
		x := &s.instances[i]
		if done[x.Name] || x.Phase != Serving || len(s.batch) >= l[0] || n[x.Centre] >= l[1] || n[x.Rack] >= l[2] {
			continue
		}
		n[x.Centre]++
		n[x.Rack]++
		s.batch[i] = true
		s.drain(i, "w")
	}
	return len(s.batch) > 0
}

// failRack returns a fault that takes all instances of a rack down at one time and up again
// at a later one.
func failRack(rack string, at, until time.Duration) func(*sim) {
	return func(s *sim) {
		for i := range s.instances {
			if s.now == at && s.instances[i].Rack == rack {
				s.setHealth(i, Down)
				s.upAgainAt[i] = until
			}
		}
	}
}
