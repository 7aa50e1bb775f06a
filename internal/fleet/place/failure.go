package place

import (
	"math"
	"slices"
	"time"
)

const (
	// strikes is the number of healthy workers on which a job fails before it is
	// set aside.
	strikes = 3
	// guilty is the score at which a worker is quarantined: the negative logarithm of
	// the probability that a healthy worker would have failed all that it failed since
	// its last success. 6 is a chance of 1 in 400.
	guilty = 6.0
	// heaviest is the most that one failure adds. It is below doubtful, so that a
	// single failure of a job from a reliable kind still counts against the job.
	heaviest = 2.5
	// doubtful is the score from which a worker's failures do not count against jobs.
	doubtful = 3.0
	// sentence is how long a quarantine lasts. After it, one more failure that is
	// unlikely on a healthy worker ends the worker's parole.
	sentence = 10 * time.Minute
)

// blame divides a failure between the job and the worker. The worker is blamed as far
// as the job's kind usually succeeds elsewhere; a kind that fails everywhere says
// nothing about a worker.
func (p *Placer) blame(now time.Duration, j *job, w *worker) {
	if w.until > 0 {
		// It was quarantined while the job ran.
		return
	}
	again := j.failed[w]
	if j.failed == nil {
		j.failed = make(map[*worker]bool)
	}
	j.failed[w] = true
	if again {
		return
	}
	// A job that failed on another healthy worker already is likely at fault itself.
	if len(j.healthy()) <= 1 {
		w.score += min(-math.Log(j.kind.failing()), heaviest)
	}
	w.failed = append(w.failed, j)
	if w.score < doubtful {
		j.kind.result(false)
	}
	if w.score < guilty || len(w.failed) < strikes && !w.parole || w.survivors(j) >= len(w.failed) {
		return
	}
	p.lock(now, w)
}

// survivors counts the jobs that run on although they started no later than one that
// failed. A worker that fails everything has none, while a healthy one that happens
// to get several jobs that can never run has.
func (w *worker) survivors(failed *job) int {
	n := 0
	for j := range w.jobs {
		if j.status == running && j.began <= failed.began {
			n++
		}
	}
	return n
}

// lock quarantines a worker and takes back what its failures said about the jobs.
func (p *Placer) lock(now time.Duration, w *worker) {
	q := &Quarantine{Worker: w.Name, Until: now + sentence}
	for _, j := range w.failed {
		delete(j.failed, w)
		j.kind.bad = max(0, j.kind.bad-1)
		q.Failed = append(q.Failed, j.Name)
	}
	w.failed = nil
	w.score = 0
	w.until = q.Until
	p.paroles = append(p.paroles, w)
	p.update(w)
	p.out = append(p.out, q)
}

// free ends quarantines and deafness. A worker on parole takes one job at a time.
func (p *Placer) free(now time.Duration) {
	p.deafs = slices.DeleteFunc(p.deafs, func(w *worker) bool {
		if w.deaf > now {
			return false
		}
		w.deaf = 0
		p.update(w)
		p.freed(w, nil)
		return true
	})
	p.paroles = slices.DeleteFunc(p.paroles, func(w *worker) bool {
		if w.until > now {
			return false
		}
		w.until = 0
		w.parole = true
		w.score = guilty - 0.1
		p.update(w)
		p.freed(w, nil)
		return true
	})
}

// succeeded clears a worker's score and learns from the run.
func (p *Placer) succeeded(now time.Duration, j *job, w *worker) {
	j.kind.result(true)
	w.score = 0
	w.parole = false
	w.failed = nil
	p.update(w)
	if j.peak != (Amount{}) {
		j.kind.observe(j.Need, j.peak, now-j.began)
	}
}

// healthy returns the workers on which a job failed and that are not doubtful, sorted.
func (j *job) healthy() []string {
	var names []string
	for w := range j.failed {
		if w.score < doubtful && w.until == 0 && !w.gone {
			names = append(names, w.Name)
		}
	}
	slices.Sort(names)
	return names
}
