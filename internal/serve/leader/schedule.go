package leader

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// planInterval is the least time between rounds of placement, so that changes are batched.
	planInterval = 4 * time.Millisecond
	// planRestFactor is the pause after a round of placement in multiples of its duration. A
	// backlog makes rounds longer, and they must not delay answers, polls and lease renewals.
	planRestFactor = 6
	// minStartLimit is the limit of starts per round for a service with few executors. Larger
	// pools start up to one task for each executor in a round.
	minStartLimit = 64
	// replanInterval is the time to the next round of placement for a service with waiting tasks if
	// no event makes one due before: a delay, a quarantine or a ticket may have ended.
	replanInterval = 200 * time.Millisecond
	// jobOrderRestFactor is how long a job order is reused, in multiples of the time that it
	// took to compute: with a backlog of thousands, most changes are far from its head.
	jobOrderRestFactor = 10
	// startTimeout limits a start call. Executors answer within 2 ms; an unanswered start is
	// resolved by a poll that voids it.
	startTimeout = 350 * time.Millisecond
	// limitLogInterval is the least time between log lines about the limit of starts in flight.
	limitLogInterval = 1 * time.Second
	// startRetryDelay delays the next start of a task that an executor refused for lack of
	// capacity, where there seemed to be enough, or for another passing reason.
	startRetryDelay = 60 * time.Millisecond
	// invalidOrderDelay delays the next start of a task whose order was refused as invalid.
	invalidOrderDelay = 1 * time.Second
	// attemptStep is added to an attempt number that an executor refused as too low.
	attemptStep = 2
)

// plan starts waiting tasks of the services that changed since the last round. It starts none once another
// entry may have claimed. That entry may not have loaded a leaderless job that this one has read, and an
// executor that has restarted since has not seen its fencing token: either could run a task twice.
func (l *Leader) plan() {
	for _, s := range l.quota.ledger.Freed() {
		l.planDue[s] = true
	}
	room := l.window.Room()
	if len(l.planDue) == 0 || l.now < l.nextPlan || l.Orders.Config() == nil || room == 0 {
		return
	}
	if !l.isSole() {
		l.Meters.startsHeld.Inc(1)
		return
	}
	begin := l.Clock.Now()
	defer func() {
		end := l.Clock.Now()
		l.nextPlan = end + max(planInterval, planRestFactor*(end-begin))
	}()
	members := map[string][]*execs.Member{}
	for s := range l.planDue {
		for _, m := range l.executorsOf(s) {
			if l.isVisibleToSuccessor(m) {
				members[s] = append(members[s], &m.Member)
			}
		}
	}
	l.orderJobs(members)
	due := slices.Collect(maps.Keys(l.planDue))
	clear(l.planDue)
	for _, s := range due {
		delete(l.replanAt, s)
	}
	rare := l.rarity()
	l.countFormerRuns()
	for _, s := range due {
		if room <= 0 {
			l.planDue[s] = true
			continue
		}
		order := l.jobOrders[s]
		policy := assign.Unrestricted
		if order.needsAdvice {
			policy = l.permission
			for _, j := range order.jobs {
				l.requestAdvice(j, members[s])
			}
		}
		limit := min(max(minStartLimit, len(members[s])), room)
		starts := l.planWithin(s, func(allow assign.Allowance) []assign.Start {
			return assign.Plan(l.startable(order.jobs, s), members[s], policy, rare, allow, l.now, limit, assign.WithFreed(l.freedWithin))
		})
		for _, st := range starts {
			l.startRun(st)
		}
		room -= len(starts)
		if len(starts) < limit {
			l.explainWaits(s, order)
		}
		if len(starts) >= limit || order.madeAt < l.now {
			// More tasks may be startable, or jobs have arrived since the order was computed.
			l.planDue[s] = true
			continue
		}
		if slices.ContainsFunc(order.jobs, hasWaitingTasks) {
			l.replanAt[s] = l.now + replanInterval
		}
		if slices.ContainsFunc(order.jobs, l.needsCapacity) {
			continue
		}
		l.moveSlow(s, members[s], policy, rare)
	}
}

// startable returns the jobs whose tasks may be sent to a service, without those whose queue has been
// moved there and for which that is not stored yet.
func (l *Leader) startable(jobs []*track.Job, service string) []*track.Job {
	isHeld := func(j *track.Job) bool {
		return j.Settings.Service != service && hasWaitingTasks(j) && !l.tracker.MayUseService(j, service)
	}
	if !slices.ContainsFunc(jobs, isHeld) {
		return jobs
	}
	return slices.DeleteFunc(slices.Clone(jobs), isHeld)
}

// hasWaitingTasks reports whether tasks of a job wait for a start and depend on nothing else.
func hasWaitingTasks(j *track.Job) bool {
	return slices.ContainsFunc(j.Open, func(o *track.Occurrence) bool {
		return slices.ContainsFunc(o.Steps, func(s *track.Step) bool { return s.IsReady() && hasWaiting(s) })
	})
}

// needsCapacity reports whether tasks of a job would take capacity now.
func (l *Leader) needsCapacity(j *track.Job) bool {
	return !j.IsOver() && slices.ContainsFunc(j.Open, func(o *track.Occurrence) bool { return slices.ContainsFunc(o.Steps, l.takesCapacity) })
}

// takesCapacity reports whether tasks of a step would take capacity now. Tasks that wait for the limit of their
// account would not.
func (l *Leader) takesCapacity(s *track.Step) bool {
	return s.IsReady() && hasWaiting(s) && mayBeTried(s) && !l.isAtLimit(s)
}

// mayBeTried returns false for the steps of a poison job whose tasks wait for the outcome of the one that is tried.
func mayBeTried(s *track.Step) bool {
	j := s.Occ.Job
	if !j.IsPoison() {
		return true
	}
	t := j.Probe()
	return t != nil && t.Step == s
}

// replan makes a round of placement due for services with waiting tasks that had none for a while.
func (l *Leader) replan() {
	for s, at := range l.replanAt {
		if l.now >= at {
			l.planDue[s] = true
			delete(l.replanAt, s)
		}
	}
}

// jobOrder is the order in which the jobs of a service are placed.
type jobOrder struct {
	jobs []*track.Job
	// needsAdvice is set if starts for some of the jobs need tickets.
	needsAdvice bool
	// above are the accounts that used clearly more than their share when the order was computed.
	above map[string]bool
	// madeAt is when the order was computed, and validUntil when it must be computed again.
	madeAt, validUntil time.Duration
}

// orderJobs recomputes the job orders that are due for planning and not valid any more.
func (l *Leader) orderJobs(members map[string][]*execs.Member) {
	begin := l.Clock.Now()
	stale := map[string]*jobOrder{}
	for s := range l.planDue {
		if order := l.jobOrders[s]; order == nil || l.now >= order.validUntil {
			stale[s] = &jobOrder{madeAt: l.now}
		}
	}
	if len(stale) == 0 {
		return
	}
	for _, j := range l.tracker.Active() {
		queue := l.queueOf(j)
		if order := stale[queue.Service]; order != nil {
			order.jobs = append(order.jobs, j)
			order.needsAdvice = order.needsAdvice || queue.Advice != nil
		}
	}
	for s, order := range stale {
		l.orderByShares(s, order, members[s])
		l.jobOrders[s] = order
	}
	end := l.Clock.Now()
	for _, order := range stale {
		order.validUntil = l.now + jobOrderRestFactor*(end-begin)
	}
}

// totalCores returns the total cores of executors in thousandths of a core, including
// executors that accept no tasks at present.
func totalCores(members []*execs.Member) int64 {
	var sum int64
	for _, m := range members {
		sum += m.Capacity.Cores
	}
	return sum
}

// rarity returns the rarity of each label that any job has needed since this leader took over,
// or nil if none was needed: the share of instances without it.
func (l *Leader) rarity() assign.Rarity {
	if len(l.fleet.neededLabels) == 0 {
		return nil
	}
	out := make(assign.Rarity, len(l.fleet.neededLabels))
	for label := range l.fleet.neededLabels {
		with := 0
		for _, in := range l.fleet.instances {
			if slices.Contains(in.Labels, label) {
				with++
			}
		}
		out[label] = 1 - float64(with)/float64(max(len(l.fleet.instances), 1))
	}
	return out
}

func (l *Leader) startRun(st assign.Start) {
	m := l.members[st.Member.Key]
	r := l.tracker.BeginRun(st.Task, m.Key, st.Attempt, l.now)
	m.AddRun(st.Task.Step)
	l.queuePoll(m)
	deadline := m.deadline(l.now)
	m.extend(deadline)
	order := platform.Start{
		Task: st.Task.ID, Attempt: r.Attempt, Spec: st.Task.Step.Occ.Job.Spec.Payload, Deadline: deadline, Checkpoint: r.Checkpoint,
	}
	order.Ticket = l.ticketFor(st.Task.Step, m.Key)
	to := l.target(m, startTimeout)
	to.Expires = min(to.Expires, elect.SoleUntil(l.LastRenewal()))
	r.Fence = to.Fence
	l.Meters.starts.Inc(1)
	l.Log.Info().Stringer("task", st.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).Int64("born", m.StartMillis).
		Uint64("fence", to.Fence).Str("by", l.Execs.Caller(to)).Int64("cores", st.Task.Step.Reservation().Cores).Int64("free", m.Free().Cores).Msg("starting run")
	m.startsInFlight++
	l.window.Send()
	sent, least := l.now, m.leastClock(l.now)
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		clk, err := l.Execs.Start(call, to, order)
		return startedRun{m: m, run: r, sent: sent, least: least, clock: clk, err: err}
	})
}

// startedRun is the answer to a start.
type startedRun struct {
	report
	m    *member
	run  *track.Run
	sent time.Duration
	// clock is the executor's, and least the reading that this incarnation shows at least.
	clock, least time.Duration
	err          error
}

func (l *Leader) onStarted(ev startedRun) {
	m, r := ev.m, ev.run
	m.startsInFlight--
	if l.window.Done(l.now - ev.sent) {
		l.Meters.limitLowered.Inc(1)
		if l.now >= l.windowLogged+limitLogInterval {
			l.windowLogged = l.now
			l.Log.Info().Int("limit", l.window.Size()).Msg("fewer starts in flight because their answers are late")
		}
	}
	if !l.isTracked(r) {
		// A poll has reported its end already, or the executor has ended.
		return
	}
	if ev.err == nil {
		if ev.clock < ev.least && !m.mayHaveRestarted {
			l.Log.Info().Str("executor", m.ID).Int64("born", m.StartMillis).Dur("clock", ev.clock).Dur("least", ev.least).Msg("clock of an executor went back")
			m.mayHaveRestarted, m.restartSeenAt = true, l.now
			// The deadline on the clock of the former incarnation granted up to the longest lease.
			l.extendLongest(m, l.now)
			m.due = l.now
			l.queuePoll(m)
		}
		l.confirmRun(r)
		if r.Task.Step.Occ.Job.IsOver() {
			l.stop(r, "job is over")
		}
		return
	}
	refused, other := (*platform.OrderError)(nil), (*platform.IncarnationError)(nil)
	switch {
	case errors.As(ev.err, &other):
		l.markDead(m, "another incarnation answers at its address")
		return
	case !errors.As(ev.err, &refused):
		l.Meters.reject("unanswered")
		l.Log.Warn().Err(ev.err).Stringer("task", r.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).Msg("start order was not answered")
		if r.Phase == track.Starting {
			r.Phase, r.PhaseSince = track.Uncertain, l.now
		}
		m.hasUnanswered = true
		// An unnoticed next incarnation may have carried it out.
		l.extendLongest(m, l.now)
		m.due = l.now
		l.queuePoll(m)
		return
	}
	l.Log.Info().Stringer("task", r.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).
		Stringer("reason", refused.Reason).Msg("executor refused the start order")
	l.Meters.reject(refused.Reason.String())
	t := r.Task
	l.dropRun(r)
	switch refused.Reason {
	case platform.ReasonOld:
		t.Attempt += attemptStep
	case platform.ReasonRoom:
		// The next poll lists the runs that use the capacity.
		t.NotBefore = l.now + startRetryDelay
		m.QuarantinedUntil = max(m.QuarantinedUntil, l.now+startRetryDelay)
		m.due = l.now
	case platform.ReasonUnhealthy:
		was := m.IsSuspect()
		m.RecordUnhealthy(l.now)
		l.noteSuspect(m, was, "it refuses starts as unhealthy")
	case platform.ReasonTicket:
		if a := l.advice[t.Step]; a != nil {
			a.expire(m.Key)
		}
	case platform.ReasonLate, platform.ReasonOther, platform.ReasonBusy, platform.ReasonWave:
		t.NotBefore = l.now + startRetryDelay
		m.due = l.now
	case platform.ReasonInvalid:
		t.NotBefore = l.now + invalidOrderDelay
	case platform.ReasonFence:
		t.NotBefore = l.now + startRetryDelay
		m.QuarantinedUntil = max(m.QuarantinedUntil, l.now+startRetryDelay)
	}
}

// confirmRun records that an executor has started a run.
func (l *Leader) confirmRun(r *track.Run) {
	if j := r.Task.Step.Occ.Job; !j.HasBegun() {
		l.Meters.jobWait.RecordDuration(l.wall - j.Accepted)
	}
	l.tracker.ConfirmRun(r, l.now)
}

// isTracked reports whether the tracker still holds a run.
func (l *Leader) isTracked(r *track.Run) bool {
	_, ok := l.tracker.RunsOn(r.Executor)[r]
	return ok
}

// expectedRuntime returns the estimated run time of a task, corrected by the mean ratio of
// measured to estimated run times of its service.
func (l *Leader) expectedRuntime(m *member, r *track.Run) time.Duration {
	ratio := l.runtimeRatios[m.Service]
	if ratio == nil {
		return r.Task.Step.Estimate
	}
	return time.Duration(ratio.mean * float64(r.Task.Step.Estimate))
}

// freedWithin returns what is expected to become free on an executor within a time.
func (l *Leader) freedWithin(m *execs.Member, within time.Duration) model.Amount {
	x := l.members[m.Key]
	return execs.Freed(l.tracker.RunsOn(m.Key), func(r *track.Run) time.Duration { return l.expectedRuntime(x, r) }, within, l.now)
}

// evacuate stops the long-running tasks on a draining executor, which would not end before it
// leaves.
func (l *Leader) evacuate(m *member) {
	for r := range l.tracker.RunsOn(m.Key) {
		if r.Phase == track.Running && r.Task.Step.LongRunning {
			l.stop(r, "executor is draining")
		}
	}
}
