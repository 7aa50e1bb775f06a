// Package scale decides which instances move between pools. It is built for queues that in turn
// need about five times their mean for some seconds, more than their pool holds, while the other
// pools are nearly idle. Instances that no pool needs go to standby, where they cost nothing.
package scale

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

const (
	// usableShare is the share of a pool's capacity that work can use. Tasks of several cores leave
	// gaps.
	usableShare = 0.85
	// backlogTime is the time in which a backlog should be completed. Jobs whose objective is about
	// twice their run time can wait for little more than the move of an instance.
	backlogTime = 700 * time.Millisecond
	// keepTime is how long a pool keeps the instances that it needed. A move and the move back cost
	// as much as an instance that is idle for about 2.3 s.
	keepTime = 2500 * time.Millisecond
	// maxMoves is the largest number of moves of one decision.
	maxMoves = 16
)

// Load is the need of some of a pool's work.
type Load struct {
	// LongRunning is the amount that serving tasks hold.
	LongRunning model.Amount
	// Arrivals is the work that arrives per second: the reservations of its tasks times their run
	// time in seconds.
	Arrivals model.Amount
	// Backlog is the work that waits: the reservations of its tasks times their run time in
	// seconds.
	Backlog model.Amount
	// MinInstances is the least number of instances for tasks that must not share one.
	MinInstances int
	// NeedsInstance is set if a long-running task has found no capacity for a while. One more
	// instance is then needed, whatever the amounts are.
	NeedsInstance bool
}

// Demand is the need of a pool's work. Each label has the load that needs an instance with that
// label, and the empty label has the load that needs none.
type Demand map[string]Load

// Instance is one instance that could move.
type Instance struct {
	Name   string
	Pool   string
	Labels []string
	// Size is its capacity.
	Size model.Amount
	// LongRunning is the number of serving tasks on it, and BusyCores the cores in use by other
	// tasks, in thousandths.
	LongRunning int
	BusyCores   int64
	// Free is set if nothing else is planned for it and it is up, or off in a standby pool.
	Free bool
	// Rarity is the highest rarity, from 0 to 1, of its labels that work needs.
	Rarity float64
	// ExcludedPools are pools that it can't join.
	ExcludedPools map[string]bool
}

// hasLabel reports whether the instance has a label. Every instance has the empty one.
func (in *Instance) hasLabel(label string) bool {
	return label == "" || slices.Contains(in.Labels, label)
}

// Pool is a pool with its demand.
type Pool struct {
	Name    string
	Standby bool
	Demand  Demand
	// Incoming is the number of instances with a label that are moving into the pool. The empty
	// label counts all of them.
	Incoming map[string]int
}

// Move sends an instance to a pool.
type Move struct{ Instance, Pool string }

// poolLabel stands for the instances of a pool with a label, or for all of them if the label is
// empty.
type poolLabel struct{ pool, label string }

// Planner plans moves from the needs of the pools within the last keepTime.
type Planner struct{ recentNeeds map[poolLabel][]sample }

type sample struct {
	at   time.Duration
	need int
}

// instanceShare returns how many instances of a size a load would use completely.
func instanceShare(l Load, size model.Amount) float64 {
	total := l.LongRunning.Plus(l.Arrivals).Plus(l.Backlog.Scale(1 / backlogTime.Seconds()))
	most := 0.0
	for _, r := range [][2]int64{
		{total.Cores, size.Cores}, {total.Memory, size.Memory}, {total.Accelerators, size.Accelerators},
	} {
		if r[1] > 0 { // skips resources that no instance has
			most = max(most, float64(r[0])/float64(r[1]))
		}
	}
	return most / usableShare
}

// InstancesNeeded returns the number of instances of a size that a load needs.
func InstancesNeeded(l Load, size model.Amount) int {
	return max(l.MinInstances, int(math.Ceil(instanceShare(l, size))))
}

// meanSize returns the mean size of the instances.
func meanSize(fleet []Instance) model.Amount {
	var sum model.Amount
	for i := range fleet {
		sum = sum.Plus(fleet[i].Size)
	}
	return sum.Scale(1 / float64(max(len(fleet), 1)))
}

// recordNeed records a need and returns the highest one within keepTime.
func (p *Planner) recordNeed(key poolLabel, need int, now time.Duration) int {
	if p.recentNeeds == nil {
		p.recentNeeds = map[poolLabel][]sample{}
	}
	s := append(p.recentNeeds[key], sample{now, need})
	s = slices.DeleteFunc(s, func(x sample) bool { return x.at+keepTime < now })
	p.recentNeeds[key] = s
	most := 0
	for _, x := range s {
		most = max(most, x.need)
	}
	return most
}

// assumeNeeds takes the instances that pools with work have at the planner's start for needed until
// then. Otherwise the first decision after a takeover would send away what the former leader had
// just moved to a burst.
func (p *Planner) assumeNeeds(d *decision, pools []Pool, now time.Duration) {
	for _, pool := range pools {
		if key := (poolLabel{pool.Name, ""}); d.needed[key] > 1 {
			p.recordNeed(key, d.present[key], now)
		}
	}
}

// decision is the state of one call to Plan.
type decision struct {
	standby          string
	present          map[poolLabel]int // without incoming instances
	incoming         map[poolLabel]int
	needed, retained map[poolLabel]int
	movable          []Instance
	moves            []Move
}

// Plan returns the moves to make now.
func (p *Planner) Plan(pools []Pool, fleet []Instance, now time.Duration) []Move {
	d := decision{present: map[poolLabel]int{}, incoming: map[poolLabel]int{}, needed: map[poolLabel]int{}, retained: map[poolLabel]int{}}
	p.measure(&d, pools, fleet, now)
	d.movable = slices.DeleteFunc(slices.Clone(fleet), func(in Instance) bool {
		return !in.Free || in.Pool != d.standby && (in.LongRunning > 0 || in.BusyCores > 0)
	})
	slices.SortFunc(d.movable, func(a, b Instance) int { return cmp.Or(cmp.Compare(a.Rarity, b.Rarity), cmp.Compare(a.Name, b.Name)) })
	// Work that needs a label goes first, since it can use fewer instances.
	short := d.shortages(func(label string) bool { return label != "" })
	d.supply(short)
	rest := d.shortages(func(label string) bool { return label == "" })
	d.supply(rest)
	d.sendToStandby(append(short, rest...))
	return d.moves
}

// measure sets the number of instances that each pool has and needs, by label.
func (p *Planner) measure(d *decision, pools []Pool, fleet []Instance, now time.Duration) {
	size := meanSize(fleet)
	for _, pool := range pools {
		if pool.Standby {
			d.standby = pool.Name
		}
	}
	withLabel := map[string]int{}
	for i := range fleet {
		countInstance(d.present, &fleet[i], fleet[i].Pool, 1)
		for _, label := range fleet[i].Labels {
			withLabel[label]++
		}
	}
	for _, pool := range pools {
		if pool.Standby {
			continue
		}
		for label, n := range pool.Incoming {
			d.incoming[poolLabel{pool.Name, label}] += n
		}
		all, least, sum := poolLabel{pool.Name, ""}, 1, 0.0
		for label, load := range pool.Demand {
			key := poolLabel{pool.Name, label}
			need, share := InstancesNeeded(load, size), instanceShare(load, size)
			if load.NeedsInstance {
				need = max(need, d.present[key]+1)
			}
			if label != "" {
				// More instances than there are with the label would be idle beside work that they
				// can't run.
				need, share = min(need, withLabel[label]), min(share, float64(withLabel[label]))
			}
			d.needed[key] = need
			least, sum = max(least, need), sum+share
		}
		d.needed[all] = max(least, int(math.Ceil(sum)))
	}
	if p.recentNeeds == nil {
		p.assumeNeeds(d, pools, now)
	}
	for key, n := range d.needed {
		d.retained[key] = p.recordNeed(key, n, now)
	}
	for key := range p.recentNeeds {
		if _, ok := d.needed[key]; !ok {
			if d.retained[key] = p.recordNeed(key, 0, now); d.retained[key] == 0 {
				delete(p.recentNeeds, key)
			}
		}
	}
}

// countInstance adds n to the counts of a pool for each label of an instance.
func countInstance(to map[poolLabel]int, in *Instance, pool string, n int) {
	to[poolLabel{pool, ""}] += n
	for _, label := range in.Labels {
		to[poolLabel{pool, label}] += n
	}
}

// canSpare reports whether the instance's pool has more instances than the limits, for each label
// of the instance.
func (d *decision) canSpare(in *Instance, limits map[poolLabel]int) bool {
	if d.present[poolLabel{in.Pool, ""}] <= limits[poolLabel{in.Pool, ""}] {
		return false
	}
	for _, label := range in.Labels {
		key := poolLabel{in.Pool, label}
		if n, ok := limits[key]; ok && d.present[key] <= n {
			return false
		}
	}
	return true
}

// shortage returns the number of missing instances.
func (d *decision) shortage(x poolLabel) int { return d.needed[x] - d.present[x] - d.incoming[x] }

// shortages returns the pools and labels with missing instances, the greatest shortage first.
func (d *decision) shortages(include func(label string) bool) []poolLabel {
	out := slices.DeleteFunc(slices.Collect(maps.Keys(d.needed)), func(x poolLabel) bool { return !include(x.label) || d.shortage(x) <= 0 })
	slices.SortFunc(out, func(a, b poolLabel) int {
		return cmp.Or(cmp.Compare(d.shortage(b), d.shortage(a)), cmp.Compare(a.pool, b.pool), cmp.Compare(a.label, b.label))
	})
	return out
}

// supply moves instances to the pools and labels that lack them.
func (d *decision) supply(short []poolLabel) {
	for _, key := range short {
		for d.shortage(key) > 0 && len(d.moves) < maxMoves {
			in, ok := d.takeInstance(key)
			if !ok {
				break
			}
			countInstance(d.present, &in, in.Pool, -1)
			countInstance(d.incoming, &in, key.pool, 1)
			d.moves = append(d.moves, Move{in.Name, key.pool})
		}
	}
}

// takeInstance returns an idle instance that its pool can spare, or one on standby.
func (d *decision) takeInstance(key poolLabel) (Instance, bool) {
	best := -1
	for i := range d.movable {
		in := &d.movable[i]
		if in.Pool == key.pool || !in.hasLabel(key.label) || in.ExcludedPools[key.pool] {
			continue
		}
		if in.Pool == d.standby {
			if best < 0 {
				best = i
			}
			continue
		}
		if d.canSpare(in, d.needed) && (best < 0 || d.movable[best].Pool == d.standby) {
			best = i
		}
	}
	if best < 0 {
		return Instance{}, false
	}
	in := d.movable[best]
	d.movable = slices.Delete(d.movable, best, best+1)
	return in, true
}

// sendToStandby moves instances to standby that their pool has not needed for keepTime and that
// could not reduce any shortage.
func (d *decision) sendToStandby(short []poolLabel) {
	if d.standby == "" {
		return
	}
	for i := range d.movable {
		in := &d.movable[i]
		if in.Pool == d.standby || in.ExcludedPools[d.standby] || len(d.moves) >= maxMoves || !d.canSpare(in, d.retained) {
			continue
		}
		if slices.ContainsFunc(short, func(x poolLabel) bool { return in.hasLabel(x.label) && !in.ExcludedPools[x.pool] }) {
			continue
		}
		countInstance(d.present, in, in.Pool, -1)
		d.moves = append(d.moves, Move{in.Name, d.standby})
	}
}
