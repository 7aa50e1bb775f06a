// Package waves decides the next step of maintenance waves: which instances to drain now,
// whether a wave must halt and why, and whether it is finished.
//
// The package keeps no state. Every call counts the used budget from the instances in its
// input, so used budget can't be left uncounted or be counted forever.
package waves

import "time"

// Phase is the state of an instance in the sequence of drain and reboot.
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

// Instance is one instance as the replicated state shows it. Times are durations since the
// same arbitrary start as Input.Now.
type Instance struct {
	Name   string
	Pool   string
	Rack   string
	Centre string
	Phase  Phase
	Health Health
	// PhaseSince is when the instance entered Phase.
	PhaseSince time.Duration
	// HealthSince is when Health last changed.
	HealthSince time.Duration
	// Wave is the wave that drains the instance, empty if the instance serves or moves.
	Wave string
}

// IsAvailable reports whether the instance counts as available in its pool's budget.
func (i Instance) IsAvailable() bool {
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

// Status is the state of a wave as recorded by operators and the planner.
type Status uint8

// States of a wave.
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
	// Limit is the maximum number of instances in progress, 0 for the budget alone.
	Limit int
	// Done names the instances that returned after their reboot.
	Done []string
	// Failed names the instances that were reported as failed. One that becomes available
	// again is still drained. When an operator rolls the wave on, that is, resumes it
	// without its failed instances, they move to Excluded.
	Failed []string
	// Excluded names the instances that were left out when the wave was rolled on.
	Excluded []string
	// ResumedAt is when the wave last started, resumed or rolled on. Failures before that
	// time are known to the operator and do not halt the wave again.
	ResumedAt time.Duration
	// DrainTimes are the observed times from the drain's grant to its end.
	DrainTimes []time.Duration
	// RestartTimes are the observed times from the reboot order to the return.
	RestartTimes []time.Duration
}

// Params are the parameters of the policy. Plan replaces the zero value by DefaultParams.
type Params struct {
	// InitialBound limits a drain or a restart until MinSamples times were observed. It
	// also limits the time for which a wave waits for instances that others drain or that
	// are down.
	InitialBound time.Duration
	// MinBound is the minimum of a bound derived from observed times.
	MinBound time.Duration
	// MinSamples is the number of observed times from which a bound is derived.
	MinSamples int
	// SoakTime is the time after an instance's return in which a failure of it is
	// attributed to the wave.
	SoakTime time.Duration
	// CorrelationWindow is the maximum time between failures that count as correlated.
	CorrelationWindow time.Duration
	// ToleratedFailures is the number of failed instances up to which a wave does not halt.
	ToleratedFailures int
	// RampShare is the share of the lower bound of the roll-out time that the canary, the
	// growing steps after it and the tail may add.
	RampShare float64
	// TailShare is the time that the end of a wave adds, when fewer instances than the
	// budget remain, as a share of one drain and reboot.
	TailShare float64
}

// DefaultParams returns the default parameters.
func DefaultParams() Params {
	return Params{
		InitialBound:      15 * time.Minute,
		MinBound:          30 * time.Second,
		MinSamples:        3,
		SoakTime:          2 * time.Minute,
		CorrelationWindow: time.Minute,
		RampShare:         0.12,
		TailShare:         0.6,
	}
}

// Input is everything that a decision depends on. Instances holds all instances of the
// waves' pools, including those drained by other waves and by moves.
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
	// Failed names the instances that are newly reported as not done: they failed or,
	// with a *Blocked halt, can't be drained.
	Failed []string
	// Halt is the reason to halt the wave, nil if it may continue.
	Halt Reason
	// Wait is why the wave drains nothing now although instances remain, nil otherwise.
	Wait Reason
	// Finished is set when every instance of the pools is done, failed or excluded and
	// none is in progress.
	Finished bool
}

// Plan returns one decision per wave, in the order of in.Waves. Waves in the same pool share
// its budget: they choose one instance each in turn.
func Plan(in Input) []Decision {
	if in.Params == (Params{}) {
		in.Params = DefaultParams()
	}
	l := newLedger(in)
	plans := make([]*wavePlan, len(in.Waves))
	for i := range in.Waves {
		plans[i] = newWavePlan(in, l, &in.Waves[i])
	}
	for more := true; more; {
		more = false
		for _, p := range plans {
			more = p.pickNext(l) || more
		}
	}
	out := make([]Decision, len(plans))
	for i, p := range plans {
		p.haltIfBlocked(in)
		out[i] = p.out
	}
	return out
}
