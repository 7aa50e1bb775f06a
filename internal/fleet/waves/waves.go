// Package waves decides the next step of maintenance waves: which instances to
// drain now, whether a wave must halt and why, and whether it is finished.
//
// The package keeps no state of its own. Every call counts the charged budget anew
// from the instances that it is given, so no budget can leak.
package waves

import "time"

// Phase is the position of an instance in a drain and reboot.
type Phase uint8

// Phases of an instance, in the order in which a wave goes through them.
const (
	Serving Phase = iota
	Draining
	Drained
	Restarting
)

// Health is the last known health of an instance.
type Health uint8

// Health values. Unknown counts as unavailable but never as a failure.
const (
	Unknown Health = iota
	Up
	Down
)

// Instance is one instance as the folded state shows it. Times are durations since
// the same arbitrary start as the caller's now.
type Instance struct {
	Name   string
	Pool   string
	Rack   string
	Centre string
	Phase  Phase
	Health Health
	// Since is when the instance entered Phase.
	Since time.Duration
	// Changed is when Health last changed.
	Changed time.Duration
	// Wave is the wave that drains the instance, empty if it serves or moves.
	Wave string
}

// Available says whether the instance counts as available in its pool's budget.
func (i Instance) Available() bool {
	return i.Phase == Serving && i.Health == Up
}

// Budget limits the unavailable instances of one pool, in instances.
type Budget struct {
	// Total is the limit for the pool.
	Total int
	// Rack is the limit for each rack, 0 for no separate limit.
	Rack int
	// Centre is the limit for each data centre, 0 for no separate limit.
	Centre int
}

// Status is the state of a wave as the operators' and planner's records leave it.
type Status uint8

// Wave states.
const (
	Running Status = iota
	Halted
	Finished
)

// Wave is one maintenance wave.
type Wave struct {
	Name   string
	Pools  []string
	Status Status
	// Limit is the largest number of instances in progress, 0 for the budget.
	Limit int
	// Done names the instances that returned.
	Done []string
	// Failed names the instances that were reported as failed. One that is available
	// again is drained after all; a roll on moves them to Left.
	Failed []string
	// Left names the instances that a roll on left out.
	Left []string
	// Resumed is when the wave last started, resumed or rolled on. Failures before
	// it are known to the operator and do not halt the wave again.
	Resumed time.Duration
	// Drains are the observed times from the grant to drained.
	Drains []time.Duration
	// Restarts are the observed times from the reboot order to the return.
	Restarts []time.Duration
}

// Params are the bounds of the policy. The zero value is replaced by Defaults.
type Params struct {
	// First bounds a drain or a restart until Samples times were observed, and the
	// time for which a wave waits for instances that others drain or that are down.
	First time.Duration
	// Floor is the smallest bound derived from observed times.
	Floor time.Duration
	// Samples is the number of observed times from which a bound is derived.
	Samples int
	// Soak is how long after its return a failure of an instance is put down to the wave.
	Soak time.Duration
	// Window is the longest time between failures that count as failing together.
	Window time.Duration
	// Tolerate is the number of failed instances that do not halt a wave.
	Tolerate int
	// Ramp is the share of the lower bound of the roll-out time that the canary, the
	// growing steps after it and the tail may cost.
	Ramp float64
	// Tail is the cost of the end of a wave, when fewer instances than the budget
	// remain, as a share of one drain and reboot.
	Tail float64
}

// Defaults returns the parameters that the figures in docs/fleet.md were measured with.
func Defaults() Params {
	return Params{
		First:   15 * time.Minute,
		Floor:   30 * time.Second,
		Samples: 3,
		Soak:    2 * time.Minute,
		Window:  time.Minute,
		Ramp:    0.12,
		Tail:    0.6,
	}
}

// Input is everything a decision depends on. Instances holds all instances of the
// waves' pools, those drained by other waves and moves included.
type Input struct {
	Now       time.Duration
	Waves     []Wave
	Instances []Instance
	Budgets   map[string]Budget
	Params    Params
}

// Decision is the next step of one wave.
type Decision struct {
	Wave string
	// Drain names the instances to drain now, in order.
	Drain []string
	// Failed names instances that the wave newly reports as not done: they failed or,
	// with a *Blocked halt, can not be drained.
	Failed []string
	// Halt is the reason to halt the wave, nil if it may go on.
	Halt Reason
	// Wait says why the wave drains nothing although instances remain, nil if it does.
	Wait Reason
	// Finished is set when every instance of the pools is done, failed or left out
	// and none is in progress.
	Finished bool
}

// Plan returns one decision per wave, in the order of in.Waves. The waves share the
// budgets of their pools: they choose one instance each in turn.
func Plan(in Input) []Decision {
	if in.Params == (Params{}) {
		in.Params = Defaults()
	}
	l := newLedger(in)
	runs := make([]*run, len(in.Waves))
	for i := range in.Waves {
		runs[i] = newRun(in, l, &in.Waves[i])
	}
	for more := true; more; {
		more = false
		for _, r := range runs {
			more = r.pick(l) || more
		}
	}
	out := make([]Decision, len(runs))
	for i, r := range runs {
		r.block(in)
		out[i] = r.out
	}
	return out
}
