package leader

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// recordFailure records a run that failed by the fault of its executor or its job.
func (l *Leader) recordFailure(m *member, j *track.Job) {
	if was := j.FailsEverywhere(); m.Blame(j.ID) {
		j.RecordFailureOn(m.Key)
		if !was && j.FailsEverywhere() {
			l.Meters.poison.Inc(1)
			l.Log.Info().Str("job", j.ID).Strs("executors", j.FailedOn()).Msg("job fails on all executors: its tasks are tried one at a time")
		}
	}
	l.recordFault(m, j, "its runs fail")
}

// recordFault records a run that failed or stalled, and logs what follows for the executor. It counts
// for nobody if the job fails on sound executors.
func (l *Leader) recordFault(m *member, j *track.Job, cause string) {
	if j.FailsEverywhere() {
		for _, key := range j.FailedOn() {
			if o := l.members[key]; o != nil {
				o.Exonerate(j.ID)
			}
		}
		return
	}
	was := m.IsSuspect()
	if m.RecordFailure(j.ID, l.now) {
		l.Meters.quarantines.Inc(1)
		l.Log.Warn().Str("executor", m.ID).Dur("until", m.QuarantinedUntil-l.now).Msg("executor quarantined because " + cause)
	}
	l.noteSuspect(m, was, cause)
}

// recordLapse records that the leases of the runs on an executor expired.
func (l *Leader) recordLapse(m *member) {
	if !m.adopted {
		return // it has never answered this leader
	}
	l.countLost(m)
	was := m.IsSuspect()
	m.lostFault += m.RecordLapse()
	l.noteSuspect(m, was, "its leases expired")
}

// noteSuspect logs and counts that an executor has become a suspect, and withdraws its failures as
// evidence against jobs.
func (l *Leader) noteSuspect(m *member, was bool, cause string) {
	if was || !m.IsSuspect() {
		return
	}
	l.Meters.suspects.Inc(1)
	l.Log.Warn().Str("executor", m.ID).Str("cause", cause).Float64("rate", m.FailureRate()).Int("bound", m.Room()).Dur("quarantined", max(m.QuarantinedUntil-l.now, time.Duration(0))).
		Msg("executor is on probation")
	for _, j := range l.tracker.Active() {
		j.WithdrawFailures(m.Key)
	}
}
