package waves

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	evenTimes = timeRanges{20, 20, 90, 90}
	mildTimes = timeRanges{15, 25, 75, 105}
	wideTimes = timeRanges{5, 35, 60, 120}
)

// TestRollout guards against unused budget, budget violations and roll-outs that take as long
// as fixed batches, with 4 instances in a rack and 3 data centres.
func TestRollout(t *testing.T) {
	for _, c := range []struct {
		name  string
		n     int
		b     Budget
		times timeRanges
	}{
		{"2 mild", 50, Budget{2, 1, 1}, mildTimes},
		{"3 mild", 50, Budget{3, 1, 1}, mildTimes},
		{"5 even", 50, Budget{5, 1, 2}, evenTimes},
		{"5 mild", 50, Budget{5, 1, 2}, mildTimes},
		{"5 wide", 50, Budget{5, 1, 2}, wideTimes},
		{"8 mild", 50, Budget{8, 1, 3}, mildTimes},
		{"10 mild", 50, Budget{10, 1, 4}, mildTimes},
		{"20 mild", 400, Budget{20, 1, 8}, mildTimes},
	} {
		var sum, worst, baseline float64
		seeds := 8.0
		if c.n > 100 {
			seeds = 2
		}
		for seed := range uint64(seeds) {
			s := newSim(c.n, seed, c.b, c.times)
			r := s.run(10 * time.Hour)
			sum += r / seeds
			worst = max(worst, r)
			assert.Equal(t, s.violations, 0)
			assert.Equal(t, len(s.waves[0].Done), c.n)
			n := newSim(c.n, seed, c.b, c.times)
			n.baseline = true
			baseline += n.run(10*time.Hour) / seeds
		}
		t.Logf("%d instances, budget %-8s over bound: mean %.3f worst %.3f, baseline mean %.3f", c.n, c.name, sum, worst, baseline)
		assert.Assert(t, worst <= 1.15 && sum < baseline)
	}
}

// TestFaults guards against budget violations and waves that continue during a fault. It logs
// the instances lost, compared with fixed batches under the same fault.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name         string
		fault        func(*sim)
		neverReturns func(*sim, int) bool
	}{
		{"rack down 5 min", failRack("r003", 400*time.Second, 700*time.Second), nil},
		{"rack down 1 h", failRack("r003", 400*time.Second, time.Hour), nil},
		{"one never returns", nil, func(_ *sim, i int) bool { return i == 17 }},
		{"bad image from 300 s", nil, func(s *sim, _ int) bool { return s.now > 300*time.Second }},
	} {
		for _, baseline := range []bool{false, true} {
			s := newSim(50, 1, Budget{5, 1, 2}, mildTimes)
			s.injectFault, s.neverReturns, s.baseline = c.fault, c.neverReturns, baseline
			r := s.run(5 * time.Hour)
			t.Logf("%-20s baseline %-5t over bound %.2f, violations %d, returned %d, out %d, halts %v",
				c.name, baseline, r, s.violations, len(s.waves[0].Done), s.drained-len(s.waves[0].Done), s.halts)
			assert.Assert(t, baseline || s.violations == 0)
		}
	}
}

// TestBudgetHolds runs two waves over the same pool with random budgets, failures and
// instances that never return. It guards against budget violations in the true state and
// waves that do not finish although they are rolled on after each halt.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := Budget{rapid.IntRange(1, 8).Draw(rt, "total"), rapid.IntRange(0, 2).Draw(rt, "rack"), rapid.IntRange(0, 4).Draw(rt, "centre")}
		s := newSim(rapid.IntRange(1, 16).Draw(rt, "n"), rapid.Uint64().Draw(rt, "seed"), b, timeRanges{5, 9, 10, 20})
		s.waves = append(s.waves, Wave{Name: "v", Pools: []string{"p"}, Limit: rapid.IntRange(0, 3).Draw(rt, "limit")})
		s.params = DefaultParams()
		s.params.InitialBound = 3 * time.Minute
		lostReturns := rapid.IntRange(0, 2).Draw(rt, "deaths")
		s.neverReturns = func(s *sim, i int) bool {
			lostReturns--
			return lostReturns >= 0 && s.rnd.IntN(4) == 0
		}
		s.injectFault = func(s *sim) {
			i := s.rnd.IntN(len(s.instances))
			if s.now < 10*time.Minute && s.instances[i].IsAvailable() && s.rnd.IntN(60) == 0 {
				s.setHealth(i, Down)
				s.upAgainAt[i] = s.now + s.between(5, 60)
			}
		}
		s.run(time.Hour)
		assert.Equal(rt, s.violations, 0)
		for _, w := range s.waves {
			assert.Equal(rt, w.Status, Finished, "%+v", w)
		}
	})
}

// TestHalt guards against halts that are missed, unjustified or repeated after a resume.
func TestHalt(t *testing.T) {
	const now = time.Hour
	sec := time.Second
	up := func(n, rack string) Instance {
		return Instance{Name: n, Pool: "p", Rack: rack, Centre: "c", Health: Up}
	}
	down := func(n, rack string, h Health, since, at time.Duration) Instance {
		i := up(n, rack)
		i.Health, i.PhaseSince, i.HealthSince = h, now-since, now-at
		return i
	}
	restarting := func(n string, since time.Duration) Instance {
		i := down(n, "r1", Down, since, since)
		i.Phase, i.Wave = Restarting, "w"
		return i
	}
	restartTimes := []time.Duration{60 * sec, 70 * sec, 80 * sec}
	for _, c := range []struct {
		name string
		inst []Instance
		want Reason
	}{
		{"in time", []Instance{restarting("a", 209*sec)}, nil},
		{"overdue", []Instance{restarting("a", 211*sec)}, &Overdue{[]string{"a"}, 210 * sec}},
		{"relapsed", []Instance{down("d1", "r1", Down, 90*sec, 30*sec)}, &FailedAfterReturn{[]string{"d1"}}},
		{"failed long after", []Instance{down("d1", "r1", Down, 900*sec, 30*sec)}, nil},
		{"list outage", []Instance{down("d1", "r1", Unknown, 900*sec, 30*sec), down("d2", "r1", Unknown, 900*sec, 30*sec)}, nil},
		{"same rack", []Instance{down("d1", "r1", Down, 900*sec, 30*sec), down("d2", "r1", Down, 900*sec, 31*sec), down("x", "r1", Down, 900*sec, 30*sec)},
			&Correlated{[]string{"d2", "d1"}, "r1", true}},
		{"far apart in time", []Instance{down("d1", "r1", Down, 900*sec, 30*sec), down("d2", "r1", Down, 900*sec, 100*sec)}, nil},
	} {
		w := Wave{Name: "w", Pools: []string{"p"}, Done: []string{"d1", "d2"}, RestartTimes: restartTimes}
		in := Input{Now: now, Waves: []Wave{w}, Instances: append(c.inst, up("z", "r2")), Budgets: map[string]Budget{"p": {Total: 5}}}
		d := Plan(in)[0]
		assert.DeepEqual(t, d.Halt, c.want)
		assert.Equal(t, len(d.Drain) == 0, c.want != nil, c.name)
		in.Waves[0].ResumedAt = now
		assert.Assert(t, Plan(in)[0].Halt == nil, "%s: halts again after resume", c.name)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{50, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSim(n, 1, Budget{n / 10, 1, n / 25}, mildTimes)
			in := Input{Waves: s.waves, Instances: s.instances, Budgets: map[string]Budget{"p": s.budget}}
			for i := range n / 10 {
				s.instances[i*4%n].Phase, s.instances[i*4%n].Wave = Draining, "w"
			}
			s.instances[0].Phase = Serving
			for b.Loop() {
				Plan(in)
			}
		})
	}
}
