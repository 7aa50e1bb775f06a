// Package spare decides which spare instance moves to which pool and when it returns.
//
// A move pays only if the instance is useful at its target for longer than the move takes.
// For each spare instance, the planner finds the most valuable sequence of visits to present
// and forecast peaks, with the move time and the deployment's weights as costs. With too few
// past peaks, a peak is assumed to last as long again as it has lasted so far, so an instance
// moves for it only after the peak has lasted longer than a move.
package spare

import "time"

// Pool is one pool as observed at Input.Now. Demand and Slots are in slots.
type Pool struct {
	Name string
	// Demand is the number of slots that the pool's work would use if they were available.
	Demand float64
	// Slots is the number of slots of the pool's own serving instances, without spares.
	Slots int
	// DrainBudget is the number of instances that may leave the pool now by its
	// availability budget.
	DrainBudget int
	// InWave is set while a maintenance wave runs in the pool and needs its budget.
	InWave bool
}

// Instance is one spare instance.
type Instance struct {
	Name string
	// Pool is the pool in which it serves, or the target while it moves.
	Pool string
	// Moving is set during a move, until the instance is useful in Pool.
	Moving bool
	// Slots is the number of its slots.
	Slots int
	// GrantsSlots is set if its executors can run the work of every pool while the
	// instance is in the spare pool, without a move.
	GrantsSlots bool
}

// Weights are the costs of a deployment, all in lost slot-seconds.
type Weights struct {
	// Keep is the value of one slot-second of work that would otherwise be lost.
	Keep float64
	// Buffer is the cost of one second of an instance that is powered but not useful. An
	// instance in the spare pool without GrantsSlots costs nothing.
	Buffer float64
	// Rollout is the cost of using one instance of a pool's availability budget for one
	// second while a wave runs there.
	Rollout float64
	// Move is the cost of a move besides its time.
	Move float64
}

// IdleCostWeights returns the weights of a deployment for which idle instances and long
// roll-outs are expensive.
func IdleCostWeights() Weights {
	return Weights{Keep: 1, Buffer: 2, Rollout: 16, Move: 16}
}

// KeptWorkWeights returns the weights of a deployment for which lost work is most expensive.
func KeptWorkWeights() Weights {
	return Weights{Keep: 1, Buffer: 0.25, Rollout: 2, Move: 16}
}

// Input is everything that a plan depends on besides the observed peaks.
type Input struct {
	Now       time.Duration
	Pools     []Pool
	Instances []Instance
	// SparePool is the name of the spare pool.
	SparePool string
	// MoveTime is the time from the order of a move to the first useful slot: drain,
	// placement and reboot or warm-up. See MoveTimes.
	MoveTime time.Duration
	// GrantYield is the useful share of a granted slot, from 0 to 1.
	GrantYield float64
	Weights    Weights
}

// Reason is why an instance moves. It is one of *Peak, *Forecast and *Return.
type Reason interface{ reason() }

// Peak is a present peak that is expected to last for another Remaining.
type Peak struct{ Remaining time.Duration }

// Forecast is a peak that is expected to start after In, with a Confidence from 0 to 1.
type Forecast struct {
	In         time.Duration
	Confidence float64
}

// Return is the return to the spare pool of an instance that would otherwise be idle for
// Idle.
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

// SlotGrant grants the slots of an idle instance in the spare pool to pool To.
type SlotGrant struct {
	Instance string
	To       string
}

// Plan is the result of a decision.
type Plan struct {
	Moves      []Move
	SlotGrants []SlotGrant
}

// MoveTimes holds the latest observed move times. The zero value is ready for use.
type MoveTimes struct {
	observed []time.Duration
}

// Add records the time from the order of a move to the first useful slot.
func (t *MoveTimes) Add(d time.Duration) {
	t.observed = append(t.observed, d)
	if len(t.observed) > maxHistory {
		t.observed = t.observed[1:]
	}
}

// Estimate returns the median observed time, or first if none was observed.
func (t *MoveTimes) Estimate(first time.Duration) time.Duration {
	if len(t.observed) == 0 {
		return first
	}
	return median(t.observed)
}
