// Package spare decides which spare instance goes to which pool and when it returns.
//
// A move pays only if the instance is useful at its target for longer than it is lost
// on the way. The plan therefore looks for the most valuable chain of visits to present
// and forecast peaks for each spare instance, with the move time and the deployment's
// weights as costs. Without a forecast, a peak counts as lasting as long again as it
// has lasted so far, so a move for it waits until it has outlasted a move.
package spare

import "time"

// Pool is one pool as observed now. Demand and Slots are in slots.
type Pool struct {
	Name string
	// Demand is the number of slots that the pool's work would use if it had them.
	Demand float64
	// Slots is the number of slots of the pool's own serving instances, without spares.
	Slots int
	// Room is the number of instances that the availability budget lets leave the pool now.
	Room int
	// Wave is set while a maintenance wave runs in the pool and needs its budget.
	Wave bool
}

// Instance is one spare instance.
type Instance struct {
	Name string
	// Pool is where it serves, the target if it is on its way.
	Pool string
	// Moving is set until it is useful at Pool.
	Moving bool
	// Slots is the number of its slots.
	Slots int
	// Lends is set if its executors can run every pool's work while it is in the
	// spare pool, without a move.
	Lends bool
}

// Weights state what a deployment pays for, all in lost slot-seconds.
type Weights struct {
	// Keep is the value of one slot-second of work that would be lost otherwise.
	Keep float64
	// Buffer is the cost of one second of an instance that is powered but not useful.
	// An instance in the spare pool that does not lend costs nothing.
	Buffer float64
	// Rollout is the cost of one second of the budget of a pool in a wave.
	Rollout float64
	// Move is the cost of a move apart from the time it takes.
	Move float64
}

// Lakeshore returns the weights of a deployment that pays for idle instances and
// for long roll-outs.
func Lakeshore() Weights {
	return Weights{Keep: 1, Buffer: 2, Rollout: 16, Move: 16}
}

// Etnea returns the weights of a deployment to which kept work matters most.
func Etnea() Weights {
	return Weights{Keep: 1, Buffer: 0.25, Rollout: 2, Move: 16}
}

// Input is everything that a plan depends on besides the observed peaks.
type Input struct {
	Now       time.Duration
	Pools     []Pool
	Instances []Instance
	// Spare is the name of the spare pool.
	Spare string
	// Trip is the time from the order of a move to the first useful slot: drain,
	// placement and reboot or warm-up. See Times.
	Trip time.Duration
	// Yield is the useful share of a lent slot, between 0 and 1.
	Yield   float64
	Weights Weights
}

// Reason says why an instance moves. It is one of *Peak, *Forecast and *Return.
type Reason interface{ reason() }

// Peak is a peak that lasts and is expected to last for Remaining.
type Peak struct{ Remaining time.Duration }

// Forecast is a peak that is expected to start in In, with a Confidence from 0 to 1.
type Forecast struct {
	In         time.Duration
	Confidence float64
}

// Return is the return to the spare pool of an instance that would be idle for Idle.
type Return struct{ Idle time.Duration }

func (*Peak) reason()     {}
func (*Forecast) reason() {}
func (*Return) reason()   {}

// Move is one move of a spare instance.
type Move struct {
	Instance string
	From, To string
	Reason   Reason
}

// Loan lends the slots of an instance in the spare pool to a pool while it is idle there.
type Loan struct {
	Instance string
	To       string
}

// Plan is the result of a decision.
type Plan struct {
	Moves []Move
	Loans []Loan
}

// Times keeps observed move times. The zero value is ready for use.
type Times struct {
	seen []time.Duration
}

// Add records the time from the order of a move to the first useful slot.
func (t *Times) Add(d time.Duration) {
	t.seen = append(t.seen, d)
	if len(t.seen) > history {
		t.seen = t.seen[1:]
	}
}

// Trip returns the median observed time, or first if there is none.
func (t *Times) Trip(first time.Duration) time.Duration {
	if len(t.seen) == 0 {
		return first
	}
	return median(t.seen)
}
