package plans

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/spare"
)

// minPeaks is the number of ended peaks, over all pools, from which on the spare policy itself can
// estimate the time until the next one.
const minPeaks = 3

// peakEndShare is the share of a pool's own slots below which demand must fall to end a peak. The
// margin to all slots keeps noise in the demand from splitting a peak.
const peakEndShare = 0.8

// idleTracker records since when the demand of each pool has fitted its own slots. Before the
// policy has seen minPeaks peaks it can't forecast and leaves spare instances where they are. Until
// then, an instance returns once its idle time has cost as much as the move. That costs at most
// twice as much as with known future demand.
type idleTracker struct {
	idleSince  map[string]time.Duration
	inPeak     map[string]bool
	endedPeaks int
}

func newIdleTracker() idleTracker {
	return idleTracker{idleSince: map[string]time.Duration{}, inPeak: map[string]bool{}}
}

func (it *idleTracker) observe(now time.Duration, pools []spare.Pool) {
	for _, pool := range pools {
		slots := float64(pool.Slots)
		wasInPeak := it.inPeak[pool.Name]
		isInPeak := pool.Demand > slots || wasInPeak && pool.Demand >= peakEndShare*slots
		if wasInPeak && !isInPeak {
			it.endedPeaks++
		}
		it.inPeak[pool.Name] = isInPeak
		if _, ok := it.idleSince[pool.Name]; !ok || isInPeak {
			it.idleSince[pool.Name] = now
		}
	}
}

// planReturns returns the moves back to the spare pool that the policy can't plan yet, in addition
// to its planned moves.
func (it *idleTracker) planReturns(in spare.Input, planned []spare.Move) []spare.Move {
	if it.endedPeaks >= minPeaks {
		return nil
	}
	room := map[string]int{}
	moving := map[string]bool{}
	for _, pool := range in.Pools {
		room[pool.Name] = pool.DrainBudget
	}
	for _, m := range planned {
		room[m.From]--
		moving[m.Instance] = true
	}
	var out []spare.Move
	for _, i := range in.Instances {
		idle := in.Now - it.idleSince[i.Pool]
		if i.Pool == ownSparePool || i.Moving || moving[i.Name] || room[i.Pool] <= 0 || idle < breakEvenIdle(in) {
			continue
		}
		room[i.Pool]--
		out = append(out, spare.Move{Instance: i.Name, From: i.Pool, To: in.SparePool, Reason: &spare.Return{Idle: idle}})
	}
	return out
}

// breakEvenIdle returns the idle time of one instance that costs as much as a move.
func breakEvenIdle(in spare.Input) time.Duration {
	return in.MoveTime + time.Duration(in.Weights.Move/in.Weights.Buffer*float64(time.Second))
}
