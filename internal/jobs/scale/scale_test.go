package shift

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// sim plays four queues that in turn ask for five times their mean for 4.5 s, and a
// twentieth of it in between. A move takes 2 s.
type sim struct {
	pool   map[string]string // of each instance
	coming map[string]arriving
	queue  map[string]float64 // core seconds that wait
	moves  int
	paid   float64 // instance seconds in pools
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
	simTurn  = 4500 * time.Millisecond
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
	if int(now/simTurn)%len(simPools) == pool {
		return 5 * simMean
	}
	return simMean / 20
}

// run plays 36 s. A nil planner means that no instance moves.
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
			arrives := simDemand(i, now) * simStep.Seconds()
			can := float64(have[name]) * simCores * fill * simStep.Seconds()
			work := s.queue[name] + arrives
			done := min(work, can)
			if wait := s.queue[name] / max(can/simStep.Seconds(), 1); wait > 1.2 {
				s.late += done
			}
			s.queue[name] = work - done
			s.served += done
			s.paid += float64(have[name]) * simStep.Seconds()
			n := 0
			for _, c := range s.coming {
				if c.pool == name {
					n++
				}
			}
			pools = append(pools, Pool{Name: name, Coming: map[string]int{"": n}, Demand: Demand{"": {
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
			// Work is packed on few instances.
			need := int((simDemandOf(pool, now) + s.queue[pool]) / simCores)
			busy[pool]++
			in := Instance{Name: name, Pool: pool, Size: cores(simCores * 1000), Free: true}
			if pool != "rest" && busy[pool] <= need {
				in.Work = simCores * 1000
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

// Guards against a gain that costs more than it is worth: with moves, far less work is
// late than with static pools, for at most as many instance seconds.
func TestMovesFollowTheTurns(t *testing.T) {
	static, moved := newSim(), newSim()
	static.run(nil)
	moved.run(&Planner{})
	t.Logf("static: late %.0f of %.0f core seconds, %.0f instance seconds", static.late, static.served, static.paid)
	t.Logf("moved:  late %.0f of %.0f core seconds, %.0f instance seconds, %d moves", moved.late, moved.served, moved.paid, moved.moves)
	assert.Assert(t, moved.late < static.late/2, "late %.0f against %.0f", moved.late, static.late)
	assert.Assert(t, moved.paid <= static.paid, "paid %.0f against %.0f", moved.paid, static.paid)
}

// Guards against a pool that gives away what its own work needs, or an instance with
// tasks that serve.
func TestPoolsKeepWhatTheyNeed(t *testing.T) {
	fleet := []Instance{
		{Name: "a0", Pool: "a", Size: cores(32000), Lasting: 1, Free: true}, {Name: "a1", Pool: "a", Size: cores(32000), Free: true},
		{Name: "b0", Pool: "b", Size: cores(32000), Work: 1000, Free: true}, {Name: "b1", Pool: "b", Size: cores(32000), Free: false},
	}
	pools := []Pool{
		{Name: "a", Demand: Demand{"": {Spread: 2}}}, {Name: "b", Demand: Demand{"": {Arrivals: cores(200_000)}}}, {Name: "rest", Standby: true},
	}
	assert.Equal(t, len((&Planner{}).Plan(pools, fleet, 0)), 0)
	pools[0].Demand = nil
	moves := (&Planner{}).Plan(pools, fleet, 0)
	assert.DeepEqual(t, moves, []Move{{"a1", "b"}})
}

// Guards against an instance that goes to standby and is called back at once.
func TestStandbyWaitsUntilThePeakIsOver(t *testing.T) {
	p := &Planner{}
	fleet := []Instance{{Name: "a0", Pool: "a", Size: cores(32000), Free: true}, {Name: "a1", Pool: "a", Size: cores(32000), Free: true}}
	pools := []Pool{{Name: "a", Demand: Demand{"": {Arrivals: cores(50_000)}}}, {Name: "rest", Standby: true}}
	assert.Equal(t, len(p.Plan(pools, fleet, 0)), 0)
	pools[0].Demand = nil
	assert.Equal(t, len(p.Plan(pools, fleet, time.Second)), 0)
	assert.Equal(t, len(p.Plan(pools, fleet, keepFor+time.Second)), 1)
}

// Guards against a task that lasts and never gets room, because the pool's cores are
// enough and its memory is not.
func TestPoolGrowsForATaskWithoutRoom(t *testing.T) {
	fleet := []Instance{{Name: "a0", Pool: "a", Size: cores(32000), Lasting: 3, Free: true}, {Name: "r0", Pool: "rest", Size: cores(32000), Free: true}}
	pools := []Pool{{Name: "a", Demand: Demand{"": {Lasting: cores(3000), More: true}}}, {Name: "rest", Standby: true}}
	assert.DeepEqual(t, (&Planner{}).Plan(pools, fleet, 0), []Move{{"r0", "a"}})
	pools[0].Coming = map[string]int{"": 1}
	assert.Equal(t, len((&Planner{}).Plan(pools, fleet, 0)), 0)
}

// Guards against work that needs a label and waits for ever, because its pool has
// instances enough and none with the label, or gave them away as idle.
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
	// The instance is not called twice, and not taken from a pool that needs it.
	pools[0].Coming = map[string]int{"": 1, "y": 1}
	assert.DeepEqual(t, p.Plan(pools, slices.Delete(slices.Clone(fleet), 3, 4), 0), []Move{{"a0", "rest"}})
	pools[0].Coming = nil
	pools[1].Demand = Demand{"y": work}
	assert.DeepEqual(t, p.Plan(pools, fleet, 0), []Move{{"a0", "rest"}, {"b0", "rest"}})
}

// Guards against pools that are short of memory or accelerators and get no instance
// because their cores would do.
func TestPoolsGrowForAnyResource(t *testing.T) {
	size := model.Amount{Cores: 32000, Memory: 64 << 10, Accelerators: 4}
	for _, backlog := range []model.Amount{{Memory: 300 << 10}, {Accelerators: 18}} {
		n := Needs(Load{Backlog: backlog.Scale(drainIn.Seconds())}, size)
		assert.Equal(t, n, 6)
	}
	// No instance has any: such work can't draw instances.
	assert.Equal(t, Needs(Load{Backlog: model.Amount{Accelerators: 18}}, cores(32000)), 0)
}

// Guards against an instance that is ordered into a pool again and again that it can't
// join, while another one could.
func TestBarredInstancesAreNotMoved(t *testing.T) {
	fleet := []Instance{
		{Name: "r0", Pool: "rest", Size: cores(32000), Free: true, Barred: map[string]bool{"a": true}},
		{Name: "r1", Pool: "rest", Size: cores(32000), Free: true},
	}
	pools := []Pool{{Name: "a", Demand: Demand{"": {Spread: 1}}}, {Name: "rest", Standby: true}}
	assert.DeepEqual(t, (&Planner{}).Plan(pools, fleet, 0), []Move{{"r1", "a"}})
}

// Guards against a pool that fills with instances for a backlog which only those with a
// label can run, and which are all there.
func TestBacklogOfARareLabelDrawsNoOthers(t *testing.T) {
	fleet := []Instance{{Name: "a0", Pool: "a", Labels: []string{"x"}, Size: cores(32000), Work: 32000, Free: true}}
	for i := range 4 {
		fleet = append(fleet, Instance{Name: fmt.Sprint("r", i), Pool: "rest", Size: cores(32000), Free: true})
	}
	pools := []Pool{{Name: "a", Demand: Demand{"x": {Backlog: cores(500_000)}}}, {Name: "rest", Standby: true}}
	assert.Equal(t, len((&Planner{}).Plan(pools, fleet, 0)), 0)
	pools[0].Demand[""] = Load{Backlog: cores(30_000)}
	assert.Equal(t, len((&Planner{}).Plan(pools, fleet, 0)), 1)
}
