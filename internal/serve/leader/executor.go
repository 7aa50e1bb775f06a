package leader

import (
	"strconv"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// pollWait is how long an executor waits for the end of a run before it answers a poll. A
	// lease outlasts several polls.
	pollWait = 1 * time.Second
	// freshPollWait replaces pollWait while fresh answers are needed.
	freshPollWait = 120 * time.Millisecond
	// pollSlack is how much longer than its wait a poll may take.
	pollSlack = 600 * time.Millisecond
	// pollRetryInterval is the time to the next poll after a failed one.
	pollRetryInterval = 150 * time.Millisecond
	// silentExtension is how long after its last answer polls of a silent executor extend its leases. Each poll may
	// arrive, so a run on an executor that is cut off would otherwise count as running for as long as it is. In a shorter
	// outage no run ends that the executor does not end itself. Polls of a silent executor whose next incarnation
	// may have carried out a start extend nothing: each might grant the longest lease there.
	silentExtension = elect.RunLease
	// maxPollDelay is how long a poll is delayed so that it can announce ends that are being
	// stored.
	maxPollDelay = 400 * time.Millisecond
	// immediatePollTimeout limits a poll that the executor answers at once.
	immediatePollTimeout = 500 * time.Millisecond
	// ackRetryInterval is the time to the next poll if ends can't be acknowledged.
	ackRetryInterval = 20 * time.Millisecond
	// maxUnacked is how many stored ends may wait for the answers to starts until they are acknowledged
	// all the same. An executor with very short tasks always has a start in flight.
	maxUnacked = 100
)

// member is one incarnation of an executor with the state that the leader keeps of it.
type member struct {
	execs.Member
	// fenceRaises counts how often unanswered orders were voided by a higher fencing token.
	fenceRaises int
	// hasUnanswered is set if orders are unanswered; the next poll voids them.
	hasUnanswered bool
	// mayHaveRestarted is set if an answer showed an earlier clock than the answers before, at restartSeenAt.
	mayHaveRestarted bool
	restartSeenAt    time.Duration
	// clock is the executor's clock in the last answer, which arrived at clockAt.
	clock, clockAt time.Duration
	// leaseEnd is when the leases of all runs there have expired unless a poll extends them.
	leaseEnd     time.Duration
	polling      bool
	due          time.Duration // when the next poll is due
	appliedSeq   int64         // highest sequence number of an end that was applied
	storedSeq    int64         // highest one of an end that is stored
	confirmedSeq int64         // highest one that the executor has acknowledged as stored
	sentSeq      int64         // highest one that a poll has announced as stored
	pollFailures int
	adopted      bool          // the first answer has arrived
	adoptedAt    time.Duration // when it arrived
	// formerUnlisted is set if its answers have not listed all runs and ends of earlier leaders yet.
	formerUnlisted bool
	unconfirmed    []unconfirmedFailure
	// freshUntil is until when polls use freshPollWait, and firstListed when the executor became
	// known.
	freshUntil  time.Duration
	firstListed time.Duration
	// visible is set once a later leader would know the executor: no other entry can have claimed
	// the leadership before firstListed.
	visible bool
	// host is the instance that has it by the instance list, and missingLists the number of successive
	// lists that did not show it while it did not answer.
	host         string
	missingLists int
	// startsInFlight counts unanswered starts; an instance with any of them is not drained yet.
	startsInFlight int
	// lost is the number of its runs that were given up since its last answer, and lostFault the weight
	// of the faults that were recorded for that.
	lost      int
	lostFault float64
	// reportOffset is the offset of the newest report of its id that was applied.
	reportOffset int64
}

// deadline returns the end of a lease granted at now, on the executor's clock.
func (m *member) deadline(now time.Duration) time.Duration {
	// The clock may run slow: a deadline that is too late would outlast elect.FormerRunsEnd.
	age := time.Duration(float64(now-m.clockAt) * (1 - elect.ClockDrift))
	return m.clock + age + elect.RunLease
}

// clockSlack is how much earlier than expected the clock of an executor may be, for rounding.
const clockSlack = 20 * time.Millisecond

// leastClock returns the least reading that the executor's clock can show in the answer to a call that is
// sent at now. The clock of a later incarnation starts anew.
func (m *member) leastClock(now time.Duration) time.Duration {
	return m.clock + time.Duration(float64(now-m.clockAt)*(1-elect.ClockDrift)) - clockSlack
}

// ackSeq returns the sequence number up to which the next poll acknowledges ends, 0 for none. A later
// incarnation of the executor, which numbers its ends anew, would forget ends that it has not listed.
func (m *member) ackSeq() int64 {
	if m.storedSeq <= m.confirmedSeq || m.Contact != execs.Live || m.hasUnanswered || m.mayHaveRestarted {
		return 0
	}
	return m.storedSeq
}

// extend records that a call may have extended the leases there to a deadline on the executor's
// clock.
func (m *member) extend(deadline time.Duration) {
	m.leaseEnd = max(m.leaseEnd, elect.LeaseEnd(m.clockAt, m.clock, deadline))
}

// extendLongest records that an order that arrived at a time or before may have granted the longest lease: an
// unnoticed next incarnation, whose clock starts at 0, takes a deadline on the clock of the former one for a late one.
func (l *Leader) extendLongest(m *member, at time.Duration) {
	m.leaseEnd = max(m.leaseEnd, elect.LeaseEnd(at, 0, l.Settings.Bounds.MaxLease))
}

// firstLease returns the longest time that leases on an executor may last after its first answer. A
// start with a deadline on the clock of its former incarnation has granted up to the longest lease, if
// it reached the executor soon after its start, when clocks begin at 0.
func (l *Leader) firstLease(m *member) time.Duration {
	if m.clock < l.Settings.Bounds.MaxLease {
		return max(elect.RunLease, l.Settings.Bounds.MaxLease)
	}
	return elect.RunLease
}

// target returns the target of an order that must not be sent later than in limit.
func (l *Leader) target(m *member, limit time.Duration) platform.Target {
	return platform.Target{Addr: m.Addr, ID: m.ID, Centre: m.Centre, Fence: elect.FencingToken(l.token, m.fenceRaises), Expires: l.now + limit}
}

func executorKey(e *model.Executor) string { return e.ID + "@" + strconv.FormatInt(e.StartMillis, 36) }

// executorsOf returns the executors of a service that have not ended.
func (l *Leader) executorsOf(service string) []*member {
	if l.byService == nil {
		l.byService = map[string][]*member{}
		for _, m := range l.members {
			if m.Contact != execs.Dead {
				l.byService[m.Service] = append(l.byService[m.Service], m)
			}
		}
	}
	return l.byService[service]
}

// applyReport applies an executor's report from the store. An empty value means that the
// executor is not listed any more.
func (l *Leader) applyReport(r platform.Record) {
	old := l.byID[r.Key]
	if old != nil {
		if r.Offset < old.reportOffset {
			return // the first read of all reports and the next one overlap
		}
		old.reportOffset = r.Offset
	}
	if len(r.Value) == 0 {
		if old != nil {
			l.markUnlisted(old)
		}
		return
	}
	e, err := platform.DecodeExecutor(r.Key, r.Value)
	if err != nil {
		l.Log.Warn().Err(err).Str("executor", r.Key).Msg("executor report is unusable")
		if old != nil {
			l.markUnlisted(old)
		}
		return
	}
	key := executorKey(&e)
	if _, ended := l.ended[key]; ended {
		return // the report was written before the executor's end
	}
	m := l.members[key]
	if m != nil && m.Contact == execs.Dead {
		return
	}
	if m == nil {
		if old != nil && old.StartMillis > e.StartMillis {
			return // a late report of an earlier incarnation
		}
		m = &member{Member: execs.Member{Executor: model.Executor{ID: e.ID}, Key: key, Slowness: 1}, firstListed: l.now, visible: l.isSole()}
		l.members[key] = m
		l.byService = nil
		l.queuePoll(m)
		l.Log.Info().Str("executor", e.ID).Int64("born", e.StartMillis).Str("service", e.Service).Str("addr", e.Addr).Msg("executor is listed")
		if old != nil {
			l.succeed(old, m)
		}
	}
	l.byID[e.ID] = m
	if m.Draining != e.Draining {
		l.Log.Info().Str("executor", e.ID).Bool("draining", e.Draining).Dur("remaining", e.Remaining).Msg("executor changed its drain state")
	}
	if m.Service != e.Service {
		l.byService = nil
	}
	changed := m.Draining != e.Draining || !m.Listed || m.Capacity != e.Capacity
	m.Executor = e
	m.Listed = true
	m.reportOffset = r.Offset
	if changed {
		l.planDue[e.Service] = true
		if e.Draining {
			l.evacuate(m)
		}
	}
}

func (l *Leader) markUnlisted(m *member) {
	if m.Listed {
		m.Listed = false
		l.Log.Info().Str("executor", m.ID).Str("service", m.Service).Msg("executor is not listed any more")
	}
}

// markDead marks an incarnation of an executor dead, and all its runs lost. It must be certain
// that they have ended.
func (l *Leader) markDead(m *member, cause string) {
	if m.Contact == execs.Dead {
		return
	}
	l.countLost(m)
	m.Contact = execs.Dead
	m.Listed = false
	l.byService = nil
	l.Log.Info().Str("executor", m.ID).Int64("born", m.StartMillis).Str("cause", cause).Int("runs", len(l.tracker.RunsOn(m.Key))).Msg("executor is dead")
	l.resolveFailures(m)
	l.dropRuns(m, cause)
	l.chargeOrphans(m, nil, platform.PollResult{})
}

// dropRuns gives up all runs on an executor. It must be certain that they have ended.
func (l *Leader) dropRuns(m *member, cause string) {
	for r := range l.tracker.RunsOn(m.Key) {
		l.Log.Info().Stringer("task", r.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).Int64("born", m.StartMillis).
			Stringer("phase", r.Phase).Str("cause", cause).Msg("run is lost")
		l.Meters.lose(cause)
		l.dropRun(r)
	}
}

// dropRun removes a run that does not exist any more.
func (l *Leader) dropRun(r *track.Run) {
	l.tracker.RemoveRun(r)
	if m := l.members[r.Executor]; m != nil {
		m.RemoveRun(r.Task.Step)
		l.planDue[m.Service] = true
	}
	l.planDue[l.queueOf(r.Task.Step.Occ.Job).Service] = true
}

// replaceIncarnation adds the new incarnation of an executor that answers under its id. born is that
// incarnation's number.
func (l *Leader) replaceIncarnation(m *member, born int64) {
	e := m.Executor
	e.StartMillis = born
	key := executorKey(&e)
	if next := l.members[key]; next != nil && next.Contact != execs.Dead {
		l.succeed(m, next)
		l.queuePoll(next)
		return
	}
	delete(l.ended, key) // it answers
	n := &member{Member: execs.Member{Executor: e, Key: key, Slowness: 1, Listed: true}, firstListed: l.now}
	l.members[key] = n
	l.byService = nil
	l.byID[e.ID] = n
	l.queuePoll(n)
	l.succeed(m, n)
}

// succeed replaces an incarnation of an executor by the next one. Orders that were sent around the
// restart may have been carried out by the next one, so its first list decides on the runs.
func (l *Leader) succeed(old, next *member) {
	// Late orders to the former incarnation carry a lower fencing token than this.
	next.fenceRaises, next.reportOffset = max(next.fenceRaises, old.fenceRaises+1), max(next.reportOffset, old.reportOffset)
	// A deadline on the clock of the former incarnation grants up to the longest lease.
	l.extendLongest(next, l.now)
	l.countLost(old)
	for r := range l.tracker.RunsOn(old.Key) {
		l.tracker.MoveRun(r, next.Key, l.now)
		next.AddRun(r.Task.Step)
	}
	if !next.Inherit(&old.Member) {
		old.lostFault = 0
	}
	l.recordRestart(old, next)
	l.markDead(old, "it restarted")
}

// isVisibleToSuccessor reports whether a later leader would know an executor. It may miss one
// that registered after its claim, and then start elsewhere a task that this leader starts there.
func (l *Leader) isVisibleToSuccessor(m *member) bool {
	if !m.visible {
		m.visible = l.LastRenewal() >= m.firstListed
	}
	return m.visible
}

// planNewlyVisible makes a round of placement due for services with executors that have become
// visible to a successor.
func (l *Leader) planNewlyVisible() {
	for _, m := range l.members {
		if !m.visible && l.isVisibleToSuccessor(m) {
			l.planDue[m.Service] = true
		}
	}
}
