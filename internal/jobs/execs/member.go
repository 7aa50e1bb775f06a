// Package execs keeps the leader's state of each executor: its free capacity, whether it accepts
// new tasks, and its recent failures and run times. It reads no clock and makes no calls.
package execs

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Contact is the state of the contact with an executor.
type Contact uint8

// States of the contact with an executor.
const (
	// Uncontacted executors have not answered this leader yet.
	Uncontacted Contact = iota
	Live
	// Unresponsive executors have left calls unanswered since their last response.
	Unresponsive
	// Dead executors have certainly ended, and all their runs with them.
	Dead
)

const (
	// failuresToQuarantine is the number of failed runs of different jobs in a row after which an
	// executor is quarantined. A few in a hundred jobs always fail, so two different ones in a row
	// are rare, and three point to the executor.
	failuresToQuarantine = 3
	// minQuarantine and maxQuarantine bound the quarantine; it doubles each time. Failing executors
	// recover after some seconds.
	minQuarantine = 3 * time.Second
	maxQuarantine = 12 * time.Second
	// unhealthyPause is how long an executor gets no new tasks after it refused a start as
	// unhealthy.
	unhealthyPause = 300 * time.Millisecond
	// slownessWeight is the weight of a new run in the moving average of the slowness.
	slownessWeight = 0.3
)

// Member is one incarnation of an executor.
type Member struct {
	model.Executor
	// Key identifies the incarnation.
	Key string
	// Used is the capacity reserved for all runs that may be there, and LongRunning the part of it
	// for runs that last until they are cancelled.
	Used        model.Amount
	LongRunning model.Amount
	Contact     Contact
	// Listed is set if the store lists the executor.
	Listed bool
	// Leaving is set if the executor's instance is to be drained for a move or maintenance.
	Leaving bool
	// Orphans is the number of runs in its last list that no active job needs, such as runs of jobs
	// that were over when the leader took over. The capacity they use is not known, so no tasks
	// start there until they have ended.
	Orphans int
	// Slowness is its mean run time relative to the estimates, 1 for the usual run time.
	Slowness float64
	// QuarantinedUntil is the time before which it gets no new tasks because of failures.
	QuarantinedUntil time.Duration
	// LastGoodStart is when the last started run that succeeded there was ordered, 0 for none.
	LastGoodStart time.Duration
	quarantine    time.Duration
	failedJobs    []string
	probation     probation
	restarts      restarts
	// shortRuns is the number of runs there that don't last until they are cancelled.
	shortRuns int
}

// CanAcceptTasks reports whether the executor accepts new tasks.
func (m *Member) CanAcceptTasks(now time.Duration) bool {
	return m.Contact == Live && m.Listed && !m.Draining && !m.Leaving && m.Orphans == 0 && now >= m.QuarantinedUntil
}

// Free returns the capacity that is not reserved.
func (m *Member) Free() model.Amount { return m.Capacity.Minus(m.Used) }

// RecordSuccess records a run that succeeded, and when it was ordered.
func (m *Member) RecordSuccess(orderedAt time.Duration) {
	m.LastGoodStart = max(m.LastGoodStart, orderedAt)
	m.failedJobs = nil
	m.quarantine = 0
	m.probation.succeed()
}

// RecordFailure records a failed run of a job and reports whether this quarantines the executor.
func (m *Member) RecordFailure(job string, now time.Duration) bool {
	m.probation.fail(job, 1)
	for _, j := range m.failedJobs {
		if j == job {
			return false
		}
	}
	m.failedJobs = append(m.failedJobs, job)
	if len(m.failedJobs) < failuresToQuarantine {
		return false
	}
	// After the quarantine, one more failure starts the next one.
	m.failedJobs = m.failedJobs[1:]
	m.quarantine = min(max(m.quarantine*2, minQuarantine), maxQuarantine)
	m.QuarantinedUntil = now + m.quarantine
	m.probation.bound = firstBound
	return true
}

// RecordUnhealthy records that the executor refused a start because it is unhealthy.
func (m *Member) RecordUnhealthy(now time.Duration) {
	if now >= m.QuarantinedUntil {
		// Orders that were sent before the first refusal count once.
		m.probation.fail("", refusalFault)
	}
	m.QuarantinedUntil = max(m.QuarantinedUntil, now+unhealthyPause)
}

// RecordRunTime records the run time of a run and its estimate.
func (m *Member) RecordRunTime(took, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	m.Slowness += slownessWeight * (float64(took)/float64(estimate) - m.Slowness)
}

// AddRun reserves capacity for a run of a step.
func (m *Member) AddRun(s *track.Step) {
	m.Used = m.Used.Plus(s.Reservation())
	if s.LongRunning {
		m.LongRunning = m.LongRunning.Plus(s.Reservation())
	} else {
		m.shortRuns++
	}
}

// RemoveRun releases the capacity of a run of a step.
func (m *Member) RemoveRun(s *track.Step) {
	m.Used = m.Used.Minus(s.Reservation())
	if s.LongRunning {
		m.LongRunning = m.LongRunning.Minus(s.Reservation())
	} else {
		m.shortRuns--
	}
}
