package execs

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// minStall is the least time without progress after which a run counts as stalled. Executors
	// list their runs about once a second.
	minStall = 1300 * time.Millisecond
	// unknownStall is the same for a run of which neither the run time nor the pace of progress is known.
	unknownStall = 10 * time.Second
	// stallShare is the share of the usual run time that a run may go without progress.
	stallShare = 0.5
	// paceFactor and reportInterval are for a run whose pace is known: it may go without progress for so many times the
	// time that 1% takes, since executors can report whole per cents only, and for the time between two lists.
	paceFactor     = 1.5
	reportInterval = 1 * time.Second
	// maxStallDoublings bounds how often the time without progress is doubled.
	maxStallDoublings = 16
)

// IsStalled reports whether a run has stopped making progress, on an executor that last answered at
// lastSeen. usual is the usual run time of such runs, 0 if it is not known, and age the time since the task could have
// started. Runs of long-running tasks show no progress, and members of a gang wait for one another, so they
// never count as stalled.
func IsStalled(r *track.Run, lastSeen, usual, age time.Duration) bool {
	s := r.Task.Step
	if r.Phase != track.Running || s.LongRunning || s.Gang || s.BestEffort {
		return false
	}
	silent := lastSeen - r.LastProgress
	if silent <= minStall {
		return false
	}
	return silent > stallLimit(r, usual, age)
}

// stallLimit returns how long a run may go without progress. What the run itself and others of its step have shown
// goes before the estimate, which can be wrong by any factor. While they have shown nothing, the time is
// doubled for each run of the task that was stopped, so that at most some per cents of its run time are lost.
func stallLimit(r *track.Run, usual, age time.Duration) time.Duration {
	limit := max(minStall, time.Duration(stallShare*float64(usual)))
	pace := max(r.PercentTime, r.Task.Step.PercentTimeExcept(r.Executor))
	if r.Adopted && r.Percent > 0 {
		// An earlier leader has seen its progress. Its mean pace is not slower than this.
		pace = max(pace, time.Duration(float64(age)/r.Percent))
	}
	if pace > 0 {
		return max(limit, silence(pace))
	}
	if usual <= 0 {
		limit = unknownStall
	}
	return limit << min(r.Task.Stalls, maxStallDoublings)
}

// silence returns how long a run of which 1% takes a time may go without progress.
func silence(percentTime time.Duration) time.Duration {
	return time.Duration(paceFactor*float64(percentTime)) + reportInterval
}

// IsStallEvident reports whether a stalled run is evidence against its executor: it has made progress before, or
// runs of its step make progress elsewhere. Otherwise the estimate of its run time may be wrong.
func IsStallEvident(r *track.Run, lastSeen time.Duration) bool {
	return r.PercentTime > 0 || ShowsStall(r.Task.Step.PercentTimeExcept(r.Executor), lastSeen-r.LastProgress)
}

// ShowsStall reports whether runs elsewhere, of which 1% takes a time, show that a run without progress for another
// time was stalled by its executor.
func ShowsStall(percentTime, silent time.Duration) bool {
	return percentTime > 0 && silence(percentTime) < silent
}
