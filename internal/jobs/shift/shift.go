// Package shift decides which instances move between pools. It answers queues that in
// turn ask for about five times their mean for some seconds, more than their pool
// holds, while the other pools rest. Instances that no pool needs go to standby, where
// they cost nothing.
package shift

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// fill is the share of a pool's cores that work can use: tasks of several cores leave
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

// Demand is what a pool's work asks for, in thousandths of a core.
type Demand struct {
	// Lasting is what tasks that serve hold.
	Lasting int64
	// Arrivals is the work that comes in, as core time a second.
	Arrivals int64
	// Backlog is the work that waits, as core time in thousandths of core seconds.
	Backlog int64
	// Spread is the least number of instances that tasks need that must not share one.
	Spread int
	// More says that a task that lasts has had no room for a while: one more instance is
	// needed, whatever the cores say.
	More bool
}

// Instance is one instance that could move.
type Instance struct {
	Name string
	Pool string
	// Cores is its size, in thousandths.
	Cores int64
	// Lasting is the number of tasks that serve on it, and Work the cores that other
	// tasks use.
	Lasting int
	Work    int64
	// Free says that nothing else is planned for it and that it is up, or off in a
	// standby pool.
	Free bool
}

// Pool is one pool.
type Pool struct {
	Name    string
	Standby bool
	Demand  Demand
	// Coming is the number of instances on their way into it.
	Coming int
}

// Move sends an instance to a pool.
type Move struct{ Instance, Pool string }

// Planner remembers what pools needed lately.
type Planner struct{ needed map[string][]sample }

type sample struct {
	at   time.Duration
	need int
}

// Needs returns the number of instances of a size that a demand needs.
func Needs(d Demand, cores int64) int {
	if cores <= 0 {
		return 0
	}
	work := float64(d.Lasting+d.Arrivals) + float64(d.Backlog)/drainIn.Seconds()
	return max(d.Spread, int(math.Ceil(work/(fill*float64(cores)))), 1)
}

// remember returns the most that a pool needed within keepFor.
func (p *Planner) remember(pool string, need int, now time.Duration) int {
	if p.needed == nil {
		p.needed = map[string][]sample{}
	}
	s := append(p.needed[pool], sample{now, need})
	s = slices.DeleteFunc(s, func(x sample) bool { return x.at+keepFor < now })
	p.needed[pool] = s
	most := 0
	for _, x := range s {
		most = max(most, x.need)
	}
	return most
}

// Plan returns the moves to make now. cores is the usual size of an instance.
func (p *Planner) Plan(pools []Pool, fleet []Instance, cores int64, now time.Duration) []Move {
	have := map[string]int{}
	for _, in := range fleet {
		have[in.Pool]++
	}
	need, keep, standby := map[string]int{}, map[string]int{}, ""
	for _, pool := range pools {
		if pool.Standby {
			standby = pool.Name
			continue
		}
		need[pool.Name] = Needs(pool.Demand, cores)
		if pool.Demand.More {
			need[pool.Name] = max(need[pool.Name], have[pool.Name]+1)
		}
		keep[pool.Name] = p.remember(pool.Name, need[pool.Name], now)
	}
	short := slices.Clone(pools)
	short = slices.DeleteFunc(short, func(x Pool) bool {
		return x.Standby || have[x.Name]+x.Coming >= need[x.Name]
	})
	missing := func(x Pool) int { return need[x.Name] - have[x.Name] - x.Coming }
	slices.SortFunc(short, func(a, b Pool) int {
		if c := cmp.Compare(missing(b), missing(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	free := slices.DeleteFunc(slices.Clone(fleet), func(in Instance) bool {
		return !in.Free || in.Pool != standby && (in.Lasting > 0 || in.Work > 0)
	})
	slices.SortFunc(free, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	var out []Move
	// take returns an idle instance that its pool can spare, or one on standby.
	take := func() (Instance, bool) {
		best := -1
		for i, in := range free {
			if in.Pool == standby {
				if best < 0 {
					best = i
				}
				continue
			}
			if have[in.Pool] > need[in.Pool] && (best < 0 || free[best].Pool == standby) {
				best = i
			}
		}
		if best < 0 {
			return Instance{}, false
		}
		in := free[best]
		free = slices.Delete(free, best, best+1)
		return in, true
	}
	for _, pool := range short {
		for n := missing(pool); n > 0 && len(out) < movesAtOnce; n-- {
			in, ok := take()
			if !ok {
				return out
			}
			have[in.Pool]--
			out = append(out, Move{in.Name, pool.Name})
		}
	}
	if standby == "" || len(short) > 0 {
		return out
	}
	for _, in := range free {
		if in.Pool == standby || len(out) >= movesAtOnce || have[in.Pool] <= keep[in.Pool] {
			continue
		}
		have[in.Pool]--
		out = append(out, Move{in.Name, standby})
	}
	return out
}
