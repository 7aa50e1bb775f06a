package leader

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// applyEnds applies the ends of runs that an executor lists and that are not applied yet. adopts is
// set if they may be those of runs of earlier leaders.
func (l *Leader) applyEnds(m *member, ends []model.End, adopts bool) {
	for _, e := range ends {
		if e.Seq <= m.appliedSeq {
			continue
		}
		m.appliedSeq = e.Seq
		l.unstoredEnds[m] = struct{}{}
		if e.Task.Job == "" {
			continue
		}
		l.applyEnd(m, e, adopts)
	}
}

func (l *Leader) applyEnd(m *member, e model.End, adopts bool) {
	l.tracker.Expand(e.Task.Job, l.wall)
	if adopts {
		l.tracker.OpenStarted(e.Task, l.wall)
	}
	r := l.tracker.FindRun(m.Key, e.Task, e.Attempt)
	j := l.tracker.Job(e.Task.Job)
	eff := l.tracker.ApplyEnd(m.Key, e, adopts, l.wall)
	if r != nil {
		m.RemoveRun(r.Task.Step)
		l.updateHealth(m, r, e)
	}
	l.Meters.runEnds[e.Ending].Inc(1)
	l.Log.Info().Stringer("task", e.Task).Int("attempt", e.Attempt).Str("executor", m.ID).Stringer("how", e.Ending).
		Bool("known", eff.Known).Bool("first", adopts).Msg("run ended")
	l.planDue[m.Service] = true
	if j == nil {
		return
	}
	l.planDue[l.queueOf(j).Service] = true
	if eff.Failed {
		m.unconfirmed = append(m.unconfirmed, unconfirmedFailure{e.Seq, e.Task, e.Attempt})
	}
	if eff.Over {
		l.stopJob(j)
	}
	if eff.Done {
		l.stopOtherRuns(j, e.Task)
	}
	if r != nil && r.Task.Step.Gang && e.Ending == model.EndedDone {
		for _, t := range r.Task.Step.Tasks {
			for _, o := range t.Runs {
				l.dropRun(o)
			}
		}
	}
}

// unconfirmedFailure is a failed run whose stored end the executor has not acknowledged.
type unconfirmedFailure struct {
	seq     int64
	task    model.TaskID
	attempt int
}

// confirmFailures counts the failures whose stored ends the executor has acknowledged.
func (l *Leader) confirmFailures(m *member) {
	for len(m.unconfirmed) > 0 && m.unconfirmed[0].seq <= m.confirmedSeq {
		f := m.unconfirmed[0]
		m.unconfirmed = m.unconfirmed[1:]
		if l.tracker.ConfirmFailure(f.task, f.attempt, l.wall) {
			l.Log.Info().Stringer("task", f.task).Int("attempt", f.attempt).Msg("task has used up its attempts")
			l.stopJob(l.tracker.Job(f.task.Job))
		}
	}
}

// resolveFailures decides on the unconfirmed failures of a lost executor: they count if a poll has
// announced to it that they are stored, and are voided otherwise.
func (l *Leader) resolveFailures(m *member) {
	for _, f := range m.unconfirmed {
		if f.seq <= m.sentSeq {
			// A poll announced it to the executor, which was probably lost after that.
			if l.tracker.ConfirmFailure(f.task, f.attempt, l.wall) {
				l.stopJob(l.tracker.Job(f.task.Job))
			}
			continue
		}
		l.Log.Info().Stringer("task", f.task).Int("attempt", f.attempt).Str("executor", m.ID).Msg("failure on a lost executor does not count")
		l.tracker.VoidFailure(f.task, f.attempt)
		l.planDue[m.Service] = true
	}
	m.unconfirmed = nil
}

// stopOtherRuns stops the other runs of a task that is done. Those that are starting are stopped once
// their executor lists them.
func (l *Leader) stopOtherRuns(j *track.Job, id model.TaskID) {
	t := j.Task(id)
	if t == nil {
		return // its job is over
	}
	for _, r := range t.Runs {
		if r.Phase == track.Running {
			l.stop(r, "another run of the task is done")
		}
	}
}

// updateHealth updates an executor's health and the run time statistics after the end of a run.
func (l *Leader) updateHealth(m *member, r *track.Run, e model.End) {
	s := r.Task.Step
	switch e.Ending {
	case model.EndedDone:
		m.RecordSuccess(r.OrderedAt)
		r.RecordDone(l.now)
		l.settleStall(r)
		ratio := l.runtimeRatios[m.Service]
		if ratio == nil {
			ratio = &runtimeRatio{mean: 1}
			l.runtimeRatios[m.Service] = ratio
		}
		took := l.now - r.PhaseSince
		ratio.add(took, s.Estimate)
		m.RecordRunTime(took, time.Duration(float64(s.Estimate)*max(ratio.mean, 0.1)))
	case model.EndedFailed:
		r.Task.LastFailure = l.now
		if r.Task.IsWaiting() && r.Task.HasLastAttempt() {
			l.Log.Info().Stringer("task", r.Task.ID).Str("executor", m.ID).Msg("task has one attempt left")
		}
		l.recordFailure(m, s.Occ.Job)
	case model.EndedOther, model.EndedStopped, model.EndedLapsed, model.EndedBroken, model.EndedAlone:
	}
}
