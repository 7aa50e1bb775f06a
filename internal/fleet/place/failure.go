package place

import (
	"math"
	"slices"
	"time"
)

const (
	// failureLimit is the number of healthy workers on which a job must fail before it
	// is given up, and of jobs that must fail on a worker before it is quarantined.
	failureLimit = 3
	// quarantineScore is the score at which a worker is quarantined. The score is the
	// negative logarithm of the probability that a healthy worker would have had all of
	// the worker's failures since its last success; 6 is a probability of 1 in 400.
	quarantineScore = 6.0
	// maxFailureScore is the most that one failure adds to the score. It is below
	// suspectScore, so that a single failure of a job whose kind rarely fails still counts
	// against the job.
	maxFailureScore = 2.5
	// suspectScore is the score from which a worker's failures do not count against jobs.
	suspectScore = 3.0
	// quarantineTime is the length of a quarantine. After it the worker is on probation:
	// one more failure that is unlikely on a healthy worker quarantines it again.
	quarantineTime = 10 * time.Minute
)

// attributeFailure attributes a failure to the job or the worker. The more reliably the
// job's kind succeeds elsewhere, the more the failure counts against the worker. A kind
// that fails everywhere is no evidence against a worker.
func (p *Placer) attributeFailure(now time.Duration, j *job, w *worker) {
	if w.quarantinedUntil > 0 {
		// The worker was quarantined while the job ran.
		return
	}
	again := j.failedOn[w]
	if j.failedOn == nil {
		j.failedOn = make(map[*worker]bool)
	}
	j.failedOn[w] = true
	if again {
		return
	}
	// A job that failed on another healthy worker before is probably faulty itself.
	if len(j.failedOnHealthy()) <= 1 {
		w.failureScore += min(-math.Log(j.stats.failureProbability()), maxFailureScore)
	}
	w.failedJobs = append(w.failedJobs, j)
	if w.failureScore < suspectScore {
		j.stats.recordResult(false)
	}
	if w.failureScore < quarantineScore || len(w.failedJobs) < failureLimit && !w.onProbation || w.countSurvivors(j) >= len(w.failedJobs) {
		return
	}
	p.quarantine(now, w)
}

// countSurvivors returns the number of jobs that still run although they started no later
// than the failed one. A worker on which everything fails has none. A healthy worker that
// happens to get several faulty jobs has some.
func (w *worker) countSurvivors(failed *job) int {
	n := 0
	for j := range w.jobs {
		if j.status == running && j.startedAt <= failed.startedAt {
			n++
		}
	}
	return n
}

// quarantine quarantines a worker and no longer counts its failures against the jobs.
func (p *Placer) quarantine(now time.Duration, w *worker) {
	q := &Quarantine{Worker: w.Name, Until: now + quarantineTime}
	for _, j := range w.failedJobs {
		delete(j.failedOn, w)
		j.stats.failures = max(0, j.stats.failures-1)
		q.Failed = append(q.Failed, j.Name)
	}
	w.failedJobs = nil
	w.failureScore = 0
	w.quarantinedUntil = q.Until
	p.quarantined = append(p.quarantined, w)
	p.updateTree(w)
	p.actions = append(p.actions, q)
}

// endExclusions ends quarantines and the periods in which unresponsive workers are not
// considered for preemption. After a quarantine the worker is on probation and gets one job
// at a time until one succeeds.
func (p *Placer) endExclusions(now time.Duration) {
	p.unresponsive = slices.DeleteFunc(p.unresponsive, func(w *worker) bool {
		if w.unresponsiveUntil > now {
			return false
		}
		w.unresponsiveUntil = 0
		p.updateTree(w)
		p.recordFreed(w, nil)
		return true
	})
	p.quarantined = slices.DeleteFunc(p.quarantined, func(w *worker) bool {
		if w.quarantinedUntil > now {
			return false
		}
		w.quarantinedUntil = 0
		w.onProbation = true
		w.failureScore = quarantineScore - 0.1
		p.updateTree(w)
		p.recordFreed(w, nil)
		return true
	})
}

// recordSuccess clears a worker's score and adds the run to the statistics of its kind.
func (p *Placer) recordSuccess(now time.Duration, j *job, w *worker) {
	j.stats.recordResult(true)
	w.failureScore = 0
	w.onProbation = false
	w.failedJobs = nil
	p.updateTree(w)
	if j.peakUse != (Amount{}) {
		j.stats.recordRun(j.Need, j.peakUse, now-j.startedAt)
	}
}

// failedOnHealthy returns the names of the workers on which a job failed and that are
// neither suspect nor quarantined, sorted.
func (j *job) failedOnHealthy() []string {
	var names []string
	for w := range j.failedOn {
		if w.failureScore < suspectScore && w.quarantinedUntil == 0 && !w.removed {
			names = append(names, w.Name)
		}
	}
	slices.Sort(names)
	return names
}
