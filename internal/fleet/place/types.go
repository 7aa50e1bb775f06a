// Package place decides which worker runs which job and when.
//
// A Placer keeps the queued and running jobs of one fleet. The caller asks it for the
// next actions, carries them out and reports what became of them. A Start is an offer
// until Confirm gives it the fencing token under which it was recorded; a result with
// any other token is ignored. A Placer is not safe for concurrent use.
package place

import (
	"time"
)

// Amount is an amount of resources.
type Amount struct {
	Cores        int64 // thousandths of a core
	Memory       int64 // bytes
	Accelerators int64
}

func (a Amount) plus(b Amount) Amount {
	return Amount{a.Cores + b.Cores, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{a.Cores - b.Cores, a.Memory - b.Memory, a.Accelerators - b.Accelerators}
}

func (a Amount) within(b Amount) bool {
	return a.Cores <= b.Cores && a.Memory <= b.Memory && a.Accelerators <= b.Accelerators
}

func (a Amount) most(b Amount) Amount {
	return Amount{max(a.Cores, b.Cores), max(a.Memory, b.Memory), max(a.Accelerators, b.Accelerators)}
}

// share returns the largest share of total that a uses of any resource.
func (a Amount) share(total Amount) float64 {
	part := func(x, y int64) float64 { return float64(x) / float64(max(y, 1)) }
	return max(part(a.Cores, total.Cores), part(a.Memory, total.Memory), part(a.Accelerators, total.Accelerators))
}

// Urgency is the class of a job.
type Urgency uint8

// Urgency classes. Morning jobs may wait until morning.
const (
	Urgent Urgency = iota
	Normal
	Morning
	classes
)

// Worker is one worker as the folded state shows it.
type Worker struct {
	Name string
	Size Amount
	// Drains is when the worker will start to drain, 0 if that is not planned.
	Drains time.Duration
	// Closed workers take no new jobs: they drain, reboot or are not up.
	Closed bool
}

// Team is one team with its quota.
type Team struct {
	Name string
	// Weight is its share of a contended fleet relative to other teams.
	Weight float64
	// Quota is the most that its running jobs may hold together.
	Quota Amount
}

// Job is one job as it was submitted.
type Job struct {
	Name    string
	Team    string
	Kind    string
	Need    Amount // declared
	Length  time.Duration
	Urgency Urgency
	// Deadline is when the job is of no more use, 0 for none.
	Deadline   time.Duration
	Idempotent bool
	Checkpoint bool
}

// Action is one thing to do next. It is one of *Start, *Ask, *Ended and *Quarantine.
type Action interface{ action() }

// Start offers a job to a worker. Prev is the token of its previous placement.
type Start struct {
	Job, Worker string
	Prev        uint64
}

// Means is what a worker is asked to do with a running job.
type Means uint8

// Means of making room, in the order of what they cost the job.
const (
	Throttle Means = iota
	Checkpoint
	Stop
	// Restore ends a throttle.
	Restore
)

// Ask asks a worker to make room for the urgent job For, or to stop a cancelled job.
type Ask struct {
	Job, Worker string
	Token       uint64
	Means       Means
	For         string
}

// Ended reports that a job left the queue without a result.
type Ended struct {
	Job    string
	Reason Reason
}

// Quarantine reports a worker that fails everything. It takes no jobs until Until.
type Quarantine struct {
	Worker string
	Until  time.Duration
	Failed []string
}

func (*Start) action()      {}
func (*Ask) action()        {}
func (*Ended) action()      {}
func (*Quarantine) action() {}

// Outcome is what became of a placement.
type Outcome uint8

// Outcomes of a placement.
const (
	Done Outcome = iota
	// Failed says that the job ran and failed.
	Failed
	// NotRun says that the worker certainly did not start the job.
	NotRun
	// Paused says that the job stopped at a checkpoint.
	Paused
	// Stopped says that the job was stopped without a checkpoint.
	Stopped
)

// Usage is a measured use of a running job.
type Usage struct {
	Job   string
	Token uint64
	Used  Amount
	// At is when it was measured; reports arrive late.
	At time.Duration
}
