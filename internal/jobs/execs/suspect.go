package execs

import (
	"math"
	"slices"
)

const (
	// rateWindow is the number of recent runs that the failure rate is learned from.
	rateWindow = 50
	// priorRuns is the number of successful runs assumed of a new executor, so that its first
	// failure is no rate of 100%.
	priorRuns = 10
	// suspectRate is the failure rate from which an executor is on probation. Sound executors fail
	// 0.2 to 3% of their runs.
	suspectRate = 0.12
	// minFaults is the least number of recent faults, of different jobs, for that. Less than 2
	// because each run since the first has let it decay.
	minFaults = 1.7
	// refusalFault and lapseFault are the weights of faults that end no run by the executor's
	// own failure. A refusal as unhealthy costs only an order, and a single lapse of all leases can
	// be the leader's network.
	refusalFault = 0.25
	lapseFault   = 1.0
	// firstBound is the number of runs that an executor holds at the start of its probation. Each
	// success adds one, as in slow start, and each fault starts again.
	firstBound = 1
	// passedBound is the bound at which the probation ends if the rate is low enough.
	passedBound = 18
	// maxFaultJobs is the number of recent faults whose jobs are remembered.
	maxFaultJobs = 8
	// maxSuspectShare is the share of the executors that can host a task up to which bounds apply. If more are
	// suspects, the cause is probably not the executors, and bounds would only lose capacity.
	maxSuspectShare = 0.5
)

// probation is the learned failure rate of an executor and the bound that follows from it.
type probation struct {
	// runs and faults are counts that decay by 1/rateWindow with each run.
	runs, faults float64
	// bound is the number of runs that it may hold, 0 for no bound.
	bound int
	// jobs are those of its last faults.
	jobs []string
	// succeeded is set once any run has succeeded.
	succeeded bool
	// blamed is the job that its failures since the last success are evidence against.
	blamed string
}

// FailureRate returns the share of its recent runs that failed by the executor's fault.
func (m *Member) FailureRate() float64 {
	return m.probation.faults / (m.probation.runs + priorRuns)
}

// IsSuspect reports whether the executor is on probation.
func (m *Member) IsSuspect() bool { return m.probation.bound > 0 }

// Blame reports whether a failure of a job there is evidence against the job: the executor is no
// suspect, has succeeded before, and has failed no other job since. Otherwise a fault that all executors
// have in common would count for the jobs, and quarantine none of them.
func (m *Member) Blame(job string) bool {
	p := &m.probation
	if m.IsSuspect() || !p.succeeded || p.blamed != "" && p.blamed != job ||
		slices.ContainsFunc(m.failedJobs, func(j string) bool { return j != job }) {
		return false
	}
	p.blamed = job
	return true
}

// Room returns how many more runs the executor may hold, besides its capacity. Long-running tasks
// don't count.
func (m *Member) Room() int {
	if m.probation.bound == 0 {
		return math.MaxInt
	}
	return max(m.probation.bound-m.shortRuns, 0)
}

// Pool divides the executors of a pool by whether they are on probation.
type Pool struct{ suspects, sound []*Member }

// NewPool returns the division of a pool's executors. It allocates nothing if none is a suspect.
func NewPool(members []*Member) Pool {
	if !slices.ContainsFunc(members, (*Member).IsSuspect) {
		return Pool{}
	}
	var p Pool
	for _, m := range members {
		if m.IsSuspect() {
			p.suspects = append(p.suspects, m)
		} else {
			p.sound = append(p.sound, m)
		}
	}
	return p
}

// HasSuspects reports whether any executor of the pool is a suspect.
func (p Pool) HasSuspects() bool { return len(p.suspects) > 0 }

// BoundsApply reports whether the bounds of suspects apply to work that some executors of the pool can
// host: at most maxSuspectShare of these are suspects. It looks at few more sound executors than there
// are suspects.
func (p Pool) BoundsApply(canHost func(*Member) bool) bool {
	suspects := 0
	for _, m := range p.suspects {
		if canHost(m) {
			suspects++
		}
	}
	if suspects == 0 {
		return false
	}
	all := suspects
	for _, m := range p.sound {
		if float64(suspects) <= maxSuspectShare*float64(all) {
			break
		}
		if canHost(m) {
			all++
		}
	}
	return float64(suspects) <= maxSuspectShare*float64(all)
}

// succeed records a successful run.
func (p *probation) succeed() {
	p.succeeded, p.blamed = true, ""
	p.decay()
	p.runs++
	if p.bound == 0 {
		return
	}
	if p.bound++; p.bound >= passedBound && !p.isFaulty() {
		p.bound = 0
	}
}

func (p *probation) decay() {
	p.runs *= 1 - 1.0/rateWindow
	p.faults *= 1 - 1.0/rateWindow
}

func (p *probation) isFaulty() bool {
	return p.faults >= minFaults && p.faults/(p.runs+priorRuns) >= suspectRate
}

// fail records a fault of a weight. Further failures of a job that is remembered count once.
func (p *probation) fail(job string, weight float64) {
	if job != "" {
		if slices.Contains(p.jobs, job) {
			return
		}
		if len(p.jobs) == maxFaultJobs {
			p.jobs = slices.Delete(p.jobs, 0, 1)
		}
		p.jobs = append(p.jobs, job)
	}
	p.decay()
	p.runs += weight
	p.faults += weight
	if p.bound > 0 || p.isFaulty() {
		p.bound = firstBound
	}
}

// Exonerate withdraws the fault for a job that fails on sound executors as well.
func (m *Member) Exonerate(job string) {
	m.failedJobs = slices.DeleteFunc(m.failedJobs, func(j string) bool { return j == job })
	p := &m.probation
	i := slices.Index(p.jobs, job)
	if i < 0 {
		return
	}
	p.jobs = slices.Delete(p.jobs, i, i+1)
	p.faults, p.runs = max(p.faults-1, 0), max(p.runs-1, 0)
	if !p.isFaulty() && m.quarantine == 0 {
		p.bound = 0
	}
}

// RecordLapse records that the leases of runs there expired without an answer, and returns the weight of
// that fault.
func (m *Member) RecordLapse() float64 {
	m.probation.fail("", lapseFault)
	return lapseFault
}
