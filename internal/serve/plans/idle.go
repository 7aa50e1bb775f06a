package plans

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/spare"
)

// enoughPeaks is the number of ended peaks, over all pools, from which on the policy
// itself values the time until the next one.
const enoughPeaks = 3

// calm is the share of a pool's own slots below which a peak has ended. The gap to all
// slots keeps noise of the demand from splitting a peak.
const calm = 0.8

// quietWatch notes since when the demand of each pool has fitted its own slots. The
// policy knows no future before it has seen some peaks and then leaves an instance
// where it is. Until then an instance returns once its idle time has cost as much as
// the move, which is at most twice the cost of knowing the future.
type quietWatch struct {
	since map[string]time.Duration
	over  map[string]bool
	peaks int
}

func newQuietWatch() quietWatch {
	return quietWatch{since: map[string]time.Duration{}, over: map[string]bool{}}
}

func (q *quietWatch) see(now time.Duration, pools []spare.Pool) {
	for _, pool := range pools {
		slots := float64(pool.Slots)
		was := q.over[pool.Name]
		over := pool.Demand > slots || was && pool.Demand >= calm*slots
		if was && !over {
			q.peaks++
		}
		q.over[pool.Name] = over
		if _, ok := q.since[pool.Name]; !ok || over {
			q.since[pool.Name] = now
		}
	}
}

// returns returns the moves home that the policy can't value yet, besides its own moves.
func (q *quietWatch) returns(in spare.Input, planned []spare.Move) []spare.Move {
	if q.peaks >= enoughPeaks {
		return nil
	}
	left := map[string]int{}
	moving := map[string]bool{}
	for _, pool := range in.Pools {
		left[pool.Name] = pool.Room
	}
	for _, m := range planned {
		left[m.From]--
		moving[m.Instance] = true
	}
	var out []spare.Move
	for _, i := range in.Instances {
		idle := in.Now - q.since[i.Pool]
		if i.Pool == home || i.Moving || moving[i.Name] || left[i.Pool] <= 0 || idle < patience(in) {
			continue
		}
		left[i.Pool]--
		out = append(out, spare.Move{Instance: i.Name, From: i.Pool, To: in.Spare, Reason: &spare.Return{Idle: idle}})
	}
	return out
}

// patience returns the idle time of one instance that costs as much as a move.
func patience(in spare.Input) time.Duration {
	return in.Trip + time.Duration(in.Weights.Move/in.Weights.Buffer*float64(time.Second))
}
