package execs

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// lateFactor is the multiple of the expected run time from which a run is late, and
	// suspectLateFactor that on an executor that is a suspect or does not answer. Tasks of one step differ
	// in length by a factor of two, and a copy of a long task takes as long: with 2, most of 136 copies of a
	// day were overtaken by the first run.
	lateFactor        = 2.5
	suspectLateFactor = 1.0
	// minLate is the least time by which a run exceeds the expected one: ends are known late when
	// executors or the leader are busy.
	minLate = 400 * time.Millisecond
	// copyGain is the ratio of the time left of a run to that of its copy from which a copy is
	// started.
	copyGain = 2.0
	// silentAfter is the time without an answer after which an executor's runs may get copies.
	silentAfter = 1300 * time.Millisecond
)

// IsDoubtful reports whether the runs of an executor that last answered at lastSeen may never end.
func (m *Member) IsDoubtful(lastSeen, now time.Duration) bool {
	return m.IsSuspect() || m.Contact == Unresponsive && now > lastSeen+silentAfter
}

// TimeLeft estimates the time until a run ends, by its rate of progress. A run that shows none is
// expected to take as long again.
func TimeLeft(r *track.Run, now time.Duration) time.Duration {
	elapsed := now - r.PhaseSince
	if r.Percent <= 0 || r.LastProgress <= r.PhaseSince {
		return elapsed
	}
	total := time.Duration(float64(r.LastProgress-r.PhaseSince) * 100 / r.Percent)
	if now-r.LastProgress > total/2 {
		return elapsed // it makes no progress any more
	}
	return max(total-elapsed, 0)
}

// IsLate reports whether a run takes so much longer than the expected time that a copy of it would
// probably end earlier.
func IsLate(r *track.Run, now, expected time.Duration, doubtful bool) bool {
	factor := lateFactor
	if doubtful {
		factor = suspectLateFactor
	}
	elapsed := now - r.PhaseSince
	if r.Phase != track.Running || expected <= 0 || elapsed < max(time.Duration(factor*float64(expected)), expected+minLate) {
		return false
	}
	return doubtful || float64(TimeLeft(r, now)) > copyGain*float64(expected)
}

// AllowsCopy reports whether a second run of a task may start: its step allows copies, it has one run
// for certain, and its attempts suffice if both runs fail. Tasks of client accounts get none, since a new leader
// does not know of the second run and would count too little against the account's limit.
func AllowsCopy(t *track.Task) bool {
	s := t.Step
	return s.AllowsCopies && !s.Gang && !s.LongRunning && !s.BestEffort && !t.Done && !t.Unresolved && len(t.Runs) == 1 &&
		s.Occ.Job.Account == "" && !t.HasLastAttempt() && !s.Occ.Job.IsOver() && !s.Occ.Job.FailsEverywhere()
}
