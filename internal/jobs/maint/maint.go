// Package upkeep decides which instances of a wave go down next. It answers waves of
// half the fleet within half a minute, while every pool in turn needs most of its
// instances for some seconds.
package upkeep

import (
	"cmp"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

const (
	// roundTime is how long one instance takes on average: emptying, upkeep and the
	// first report.
	roundTime = 5 * time.Second
	// poolShare is how much of a pool may be out at a time while there is time enough.
	poolShare = 0.34
	// slackShare is the share of the wave's time that is kept in reserve.
	slackShare = 0.3
)

// Instance is one instance as the decision sees it.
type Instance struct {
	model.Instance
	// Standby instances are off: their upkeep costs no work.
	Standby bool
	// Lasting is the number of tasks on it that serve until they are cancelled, and Work
	// the cores that other tasks use, in thousandths.
	Lasting int
	Work    int64
	// Free says that nothing else is planned for it.
	Free bool
}

// Wave is one wave and how far it is.
type Wave struct {
	model.Wave
	// Left is how long it may still take.
	Left time.Duration
	// Done are instances whose upkeep was ordered, and Out those that are being emptied
	// or are down for it.
	Done, Out map[string]bool
}

// IsComplete says whether every instance that is still there has begun its upkeep.
func IsComplete(w Wave, fleet map[string]Instance) bool {
	for _, name := range w.Instances {
		if _, stays := fleet[name]; stays && !w.Done[name] {
			return false
		}
	}
	return true
}

// Next returns the instances to empty and take down now, best first.
func Next(w Wave, fleet map[string]Instance) []string {
	var todo []Instance
	size, out := map[string]int{}, map[string]int{}
	for name, in := range fleet {
		size[in.Pool]++
		if w.Out[name] {
			out[in.Pool]++
		}
	}
	left := 0
	for _, name := range w.Instances {
		in, ok := fleet[name]
		if !ok || w.Done[name] || w.Out[name] {
			continue
		}
		left++
		if in.Free && in.Phase == model.Up || in.Free && in.Standby && in.Phase != model.Moving && in.Phase != model.Upkeep {
			todo = append(todo, in)
		}
	}
	rounds := (left + len(w.Out) + w.AtOnce - 1) / w.AtOnce
	hurry := time.Duration(rounds)*roundTime > w.Left-time.Duration(slackShare*float64(w.Within))
	slices.SortFunc(todo, func(a, b Instance) int {
		if a.Standby != b.Standby {
			if a.Standby {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(a.Lasting, b.Lasting); c != 0 {
			return c
		}
		if c := cmp.Compare(a.Work, b.Work); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	var next []string
	for _, in := range todo {
		if len(w.Out)+len(next) >= w.AtOnce {
			break
		}
		most := max(1, int(poolShare*float64(size[in.Pool])))
		if !hurry && !in.Standby && out[in.Pool] >= most {
			continue
		}
		out[in.Pool]++
		next = append(next, in.Name)
	}
	return next
}
