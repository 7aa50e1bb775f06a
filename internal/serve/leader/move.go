package leader

import (
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// maxMovesPerRound bounds the slow runs that are stopped in a round of placement.
	maxMovesPerRound = 2
	// moveInterval is the least time between such rounds. A stopped run's task starts again within
	// that time as a rule; until then its new place seems free.
	moveInterval = 2 * time.Second
	// maxSlowRuns bounds the slow runs of a service that a sweep collects.
	maxSlowRuns = 32
	// otherRackFactor is how much longer a run takes on another rack than that of its data.
	otherRackFactor = 1.5
)

// observeSlow collects a run for the next round of placement if it should continue elsewhere.
func (l *Leader) observeSlow(m *member, r *track.Run) {
	if !r.Task.Step.WritesCheckpoints || !execs.ShouldMove(r, l.now, l.usualRuntime(m, r)) {
		return
	}
	s := l.queueOf(r.Task.Step.Occ.Job).Service
	if len(l.slow[s]) < maxSlowRuns {
		l.slow[s] = append(l.slow[s], r)
		l.planDue[s] = true
	}
}

// usualRuntime returns the expected run time of a run on its executor's rack, if the executor is sound.
func (l *Leader) usualRuntime(m *member, r *track.Run) time.Duration {
	d := l.expectedRuntime(m, r)
	if s := r.Task.Step; s.Rack != "" && s.Rack != m.Rack {
		d = time.Duration(otherRackFactor * float64(d))
	}
	return d
}

// losesRoom reports whether a task that waits for the limit of a run's account would take the room of the run once it
// is stopped. The run could not continue then.
func (l *Leader) losesRoom(r *track.Run) bool {
	account := r.Task.Step.Occ.Job.Account
	if limitedAccount(l.Orders.Config(), account) == nil {
		return false
	}
	freed := model.Amount{}.Minus(r.Task.Step.Need)
	takes := func(s *track.Step) bool { return l.isAtLimit(s) && hasWaiting(s) && !l.isBlockedAfter(s, freed) }
	for _, j := range l.tracker.Active() {
		if j.Account != account {
			continue
		}
		for _, o := range j.Open {
			if slices.ContainsFunc(o.Steps, takes) {
				return true
			}
		}
	}
	return false
}

// moveSlow stops slow runs of a service, none of whose work waits for capacity, where other executors have capacity
// to continue them. Their tasks start again once the ends are listed.
func (l *Leader) moveSlow(service string, members []*execs.Member, policy assign.Policy, rare assign.Rarity) {
	if len(l.slow[service]) == 0 || l.now < l.nextMove {
		return
	}
	var slow []*track.Run
	for _, r := range l.slow[service] {
		if m := l.members[r.Executor]; l.isTracked(r) && m != nil && execs.ShouldMove(r, l.now, l.usualRuntime(m, r)) && !l.losesRoom(r) {
			slow = append(slow, r)
		}
	}
	delete(l.slow, service)
	for _, r := range assign.ChooseMoves(slow, members, policy, rare, l.now, maxMovesPerRound) {
		l.nextMove = l.now + moveInterval
		m := l.members[r.Executor]
		m.RecordRate(r, l.usualRuntime(m, r))
		r.Task.SlowMoves++
		r.Task.Avoid(m.Key)
		l.Meters.slowMoves.Inc(1)
		l.Log.Info().Stringer("task", r.Task.ID).Str("executor", m.ID).Float64("percent", r.Percent).Float64("saved", r.SavedPercent()).
			Float64("slowness", m.Slowness).Msg("slow run continues elsewhere")
		l.stop(r, "run is slow")
	}
}
