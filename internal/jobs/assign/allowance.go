package assign

import "chervilgauge.example/chervilgauge/internal/jobs/track"

// Allowance limits the starts of client accounts. A gang counts as a whole, any other step by task.
type Allowance interface {
	// Fits reports whether a task of a step, or a whole gang, may start.
	Fits(*track.Step) bool
	// Take counts the start of a task of a step, or of a whole gang.
	Take(*track.Step)
	// Yield is called for a gang that may start and for which there is no capacity, or no place in the round.
	Yield(*track.Step)
}

func orUnlimited(a Allowance) Allowance {
	if a == nil {
		return unlimited{}
	}
	return a
}

// unlimited is the Allowance of accounts without limits.
type unlimited struct{}

func (unlimited) Fits(*track.Step) bool { return true }
func (unlimited) Take(*track.Step)      {}
func (unlimited) Yield(*track.Step)     {}
