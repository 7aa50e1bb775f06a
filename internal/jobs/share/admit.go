package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// fullShare is the share of a pool in use from which it counts as full. Tasks of several cores leave
// gaps that none of them fits in.
const fullShare = 0.9

// Load is the load of a pool when the order of its jobs was last computed.
type Load struct {
	// Cores is the size of the pool in thousandths of a core.
	Cores int64
	// Full is set if the pool has hardly any free capacity.
	Full bool
	// Waiting is the waiting work that is served before an excess job, in core-seconds.
	Waiting float64
	// At is when the load was computed.
	At time.Duration
}

// IsFull reports whether a pool with a capacity of which some is used counts as full.
func IsFull(used, capacity model.Amount) bool { return used.Share(capacity) >= fullShare }

// Add adds the work of a job that was accepted since, in core-seconds.
func (p *Load) Add(work float64) { p.Waiting += work }

// Wait returns the estimated time until an excess job that arrives now is served: the waiting work
// divided by the cores, less the time since the estimate.
func (p *Load) Wait(now time.Duration) time.Duration {
	if p == nil || !p.Full || p.Cores <= 0 {
		return 0
	}
	s := p.Waiting * 1000 / float64(p.Cores)
	wait := time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
	return max(wait-max(now-p.At, 0), 0)
}

// Limited is the waiting work of an account whose limit holds back some of it.
type Limited struct {
	// Work is in core-seconds, and Cores is what the account's tasks use at the same time, in thousandths.
	Work  float64
	Cores int64
}

// WorkBefore returns the work that a pool of some cores, in thousandths, does before all waiting work is done that
// limits don't hold back, in core-seconds. Meanwhile each limited account uses no more than its cores, so that
// the rest of its work does not delay others. It reorders limited.
func WorkBefore(unlimited float64, limited []Limited, cores int64) float64 {
	sum, total := unlimited, float64(cores)/1000
	for _, a := range limited {
		sum += a.Work
	}
	if total <= 0 {
		return sum
	}
	// The time until the work of an account is done if it always uses its cores.
	alone := func(a Limited) float64 {
		if a.Cores <= 0 {
			return math.Inf(1)
		}
		return a.Work * 1000 / float64(a.Cores)
	}
	slices.SortFunc(limited, func(a, b Limited) int { return cmp.Compare(alone(b), alone(a)) })
	rate := total
	for _, a := range limited {
		used := float64(a.Cores) / 1000
		if sum/rate >= alone(a) || used >= rate {
			break // the work of this account and those after it is done by then
		}
		sum, rate = max(sum-a.Work, 0), rate-used
	}
	return total * sum / rate
}

// Decision is the decision about a submission.
type Decision struct {
	Admitted bool
	// Excess is set if the account had no token.
	Excess bool
}

// Admit decides about a submission of an account for a pool, and takes a token for it if there is one. Only
// an excess job is refused, if canWait says that it would not meet its objective after the estimated wait.
// canWait is called only if the pool is full. Promise tells a refused caller when to return.
func (b *Buckets) Admit(name string, weight float64, now time.Duration, load *Load, canWait func(time.Duration) bool) Decision {
	if b.Take(name, weight, now) {
		return Decision{Admitted: true}
	}
	wait := load.Wait(now)
	if wait == 0 || canWait(wait) {
		return Decision{Admitted: true, Excess: true}
	}
	return Decision{Excess: true}
}
