package leader

import (
	"context"
	"errors"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// stopTimeout limits the stop call, not the stop itself.
	stopTimeout = 500 * time.Millisecond
	// stopRetryInterval is the time after which a stop is repeated if the end is not listed.
	stopRetryInterval = 700 * time.Millisecond
)

// stop sends an executor the order to stop a run. A later poll reports the end.
func (l *Leader) stop(r *track.Run, cause string) {
	m := l.members[r.Executor]
	if m == nil {
		return
	}
	if r.Phase != track.Stopping {
		l.Log.Info().Stringer("task", r.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).Str("cause", cause).Msg("stopping run")
	}
	r.Phase, r.PhaseSince = track.Stopping, l.now
	l.sendStop(m, r.Task.ID, r.Attempt)
}

// stopOrphan stops an orphaned run.
func (l *Leader) stopOrphan(m *member, row model.Run) {
	l.Log.Info().Stringer("task", row.Task).Int("attempt", row.Attempt).Str("executor", m.ID).Msg("stopping orphaned run")
	l.sendStop(m, row.Task, row.Attempt)
}

func (l *Leader) sendStop(m *member, t model.TaskID, attempt int) {
	if !l.isValid() {
		return
	}
	to := l.target(m, stopTimeout)
	l.Meters.stops.Inc(1)
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		return stoppedRun{m: m, err: l.Execs.Stop(call, to, t, attempt)}
	})
}

// stoppedRun is the answer to a stop.
type stoppedRun struct {
	report
	m   *member
	err error
}

func (l *Leader) onStopped(ev stoppedRun) {
	other := (*platform.IncarnationError)(nil)
	if errors.As(ev.err, &other) {
		l.markDead(ev.m, "another incarnation answers at its address")
	}
}

// retryStops repeats stops whose end was not reported in time. It also stops runs of jobs that
// are over and stalled runs, and collects slow ones.
func (l *Leader) retryStops() {
	l.slow = map[string][]*track.Run{}
	for _, m := range l.members {
		for r := range l.tracker.RunsOn(m.Key) {
			l.tracker.RenewLeft(r.Task.Step.Occ.Job, l.wall)
			switch {
			case m.Contact != execs.Live:
			case r.Phase == track.Stopping && l.now > r.PhaseSince+stopRetryInterval:
				r.PhaseSince = l.now
				l.sendStop(m, r.Task.ID, r.Attempt)
			case r.Phase == track.Running && r.Task.Step.Occ.Job.IsOver():
				l.stop(r, "job is over")
			case execs.IsStalled(r, m.clockAt, l.expectedRuntime(m, r), l.ageOf(r)):
				l.stopStalled(m, r)
			default:
				l.observeSlow(m, r)
			}
		}
	}
}

// ageOf bounds the time since the task of a run could have started.
func (l *Leader) ageOf(r *track.Run) time.Duration {
	o := r.Task.Step.Occ
	return max(l.wall-max(o.Job.Accepted, o.Due), 0) + track.MaxClockLead
}

// stopStalled stops a run without progress. Whether that is its executor's fault can be known later: a run of the task
// elsewhere makes progress in less time.
func (l *Leader) stopStalled(m *member, r *track.Run) {
	t := r.Task
	t.Avoid(m.Key)
	t.Stalls++
	t.Stall = track.Stall{}
	if execs.IsStallEvident(r, m.clockAt) {
		l.recordFault(m, t.Step.Occ.Job, stallCause)
	} else {
		t.Stall = track.Stall{Executor: m.Key, Silent: m.clockAt - r.LastProgress}
	}
	l.stop(r, "run is stalled")
}

// stallCause is the cause of a quarantine or probation because of stalled runs.
const stallCause = "its runs stall"

// settleStall records the fault of the executor on which a task was stalled, if another run has shown now that it
// makes progress in less time elsewhere.
func (l *Leader) settleStall(r *track.Run) {
	stall := r.Task.Stall
	if stall.Executor == "" || stall.Executor == r.Executor || r.PercentTime == 0 {
		return
	}
	r.Task.Stall = track.Stall{}
	if m := l.members[stall.Executor]; m != nil && execs.ShowsStall(r.PercentTime, stall.Silent) {
		l.recordFault(m, r.Task.Step.Occ.Job, stallCause)
	}
}
