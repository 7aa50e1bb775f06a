package assign

import (
	"slices"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// amounts are amounts of capacity of which none fits in another.
type amounts []model.Amount

// maxUnfit is the largest number of amounts that are remembered as unfit.
const maxUnfit = 16

// anyFitsIn reports whether one of the amounts fits in a need.
func (a amounts) anyFitsIn(need model.Amount) bool {
	return slices.ContainsFunc(a, func(t model.Amount) bool { return t.FitsIn(need) })
}

// add adds an amount in place of those in which it fits.
func (a *amounts) add(need model.Amount) {
	*a = slices.DeleteFunc(*a, func(t model.Amount) bool { return need.FitsIn(t) })
	if len(*a) < maxUnfit {
		*a = append(*a, need)
	}
}

// isUnfit reports whether it is known that no executor has capacity for a step.
func (p *plan) isUnfit(s *track.Step, need model.Amount) bool {
	if p.unfit.anyFitsIn(need) {
		return true
	}
	if len(p.unfitBounded) == 0 || !p.unfitBounded.anyFitsIn(need) || !p.isBounded(s) {
		return false
	}
	p.held = true
	return !p.isRelaxed(s)
}
