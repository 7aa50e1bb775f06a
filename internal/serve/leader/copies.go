package leader

import (
	"cmp"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// maxLateRuns bounds the late runs of a service that a sweep collects.
	maxLateRuns = 32
	// otherRackFactor is how much longer a run takes on another rack than that of its data.
	otherRackFactor = 1.5
)

// lateRuns are the late runs of a service whose tasks may get copies, and the cores that copies use,
// in thousandths.
type lateRuns struct {
	runs      []*track.Run
	copyCores int64
	// slow are runs that should continue elsewhere from their checkpoints.
	slow []*track.Run
}

func (l *Leader) lateOf(service string) *lateRuns {
	late := l.late[service]
	if late == nil {
		late = &lateRuns{}
		l.late[service] = late
	}
	return late
}

// observeRun collects a run for the next round of placement if it is late.
func (l *Leader) observeRun(m *member, r *track.Run) {
	if !r.Task.Step.AllowsCopies {
		return
	}
	s := l.queueOf(r.Task.Step.Occ.Job).Service
	late := l.lateOf(s)
	if r.Task.Runs[0] != r {
		late.copyCores += r.Task.Step.Reservation().Cores
		return
	}
	if len(late.runs) >= maxLateRuns || !execs.AllowsCopy(r.Task) || !execs.IsLate(r, l.now, l.usualRuntime(m, r), m.IsDoubtful(m.clockAt, l.now)) {
		return
	}
	late.runs = append(late.runs, r)
	l.planDue[s] = true
}

// usualRuntime returns the expected run time of a run on its executor's rack, if the executor is sound.
func (l *Leader) usualRuntime(m *member, r *track.Run) time.Duration {
	d := l.expectedRuntime(m, r)
	if s := r.Task.Step; s.Rack != "" && s.Rack != m.Rack {
		d = time.Duration(otherRackFactor * float64(d))
	}
	return d
}

// startCopies starts second runs for the late runs of a service, none of whose work waits, and returns
// their number.
func (l *Leader) startCopies(service string, members []*execs.Member, policy assign.Policy, rare assign.Rarity, limit int) int {
	late := l.late[service]
	if late == nil || len(late.runs) == 0 {
		return 0
	}
	var runs []*track.Run
	for _, r := range late.runs {
		if l.isTracked(r) && r.Phase == track.Running && r.Task.Step.Occ.Job.Settings.Service == service {
			runs = append(runs, r)
		}
	}
	late.runs = nil
	slices.SortFunc(runs, func(x, y *track.Run) int { return cmp.Compare(x.PhaseSince, y.PhaseSince) })
	starts := assign.PlaceCopies(runs, members, policy, rare, l.now, late.copyCores, limit)
	for _, st := range starts {
		r := st.Task.Runs[0]
		l.Meters.copies.Inc(1)
		l.Log.Info().Stringer("task", st.Task.ID).Str("executor", r.Executor).Dur("running", l.now-r.PhaseSince).Float64("percent", r.Percent).
			Str("to", st.Member.Key).Msg("late run gets a copy")
		late.copyCores += st.Task.Step.Reservation().Cores
		l.startRun(st)
	}
	return len(starts)
}

// recordOvertaken records the run time so far of runs that another run of their task has overtaken:
// they are stopped, and slow executors would not be known as such.
func (l *Leader) recordOvertaken(by *track.Run) {
	for _, r := range by.Task.Runs {
		if r.Phase != track.Running {
			continue
		}
		if r.Attempt < by.Attempt {
			l.Meters.copiesWon.Inc(1)
		}
		if m := l.members[r.Executor]; m != nil && l.now-r.PhaseSince > l.usualRuntime(m, r) {
			m.RecordRunTime(l.now-r.PhaseSince, l.usualRuntime(m, r))
		}
	}
}
