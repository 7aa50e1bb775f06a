package waves

import (
	"slices"
	"time"
)

// classification groups the instances of a wave's pools by what the wave does with them.
type classification struct {
	total      int
	inProgress int
	// candidates are available and still to be drained. notUp have still to be drained but
	// are not available.
	candidates []*Instance
	notUp      []string
	// notReturned are all instances that have not returned, including those in progress.
	notReturned []*Instance
	failed      []string
	// holders are unavailable and not in progress, so they hold budget until they return.
	holders []*Instance
	halt    Reason
}

func toSet(lists ...[]string) map[string]bool {
	m := make(map[string]bool)
	for _, l := range lists {
		for _, n := range l {
			m[n] = true
		}
	}
	return m
}

func classify(in Input, w *Wave) *classification {
	c := &classification{}
	pools, done, failed, excludedNames := toSet(w.Pools), toSet(w.Done), toSet(w.Failed), toSet(w.Excluded)
	drain := timeLimit(w.DrainTimes, in.Params)
	restart := timeLimit(w.RestartTimes, in.Params)
	var overdue, failedAgain []string
	var handled []*Instance
	worst := time.Duration(0)
	for k := range in.Instances {
		i := &in.Instances[k]
		if !pools[i.Pool] {
			continue
		}
		c.total++
		excluded := excludedNames[i.Name] || failed[i.Name] && !i.IsAvailable()
		if !i.IsAvailable() && (i.Phase == Serving || excluded) {
			c.holders = append(c.holders, i)
		}
		ownDrain := i.Phase != Serving && i.Wave == w.Name
		switch {
		case excluded:
		case ownDrain:
			limit := drain
			if i.Phase == Restarting {
				limit = restart
			}
			if in.Now-max(i.PhaseSince, w.ResumedAt) > limit {
				overdue = append(overdue, i.Name)
				worst = max(worst, limit)
				continue
			}
			c.inProgress++
			c.notReturned = append(c.notReturned, i)
			if i.Phase != Restarting {
				handled = append(handled, i)
			}
		case done[i.Name]:
			handled = append(handled, i)
			if failedInSoak(i, w, in.Params) {
				failedAgain = append(failedAgain, i.Name)
			}
		default:
			c.notReturned = append(c.notReturned, i)
			c.addPending(in, w, i)
		}
	}
	// An instance that fails after its return stays done and is not reported as failed.
	c.failed = append(c.failed, overdue...)
	if together := findCorrelated(in, w, handled); together != nil {
		c.halt = together
		return c
	}
	if len(failedAgain) > in.Params.ToleratedFailures {
		c.halt = &FailedAfterReturn{Instances: failedAgain}
	}
	if len(overdue) > 0 && len(w.Failed)+len(overdue) > in.Params.ToleratedFailures {
		c.halt = &Overdue{Instances: overdue, Bound: worst}
	}
	return c
}

// addPending adds an instance that the wave has not drained yet.
func (c *classification) addPending(in Input, w *Wave, i *Instance) {
	late := in.Now-max(i.PhaseSince, i.HealthSince, w.ResumedAt) > in.Params.InitialBound
	switch {
	case i.IsAvailable():
		c.candidates = append(c.candidates, i)
	case late && (i.Phase != Serving || i.Health == Down):
		// The wave did not cause this. It finishes without the instance unless it returns.
		c.failed = append(c.failed, i.Name)
	default:
		c.notUp = append(c.notUp, i.Name)
	}
}

// timeLimit returns the maximum time of a drain or restart: three times the median or one
// and a half times the maximum of the observed times, whichever is longer, and at least
// MinBound. With too few observed times it is InitialBound.
func timeLimit(observed []time.Duration, p Params) time.Duration {
	if len(observed) < max(1, p.MinSamples) {
		return p.InitialBound
	}
	s := slices.Sorted(slices.Values(observed))
	return max(p.MinBound, 3*s[len(s)/2], s[len(s)-1]*3/2)
}

// failedInSoak reports whether a returned instance failed within the soak time.
func failedInSoak(i *Instance, w *Wave, p Params) bool {
	if i.Phase != Serving || i.Health != Down || i.HealthSince <= w.ResumedAt {
		return false
	}
	return i.HealthSince-i.PhaseSince <= p.SoakTime
}

// findCorrelated returns a reason if two or more of the instances that the wave handled
// went down within the correlation window, nil otherwise.
func findCorrelated(in Input, w *Wave, handled []*Instance) Reason {
	var down []*Instance
	for _, i := range handled {
		if i.Health == Down && i.HealthSince > w.ResumedAt {
			down = append(down, i)
		}
	}
	slices.SortFunc(down, func(a, b *Instance) int { return int(a.HealthSince - b.HealthSince) })
	first, n := 0, 0
	for lo, hi := 0, 0; hi < len(down); hi++ {
		for down[hi].HealthSince-down[lo].HealthSince > in.Params.CorrelationWindow {
			lo++
		}
		if hi-lo+1 > n {
			first, n = lo, hi-lo+1
		}
	}
	if n < 2 {
		return nil
	}
	return describeFailure(in, handled, down[first:first+n], in.Params.CorrelationWindow)
}

// describeFailure finds the smallest common domain of the failed instances and whether
// instances that the wave did not handle failed there at the same time.
func describeFailure(in Input, handled, down []*Instance, window time.Duration) *Correlated {
	c := &Correlated{}
	rack, centre := true, true
	for _, i := range down {
		c.Instances = append(c.Instances, i.Name)
		rack = rack && i.Rack == down[0].Rack && i.Centre == down[0].Centre
		centre = centre && i.Centre == down[0].Centre
	}
	switch {
	case rack:
		c.Domain = down[0].Rack
	case centre:
		c.Domain = down[0].Centre
	}
	isHandled := make(map[string]bool)
	for _, i := range handled {
		isHandled[i.Name] = true
	}
	for k := range in.Instances {
		i := &in.Instances[k]
		near := (rack && i.Rack == down[0].Rack || !rack && centre && i.Centre == down[0].Centre)
		gap := (i.HealthSince - down[0].HealthSince).Abs()
		if near && !isHandled[i.Name] && i.Phase == Serving && i.Health == Down && gap <= window {
			c.External = true
		}
	}
	return c
}
