package scale

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// sim simulates four queues that in turn need five times their mean for 4.5 s, and a twentieth of
// the mean otherwise. A move takes 2 s.
type sim struct {
	pool   map[string]string // of each instance
	coming map[string]arriving
	queue  map[string]float64 // core seconds that wait
	moves  int
	cost   float64 // instance seconds in pools
	served float64
	late   float64 // core seconds that waited longer than 1.2 s
}

type arriving struct {
	pool string
	at   time.Duration
}

const (
	simCores = 32
	simSize  = 10 // instances of each queue's pool
	simPeak  = 4500 * time.Millisecond
	simStep  = 100 * time.Millisecond
	simMean  = 125.0 // core seconds a second of each queue
)

var simPools = []string{"a", "b", "c", "d"}

func cores(n int64) model.Amount { return model.Amount{Cores: n} }

func newSim() *sim {
	s := &sim{pool: map[string]string{}, coming: map[string]arriving{}, queue: map[string]float64{}}
	for _, p := range simPools {
		for i := range simSize {
			s.pool[fmt.Sprintf("%s%d", p, i)] = p
		}
	}
	for i := range 8 {
		s.pool[fmt.Sprintf("rest%d", i)] = "rest"
	}
	return s
}

func simDemand(pool int, now time.Duration) float64 {
	if int(now/simPeak)%len(simPools) == pool {
		return 5 * simMean
	}
	return simMean / 20
}

// run simulates 36 s. With a nil planner no instance moves.
func (s *sim) run(p *Planner) {
	for now := time.Duration(0); now < 36*time.Second; now += simStep {
		for name, c := range s.coming {
			if now >= c.at {
				s.pool[name] = c.pool
				delete(s.coming, name)
			}
		}
		have := map[string]int{}
		for _, pool := range s.pool {
			have[pool]++
		}
		var pools []Pool
		for i, name := range simPools {
			arrivals := simDemand(i, now) * simStep.Seconds()
			capacity := float64(have[name]) * simCores * usableShare * simStep.Seconds()
			work := s.queue[name] + arrivals
			done := min(work, capacity)
			if wait := s.queue[name] / max(capacity/simStep.Seconds(), 1); wait > 1.2 {
				s.late += done
			}
			s.queue[name] = work - done
			s.served += done
			s.cost += float64(have[name]) * simStep.Seconds()
			n := 0
			for _, c := range s.coming {
				if c.pool == name {
					n++
				}
			}
			pools = append(pools, Pool{Name: name, Incoming: map[string]int{"": n}, Demand: Demand{"": {
				Arrivals: cores(int64(1000 * simDemand(i, now))), Backlog: cores(int64(1000 * s.queue[name])),
			}}})
		}
		if p == nil {
			continue
		}
		pools = append(pools, Pool{Name: "rest", Standby: true})
		var list []Instance
		busy := map[string]int{}
		for name, pool := range s.pool {
			if _, moving := s.coming[name]; moving {
				continue
			}
			// Work is packed on as few instances as possible.
			need := int((simDemandOf(pool, now) + s.queue[pool]) / simCores)
			busy[pool]++
			in := Instance{Name: name, Pool: pool, Size: cores(simCores * 1000), Free: true}
			if pool != "rest" && busy[pool] <= need {
				in.BusyCores = simCores * 1000
			}
			list = append(list, in)
		}
		for _, m := range p.Plan(pools, list, now) {
			s.moves++
			s.coming[m.Instance] = arriving{m.Pool, now + 2*time.Second}
			s.pool[m.Instance] = "moving"
		}
	}
}

func simDemandOf(pool string, now time.Duration) float64 {
	for i, name := range simPools {
		if name == pool {
			return simDemand(i, now)
		}
	}
	return 0
}

// Guards against moves that cost more than they gain. With moves, less than half as much work is
// late as with static pools, for no more instance seconds.
func TestMovesFollowTheDemand(t *testing.T) {
	static, moved := newSim(), newSim()
	static.run(nil)
	moved.run(&Planner{})
	t.Logf("static: late %.0f of %.0f core seconds, %.0f instance seconds", static.late, static.served, static.cost)
	t.Logf("moved:  late %.0f of %.0f core seconds, %.0f instance seconds, %d moves", moved.late, moved.served, moved.cost, moved.moves)
	assert.Assert(t, moved.late < static.late/2, "late %.0f against %.0f", moved.late, static.late)
	assert.Assert(t, moved.cost <= static.cost, "cost %.0f against %.0f", moved.cost, static.cost)
}

// Guards against a pool that gives away an instance that it needs, or one with serving tasks.
func TestPoolsKeepWhatTheyNeed(t *testing.T) {
	fleet := []Instance{
		{Name: "a0", Pool: "a", Size: cores(32000), LongRunning: 1, Free: true}, {Name: "a1", Pool: "a", Size: cores(32000), Free: true},
		{Name: "b0", Pool: "b", Size: cores(32000), BusyCores: 1000, Free: true}, {Name: "b1", Pool: "b", Size: cores(32000), Free: false},
	}
	pools := []Pool{
		{Name: "a", Demand: Demand{"": {MinInstances: 2}}}, {Name: "b", Demand: Demand{"": {Arrivals: cores(200_000)}}}, {Name: "rest", Standby: true},
	}
	assert.Equal(t, len((&Planner{}).Plan(pools, fleet, 0)), 0)
	pools[0].Demand = nil
	moves := (&Planner{}).Plan(pools, fleet, 0)
	assert.DeepEqual(t, moves, []Move{{"a1", "b"}})
}

// Guards against an instance that goes to standby and is needed again at once.
func TestStandbyWaitsForKeepTime(t *testing.T) {
	p := &Planner{}
	fleet := []Instance{{Name: "a0", Pool: "a", Size: cores(32000), Free: true}, {Name: "a1", Pool: "a", Size: cores(32000), Free: true}}
	pools := []Pool{{Name: "a", Demand: Demand{"": {Arrivals: cores(50_000)}}}, {Name: "rest", Standby: true}}
	assert.Equal(t, len(p.Plan(pools, fleet, 0)), 0)
	pools[0].Demand = nil
	assert.Equal(t, len(p.Plan(pools, fleet, time.Second)), 0)
	assert.Equal(t, len(p.Plan(pools, fleet, keepTime+time.Second)), 1)
}

// Guards against a takeover within a burst after which the pool loses the instances that it was
// just given, since the new leader has not seen the arrivals that they were moved for.
func TestNewPlannerKeepsInstancesOfBusyPools(t *testing.T) {
	var fleet []Instance
	for _, pool := range []string{"a", "b"} {
		for i := range 5 {
			fleet = append(fleet, Instance{Name: fmt.Sprint(pool, i), Pool: pool, Size: cores(32000), Free: true})
		}
	}
	pools := []Pool{{Name: "a", Demand: Demand{"": {Arrivals: cores(50_000)}}}, {Name: "b"}, {Name: "rest", Standby: true}}
	p := &Planner{}
	assert.DeepEqual(t, p.Plan(pools, fleet, 0), []Move{{"b0", "rest"}, {"b1", "rest"}, {"b2", "rest"}, {"b3", "rest"}})
	moves := p.Plan(pools, fleet, keepTime+time.Second)
	assert.DeepEqual(t, moves[:3], []Move{{"a0", "rest"}, {"a1", "rest"}, {"a2", "rest"}})
}

// Guards against a long-running task that never starts because its pool has enough cores but not
// enough memory.
func TestPoolGrowsForATaskWithoutCapacity(t *testing.T) {
	fleet := []Instance{{Name: "a0", Pool: "a", Size: cores(32000), LongRunning: 3, Free: true}, {Name: "r0", Pool: "rest", Size: cores(32000), Free: true}}
	pools := []Pool{{Name: "a", Demand: Demand{"": {LongRunning: cores(3000), NeedsInstance: true}}}, {Name: "rest", Standby: true}}
	assert.DeepEqual(t, (&Planner{}).Plan(pools, fleet, 0), []Move{{"r0", "a"}})
	pools[0].Incoming = map[string]int{"": 1}
	assert.Equal(t, len((&Planner{}).Plan(pools, fleet, 0)), 0)
}

// Guards against work that waits forever for a label, because its pool has enough instances but
// none with the label, or gave them away as idle.
func TestPoolsGetInstancesWithTheLabel(t *testing.T) {
	fleet := []Instance{
		{Name: "a0", Pool: "a", Labels: []string{"x"}, Size: cores(32000), Free: true},
		{Name: "a1", Pool: "a", Labels: []string{"x"}, Size: cores(32000), Free: true},
		{Name: "b0", Pool: "b", Labels: []string{"x"}, Size: cores(32000), Free: true},
		{Name: "b1", Pool: "b", Labels: []string{"y"}, Size: cores(32000), Free: true},
		{Name: "r0", Pool: "rest", Labels: []string{"x"}, Size: cores(32000), Free: true},
	}
	work := Load{Backlog: cores(10_000)}
	pools := []Pool{{Name: "a", Demand: Demand{"y": work}}, {Name: "b"}, {Name: "rest", Standby: true}}
	p := &Planner{}
	assert.DeepEqual(t, p.Plan(pools, fleet, 0), []Move{{"b1", "a"}, {"a0", "rest"}})
	// The instance is not ordered twice, and not taken from a pool that needs it.
	pools[0].Incoming = map[string]int{"": 1, "y": 1}
	assert.DeepEqual(t, p.Plan(pools, slices.Delete(slices.Clone(fleet), 3, 4), 0), []Move{{"a0", "rest"}})
	pools[0].Incoming = nil
	pools[1].Demand = Demand{"y": work}
	assert.DeepEqual(t, p.Plan(pools, fleet, 0), []Move{{"a0", "rest"}, {"b0", "rest"}})
}

// Guards against pools that lack memory or accelerators and get no instance because they have
// enough cores.
func TestPoolsGrowForAnyResource(t *testing.T) {
	size := model.Amount{Cores: 32000, Memory: 64 << 10, Accelerators: 4}
	for _, backlog := range []model.Amount{{Memory: 300 << 10}, {Accelerators: 18}} {
		n := InstancesNeeded(Load{Backlog: backlog.Scale(backlogTime.Seconds())}, size)
		assert.Equal(t, n, 6)
	}
	// No instance has accelerators, so such work must not cause moves.
	assert.Equal(t, InstancesNeeded(Load{Backlog: model.Amount{Accelerators: 18}}, cores(32000)), 0)
}

// Guards against an instance that is ordered again and again into a pool that it can't join, while
// another one could.
func TestExcludedPoolsGetNoInstance(t *testing.T) {
	fleet := []Instance{
		{Name: "r0", Pool: "rest", Size: cores(32000), Free: true, ExcludedPools: map[string]bool{"a": true}},
		{Name: "r1", Pool: "rest", Size: cores(32000), Free: true},
	}
	pools := []Pool{{Name: "a", Demand: Demand{"": {MinInstances: 1}}}, {Name: "rest", Standby: true}}
	assert.DeepEqual(t, (&Planner{}).Plan(pools, fleet, 0), []Move{{"r1", "a"}})
}

// Guards against a pool that gets more and more instances for a backlog that only instances with a
// certain label can run, when it already has all of those.
func TestLabelledBacklogCausesNoOtherMoves(t *testing.T) {
	fleet := []Instance{{Name: "a0", Pool: "a", Labels: []string{"x"}, Size: cores(32000), BusyCores: 32000, Free: true}}
	for i := range 4 {
		fleet = append(fleet, Instance{Name: fmt.Sprint("r", i), Pool: "rest", Size: cores(32000), Free: true})
	}
	pools := []Pool{{Name: "a", Demand: Demand{"x": {Backlog: cores(500_000)}}}, {Name: "rest", Standby: true}}
	assert.Equal(t, len((&Planner{}).Plan(pools, fleet, 0)), 0)
	pools[0].Demand[""] = Load{Backlog: cores(25_000).Scale(backlogTime.Seconds())}
	assert.Equal(t, len((&Planner{}).Plan(pools, fleet, 0)), 1)
}
