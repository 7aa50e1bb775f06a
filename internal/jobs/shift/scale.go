// Package shift decides which instances move between pools. It answers queues that in
// turn ask for about five times their mean for some seconds, more than their pool
// holds, while the other pools rest. Instances that no pool needs go to standby, where
// they cost nothing.
package shift

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

const (
	// fill is the share of a pool's room that work can use: tasks of several cores leave
	// gaps.
	usableShare = 0.85
	// drainIn is the time in which a backlog should be worked off, so that jobs that
	// wait can meet an objective of about twice their work.
	backlogTime = 1200 * time.Millisecond
	// keepFor is how long a pool keeps what it needed: a move and its return cost as much
	// as an idle instance in about 2.3 s.
	keepTime = 2500 * time.Millisecond
	// movesAtOnce bounds the moves that are decided at a time.
	maxMoves = 16
)

// Load is what some of a pool's work asks for.
type Load struct {
	// Lasting is what tasks that serve hold.
	Lasting model.Amount
	// Arrivals is the work that comes in: the room of its tasks times their run time, a
	// second.
	Arrivals model.Amount
	// Backlog is the work that waits: room times run time in seconds.
	Backlog model.Amount
	// Spread is the least number of instances that tasks need that must not share one.
	Spread int
	// More says that a task that lasts has had no room for a while: one more instance is
	// needed, whatever the amounts say.
	More bool
}

// Demand is what a pool's work asks for: under each label the work that needs an
// instance with it, and under the empty label the work that needs none.
type Demand map[string]Load

// Instance is one instance that could move.
type Instance struct {
	Name   string
	Pool   string
	Labels []string
	// Size is its capacity.
	Size model.Amount
	// Lasting is the number of tasks that serve on it, and Work the cores that other
	// tasks use, in thousandths.
	Lasting int
	Work    int64
	// Free says that nothing else is planned for it and that it is up, or off in a
	// standby pool.
	Free bool
	// Rarity says how rare a label of it is that work needs, from 0 to 1.
	Rarity float64
	// Barred are pools that it can't join.
	Barred map[string]bool
}

// has says whether an instance counts for a label. All count for the empty one.
func (in *Instance) hasLabel(label string) bool {
	return label == "" || slices.Contains(in.Labels, label)
}

// Pool is one pool.
type Pool struct {
	Name    string
	Standby bool
	Demand  Demand
	// Coming is the number of instances with a label on their way into it; all are
	// counted under the empty label.
	Coming map[string]int
}

// Move sends an instance to a pool.
type Move struct{ Instance, Pool string }

// part is the instances of a pool with a label, all of them for the empty label.
type poolLabel struct{ pool, label string }

// Planner remembers what pools needed lately.
type Planner struct{ recentNeeds map[poolLabel][]sample }

type sample struct {
	at   time.Duration
	need int
}

// share returns how many instances of a size a load would use whole.
func instanceShare(l Load, size model.Amount) float64 {
	total := l.Lasting.Plus(l.Arrivals).Plus(l.Backlog.Scale(1 / backlogTime.Seconds()))
	most := 0.0
	for _, r := range [][2]int64{
		{total.Cores, size.Cores}, {total.Memory, size.Memory}, {total.Accelerators, size.Accelerators},
	} {
		if r[1] > 0 { // no instance has what the others lack
			most = max(most, float64(r[0])/float64(r[1]))
		}
	}
	return most / usableShare
}

// Needs returns the number of instances of a size that a load needs.
func InstancesNeeded(l Load, size model.Amount) int {
	return max(l.Spread, int(math.Ceil(instanceShare(l, size))))
}

// usual returns the mean size of the instances.
func meanSize(fleet []Instance) model.Amount {
	var sum model.Amount
	for i := range fleet {
		sum = sum.Plus(fleet[i].Size)
	}
	return sum.Scale(1 / float64(max(len(fleet), 1)))
}

// remember returns the most that a part needed within keepFor.
func (p *Planner) recordNeed(of poolLabel, need int, now time.Duration) int {
	if p.recentNeeds == nil {
		p.recentNeeds = map[poolLabel][]sample{}
	}
	s := append(p.recentNeeds[of], sample{now, need})
	s = slices.DeleteFunc(s, func(x sample) bool { return x.at+keepTime < now })
	p.recentNeeds[of] = s
	most := 0
	for _, x := range s {
		most = max(most, x.need)
	}
	return most
}

// round is one decision while it is made.
type decision struct {
	standby          string
	present          map[poolLabel]int // without what is on its way
	incoming         map[poolLabel]int
	needed, retained map[poolLabel]int
	movable          []Instance
	moves            []Move
}

// Plan returns the moves to make now.
func (p *Planner) Plan(pools []Pool, fleet []Instance, now time.Duration) []Move {
	r := decision{present: map[poolLabel]int{}, incoming: map[poolLabel]int{}, needed: map[poolLabel]int{}, retained: map[poolLabel]int{}}
	p.measure(&r, pools, fleet, now)
	r.movable = slices.DeleteFunc(slices.Clone(fleet), func(in Instance) bool {
		return !in.Free || in.Pool != r.standby && (in.Lasting > 0 || in.Work > 0)
	})
	slices.SortFunc(r.movable, func(a, b Instance) int { return cmp.Or(cmp.Compare(a.Rarity, b.Rarity), cmp.Compare(a.Name, b.Name)) })
	// What needs a label comes first: it can use fewer instances than the rest.
	short := r.shortages(func(label string) bool { return label != "" })
	r.supply(short)
	rest := r.shortages(func(label string) bool { return label == "" })
	r.supply(rest)
	r.sendToStandby(append(short, rest...))
	return r.moves
}

// measure notes what each part of a pool has and needs.
func (p *Planner) measure(r *decision, pools []Pool, fleet []Instance, now time.Duration) {
	size := meanSize(fleet)
	for _, pool := range pools {
		if pool.Standby {
			r.standby = pool.Name
		}
	}
	with := map[string]int{}
	for i := range fleet {
		countInstance(r.present, &fleet[i], fleet[i].Pool, 1)
		for _, label := range fleet[i].Labels {
			with[label]++
		}
	}
	for _, pool := range pools {
		if pool.Standby {
			continue
		}
		for label, n := range pool.Coming {
			r.incoming[poolLabel{pool.Name, label}] += n
		}
		all, least, sum := poolLabel{pool.Name, ""}, 1, 0.0
		for label, load := range pool.Demand {
			of := poolLabel{pool.Name, label}
			need, whole := InstancesNeeded(load, size), instanceShare(load, size)
			if load.More {
				need = max(need, r.present[of]+1)
			}
			if label != "" {
				// More than there are would be idle beside work that they can't run.
				need, whole = min(need, with[label]), min(whole, float64(with[label]))
			}
			r.needed[of] = need
			least, sum = max(least, need), sum+whole
		}
		r.needed[all] = max(least, int(math.Ceil(sum)))
	}
	for of, n := range r.needed {
		r.retained[of] = p.recordNeed(of, n, now)
	}
	for of := range p.recentNeeds {
		if _, ok := r.needed[of]; !ok {
			if r.retained[of] = p.recordNeed(of, 0, now); r.retained[of] == 0 {
				delete(p.recentNeeds, of)
			}
		}
	}
}

// count adds n instances like one to the parts of a pool that it belongs to.
func countInstance(to map[poolLabel]int, in *Instance, pool string, n int) {
	to[poolLabel{pool, ""}] += n
	for _, label := range in.Labels {
		to[poolLabel{pool, label}] += n
	}
}

// isSpare says whether a pool has more instances than the given numbers of each part
// that an instance belongs to.
func (r *decision) canSpare(in *Instance, limits map[poolLabel]int) bool {
	if r.present[poolLabel{in.Pool, ""}] <= limits[poolLabel{in.Pool, ""}] {
		return false
	}
	for _, label := range in.Labels {
		of := poolLabel{in.Pool, label}
		if n, ok := limits[of]; ok && r.present[of] <= n {
			return false
		}
	}
	return true
}

// missing returns how many instances a part lacks.
func (r *decision) shortage(x poolLabel) int { return r.needed[x] - r.present[x] - r.incoming[x] }

// short returns the parts that lack instances, the greatest lack first.
func (r *decision) shortages(of func(label string) bool) []poolLabel {
	out := slices.DeleteFunc(slices.Collect(maps.Keys(r.needed)), func(x poolLabel) bool { return !of(x.label) || r.shortage(x) <= 0 })
	slices.SortFunc(out, func(a, b poolLabel) int {
		return cmp.Or(cmp.Compare(r.shortage(b), r.shortage(a)), cmp.Compare(a.pool, b.pool), cmp.Compare(a.label, b.label))
	})
	return out
}

// fetch moves instances to the parts that lack them.
func (r *decision) supply(short []poolLabel) {
	for _, of := range short {
		for r.shortage(of) > 0 && len(r.moves) < maxMoves {
			in, ok := r.takeInstance(of)
			if !ok {
				break
			}
			countInstance(r.present, &in, in.Pool, -1)
			countInstance(r.incoming, &in, of.pool, 1)
			r.moves = append(r.moves, Move{in.Name, of.pool})
		}
	}
}

// take returns an idle instance that its pool can spare, or one on standby.
func (r *decision) takeInstance(of poolLabel) (Instance, bool) {
	best := -1
	for i := range r.movable {
		in := &r.movable[i]
		if in.Pool == of.pool || !in.hasLabel(of.label) || in.Barred[of.pool] {
			continue
		}
		if in.Pool == r.standby {
			if best < 0 {
				best = i
			}
			continue
		}
		if r.canSpare(in, r.needed) && (best < 0 || r.movable[best].Pool == r.standby) {
			best = i
		}
	}
	if best < 0 {
		return Instance{}, false
	}
	in := r.movable[best]
	r.movable = slices.Delete(r.movable, best, best+1)
	return in, true
}

// rest sends to standby what its pool did not need for a while and no part that is
// short could use.
func (r *decision) sendToStandby(short []poolLabel) {
	if r.standby == "" {
		return
	}
	for i := range r.movable {
		in := &r.movable[i]
		if in.Pool == r.standby || in.Barred[r.standby] || len(r.moves) >= maxMoves || !r.canSpare(in, r.retained) {
			continue
		}
		if slices.ContainsFunc(short, func(x poolLabel) bool { return in.hasLabel(x.label) && !in.Barred[x.pool] }) {
			continue
		}
		countInstance(r.present, in, in.Pool, -1)
		r.moves = append(r.moves, Move{in.Name, r.standby})
	}
}
