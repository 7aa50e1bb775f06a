package track

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Accept adds a stored job and returns it. A job that is known already is returned unchanged.
// accepted is in Unix time.
func (tr *Tracker) Accept(id string, settings model.Queue, spec model.JobSpec, accepted, now time.Duration) *Job {
	if j := tr.jobs[id]; j != nil {
		return j
	}
	return tr.AcceptPrepared(tr.Prepare(id, settings, spec, accepted), now)
}

// Prepare returns a job for AcceptPrepared, which it does not add. Building 100,000 tasks takes milliseconds.
// Unlike other methods it may be called by any goroutine at any time.
func (tr *Tracker) Prepare(id string, settings model.Queue, spec model.JobSpec, accepted time.Duration) *Job {
	j := newJob(id, settings, spec.Account, accepted)
	tr.build(j, spec)
	return j
}

// AcceptPrepared adds a stored job and returns it. If the job is known already, the known one is returned unchanged.
func (tr *Tracker) AcceptPrepared(j *Job, now time.Duration) *Job {
	if known := tr.jobs[j.ID]; known != nil {
		return known
	}
	j.SeenAt = now
	tr.jobs[j.ID] = j
	tr.active[j.ID] = j
	if at, ok := tr.earlyCancels[j.ID]; ok {
		delete(tr.earlyCancels, j.ID)
		tr.Cancel(j.ID, at)
	}
	return j
}

func newJob(id string, settings model.Queue, account string, accepted time.Duration) *Job {
	return &Job{ID: id, Queue: settings.Name, Account: account, Accepted: accepted, Settings: settings, storedProgress: map[progressID]struct{}{}}
}

// build builds the only occurrence of a job, unless it is scheduled.
func (tr *Tracker) build(j *Job, spec model.JobSpec) {
	j.Spec = spec
	j.layout = newProgressLayout(tr.recordBytes, spec.TaskCount(), j.maxFailures(), 0)
	if !spec.Scheduled {
		j.Open = append(j.Open, j.newOccurrence(0))
		j.nextOccurrence = 1
	}
}
