package waves

import "slices"

// wavePlan is the state of the decision on one wave.
type wavePlan struct {
	wave *Wave
	// candidates are the available instances that the wave has still to drain.
	candidates []*Instance
	// remaining counts the instances of a domain that have not returned yet.
	remaining map[domain]int
	// stepSize is the number of instances that may be in progress now.
	stepSize int
	// inProgress is the number of the wave's instances in progress without failed ones.
	inProgress int
	notUp      []string
	holders    []*Instance
	out        Decision
}

func newWavePlan(in Input, l *ledger, w *Wave) *wavePlan {
	r := &wavePlan{wave: w, remaining: make(map[domain]int), out: Decision{Wave: w.Name}}
	if w.Status == Finished {
		r.out.Finished = true
		return r
	}
	c := classify(in, w)
	r.out.Failed = c.failed
	r.inProgress = c.inProgress
	r.notUp = c.notUp
	r.holders = c.holders
	r.out.Finished = len(c.candidates)+len(c.notUp)+c.inProgress == 0
	if w.Status == Halted {
		r.out.Finished = false
		return r
	}
	r.out.Halt = c.halt
	if c.halt != nil {
		r.out.Finished = false
		return r
	}
	r.candidates = c.candidates
	for _, i := range c.notReturned {
		for _, d := range domains(i) {
			r.remaining[d]++
		}
	}
	r.stepSize = r.computeStepSize(in, l, c)
	r.setWait()
	return r
}

// computeStepSize returns the number of instances that may be in progress now.
func (r *wavePlan) computeStepSize(in Input, l *ledger, c *classification) int {
	most := 0
	for _, p := range r.wave.Pools {
		most += min(l.budgets[p].Total, l.size[p])
	}
	if r.wave.Limit > 0 {
		most = min(most, r.wave.Limit)
	}
	return ramp(c.total, most, len(r.wave.Done), in.Params)
}

// ramp returns the step size of a wave over total instances, of which done have returned
// and at most most may be in progress. A step of w instances instead of most delays the
// wave by (most-w)/most of one drain and reboot. The first size is as small, and the sizes
// double as slowly, as the parameters allow for the sum of these delays. Within a step the
// size grows with every return towards the next size. If most is more than a fifth of
// total, the tail uses up the allowed delay and there is no ramp.
func ramp(total, most, done int, p Params) int {
	slack := max(0, int(p.RampShare*float64(total)-p.TailShare*float64(most)))
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

// pickNext chooses one more instance to drain and reports whether it found one.
func (r *wavePlan) pickNext(l *ledger) bool {
	if r.inProgress >= r.stepSize {
		return false
	}
	best := -1
	var top rank
	for k, i := range r.candidates {
		if l.chosen[i.Name] || !l.allows(i) {
			continue
		}
		if s := r.rankOf(l, i); best < 0 || s.before(top) {
			best, top = k, s
		}
	}
	if best < 0 {
		return false
	}
	i := r.candidates[best]
	r.candidates = slices.Delete(r.candidates, best, best+1)
	l.chosen[i.Name] = true
	l.charge(i)
	r.inProgress++
	r.out.Drain = append(r.out.Drain, i.Name)
	r.out.Wait = nil
	return true
}

// rank is the sort key of a candidate for draining.
type rank struct {
	// rounds is the number of consecutive drains that the instance's domain with the most
	// work left still needs if it uses its whole limit all the time.
	rounds float64
	// rackRounds is the same for the instance's rack alone.
	rackRounds float64
	// rackUnavailable is the number of unavailable instances in the rack.
	rackUnavailable int
	// centreUnavailable is the number of unavailable instances in the data centre.
	centreUnavailable int
	name              string
}

func (a rank) before(b rank) bool {
	switch {
	case a.rounds != b.rounds:
		return a.rounds > b.rounds
	case a.rackUnavailable != b.rackUnavailable:
		return a.rackUnavailable < b.rackUnavailable
	case a.rackRounds != b.rackRounds:
		return a.rackRounds > b.rackRounds
	case a.centreUnavailable != b.centreUnavailable:
		return a.centreUnavailable < b.centreUnavailable
	}
	return a.name < b.name
}

func (r *wavePlan) rankOf(l *ledger, i *Instance) rank {
	limits := l.budgets[i.Pool].limits()
	ds := domains(i)
	var path [3]float64
	for k, d := range ds {
		path[k] = float64(r.remaining[d]) / float64(limits[k])
	}
	return rank{
		rounds:            max(path[0], path[1], path[2]),
		rackRounds:        path[2],
		rackUnavailable:   l.unavailable[ds[2]],
		centreUnavailable: l.unavailable[ds[1]],
		name:              i.Name,
	}
}

// setWait sets the reason for draining nothing. pickNext clears it.
func (r *wavePlan) setWait() {
	switch {
	case r.out.Finished:
	case r.inProgress >= r.stepSize && r.stepSize > 0:
		r.out.Wait = &StepFull{Size: r.stepSize}
	case len(r.candidates) > 0:
		r.out.Wait = &NoBudget{Holders: names(r.holders)}
	case len(r.notUp) > 0:
		r.out.Wait = &NotUp{Instances: r.notUp}
	}
}

// haltIfBlocked halts the wave if failed instances hold the budget that it needs.
func (r *wavePlan) haltIfBlocked(in Input) {
	if _, ok := r.out.Wait.(*NoBudget); !ok || r.inProgress > 0 || len(r.holders) == 0 {
		return
	}
	for _, i := range r.holders {
		if in.Now-max(i.PhaseSince, i.HealthSince, r.wave.ResumedAt) <= in.Params.InitialBound {
			return
		}
	}
	b := &Blocked{Instances: names(r.candidates), Holders: names(r.holders)}
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
