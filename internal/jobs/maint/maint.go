// Package maint decides which instances of a maintenance wave go down next. It is built for waves
// that take half the fleet down within half a minute, while each pool in turn needs most of its
// instances for some seconds.
package maint

import (
	"cmp"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

const (
	// maintenanceTime is the mean time of one instance: drain, maintenance and the first report.
	maintenanceTime = 5 * time.Second
	// maxPoolShare is the share of a pool that may be unavailable at a time unless the wave is
	// running late.
	maxPoolShare = 0.34
	// reserveShare is the share of the wave's time that is kept in reserve.
	reserveShare = 0.3
)

// Instance is an instance with its tasks.
type Instance struct {
	model.Instance
	// Standby instances are off, so their maintenance costs no work.
	Standby bool
	// LongRunning is the number of long-running tasks on it, and BusyCores the cores in use by
	// other tasks, in thousandths.
	LongRunning int
	BusyCores   int64
	// Free is set if nothing else is planned for it.
	Free bool
}

// Wave is a wave and its progress.
type Wave struct {
	model.Wave
	// TimeLeft is how long the wave may still take.
	TimeLeft time.Duration
	// Ordered are the instances whose maintenance was ordered, and Unavailable those that are being
	// drained or are down for it.
	Ordered, Unavailable map[string]bool
}

// IsComplete reports whether maintenance was ordered for every instance of the wave that still
// exists.
func IsComplete(w Wave, fleet map[string]Instance) bool {
	for _, name := range w.Instances {
		if _, stays := fleet[name]; stays && !w.Ordered[name] {
			return false
		}
	}
	return true
}

// NextInstances returns the instances to drain and take down now, best first.
func NextInstances(w Wave, fleet map[string]Instance) []string {
	var candidates []Instance
	size, unavailable := map[string]int{}, map[string]int{}
	for name, in := range fleet {
		size[in.Pool]++
		if w.Unavailable[name] {
			unavailable[in.Pool]++
		}
	}
	left := 0
	for _, name := range w.Instances {
		in, ok := fleet[name]
		if !ok || w.Ordered[name] || w.Unavailable[name] {
			continue
		}
		left++
		if in.Free && in.Phase == model.Up || in.Free && in.Standby && in.Phase != model.Moving && in.Phase != model.Maintenance {
			candidates = append(candidates, in)
		}
	}
	rounds := (left + len(w.Unavailable) + w.MaxConcurrent - 1) / w.MaxConcurrent
	isLate := time.Duration(rounds)*maintenanceTime > w.TimeLeft-time.Duration(reserveShare*float64(w.Window))
	slices.SortFunc(candidates, func(a, b Instance) int {
		if a.Standby != b.Standby {
			if a.Standby {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(a.LongRunning, b.LongRunning); c != 0 {
			return c
		}
		if c := cmp.Compare(a.BusyCores, b.BusyCores); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	var next []string
	for _, in := range candidates {
		if len(w.Unavailable)+len(next) >= w.MaxConcurrent {
			break
		}
		limit := max(1, int(maxPoolShare*float64(size[in.Pool])))
		if !isLate && !in.Standby && unavailable[in.Pool] >= limit {
			continue
		}
		unavailable[in.Pool]++
		next = append(next, in.Name)
	}
	return next
}
