package execs

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// minStall is the least time without progress after which a run counts as stalled. Executors
	// list their runs about once a second.
	minStall = 1300 * time.Millisecond
	// stallShare is the share of the usual run time that a run may go without progress. The
	// smallest progress that executors report, one per cent, takes a hundredth of the run time.
	stallShare = 0.5
)

// IsStalled reports whether a run has stopped making progress, on an executor that last answered at
// lastSeen. usual is the usual run time of such runs. Runs of long-running tasks show no progress,
// and members of a gang wait for one another, so they never count as stalled.
func IsStalled(r *track.Run, lastSeen, usual time.Duration) bool {
	s := r.Task.Step
	if r.Phase != track.Running || s.LongRunning || s.Gang || s.BestEffort {
		return false
	}
	return lastSeen-r.LastProgress > max(minStall, time.Duration(stallShare*float64(usual)))
}
