package track

import (
	"maps"
	"time"
)

// ForgetCancels removes cancels before a wall-clock time whose jobs are not known, but for those to keep, and
// returns the IDs of these jobs.
func (tr *Tracker) ForgetCancels(before time.Duration, keep func(id string) bool) []string {
	var ids []string
	maps.DeleteFunc(tr.earlyCancels, func(id string, at time.Duration) bool {
		expired := at < before && !keep(id)
		if expired {
			ids = append(ids, id)
		}
		return expired
	})
	return ids
}

// HasEarlyCancel reports whether a job that is not known was cancelled.
func (tr *Tracker) HasEarlyCancel(id string) bool {
	_, ok := tr.earlyCancels[id]
	return ok
}

// EarlyCancels returns the number of cancels whose jobs are not known.
func (tr *Tracker) EarlyCancels() int { return len(tr.earlyCancels) }

// ForgetEnded removes jobs that ended before a wall-clock time, but for those to keep, and returns their
// IDs.
func (tr *Tracker) ForgetEnded(before time.Duration, keep func(id string) bool) []string {
	var ids []string
	for id, j := range tr.jobs {
		if j.hasEnded(before) && !keep(id) {
			delete(tr.jobs, id)
			ids = append(ids, id)
		}
	}
	return ids
}

// HasEnded reports whether a job is known to have ended before a wall-clock time, with a stored end and
// no run left.
func (tr *Tracker) HasEnded(id string, before time.Duration) bool {
	j := tr.jobs[id]
	return j != nil && j.hasEnded(before)
}

func (j *Job) hasEnded(before time.Duration) bool {
	return j.visible.IsFinal() && j.endedAt < before && len(j.Open) == 0
}
