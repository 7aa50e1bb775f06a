package waves

import "slices"

// run is the decision on one wave while it is being made.
type run struct {
	wave *Wave
	// open holds the serving instances that the wave has still to drain.
	open []*Instance
	// left counts the instances of a domain that have not returned yet.
	left map[domain]int
	// size is the number of instances that may be in progress now.
	size int
	// busy is the number of the wave's instances in progress, the failed ones excluded.
	busy  int
	stuck []string
	held  []*Instance
	out   Decision
}

func newRun(in Input, l *ledger, w *Wave) *run {
	r := &run{wave: w, left: make(map[domain]int), out: Decision{Wave: w.Name}}
	if w.Status == Finished {
		r.out.Finished = true
		return r
	}
	c := classify(in, w)
	r.out.Failed = c.failed
	r.busy = c.busy
	r.stuck = c.stuck
	r.held = c.held
	r.out.Finished = len(c.open)+len(c.stuck)+c.busy == 0
	if w.Status == Halted {
		r.out.Finished = false
		return r
	}
	r.out.Halt = c.halt
	if c.halt != nil {
		r.out.Finished = false
		return r
	}
	r.open = c.open
	for _, i := range c.rest {
		for _, d := range domains(i) {
			r.left[d]++
		}
	}
	r.size = r.step(in, l, c)
	r.wait()
	return r
}

// step returns the number of instances that may be in progress now.
func (r *run) step(in Input, l *ledger, c *class) int {
	most := 0
	for _, p := range r.wave.Pools {
		most += min(l.budgets[p].Total, l.size[p])
	}
	if r.wave.Limit > 0 {
		most = min(most, r.wave.Limit)
	}
	return ramp(c.total, most, len(r.wave.Done), in.Params)
}

// ramp returns the step size after done returns of a wave over total instances of
// which at most most may be in progress. A step of w instances instead of most delays
// the wave by (most-w)/most of one drain and reboot; the sizes start as small and
// double as slowly as the sum of these delays stays within the share of the roll-out
// that the parameters allow. Within a step the size grows with every return towards
// that of the next one. If most is more than a fifth of total, the tail uses up the
// share and there is no ramp.
func ramp(total, most, done int, p Params) int {
	slack := max(0, int(p.Ramp*float64(total)-p.Tail*float64(most)))
	size := min(most, max(1, most-slack))
	for size < most {
		slack -= most - size
		next := min(most, max(2*size, most-slack))
		if done < size {
			return size + (next-size)*done/size
		}
		done -= size
		size = next
	}
	return most
}

// pick chooses one more instance to drain and reports whether it found one.
func (r *run) pick(l *ledger) bool {
	if r.busy >= r.size {
		return false
	}
	best := -1
	var top rank
	for k, i := range r.open {
		if l.taken[i.Name] || !l.allows(i) {
			continue
		}
		if s := r.rank(l, i); best < 0 || s.before(top) {
			best, top = k, s
		}
	}
	if best < 0 {
		return false
	}
	i := r.open[best]
	r.open = slices.Delete(r.open, best, best+1)
	l.taken[i.Name] = true
	l.charge(i)
	r.busy++
	r.out.Drain = append(r.out.Drain, i.Name)
	r.out.Wait = nil
	return true
}

// rank orders candidates for draining.
type rank struct {
	// path is the number of consecutive drains that the most loaded of the
	// instance's domains still needs if it uses up its limit all the time.
	path float64
	// rack is the same for the instance's rack alone.
	rack float64
	// crowd is the number of unavailable instances in the rack.
	crowd int
	// centre is the number of unavailable instances in the data centre.
	centre int
	name   string
}

func (a rank) before(b rank) bool {
	switch {
	case a.path != b.path:
		return a.path > b.path
	case a.crowd != b.crowd:
		return a.crowd < b.crowd
	case a.rack != b.rack:
		return a.rack > b.rack
	case a.centre != b.centre:
		return a.centre < b.centre
	}
	return a.name < b.name
}

func (r *run) rank(l *ledger, i *Instance) rank {
	limits := l.budgets[i.Pool].limits()
	ds := domains(i)
	var path [3]float64
	for k, d := range ds {
		path[k] = float64(r.left[d]) / float64(limits[k])
	}
	return rank{
		path:   max(path[0], path[1], path[2]),
		rack:   path[2],
		crowd:  l.out[ds[2]],
		centre: l.out[ds[1]],
		name:   i.Name,
	}
}

// wait sets the reason for draining nothing; pick clears it.
func (r *run) wait() {
	switch {
	case r.out.Finished:
	case r.busy >= r.size && r.size > 0:
		r.out.Wait = &Ramping{Size: r.size}
	case len(r.open) > 0:
		r.out.Wait = &NoBudget{Held: names(r.held)}
	case len(r.stuck) > 0:
		r.out.Wait = &Unreachable{Instances: r.stuck}
	}
}

// block halts the wave if failed instances keep the budget that it needs.
func (r *run) block(in Input) {
	if _, ok := r.out.Wait.(*NoBudget); !ok || r.busy > 0 || len(r.held) == 0 {
		return
	}
	for _, i := range r.held {
		if in.Now-max(i.Since, i.Changed, r.wave.Resumed) <= in.Params.First {
			return
		}
	}
	b := &Blocked{Instances: names(r.open), Held: names(r.held)}
	r.out.Wait = nil
	r.out.Halt = b
	r.out.Failed = append(r.out.Failed, b.Instances...)
}

func names(list []*Instance) []string {
	out := make([]string, len(list))
	for k, i := range list {
		out[k] = i.Name
	}
	return out
}
