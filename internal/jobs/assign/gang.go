package assign

import (
	"slices"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// placeGang places all members of a gang or none.
func (p *plan) placeGang(s *track.Step) {
	attempt := 0
	for _, t := range s.Tasks {
		if !t.IsWaiting() || p.now < t.NotBefore {
			return
		}
		attempt = max(attempt, t.Attempt)
	}
	if !p.allow.Fits(s) {
		return
	}
	if len(p.out)+len(s.Tasks) > max(p.limit, len(s.Tasks)) {
		p.allow.Yield(s)
		return
	}
	n, unfit, unfitBounded := len(p.out), slices.Clone(p.unfit), slices.Clone(p.unfitBounded)
	p.undo = p.undo[:0]
	placed := runsByExecutor(s)
	for _, t := range s.Tasks {
		sl := p.bestSlot(s, t, placed)
		if sl == nil {
			p.undoGang(n, unfit, unfitBounded)
			p.allow.Yield(s)
			return
		}
		p.undo = append(p.undo, savedSlot{sl, *sl})
		p.placeTask(sl, s, t, placed, attempt+1)
	}
	p.allow.Take(s)
}

// savedSlot is a slot before a member of a gang was placed there.
type savedSlot struct {
	at    *slot
	saved slot
}

// undoGang takes back the members of a gang that were placed after the first n starts, and what is known to be
// unfit because of them. If there are none, that holds without the gang too, and spares the next gang a search.
func (p *plan) undoGang(n int, unfit, unfitBounded amounts) {
	if len(p.out) == n {
		return
	}
	p.out, p.unfit, p.unfitBounded = p.out[:n], unfit, unfitBounded
	for _, u := range slices.Backward(p.undo) {
		*u.at = u.saved
	}
}
