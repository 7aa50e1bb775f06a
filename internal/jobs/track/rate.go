package track

import "time"

// pace is the pace of progress that the runs of a step have shown on an executor.
type pace struct {
	executor    string
	percentTime time.Duration
}

// recordPace records that the progress of a run has grown to a number of per cents since LastProgress. Where these are
// whole numbers, one of them can take up to as long as the others together.
func (r *Run) recordPace(percent float64, now time.Duration) {
	took := time.Duration(float64(now-r.LastProgress) / max(percent-r.Percent-1, 1))
	r.PercentTime = max(r.PercentTime, took, 1)
	p := &r.Task.Step.paces
	if p[0].executor != r.Executor {
		p[1] = p[0]
	}
	p[0] = pace{r.Executor, r.PercentTime}
}

// RecordDone records the pace of a run that has succeeded.
func (r *Run) RecordDone(now time.Duration) { r.recordPace(100, now) }

// PercentTimeExcept returns how long 1% of a task takes, as the runs of the step have shown last on other
// executors than one, 0 if none has.
func (s *Step) PercentTimeExcept(executor string) time.Duration {
	for _, p := range s.paces {
		if p.executor != executor {
			return p.percentTime
		}
	}
	return 0
}

// ObservePercent records the progress that an executor lists for a run.
func (r *Run) ObservePercent(percent float64, now time.Duration) {
	if percent > r.Percent {
		if r.rateFrom > 0 || r.Checkpoint == "" {
			r.recordPace(percent, now)
		}
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
