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
	fill = 0.85
	// drainIn is the time in which a backlog should be worked off, so that jobs that
	// wait can meet an objective of about twice their work.
	drainIn = 1200 * time.Millisecond
	// keepFor is how long a pool keeps what it needed: a move and its return cost as much
	// as an idle instance in about 2.3 s.
	keepFor = 2500 * time.Millisecond
	// movesAtOnce bounds the moves that are decided at a time.
	movesAtOnce = 16
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
func (in *Instance) has(label string) bool {
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
type part struct{ pool, label string }

// Planner remembers what pools needed lately.
type Planner struct{ needed map[part][]sample }

type sample struct {
	at   time.Duration
	need int
}

// share returns how many instances of a size a load would use whole.
func share(l Load, size model.Amount) float64 {
	total := l.Lasting.Plus(l.Arrivals).Plus(l.Backlog.Scale(1 / drainIn.Seconds()))
	most := 0.0
	for _, r := range [][2]int64{
		{total.Cores, size.Cores}, {total.Memory, size.Memory}, {total.Accelerators, size.Accelerators},
	} {
		if r[1] > 0 { // no instance has what the others lack
			most = max(most, float64(r[0])/float64(r[1]))
		}
	}
	return most / fill
}

// Needs returns the number of instances of a size that a load needs.
func Needs(l Load, size model.Amount) int { return max(l.Spread, int(math.Ceil(share(l, size)))) }

// usual returns the mean size of the instances.
func usual(fleet []Instance) model.Amount {
	var sum model.Amount
	for i := range fleet {
		sum = sum.Plus(fleet[i].Size)
	}
	return sum.Scale(1 / float64(max(len(fleet), 1)))
}

// remember returns the most that a part needed within keepFor.
func (p *Planner) remember(of part, need int, now time.Duration) int {
	if p.needed == nil {
		p.needed = map[part][]sample{}
	}
	s := append(p.needed[of], sample{now, need})
	s = slices.DeleteFunc(s, func(x sample) bool { return x.at+keepFor < now })
	p.needed[of] = s
	most := 0
	for _, x := range s {
		most = max(most, x.need)
	}
	return most
}

// round is one decision while it is made.
type round struct {
	standby    string
	have       map[part]int // without what is on its way
	coming     map[part]int
	need, keep map[part]int
	free       []Instance
	out        []Move
}

// Plan returns the moves to make now.
func (p *Planner) Plan(pools []Pool, fleet []Instance, now time.Duration) []Move {
	r := round{have: map[part]int{}, coming: map[part]int{}, need: map[part]int{}, keep: map[part]int{}}
	p.measure(&r, pools, fleet, now)
	r.free = slices.DeleteFunc(slices.Clone(fleet), func(in Instance) bool {
		return !in.Free || in.Pool != r.standby && (in.Lasting > 0 || in.Work > 0)
	})
	slices.SortFunc(r.free, func(a, b Instance) int { return cmp.Or(cmp.Compare(a.Rarity, b.Rarity), cmp.Compare(a.Name, b.Name)) })
	// What needs a label comes first: it can use fewer instances than the rest.
	short := r.short(func(label string) bool { return label != "" })
	r.fetch(short)
	rest := r.short(func(label string) bool { return label == "" })
	r.fetch(rest)
	r.rest(append(short, rest...))
	return r.out
}

// measure notes what each part of a pool has and needs.
func (p *Planner) measure(r *round, pools []Pool, fleet []Instance, now time.Duration) {
	size := usual(fleet)
	for _, pool := range pools {
		if pool.Standby {
			r.standby = pool.Name
		}
	}
	with := map[string]int{}
	for i := range fleet {
		count(r.have, &fleet[i], fleet[i].Pool, 1)
		for _, label := range fleet[i].Labels {
			with[label]++
		}
	}
	for _, pool := range pools {
		if pool.Standby {
			continue
		}
		for label, n := range pool.Coming {
			r.coming[part{pool.Name, label}] += n
		}
		all, least, sum := part{pool.Name, ""}, 1, 0.0
		for label, load := range pool.Demand {
			of := part{pool.Name, label}
			need, whole := Needs(load, size), share(load, size)
			if load.More {
				need = max(need, r.have[of]+1)
			}
			if label != "" {
				// More than there are would be idle beside work that they can't run.
				need, whole = min(need, with[label]), min(whole, float64(with[label]))
			}
			r.need[of] = need
			least, sum = max(least, need), sum+whole
		}
		r.need[all] = max(least, int(math.Ceil(sum)))
	}
	for of, n := range r.need {
		r.keep[of] = p.remember(of, n, now)
	}
	for of := range p.needed {
		if _, ok := r.need[of]; !ok {
			if r.keep[of] = p.remember(of, 0, now); r.keep[of] == 0 {
				delete(p.needed, of)
			}
		}
	}
}

// count adds n instances like one to the parts of a pool that it belongs to.
func count(to map[part]int, in *Instance, pool string, n int) {
	to[part{pool, ""}] += n
	for _, label := range in.Labels {
		to[part{pool, label}] += n
	}
}

// isSpare says whether a pool has more instances than the given numbers of each part
// that an instance belongs to.
func (r *round) isSpare(in *Instance, limits map[part]int) bool {
	if r.have[part{in.Pool, ""}] <= limits[part{in.Pool, ""}] {
		return false
	}
	for _, label := range in.Labels {
		of := part{in.Pool, label}
		if n, ok := limits[of]; ok && r.have[of] <= n {
			return false
		}
	}
	return true
}

// missing returns how many instances a part lacks.
func (r *round) missing(x part) int { return r.need[x] - r.have[x] - r.coming[x] }

// short returns the parts that lack instances, the greatest lack first.
func (r *round) short(of func(label string) bool) []part {
	out := slices.DeleteFunc(slices.Collect(maps.Keys(r.need)), func(x part) bool { return !of(x.label) || r.missing(x) <= 0 })
	slices.SortFunc(out, func(a, b part) int {
		return cmp.Or(cmp.Compare(r.missing(b), r.missing(a)), cmp.Compare(a.pool, b.pool), cmp.Compare(a.label, b.label))
	})
	return out
}

// fetch moves instances to the parts that lack them.
func (r *round) fetch(short []part) {
	for _, of := range short {
		for r.missing(of) > 0 && len(r.out) < movesAtOnce {
			in, ok := r.take(of)
			if !ok {
				break
			}
			count(r.have, &in, in.Pool, -1)
			count(r.coming, &in, of.pool, 1)
			r.out = append(r.out, Move{in.Name, of.pool})
		}
	}
}

// take returns an idle instance that its pool can spare, or one on standby.
func (r *round) take(of part) (Instance, bool) {
	best := -1
	for i := range r.free {
		in := &r.free[i]
		if in.Pool == of.pool || !in.has(of.label) || in.Barred[of.pool] {
			continue
		}
		if in.Pool == r.standby {
			if best < 0 {
				best = i
			}
			continue
		}
		if r.isSpare(in, r.need) && (best < 0 || r.free[best].Pool == r.standby) {
			best = i
		}
	}
	if best < 0 {
		return Instance{}, false
	}
	in := r.free[best]
	r.free = slices.Delete(r.free, best, best+1)
	return in, true
}

// rest sends to standby what its pool did not need for a while and no part that is
// short could use.
func (r *round) rest(short []part) {
	if r.standby == "" {
		return
	}
	for i := range r.free {
		in := &r.free[i]
		if in.Pool == r.standby || in.Barred[r.standby] || len(r.out) >= movesAtOnce || !r.isSpare(in, r.keep) {
			continue
		}
		if slices.ContainsFunc(short, func(x part) bool { return in.has(x.label) && !in.Barred[x.pool] }) {
			continue
		}
		count(r.have, in, in.Pool, -1)
		r.out = append(r.out, Move{in.Name, r.standby})
	}
}
