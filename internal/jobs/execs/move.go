package execs

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// minRateSpan is the time for which a rate of progress is measured before a run is moved.
	// Executors list progress about once a second.
	minRateSpan = 3 * time.Second
	// restoreTime is assumed for the stop and the start from a checkpoint. Stops are listed within a
	// second, and the start waits for that.
	restoreTime = 2 * time.Second
	// moveGain is the ratio of the time left of a run to that after a move from which it is moved.
	moveGain = 2.0
	// maxMoves is how often a task is moved because it is slow.
	maxMoves = 2
)

// ShouldMove reports whether a run should be stopped and continued elsewhere from its checkpoint:
// by its rate of progress, the time left is clearly longer than elsewhere, where the whole task
// takes the expected time. A task of which a former leader has started another run keeps both.
func ShouldMove(r *track.Run, now, expected time.Duration) bool {
	t := r.Task
	s := t.Step
	if r.Phase != track.Running || !s.WritesCheckpoints || s.Gang || s.LongRunning || s.BestEffort ||
		r.Checkpoint == "" || len(t.Runs) > 1 || t.SlowMoves >= maxMoves || t.Done || s.Occ.Job.IsOver() || r.Pace < 100 {
		return false
	}
	whole := r.Duration(minRateSpan)
	if whole == 0 || expected <= 0 {
		return false
	}
	left := time.Duration(float64(whole)*(100-r.Percent)/100) - (now - r.LastProgress)
	elsewhere := time.Duration(float64(expected)*(100-r.SavedPercent())/100) + restoreTime
	return float64(left) > moveGain*float64(elsewhere)
}

// RecordRate records the rate of progress of a run that does not end there.
func (m *Member) RecordRate(r *track.Run, expected time.Duration) {
	if whole := r.Duration(minRateSpan); whole > 0 {
		m.RecordRunTime(whole, expected)
	}
}
