package track

import (
	"maps"
	"time"
)

// ForgetEnded removes jobs that ended before a wall-clock time, but for those to keep, and returns their
// IDs. It also removes earlier cancels of jobs that are not known.
func (tr *Tracker) ForgetEnded(before time.Duration, keep func(id string) bool) []string {
	maps.DeleteFunc(tr.earlyCancels, func(_ string, at time.Duration) bool { return at < before })
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
