package track

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// leftState is the state of a tracker for the runs of ended jobs.
type leftState struct {
	// leftBehind are the ended jobs with runs that no executor may have listed yet.
	leftBehind []*Job
	// dirtyLeft are the ended jobs whose records are to be renewed.
	dirtyLeft []*Job
	// loadTime is how long the records of earlier leaders took to load.
	loadTime time.Duration
}

// WithLoadTime sets how long the records of earlier leaders took to load.
func WithLoadTime(d time.Duration) Option { return func(tr *Tracker) { tr.loadTime = d } }

// Left is what runs may need that no executor has listed.
type Left struct {
	// Reserved is what they reserve of executors.
	Reserved model.Amount
	// Spare is the cores of best-effort runs, in thousandths, which reserve none.
	Spare int64
}

// Plus returns the sum.
func (x Left) Plus(y Left) Left { return Left{x.Reserved.Plus(y.Reserved), x.Spare + y.Spare} }

// Total returns what the runs need.
func (x Left) Total() model.Amount { return x.Reserved.Plus(model.Amount{Cores: x.Spare}) }

// Bound returns what the runs may need on executors of a capacity. It does not bound best-effort cores.
func (x Left) Bound(capacity model.Amount) model.Amount {
	return x.Reserved.Min(capacity).Plus(model.Amount{Cores: x.Spare})
}

// leftBy returns what n runs of a step need.
func leftBy(s *Step, n int) Left {
	return Left{s.Reservation().Times(int64(n)), s.Need.Minus(s.Reservation()).Cores * int64(n)}
}

// leftTasks returns what the runs and the unresolved tasks of a job may need.
func leftTasks(j *Job) (runs, unresolved Left) {
	for _, o := range j.Open {
		for _, s := range o.Steps {
			running, unknown := 0, 0
			for _, t := range s.Tasks {
				running += len(t.Runs)
				if t.Unresolved && !t.Done {
					unknown++
				}
			}
			runs, unresolved = runs.Plus(leftBy(s, running)), unresolved.Plus(leftBy(s, unknown))
		}
	}
	return runs, unresolved.Plus(j.unopenedNeed())
}

// recordLeft records what runs of a job that ends may need. It is stored with the end: executors can list
// these runs to a later leader, for which the job has no tasks.
func (tr *Tracker) recordLeft(j *Job) {
	if j.Account == "" {
		return // nothing counts its runs
	}
	runs, unresolved := leftTasks(j)
	if tr.parkedListed {
		// Tasks of a job that was parked until now are unresolved, and no former run of them is left.
		unresolved = Left{}
	}
	j.left, j.unlisted = runs.Plus(unresolved), unresolved
	tr.addLeft(j)
}

// leftRetention is how long after the end of its job a run may still be there without being listed. Runs
// that can't be stopped end with their leases, 10.3 s after a takeover; clocks differ by up to 10 s. The time
// that the load takes is added, during which the new leader extends the leases.
const leftRetention = 20 * time.Second

// leftRenewal is the age at which the record of an ended job that still has runs is renewed. With the 5 s until
// another entry leads and the difference of the clocks it stays below leftRetention.
const leftRenewal = 3 * time.Second

// RenewLeft keeps the record of an ended job recent while its runs are there: a stop may take longer than
// leftRetention. The job counts as ended at the time of the renewal.
func (tr *Tracker) RenewLeft(j *Job, wall time.Duration) {
	if j.Account == "" || !j.IsOver() || wall < j.endedAt+leftRenewal {
		return
	}
	j.endedAt = wall
	tr.dirtyLeft = append(tr.dirtyLeft, j)
}

// loadLeft restores what runs of a job that ended under an earlier leader may need.
func (tr *Tracker) loadLeft(j *Job, e *workpb.Ended, wall time.Duration) {
	part := func(n int64) int64 { return min(max(n, 0), maxLeft) }
	j.left = Left{model.Amount{Cores: part(e.GetCores()), Memory: part(e.GetMemory()), Accelerators: part(e.GetAccelerators())}, part(e.GetSpare())}
	if j.endedAt > wall-leftRetention-tr.loadTime {
		j.unlisted = j.left
		tr.addLeft(j)
	}
}

// maxLeft bounds numbers in records, so that sums of them don't overflow.
const maxLeft = 1 << 49

func (tr *Tracker) addLeft(j *Job) {
	if j.Account != "" && j.unlisted != (Left{}) {
		tr.leftBehind = append(tr.leftBehind, j)
	}
}

// Left returns what the runs of an ended job may have needed when it ended.
func (j *Job) Left() Left { return j.left }

// Unlisted returns, by client account, what the runs of earlier leaders need that executors may list yet:
// those of unresolved tasks, of parked jobs and of jobs that have ended.
func (tr *Tracker) Unlisted() map[string]Left {
	out := map[string]Left{}
	for _, j := range tr.active {
		if j.Account != "" && j.unresolved {
			_, unresolved := leftTasks(j)
			out[j.Account] = out[j.Account].Plus(unresolved)
		}
	}
	for _, j := range tr.leftBehind {
		out[j.Account] = out[j.Account].Plus(j.unlisted)
	}
	tr.addParked(out)
	return out
}

// ForgetLeft forgets the runs of ended and parked jobs, once all executors have listed theirs or all former leases
// have expired.
func (tr *Tracker) ForgetLeft() { tr.leftBehind, tr.parkedListed = nil, true }

// HasLeft reports whether runs of ended or parked jobs may not be listed yet.
func (tr *Tracker) HasLeft() bool {
	return len(tr.leftBehind) > 0 || !tr.parkedListed && len(tr.Parked()) > 0
}
