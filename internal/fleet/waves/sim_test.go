package waves

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// spread is the range of the drain and reboot times of a simulated fleet, in seconds.
type spread struct{ drainLo, drainHi, bootLo, bootHi int }

// sim holds the true state of a fleet and plays planner and operator in steps of 1 s.
type sim struct {
	now     time.Duration
	rnd     *rand.Rand
	inst    []Instance
	ends    []time.Duration // end of the present phase
	back    map[int]time.Duration
	spread  spread
	budget  Budget
	waves   []Wave
	dead    func(s *sim, i int) bool // whether a reboot of i never ends
	fault   func(s *sim)
	halts   []string
	faulty  int // drains granted while the true state allowed none
	drained int
	work    time.Duration // sum of drain and reboot times
	naive   bool
	params  Params
	batch   map[int]bool
}

func newSim(n int, seed uint64, b Budget, sp spread) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), budget: b, spread: sp, back: map[int]time.Duration{}}
	for i := range n {
		rack := i / 4
		s.inst = append(s.inst, Instance{Name: fmt.Sprintf("i%04d", i), Pool: "p", Rack: fmt.Sprintf("r%03d", rack),
			Centre: fmt.Sprintf("c%d", rack%3), Health: Up})
	}
	s.ends = make([]time.Duration, n)
	s.waves = []Wave{{Name: "w", Pools: []string{"p"}}}
	return s
}

func (s *sim) between(lo, hi int) time.Duration {
	return time.Duration(lo*1000+s.rnd.IntN((hi-lo)*1000+1)) * time.Millisecond
}

func (s *sim) health(i int, h Health) {
	s.inst[i].Health, s.inst[i].Changed = h, s.now
}

func (s *sim) enter(i int, p Phase) {
	s.inst[i].Phase, s.inst[i].Since = p, s.now
}

func (s *sim) drain(i int, wave string) {
	if s.over(&s.inst[i]) {
		s.faulty++
	}
	s.drained++
	s.inst[i].Wave = wave
	s.enter(i, Draining)
	d := s.between(s.spread.drainLo, s.spread.drainHi)
	s.ends[i] = s.now + d
	s.work += d
}

// over says whether the true state has no room for one more unavailable instance.
func (s *sim) over(c *Instance) bool {
	var pool, centre, rack int
	for i := range s.inst {
		if x := &s.inst[i]; !x.Available() && x.Name != c.Name {
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

// advance moves instances whose phase ended.
func (s *sim) advance() {
	for i := range s.inst {
		x := &s.inst[i]
		if t, ok := s.back[i]; ok && s.now >= t {
			delete(s.back, i)
			s.health(i, Up)
		}
		if x.Phase == Serving || s.now < s.ends[i] {
			continue
		}
		w := s.wave(x.Wave)
		if x.Phase == Draining {
			w.Drains = append(w.Drains, s.now-x.Since)
			s.enter(i, Restarting)
			s.health(i, Down)
			d := s.between(s.spread.bootLo, s.spread.bootHi)
			s.work += d
			s.ends[i] = s.now + d
			if s.dead != nil && s.dead(s, i) {
				s.ends[i] = 1 << 62
			}
			continue
		}
		w.Restarts = append(w.Restarts, s.now-x.Since)
		w.Done = append(w.Done, x.Name)
		x.Wave = ""
		s.enter(i, Serving)
		s.health(i, Up)
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

// run returns the roll-out time over its lower bound. The operator rolls a halted
// wave on after 60 s.
func (s *sim) run(limit time.Duration) float64 {
	resume := map[string]time.Duration{}
	for open := true; open && s.now < limit; s.now += time.Second {
		s.advance()
		if s.fault != nil {
			s.fault(s)
		}
		if s.naive {
			open = s.stepNaive()
			continue
		}
		open = false
		for k, d := range Plan(Input{Now: s.now, Waves: s.waves, Instances: s.inst, Budgets: map[string]Budget{"p": s.budget}, Params: s.params}) {
			w := &s.waves[k]
			w.Failed = append(w.Failed, d.Failed...)
			for _, n := range d.Drain {
				s.drain(s.index(n), w.Name)
			}
			if d.Halt != nil {
				s.halts = append(s.halts, fmt.Sprintf("%T", d.Halt))
				w.Status, resume[w.Name] = Halted, s.now+time.Minute
			}
			if w.Status == Halted && s.now >= resume[w.Name] {
				w.Status, w.Resumed = Running, s.now
				w.Left, w.Failed = append(w.Left, w.Failed...), nil
			}
			if d.Finished {
				w.Status = Finished
			}
			open = open || !d.Finished
		}
	}
	mean := s.work / time.Duration(s.drained)
	lower := float64(mean) * float64(len(s.inst)*len(s.waves)) / float64(s.budget.Total)
	return float64(s.now-time.Second) / lower
}

// stepNaive drains fixed batches in name order: it counts its own drains only and
// waits for the whole batch, up to 15 min for an instance that does not return.
func (s *sim) stepNaive() bool {
	for i := range s.batch {
		x := &s.inst[i]
		if x.Phase == Serving || s.now-x.Since > 15*time.Minute {
			delete(s.batch, i)
		}
	}
	if len(s.batch) > 0 {
		return true
	}
	done := set(s.waves[0].Done)
	s.batch = map[int]bool{}
	l, n := s.budget.limits(), map[string]int{}
	for i := range s.inst {
		x := &s.inst[i]
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

// failRack takes all instances of a rack down at a time and up again later.
func failRack(rack string, at, until time.Duration) func(*sim) {
	return func(s *sim) {
		for i := range s.inst {
			if s.now == at && s.inst[i].Rack == rack {
				s.health(i, Down)
				s.back[i] = until
			}
		}
	}
}
