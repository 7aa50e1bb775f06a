// Package place decides which worker runs which job and when, and which running jobs are
// preempted for urgent ones.
//
// A Placer holds the queued and running jobs of one fleet. The caller gets the next
// actions from it, executes them and reports their outcomes. A Start is only an offer
// until Confirm passes the fencing token under which the placement was recorded. Results
// with any other token are ignored. A Placer is not safe for concurrent use.
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

func (a Amount) fitsIn(b Amount) bool {
	return a.Cores <= b.Cores && a.Memory <= b.Memory && a.Accelerators <= b.Accelerators
}

func (a Amount) max(b Amount) Amount {
	return Amount{max(a.Cores, b.Cores), max(a.Memory, b.Memory), max(a.Accelerators, b.Accelerators)}
}

// dominantShare returns the largest share of total that a uses of any resource.
func (a Amount) dominantShare(total Amount) float64 {
	part := func(x, y int64) float64 { return float64(x) / float64(max(y, 1)) }
	return max(part(a.Cores, total.Cores), part(a.Memory, total.Memory), part(a.Accelerators, total.Accelerators))
}

// Urgency is the class of a job.
type Urgency uint8

// Urgency classes. Deferrable jobs may wait until their deadline comes close.
const (
	Urgent Urgency = iota
	Normal
	Deferrable
	urgencyClasses
)

// Worker is one worker as the replicated state shows it.
type Worker struct {
	Name string
	Size Amount
	// DrainsAt is when the worker will start to drain, 0 if no drain is planned.
	DrainsAt time.Duration
	// Closed is set while the worker accepts no new jobs: it drains, reboots or is not up.
	Closed bool
}

// Team is one team with its quota.
type Team struct {
	Name string
	// Weight is the team's share of a contended fleet relative to other teams.
	Weight float64
	// Quota is the most that all running jobs of the team may be allocated.
	Quota Amount
}

// Job is one job as it was submitted. Length is the declared run time.
type Job struct {
	Name    string
	Team    string
	Kind    string
	Need    Amount // declared
	Length  time.Duration
	Urgency Urgency
	// Deadline is the time after which the job is not started any more, 0 for none.
	Deadline      time.Duration
	Idempotent    bool
	CanCheckpoint bool
}

// Action is the next thing that the caller has to do: a *Start, *Command, *Ended or
// *Quarantine.
type Action interface{ action() }

// Start offers a job to a worker. PrevToken is the token of the job's previous placement,
// 0 if there is none.
type Start struct {
	Job, Worker string
	PrevToken   uint64
}

// CommandKind is what a worker has to do with a running job.
type CommandKind uint8

// Kinds of commands. The first three preempt a job, in ascending order of their cost to it.
const (
	Throttle CommandKind = iota
	Checkpoint
	Stop
	// Restore ends a throttle.
	Restore
)

// Command orders a worker to free resources for UrgentJob, to end a throttle, or to stop a
// cancelled job. UrgentJob is empty in the last two cases.
type Command struct {
	Job, Worker string
	Token       uint64
	Kind        CommandKind
	UrgentJob   string
}

// Ended reports that a job left the queue without a result.
type Ended struct {
	Job    string
	Reason Reason
}

// Quarantine reports a worker on which all jobs fail. The worker gets no jobs until Until.
// Failed names the jobs that failed there.
type Quarantine struct {
	Worker string
	Until  time.Duration
	Failed []string
}

func (*Start) action()      {}
func (*Command) action()    {}
func (*Ended) action()      {}
func (*Quarantine) action() {}

// Outcome is how a placement ended.
type Outcome uint8

// Outcomes of a placement.
const (
	Done Outcome = iota
	// Failed means that the job ran and failed.
	Failed
	// NotRun means that the worker certainly did not start the job.
	NotRun
	// Paused means that the job stopped at a checkpoint.
	Paused
	// Stopped means that the job was stopped without a checkpoint.
	Stopped
)

// Usage is a measured resource use of a running job.
type Usage struct {
	Job   string
	Token uint64
	Used  Amount
	// At is when the use was measured, which can be well before the report arrives.
	At time.Duration
}
