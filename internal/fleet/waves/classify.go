package waves

import (
	"slices"
	"time"
)

// class sorts the instances of a wave's pools by what the wave has to do with them.
type class struct {
	total int
	busy  int
	// open are available and still to be drained, stuck are serving but not up.
	open  []*Instance
	stuck []string
	// rest are all instances that have not returned, those in progress included.
	rest   []*Instance
	failed []string
	// held are unavailable and not in progress, so they keep budget until they return.
	held []*Instance
	halt Reason
}

func set(lists ...[]string) map[string]bool {
	m := make(map[string]bool)
	for _, l := range lists {
		for _, n := range l {
			m[n] = true
		}
	}
	return m
}

func classify(in Input, w *Wave) *class {
	c := &class{}
	pools, done, failed, left := set(w.Pools), set(w.Done), set(w.Failed), set(w.Left)
	drain := bound(w.Drains, in.Params)
	restart := bound(w.Restarts, in.Params)
	var overdue, relapsed []string
	var touched []*Instance
	worst := time.Duration(0)
	for k := range in.Instances {
		i := &in.Instances[k]
		if !pools[i.Pool] {
			continue
		}
		c.total++
		closed := left[i.Name] || failed[i.Name] && !i.Available()
		if !i.Available() && (i.Phase == Serving || closed) {
			c.held = append(c.held, i)
		}
		mine := i.Phase != Serving && i.Wave == w.Name
		switch {
		case closed:
		case mine:
			limit := drain
			if i.Phase == Restarting {
				limit = restart
			}
			if in.Now-max(i.Since, w.Resumed) > limit {
				overdue = append(overdue, i.Name)
				worst = max(worst, limit)
				continue
			}
			c.busy++
			c.rest = append(c.rest, i)
			if i.Phase != Restarting {
				touched = append(touched, i)
			}
		case done[i.Name]:
			touched = append(touched, i)
			if relapse(i, w, in.Params) {
				relapsed = append(relapsed, i.Name)
			}
		default:
			c.rest = append(c.rest, i)
			c.pending(in, w, i)
		}
	}
	// A relapsed instance has returned, so it stays done; it is not reported again.
	c.failed = append(c.failed, overdue...)
	if together := correlated(in, w, touched); together != nil {
		c.halt = together
		return c
	}
	if len(relapsed) > in.Params.Tolerate {
		c.halt = &Relapsed{Instances: relapsed}
	}
	if len(overdue) > 0 && len(w.Failed)+len(overdue) > in.Params.Tolerate {
		c.halt = &Overdue{Instances: overdue, Bound: worst}
	}
	return c
}

// pending sorts in an instance that the wave has not drained yet.
func (c *class) pending(in Input, w *Wave, i *Instance) {
	late := in.Now-max(i.Since, i.Changed, w.Resumed) > in.Params.First
	switch {
	case i.Available():
		c.open = append(c.open, i)
	case late && (i.Phase != Serving || i.Health == Down):
		// It failed for other reasons; the wave ends without it unless it returns.
		c.failed = append(c.failed, i.Name)
	default:
		c.stuck = append(c.stuck, i.Name)
	}
}

// bound returns the longest time that a drain or restart may take: three times the
// median and one and a half times the longest of the observed times, whichever is longer.
func bound(seen []time.Duration, p Params) time.Duration {
	if len(seen) < max(1, p.Samples) {
		return p.First
	}
	s := slices.Sorted(slices.Values(seen))
	return max(p.Floor, 3*s[len(s)/2], s[len(s)-1]*3/2)
}

// relapse says whether a returned instance failed within the soak time.
func relapse(i *Instance, w *Wave, p Params) bool {
	if i.Phase != Serving || i.Health != Down || i.Changed <= w.Resumed {
		return false
	}
	return i.Changed-i.Since <= p.Soak
}

// correlated returns a reason if two or more of the touched instances went down
// within the window.
func correlated(in Input, w *Wave, touched []*Instance) Reason {
	var down []*Instance
	for _, i := range touched {
		if i.Health == Down && i.Changed > w.Resumed {
			down = append(down, i)
		}
	}
	slices.SortFunc(down, func(a, b *Instance) int { return int(a.Changed - b.Changed) })
	first, n := 0, 0
	for lo, hi := 0, 0; hi < len(down); hi++ {
		for down[hi].Changed-down[lo].Changed > in.Params.Window {
			lo++
		}
		if hi-lo+1 > n {
			first, n = lo, hi-lo+1
		}
	}
	if n < 2 {
		return nil
	}
	return describe(in, touched, down[first:first+n], in.Params.Window)
}

// describe finds the smallest common domain of the failed instances and whether
// other instances failed there at the same time.
func describe(in Input, touched, down []*Instance, window time.Duration) *Correlated {
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
	mine := make(map[string]bool)
	for _, i := range touched {
		mine[i.Name] = true
	}
	for k := range in.Instances {
		i := &in.Instances[k]
		near := (rack && i.Rack == down[0].Rack || !rack && centre && i.Centre == down[0].Centre)
		gap := (i.Changed - down[0].Changed).Abs()
		if near && !mine[i.Name] && i.Phase == Serving && i.Health == Down && gap <= window {
			c.External = true
		}
	}
	return c
}
