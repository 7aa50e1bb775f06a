package leader

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// planEvery groups what changed before tasks are placed.
	planEvery = 4 * time.Millisecond
	// planRest is how many times as long as a round of placement the leader rests from it:
	// a backlog makes rounds longer, and answers, looks and renewals must not wait for them.
	planRest = 6
	// planLeast bounds the starts of one round and service where it has few executors. Larger
	// pools start one task for each executor in a round.
	planLeast = 64
	// orderRest is how many times as long as it takes to order the jobs of a service the
	// order holds: with a backlog of thousands, most of what changes is far behind.
	orderRest = 10
	// startTimeout bounds a start. Executors answer within 2 ms; a start without an
	// answer is resolved by a call that voids it.
	startTimeout = 350 * time.Millisecond
	// stopTimeout bounds the call, not the stopping.
	stopTimeout = 500 * time.Millisecond
	// stopRetry is the time to the next call if the end is not listed.
	stopRetry = 700 * time.Millisecond
	// roomPause holds a task back that did not fit where there seemed to be room.
	roomPause = 60 * time.Millisecond
	// badPause holds a task back whose order was refused as invalid.
	badPause = 1 * time.Second
	// attemptSkip is how far an attempt rises after one that was too low.
	attemptSkip = 2
)

// plan starts waiting tasks of the services where something changed.
func (l *Leader) plan() {
	if len(l.planDue) == 0 || l.now < l.nextPlan || l.Orders.Config() == nil {
		return
	}
	begin := l.Clock.Now()
	defer func() {
		end := l.Clock.Now()
		l.nextPlan = end + max(planEvery, planRest*(end-begin))
	}()
	members := map[string][]*crew.Member{}
	for s := range l.planDue {
		for _, m := range l.crewOf(s) {
			if l.isSure(m) {
				members[s] = append(members[s], &m.Member)
			}
		}
	}
	l.orderJobs(members)
	due := slices.Collect(maps.Keys(l.planDue))
	clear(l.planDue)
	rare := l.rarity()
	for _, s := range due {
		o := l.queues[s]
		allowed := anyExecutor
		if o.advised {
			allowed = l.isAllowed
			for _, j := range o.jobs {
				l.seekAdvice(j, members[s])
			}
		}
		limit := max(planLeast, len(members[s]))
		starts := assign.Plan(o.jobs, members[s], allowed, rare, l.now, limit)
		for _, st := range starts {
			l.startRun(st)
		}
		if len(starts) == limit || o.made < l.now {
			// There are more tasks, or jobs that came after the order was made.
			l.planDue[s] = true
		}
	}
}

func anyExecutor(*book.Step, *crew.Member) bool { return true }

// queue is the order in which the jobs of a service get room.
type queue struct {
	jobs []*book.Job
	// advised says that starts of some of them need tickets.
	advised bool
	// made is when the order was made, and next until when it holds.
	made, next time.Duration
}

// orderJobs orders the jobs of the services that are to be planned for, where the last
// order does not hold any more.
func (l *Leader) orderJobs(members map[string][]*crew.Member) {
	begin := l.Clock.Now()
	stale := map[string]*queue{}
	for s := range l.planDue {
		if q := l.queues[s]; q == nil || l.now >= q.next {
			stale[s] = &queue{made: l.now}
		}
	}
	if len(stale) == 0 {
		return
	}
	for _, j := range l.book.Active() {
		r := l.rules(j)
		if q := stale[r.Service]; q != nil {
			q.jobs = append(q.jobs, j)
			q.advised = q.advised || r.Advice != nil
		}
	}
	for s, q := range stale {
		q.jobs = assign.Order(q.jobs, l.rules, coresOf(members[s]), l.wall)
		l.queues[s] = q
	}
	end := l.Clock.Now()
	for _, q := range stale {
		q.next = l.now + orderRest*(end-begin)
	}
}

// coresOf returns the cores of executors in thousandths, those included that take no tasks
// at present.
func coresOf(members []*crew.Member) int64 {
	var sum int64
	for _, m := range members {
		sum += m.Capacity.Cores
	}
	return sum
}

// rarity returns how rare the labels are that any job needed since this leader began.
func (l *Leader) rarity() assign.Rarity {
	if len(l.duty.labels) == 0 {
		return nil
	}
	out := make(assign.Rarity, len(l.duty.labels))
	for label := range l.duty.labels {
		with := 0
		for _, in := range l.duty.fleet {
			if slices.Contains(in.Labels, label) {
				with++
			}
		}
		out[label] = 1 - float64(with)/float64(max(len(l.duty.fleet), 1))
	}
	return out
}

func (l *Leader) isAllowed(s *book.Step, m *crew.Member) bool {
	_, ok := l.ticketFor(s, m)
	return ok
}

func (l *Leader) startRun(st assign.Start) {
	m := l.members[st.Member.Key]
	r := l.book.Begin(st.Task, m.Key, st.Attempt, l.now)
	m.Add(st.Task.Step)
	l.touch(m)
	deadline := m.deadline(l.now)
	m.extend(deadline)
	order := platform.Start{
		Task: st.Task.ID, Attempt: r.Attempt, Spec: st.Task.Step.Occ.Job.Work.Spec, Deadline: deadline, Saved: st.Task.Saved,
	}
	// The plan placed the task only where there is a ticket, if one is needed.
	order.Ticket, _ = l.ticketFor(st.Task.Step, st.Member)
	to := l.to(m)
	r.Fence = to.Fence
	l.Meters.starts.Inc(1)
	l.Log.Info().Stringer("task", st.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).
		Int64("cores", st.Task.Step.Room().Cores).Int64("free", m.Free().Cores).Msg("run is ordered")
	m.starting++
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		clk, err := l.Execs.Start(call, to, order)
		return startedRun{m: m, run: r, clock: clk, fence: to.Fence, err: err}
	})
}

// startedRun is the answer to a start.
type startedRun struct {
	report
	m     *member
	run   *book.Run
	clock time.Duration
	fence uint64
	err   error
}

func (l *Leader) onStarted(ev startedRun) {
	m, r := ev.m, ev.run
	m.starting--
	if !l.isOn(r) {
		// A list told first, or the executor has ended.
		return
	}
	if ev.err == nil {
		l.confirmRun(r)
		if r.Task.Step.Occ.Job.IsOver() {
			l.stop(r, "job is over")
		}
		return
	}
	refused, other := (*platform.OrderError)(nil), (*platform.OtherLifeError)(nil)
	switch {
	case errors.As(ev.err, &other):
		l.bury(m, "another incarnation is at its address")
		return
	case !errors.As(ev.err, &refused):
		l.Meters.reject("unanswered")
		l.Log.Warn().Err(ev.err).Stringer("task", r.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).Msg("start has no answer")
		if r.Phase == book.Starting {
			r.Phase, r.Since = book.Uncertain, l.now
		}
		m.doubt = true
		m.due = l.now
		l.touch(m)
		return
	}
	l.Log.Info().Stringer("task", r.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).
		Stringer("reason", refused.Reason).Msg("start is refused")
	l.Meters.reject(refused.Reason.String())
	t := r.Task
	l.drop(r)
	switch refused.Reason {
	case platform.ReasonOld:
		t.Attempt += attemptSkip
	case platform.ReasonRoom:
		// What takes the room is listed at the next look.
		t.NotBefore = l.now + roomPause
		m.AsideUntil = max(m.AsideUntil, l.now+roomPause)
		m.due = l.now
	case platform.ReasonUnwell:
		m.Unwell(l.now)
	case platform.ReasonTicket:
		if a := l.advice[t.Step]; a != nil {
			delete(a.tickets, m.Key)
		}
	case platform.ReasonLate, platform.ReasonOther, platform.ReasonBusy, platform.ReasonWave:
		t.NotBefore = l.now + roomPause
		m.due = l.now
	case platform.ReasonBad:
		t.NotBefore = l.now + badPause
	case platform.ReasonFence:
		t.NotBefore = l.now + roomPause
		m.AsideUntil = max(m.AsideUntil, l.now+roomPause)
	}
}

// confirmRun notes that a run is there.
func (l *Leader) confirmRun(r *book.Run) {
	if j := r.Task.Step.Occ.Job; !j.HasBegun() {
		l.Meters.waits.RecordDuration(l.wall - j.Accepted)
	}
	l.book.Confirm(r, l.now)
}

// isOn says whether the book still has a run.
func (l *Leader) isOn(r *book.Run) bool {
	_, ok := l.book.On(r.Executor)[r]
	return ok
}

// stop tells an executor to stop a run. Its end is listed later.
func (l *Leader) stop(r *book.Run, cause string) {
	m := l.members[r.Executor]
	if m == nil {
		return
	}
	if r.Phase != book.Stopping {
		l.Log.Info().Stringer("task", r.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).Str("cause", cause).Msg("run is to stop")
	}
	r.Phase, r.Since = book.Stopping, l.now
	l.sendStop(m, r.Task.ID, r.Attempt)
}

// stopStray stops a run that nothing needs.
func (l *Leader) stopStray(m *member, row model.Run) {
	l.Log.Info().Stringer("task", row.Task).Int("attempt", row.Attempt).Str("executor", m.ID).Msg("unneeded run is to stop")
	l.sendStop(m, row.Task, row.Attempt)
}

func (l *Leader) sendStop(m *member, t model.TaskID, attempt int) {
	if !l.isValid() {
		return
	}
	to := l.to(m)
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
	other := (*platform.OtherLifeError)(nil)
	if errors.As(ev.err, &other) {
		l.bury(ev.m, "another incarnation is at its address")
	}
}

// retryStops repeats stops whose end was not listed.
func (l *Leader) retryStops() {
	for _, m := range l.members {
		if m.Contact != crew.Live {
			continue
		}
		for r := range l.book.On(m.Key) {
			switch {
			case r.Phase == book.Stopping && l.now > r.Since+stopRetry:
				r.Since = l.now
				l.sendStop(m, r.Task.ID, r.Attempt)
			case r.Phase == book.Running && r.Task.Step.Occ.Job.IsOver():
				l.stop(r, "job is over")
			case crew.IsStalled(r, m.clockAt, l.usualTime(m, r)):
				r.Task.Shun(m.Key)
				if m.Stalled(r.Task.ID.Job, l.now) {
					l.Meters.aside.Inc(1)
					l.Log.Warn().Str("executor", m.ID).Dur("until", m.AsideUntil-l.now).Msg("runs stand still on an executor, which is set aside")
				}
				l.stop(r, "it stands still")
			}
		}
	}
}

// usualTime returns how long runs of a task usually take.
func (l *Leader) usualTime(m *member, r *book.Run) time.Duration {
	u := l.usual[m.Service]
	if u == nil {
		return r.Task.Step.Estimate
	}
	return time.Duration(u.mean * float64(r.Task.Step.Estimate))
}

// evacuate stops what would not end before a draining executor leaves.
func (l *Leader) evacuate(m *member) {
	for r := range l.book.On(m.Key) {
		if r.Phase == book.Running && r.Task.Step.Lasts {
			l.stop(r, "executor drains")
		}
	}
}
