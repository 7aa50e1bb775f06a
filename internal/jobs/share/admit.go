package share

import (
	"math"
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
