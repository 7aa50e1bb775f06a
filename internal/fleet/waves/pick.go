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
	p := &wavePlan{wave: w, remaining: make(map[domain]int), out: Decision{Wave: w.Name}}
	if w.Status == Finished {
		p.out.Finished = true
		return p
	}
	c := classify(in, w)
	p.out.Failed = c.failed
	p.inProgress = c.inProgress
	p.notUp = c.notUp
	p.holders = c.holders
	p.out.Finished = len(c.candidates)+len(c.notUp)+c.inProgress == 0
	if w.Status == Halted {
		p.out.Finished = false
		return p
	}
	p.out.Halt = c.halt
	if c.halt != nil {
		p.out.Finished = false
		return p
	}
	p.candidates = c.candidates
	for _, i := range c.notReturned {
		for _, d := range domains(i) {
			p.remaining[d]++
		}
	}
	p.stepSize = p.computeStepSize(in, l, c)
	p.setWait()
	return p
}

// computeStepSize returns the number of instances that may be in progress now.
func (p *wavePlan) computeStepSize(in Input, l *ledger, c *classification) int {
	most := 0
	for _, pool := range p.wave.Pools {
		most += min(l.budgets[pool].Total, l.size[pool])
	}
	if p.wave.Limit > 0 {
		most = min(most, p.wave.Limit)
	}
	return ramp(c.total, most, len(p.wave.Done), in.Params)
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
func (p *wavePlan) pickNext(l *ledger) bool {
	if p.inProgress >= p.stepSize {
		return false
	}
	best := -1
	var top rank
	for k, i := range p.candidates {
		if l.chosen[i.Name] || !l.allows(i) {
			continue
		}
		if s := p.rankOf(l, i); best < 0 || s.before(top) {
			best, top = k, s
		}
	}
	if best < 0 {
		return false
	}
	i := p.candidates[best]
	p.candidates = slices.Delete(p.candidates, best, best+1)
	l.chosen[i.Name] = true
	l.charge(i)
	p.inProgress++
	p.out.Drain = append(p.out.Drain, i.Name)
	p.out.Wait = nil
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

func (p *wavePlan) rankOf(l *ledger, i *Instance) rank {
	limits := l.budgets[i.Pool].limits()
	ds := domains(i)
	var rounds [3]float64
	for k, d := range ds {
		rounds[k] = float64(p.remaining[d]) / float64(limits[k])
	}
	return rank{
		rounds:            max(rounds[0], rounds[1], rounds[2]),
		rackRounds:        rounds[2],
		rackUnavailable:   l.unavailable[ds[2]],
		centreUnavailable: l.unavailable[ds[1]],
		name:              i.Name,
	}
}

// setWait sets the reason for draining nothing. pickNext clears it.
func (p *wavePlan) setWait() {
	switch {
	case p.out.Finished:
	case p.inProgress >= p.stepSize && p.stepSize > 0:
		p.out.Wait = &StepFull{Size: p.stepSize}
	case len(p.candidates) > 0:
		p.out.Wait = &NoBudget{Holders: names(p.holders)}
	case len(p.notUp) > 0:
		p.out.Wait = &NotUp{Instances: p.notUp}
	}
}

// haltIfBlocked halts the wave if failed instances hold the budget that it needs.
func (p *wavePlan) haltIfBlocked(in Input) {
	if _, ok := p.out.Wait.(*NoBudget); !ok || p.inProgress > 0 || len(p.holders) == 0 {
		return
	}
	for _, i := range p.holders {
		if in.Now-max(i.PhaseSince, i.HealthSince, p.wave.ResumedAt) <= in.Params.InitialBound {
			return
		}
	}
	b := &Blocked{Instances: names(p.candidates), Holders: names(p.holders)}
	p.out.Wait = nil
	p.out.Halt = b
	p.out.Failed = append(p.out.Failed, b.Instances...)
}

func names(list []*Instance) []string {
	out := make([]string, len(list))
	for k, i := range list {
		out[k] = i.Name
	}
	return out
}
