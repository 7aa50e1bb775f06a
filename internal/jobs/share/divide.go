package share

import (
	"cmp"
	"slices"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

const (
	// minWeight is the weight with which an account of less weight takes part in the division of a pool:
	// one without any weight still uses what the others leave.
	minWeight = 1e-3
	// aboveFactor is the multiple of its fair share above which an account yields to others. The order
	// by deadline serves more jobs in time than exact shares do, since accounts are rarely backlogged at the
	// same moment, so only those that are clearly above their share yield. In TestBackloggedAccountsAreServedByWeight
	// the heaviest account gets 0.81 of its share, with a factor of 1.5 only 0.63.
	aboveFactor = 1.1
	// maxMargin bounds what one job is allowed, in shares of the pool: a wide job may need all of it.
	maxMargin = 0.25
)

// Need is what an account needs of a pool.
type Need struct {
	Weight float64
	// Running is what its tasks reserve, and Waiting what those that could start need.
	Running, Waiting model.Amount
	// Largest is the largest amount of each resource that one of its jobs runs and waits for.
	Largest model.Amount
}

// resources is the number of resources in an amount.
const resources = 3

type vector [resources]float64

// fractions returns the share of each resource that an amount takes.
func fractions(a, capacity model.Amount) vector {
	part := func(x, y int64) float64 { return float64(max(x, 0)) / float64(max(y, 1)) }
	return vector{part(a.Cores, capacity.Cores), part(a.Memory, capacity.Memory), part(a.Accelerators, capacity.Accelerators)}
}

// claim is the need of an account during a division.
type claim struct {
	index  int
	weight float64
	need   vector
	// share is the dominant share of the need, and level the share for each unit of weight at which it is met.
	share, level float64
	done         bool
}

// Divider divides pools among accounts. It keeps its memory for the next division. The zero value is
// ready for use.
type Divider struct {
	claims []claim
	out    []float64
}

// Divide returns the fair dominant share of each account, by weighted max-min fairness on the dominant
// resource (DRF, Ghodsi et al. 2011) with progressive filling: the shares of all accounts grow in proportion to their
// weights until their need is met or a resource that they need is used up. The result is valid until the
// next call.
func (d *Divider) Divide(needs []Need, capacity model.Amount) []float64 {
	d.claims, d.out = d.claims[:0], d.out[:0]
	for i, n := range needs {
		d.out = append(d.out, 0)
		c := claim{index: i, weight: max(n.Weight, minWeight), need: fractions(n.Running.Plus(n.Waiting), capacity)}
		if c.share = max(c.need[0], c.need[1], c.need[2]); c.share > 0 {
			c.level = c.share / c.weight
			d.claims = append(d.claims, c)
		}
	}
	slices.SortFunc(d.claims, func(a, b claim) int { return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.index, b.index)) })
	d.fill()
	return d.out
}

// fill raises the level of all claims until each is met or needs a resource that is used up.
func (d *Divider) fill() {
	free := vector{1, 1, 1}
	rate := d.rates()
	var usedUp [resources]bool
	level := 0.0
	for i := 0; i < len(d.claims); {
		c := &d.claims[i]
		if c.done {
			i++
			continue
		}
		next, limiting := c.level, -1
		for r := range resources {
			if !usedUp[r] && rate[r] > 0 && level+free[r]/rate[r] < next {
				next, limiting = level+free[r]/rate[r], r
			}
		}
		for r := range resources {
			free[r] = max(free[r]-rate[r]*(next-level), 0)
		}
		level = next
		if limiting >= 0 {
			usedUp[limiting] = true
			d.settle(limiting, level)
			rate = d.rates()
			continue
		}
		c.done, d.out[c.index] = true, c.share
		for r := range resources {
			rate[r] = max(rate[r]-c.need[r]/c.level, 0)
		}
	}
}

// rates returns how much of each resource the open claims take for each unit of the level.
func (d *Divider) rates() vector {
	var sum vector
	for i := range d.claims {
		if c := &d.claims[i]; !c.done {
			for r := range resources {
				sum[r] += c.need[r] / c.level
			}
		}
	}
	return sum
}

// settle ends the open claims that need a resource that is used up.
func (d *Divider) settle(resource int, level float64) {
	for i := range d.claims {
		if c := &d.claims[i]; !c.done && c.need[resource] > 0 {
			c.done, d.out[c.index] = true, level*c.weight
		}
	}
}

// IsAbove reports whether an account that runs a dominant share of a pool is clearly above its fair share. One
// job is always allowed: the fair share of one of many accounts is less than one of its jobs, so that its first job
// would put it above its share.
// In TestHotAccountDoesNotCostTheOthers, where a job is a quarter of a pool, a fixed 0.05 of the pool instead lowers the
// part of jobs in time from 0.81 to 0.59 for the worst-served accounts.
func IsAbove(running, fair, job float64) bool {
	return running > max(aboveFactor*fair, min(job, maxMargin))
}
