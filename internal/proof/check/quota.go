package check

import (
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/quota"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// taskNeed is what each task needs.
var taskNeed = model.Amount{Cores: 1}

// WithLimit gives the job's client account a limit in tasks.
func WithLimit(tasks int64) Option {
	return func(m *Model) {
		m.account = "a"
		m.config = model.Config{Accounts: []model.Account{{Name: "a", Limit: taskNeed.Times(tasks)}}}.Indexed()
	}
}

// WithoutUncertainUsage makes a leader count only runs that are confirmed.
func WithoutUncertainUsage() Option { return func(m *Model) { m.mutation = countConfirmed } }

// isWithinLimit follows Leader.planWithin, countFormerRuns and chargeOrphans, with executors that have
// capacity for all tasks. An executor with orphaned runs counts as running all.
func (m *Model) isWithinLimit(e *entry, tr *track.Tracker, t *track.Task, now tick) bool {
	if m.config == nil {
		return true
	}
	var ledger quota.Ledger
	for i := range m.tasks {
		o := t.Step.Tasks[i]
		for _, r := range o.Runs {
			if m.mutation != countConfirmed || r.Phase == track.Running {
				ledger.RunBegins(o.Step)
			}
		}
		if o.Unresolved && m.mutation != countConfirmed {
			ledger.Charge(m.account, taskNeed)
		}
	}
	for x := range m.execs {
		if e.members[x].orphan {
			ledger.Charge(m.account, taskNeed.Times(int64(m.tasks)))
		}
	}
	return ledger.Begin(m.config, m.queue.Service, m.at(now)).Fits(t.Step)
}

// checkLimit checks that the running tasks are within the limit.
func (m *Model) checkLimit(s *state) {
	if m.config == nil {
		return
	}
	sum := model.Amount{}
	for x := range m.execs {
		for _, attempt := range s.execs[x].running {
			if attempt != 0 {
				sum = sum.Plus(taskNeed)
			}
		}
	}
	if !m.config.Accounts[0].Allows(sum) {
		s.broken |= Quota
	}
}
