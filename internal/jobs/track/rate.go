package track

import "time"

// ObservePercent records the progress that an executor lists for a run.
func (r *Run) ObservePercent(percent float64, now time.Duration) {
	if percent > r.Percent {
		r.LastProgress = now
		if r.rateFrom == 0 {
			// A run that continues from a checkpoint begins with the progress that it had.
			r.rateFrom, r.ratePercent = now, percent
		}
	}
	r.Percent = percent
	if r.Task.Step.LongRunning && percent >= servingPercent {
		r.Task.Step.Occ.Job.evidence.succeeded = true
	}
}

// Duration returns the time that the run would take for its whole task at its measured rate of
// progress, or 0 if the rate was measured for less than a time.
func (r *Run) Duration(least time.Duration) time.Duration {
	span, gained := r.LastProgress-r.rateFrom, r.Percent-r.ratePercent
	if r.rateFrom == 0 || span < least || gained <= 0 {
		return 0
	}
	return time.Duration(float64(span) * 100 / gained)
}

// SavedPercent returns the progress at which the run was when its checkpoint was first listed.
func (r *Run) SavedPercent() float64 { return r.savedPercent }
