package leader

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// ends applies the ends that an executor lists.
func (l *Leader) ends(m *member, ends []model.End, first bool) {
	for _, e := range ends {
		if e.Seq <= m.seen {
			continue
		}
		m.seen = e.Seq
		l.unacked[m] = struct{}{}
		if e.Task.Job == "" {
			continue
		}
		l.end(m, e, first)
	}
}

func (l *Leader) end(m *member, e model.End, first bool) {
	r := l.book.Find(m.Key, e.Task, e.Attempt)
	j := l.book.Job(e.Task.Job)
	eff := l.book.End(m.Key, e, first, l.wall)
	if r != nil {
		m.Remove(r.Task.Step)
		l.judge(m, r, e)
	}
	l.Meters.ends[e.How].Inc(1)
	l.Log.Info().Stringer("task", e.Task).Int("attempt", e.Attempt).Str("executor", m.ID).Stringer("how", e.How).
		Bool("known", eff.Known).Bool("first", first).Msg("run ended")
	l.planDue[m.Service] = true
	if j == nil {
		return
	}
	l.planDue[l.rules(j).Service] = true
	if eff.Failed {
		m.failed = append(m.failed, unconfirmed{e.Seq, e.Task, e.Attempt})
	}
	if eff.Over {
		l.stopJob(j)
	}
	if r != nil && e.How == model.EndedDone {
		l.stopCopies(r.Task)
	}
	if r != nil && r.Task.Step.Gang && e.How == model.EndedDone {
		for _, t := range r.Task.Step.Tasks {
			for _, o := range t.Runs {
				l.drop(o)
			}
		}
	}
}

// unconfirmed is a failure that its executor does not know to be stored.
type unconfirmed struct {
	seq     int64
	task    model.TaskID
	attempt int
}

// confirm makes the failures count that an executor knows to be stored.
func (l *Leader) confirm(m *member) {
	for len(m.failed) > 0 && m.failed[0].seq <= m.told {
		f := m.failed[0]
		m.failed = m.failed[1:]
		if l.book.ConfirmFailure(f.task, f.attempt, l.wall) {
			l.Log.Info().Stringer("task", f.task).Int("attempt", f.attempt).Msg("task failed as often as it may")
			l.stopJob(l.book.Job(f.task.Job))
		}
	}
}

// void drops the failures that an executor that is lost does not know to be stored.
func (l *Leader) void(m *member) {
	for _, f := range m.failed {
		if f.seq <= m.sentAck {
			// The executor was told, and was probably lost after that.
			if l.book.ConfirmFailure(f.task, f.attempt, l.wall) {
				l.stopJob(l.book.Job(f.task.Job))
			}
			continue
		}
		l.Log.Info().Stringer("task", f.task).Int("attempt", f.attempt).Str("executor", m.ID).Msg("failure does not count")
		l.book.VoidFailure(f.task, f.attempt)
		l.planDue[m.Service] = true
	}
	m.failed = nil
}

// stopCopies stops the other runs of a task that is done.
func (l *Leader) stopCopies(t *book.Task) {
	for _, r := range t.Runs {
		if r.Phase == book.Running {
			l.stop(r, "another copy is done")
		}
	}
}

// judge notes how well an executor did.
func (l *Leader) judge(m *member, r *book.Run, e model.End) {
	s := r.Task.Step
	switch e.How {
	case model.EndedDone:
		m.Succeeded()
		u := l.usual[m.Service]
		if u == nil {
			u = &ratio{mean: 1}
			l.usual[m.Service] = u
		}
		took := l.now - r.Since
		u.add(took, s.Estimate)
		m.Ran(took, time.Duration(float64(s.Estimate)*max(u.mean, 0.1)))
	case model.EndedFailed:
		if m.Failed(e.Task.Job, l.now) {
			l.Meters.aside.Inc(1)
			l.Log.Warn().Str("executor", m.ID).Dur("until", m.AsideUntil-l.now).Msg("executor fails what it runs and is set aside")
		}
	case model.EndedOther, model.EndedStopped, model.EndedLapsed, model.EndedBroken, model.EndedAlone:
	}
}
