package leader

import (
	"context"
	"errors"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

// queuePoll makes an executor a candidate for a poll. It is called after each change that may
// make a poll necessary: most executors are idle or in a waiting poll, and the cost of a round
// must not grow with the fleet.
func (l *Leader) queuePoll(m *member) { l.pollCandidates[m] = struct{}{} }

// pollDue polls the candidates that need a poll now.
func (l *Leader) pollDue() {
	for m := range l.pollCandidates {
		switch {
		case m.polling, m.Contact == execs.Dead, !l.needsPoll(m):
			delete(l.pollCandidates, m)
		case l.now >= m.due:
			l.poll(m)
		}
	}
}

// needsPoll reports whether an executor has to be polled. Idle ones are not, since each poll is
// charged.
func (l *Leader) needsPoll(m *member) bool {
	if !m.adopted || m.formerUnlisted || m.hasUnanswered || l.isClockOld(m) || m.storedSeq > m.confirmedSeq || m.Orphans > 0 {
		return true
	}
	return len(l.tracker.RunsOn(m.Key)) > 0
}

// clockAge is the age from which the reading of an executor's clock is renewed: a clock that runs
// slow shortens the leases of starts by elect.ClockDrift of that age.
const clockAge = 20 * time.Second

func (l *Leader) isClockOld(m *member) bool {
	return m.Contact == execs.Live && m.clockAt > 0 && l.now > m.clockAt+clockAge
}

// renewClocks makes the executors candidates for a poll whose clocks were read long ago.
func (l *Leader) renewClocks() {
	for _, m := range l.members {
		if l.isClockOld(m) {
			l.queuePoll(m)
		}
	}
}

func (l *Leader) poll(m *member) {
	wait, limit := pollWait, pollWait+pollSlack
	if m.Contact != execs.Live || m.hasUnanswered || m.appliedSeq > m.storedSeq {
		wait, limit = 0, immediatePollTimeout
	}
	if m.Contact == execs.Uncontacted {
		limit = elect.PollTimeout(m.pollFailures)
	}
	if m.appliedSeq > m.storedSeq && l.now < m.due+maxPollDelay {
		return // a poll before the ends are stored would list them again at once
	}
	if m.Orphans == 0 && m.storedSeq > m.confirmedSeq && (len(l.tracker.RunsOn(m.Key)) == 0 || len(m.unconfirmed) > 0) {
		// The poll confirms failures, or the executor is idle and has nothing to wait for.
		wait, limit = 0, immediatePollTimeout
	}
	if l.now < m.freshUntil {
		wait, limit = min(wait, freshPollWait), immediatePollTimeout
	}
	acked := m.ackSeq()
	if l.holdsAck(m) {
		acked = 0
	}
	if m.hasUnanswered {
		m.fenceRaises++
	}
	ev := polled{m: m, sent: l.now, voidsOrders: m.hasUnanswered, fence: elect.FencingToken(l.token, m.fenceRaises)}
	m.hasUnanswered = false
	var deadline time.Duration
	mayExtend := m.Contact == execs.Live || !ev.voidsOrders && !m.mayHaveRestarted && l.now < m.clockAt+silentExtension
	if m.clockAt > 0 && m.adopted && mayExtend {
		deadline = m.deadline(l.now)
		m.extend(deadline)
		ev.extends = true
	}
	to := l.target(m, limit)
	if acked > 0 {
		to.Expires = l.now + immediatePollTimeout
	}
	ev.ackedSeq = acked
	m.sentSeq = max(m.sentSeq, acked)
	m.polling = true
	l.Meters.polls.Inc(1)
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ev.list, ev.err = l.Execs.Poll(call, to, deadline, acked, wait)
		return ev
	})
}

// holdsAck reports whether no poll may acknowledge ends because a start there is not confirmed: the next
// incarnation may have carried it out, and would forget its end.
func (l *Leader) holdsAck(m *member) bool {
	if n := m.storedSeq - m.confirmedSeq; n <= 0 || n >= maxUnacked {
		return false
	}
	for r := range l.tracker.RunsOn(m.Key) {
		if r.Phase == track.Starting || r.Phase == track.Uncertain {
			return true
		}
	}
	return false
}

// polled is the answer to a poll.
type polled struct {
	report
	m           *member
	sent        time.Duration
	fence       uint64
	voidsOrders bool
	extends     bool // it has a deadline
	ackedSeq    int64
	list        platform.PollResult
	err         error
}

func (l *Leader) onPolled(ev polled) {
	m := ev.m
	m.polling = false
	l.queuePoll(m)
	if m.Contact == execs.Dead {
		return
	}
	if ev.err != nil {
		l.pollFailed(ev)
		return
	}
	if b := ev.list.Born; b != 0 && m.StartMillis != 0 && b != m.StartMillis {
		l.replaceIncarnation(m, b)
		return
	}
	if m.Contact != execs.Live {
		l.Log.Info().Str("executor", m.ID).Int64("born", ev.list.Born).Str("service", m.Service).Uint64("fence", ev.fence).
			Int("running", len(ev.list.Running)).Int("ended", len(ev.list.Ended)).Bool("first", !m.adopted).Msg("executor answers")
		l.planDue[m.Service] = true
	}
	m.Contact, m.pollFailures = execs.Live, 0
	m.lost, m.lostFault = 0, 0
	m.clock, m.clockAt = ev.list.Clock, l.now
	m.confirmedSeq = max(m.confirmedSeq, ev.ackedSeq)
	if ev.sent >= m.restartSeenAt {
		m.mayHaveRestarted = false // an earlier poll may have been answered before the restart
	}
	l.confirmFailures(m)
	m.due = l.now
	if ev.ackedSeq == 0 && m.storedSeq > m.confirmedSeq {
		m.due += ackRetryInterval // it would list the same ends at once
	}
	adopts := !m.adopted || m.formerUnlisted
	if !m.adopted {
		m.adopted, m.adoptedAt = true, l.now
		m.extend(m.clock + l.firstLease(m))
	}
	if adopts {
		m.formerUnlisted = ev.list.IsPartial()
		l.lastContact = l.now
	}
	l.applyEnds(m, ev.list.Ended, adopts)
	l.reconcileRuns(m, ev, adopts)
}

func (l *Leader) pollFailed(ev polled) {
	m := ev.m
	m.hasUnanswered = m.hasUnanswered || ev.voidsOrders
	m.due = l.now + pollRetryInterval
	if m.Contact == execs.Uncontacted && m.pollFailures < elect.QuickPolls {
		m.due = l.now
	}
	refused, other := (*platform.OrderError)(nil), (*platform.IncarnationError)(nil)
	switch {
	case errors.As(ev.err, &other):
		l.markDead(m, "another incarnation answers at its address")
		return
	case errors.As(ev.err, &refused):
		if refused.Reason == platform.ReasonLate {
			m.pollFailures++ // it was not sent in time, so that the next one gets more
		}
		if refused.Reason == platform.ReasonFence && ev.fence == elect.FencingToken(l.token, m.fenceRaises) {
			l.Log.Warn().Str("executor", m.ID).Uint64("fence", ev.fence).Msg("executor has seen a higher fencing token")
			m.due = l.now + pollWait
		}
		return
	}
	if ev.extends && (m.hasUnanswered || m.mayHaveRestarted) {
		// The next incarnation may have carried out a start, and the poll has extended its lease.
		l.extendLongest(m, l.now)
	}
	m.pollFailures++
	if m.Contact == execs.Live {
		m.Contact = execs.Unresponsive
		l.Log.Warn().Err(ev.err).Str("executor", m.ID).Str("service", m.Service).Int("runs", len(l.tracker.RunsOn(m.Key))).Msg("executor is unresponsive")
	}
}

// maxMissedLists is the number of lists without a run after which it is gone. A single list can
// be older than the run.
const maxMissedLists = 2

// reconcileRuns compares the runs that an executor lists with the tracker. It adopts runs of
// earlier leaders if adopts is set, stops orphaned runs and drops missing ones.
func (l *Leader) reconcileRuns(m *member, ev polled, adopts bool) {
	listed := map[*track.Run]bool{}
	var orphaned []model.Run
	for _, row := range ev.list.Running {
		l.tracker.Expand(row.Task.Job, l.wall)
		r := l.tracker.FindRun(m.Key, row.Task, row.Attempt)
		if r == nil && adopts {
			l.tracker.OpenStarted(row.Task, l.wall)
			if r = l.tracker.AdoptRun(m.Key, row, l.now); r != nil {
				m.AddRun(r.Task.Step)
			}
		}
		if r == nil {
			orphaned = append(orphaned, row)
			l.stopOrphan(m, row)
			continue
		}
		listed[r] = true
		if r.Phase == track.Uncertain || r.Phase == track.Starting && ev.sent > r.OrderedAt {
			l.confirmRun(r)
		}
		r.ObservePercent(row.Percent, l.now)
		l.settleStall(r)
		r.Metric, r.MissedLists = row.Metric, 0
		l.tracker.ObserveCheckpoint(r, row.Checkpoint)
		switch {
		case r.Phase != track.Running:
		case r.Task.Step.Occ.Job.IsOver():
			l.stop(r, "job is over")
		case r.Task.Done:
			l.stop(r, "another run of the task is done")
		}
	}
	if m.Orphans > 0 && len(orphaned) == 0 {
		l.planDue[m.Service] = true
	}
	m.Orphans = len(orphaned)
	l.chargeOrphans(m, orphaned, ev.list)
	if n := ev.list.Unreadable; n > 0 {
		l.Log.Warn().Str("executor", m.ID).Int("rows", n).Msg("rows of an executor's lists can't be read")
	}
	if ev.list.IsPartial() {
		return
	}
	for r := range l.tracker.RunsOn(m.Key) {
		if listed[r] {
			continue
		}
		switch r.Phase {
		case track.Starting, track.Uncertain:
			if ev.fence <= r.Fence {
				continue // its start order may still arrive
			}
		case track.Running, track.Stopping:
			if r.PhaseSince >= ev.sent {
				continue
			}
			if r.MissedLists++; r.MissedLists < maxMissedLists {
				continue
			}
			l.Meters.lose("not listed")
		}
		l.Log.Info().Stringer("task", r.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).Stringer("phase", r.Phase).
			Uint64("fence", r.Fence).Msg("run is not listed by its executor")
		l.dropRun(r)
	}
}

// expireLeases gives up the runs on executors that did not answer until their leases expired.
func (l *Leader) expireLeases() {
	l.expireOrphans()
	for _, m := range l.members {
		// A later leader may have extended the leases, if another entry has claimed since.
		if m.Contact == execs.Live && m.leaseEnd == 0 || m.Contact == execs.Dead || l.LastRenewal() < m.leaseEnd || len(l.tracker.RunsOn(m.Key))+len(m.unconfirmed) == 0 {
			continue
		}
		for r := range l.tracker.RunsOn(m.Key) {
			if r.Phase == track.Starting {
				// The leader was suspended, and has not handled the end of the call yet.
				l.extendLongest(m, r.OrderedAt+startTimeout)
			}
		}
		if l.LastRenewal() < m.leaseEnd {
			continue
		}
		if m.Contact == execs.Live {
			m.Contact = execs.Unresponsive // no poll was sent in time
		} else {
			l.recordLapse(m)
		}
		l.resolveFailures(m)
		l.dropRuns(m, "its leases expired")
		m.hasUnanswered = true
		l.queuePoll(m)
	}
}
