package leader

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

// prepareWait is how long the bodies of an append may wait together for memory to decode them. The jobs are being stored
// and can't be refused, and an append that takes 700 ms counts as slow.
const prepareWait = 250 * time.Millisecond

// preparedJob is the job of a submission, or why its body can't be decoded, or neither if the leader was closed.
type preparedJob struct {
	job *track.Job
	err error
}

// prepareJobs decodes the bodies of submissions that are being stored and builds their jobs. Of the largest jobs
// either takes tens of milliseconds, which the control goroutine must not spend. The submissions are in
// flight, so that the memory of their jobs is counted already.
func (l *Leader) prepareJobs(ctx context.Context, tr *track.Tracker, accepts []*submitRequest) []preparedJob {
	wait, cancel := context.WithTimeout(ctx, prepareWait)
	defer cancel()
	out := make([]preparedJob, len(accepts))
	for i, a := range accepts {
		if ctx.Err() != nil {
			return out
		}
		release, ok := l.Guard.Decode(wait, a.Body)
		out[i] = prepareJob(tr, a)
		if ok {
			release()
		}
	}
	return out
}

func prepareJob(tr *track.Tracker, a *submitRequest) preparedJob {
	spec, err := platform.DecodeJob(a.Body)
	if err != nil {
		return preparedJob{err: err}
	}
	spec.Account = a.Account
	return preparedJob{job: tr.Prepare(a.ID, a.settings, spec, a.accepted)}
}
