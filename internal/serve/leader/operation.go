package leader

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

// operation is a move or maintenance of one instance.
type operation struct {
	instance string
	// pool is the target of a move, empty for maintenance in a wave.
	pool  string
	wave  int64
	since time.Duration
	// ordered is set when the order was sent, and accepted when it was answered without error.
	ordered, accepted bool
	acceptedAt        time.Duration
	nextAttempt       time.Duration
	inFlight          bool
	// decided is set when the record of the order is queued for the store, and stored when it
	// is there: the next leader must know of an order before it can take effect.
	decided, stored bool
	decidedAt       time.Duration
	former          *member // the instance's executor when the order was first sent, if known
	drained         *member // the executor that takes no tasks because of the operation, if any
}

type orderAnswered struct {
	report
	op  *operation
	err error
}

// lastOrder is the last order for an instance: when it was decided, in Unix time, and the node
// id of the entry that decided it.
type lastOrder struct {
	at time.Duration
	by string
}

// loadOrder loads the stored record of the last order for an instance.
func (l *Leader) loadOrder(instance string, value []byte) {
	at, by, _ := strings.Cut(string(value), " ")
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		l.Log.Error().Err(err).Str("instance", instance).Msg("stored instance order is malformed")
		return
	}
	// The time is capped to before this leader's takeover: a clock that is ahead must neither
	// delay an order for long nor make the record look like one of this leader's own.
	ms = min(max(ms, 0), l.fleet.tookOverAt.Milliseconds()) // more could overflow
	l.fleet.lastOrders[instance] = lastOrder{min(time.Duration(ms)*time.Millisecond, l.fleet.tookOverAt-1), by}
}

// orderEntry returns the record of an order that is to be sent. Each instance has a record of
// its own: a fleet of a thousand has hundreds of orders within one handover interval.
func (l *Leader) orderEntry(op *operation) track.Record {
	o := l.fleet.lastOrders[op.instance]
	value := strconv.AppendInt(nil, o.at.Milliseconds(), 10)
	return track.Record{Key: orderKeyPrefix + op.instance, Value: append(append(value, ' '), o.by...)}
}

// mayOrder reports whether this leader may order an instance: the handover interval must have
// passed since the last order of an earlier leader. Its own orders need no interval.
func (l *Leader) mayOrder(instance string) bool {
	if !l.isValid() {
		return false
	}
	o, ok := l.fleet.lastOrders[instance]
	if !ok || o.at >= l.fleet.tookOverAt {
		return true
	}
	handover := l.Settings.Bounds.Handover
	if o.by == l.Settings.Node {
		// An earlier process of this entry is the same holder and has ended: only a call that it
		// sent may still arrive.
		handover = 0
	}
	return l.wall >= elect.HandoverEnd(o.at, handover)
}

// beginOperation starts to drain an instance: its executor gets no new tasks.
func (l *Leader) beginOperation(op *operation) {
	l.fleet.operations[op.instance] = op
	in := l.fleet.instances[op.instance]
	m := l.memberOn(in)
	runs := 0
	if m != nil {
		m.Leaving = true
		op.drained = m
		runs = len(l.tracker.RunsOn(m.Key))
	}
	l.Log.Info().Str("instance", op.instance).Str("executor", in.Executor).Str("service", in.Pool).Str("to", op.pool).Int64("wave", op.wave).
		Int("runs", runs).Msg("draining instance")
}

func (l *Leader) endOperation(op *operation, cause string) {
	delete(l.fleet.operations, op.instance)
	// The list may not show the instance, or not with this executor.
	if m := op.drained; m != nil && m.Leaving {
		m.Leaving = false
		l.planDue[m.Service] = true
	}
	l.Log.Info().Str("instance", op.instance).Str("to", op.pool).Int64("wave", op.wave).Str("cause", cause).
		Dur("took", l.now-op.since).Msg("instance operation ended")
}

// advanceOperation takes the next step of an operation: drain the instance, store the order's
// record, send the order.
func (l *Leader) advanceOperation(op *operation) {
	if op.accepted || op.inFlight || l.now < op.nextAttempt {
		return
	}
	in, ok := l.fleet.instances[op.instance]
	if !ok {
		l.endOperation(op, "instance is not listed any more")
		return
	}
	if !op.ordered && !l.tryDrain(op, in) {
		return
	}
	if !l.mayOrder(op.instance) {
		return
	}
	if !op.decided {
		op.decided, op.decidedAt = true, l.now
		l.fleet.lastOrders[op.instance] = lastOrder{l.wall, l.Settings.Node}
		l.fleet.unstored = append(l.fleet.unstored, op)
		return
	}
	if !op.stored {
		return
	}
	if !elect.MaySend(op.decidedAt, l.now) {
		op.decided, op.stored = false, false
		return
	}
	if !op.ordered {
		op.former = l.memberOn(in)
	}
	op.ordered, op.inFlight = true, true
	l.Meters.instanceCalls.Inc(1)
	l.Log.Info().Str("instance", op.instance).Str("to", op.pool).Int64("wave", op.wave).Msg("sending order for instance")
	decidedAt := op.decidedAt
	maySend := func() bool { return elect.MaySend(decidedAt, l.Clock.Now()) }
	l.call(func(ctx context.Context) event {
		if !maySend() {
			// The process was suspended after the order was decided.
			return orderAnswered{op: op, err: &platform.OrderError{Reason: platform.ReasonLate}}
		}
		call, cancel := context.WithTimeout(ctx, elect.OrderTimeout)
		defer cancel()
		if op.pool == "" {
			return orderAnswered{op: op, err: l.Client.Maintain(call, l.token, op.instance, op.wave, maySend)}
		}
		return orderAnswered{op: op, err: l.Client.Move(call, l.token, op.instance, op.pool, maySend)}
	})
}

// tryDrain reports whether nothing runs on an instance. It stops runs that don't end by
// themselves in time, and ends the operation if the instance can't be drained.
func (l *Leader) tryDrain(op *operation, in model.Instance) bool {
	m := l.memberOn(in)
	if m == nil {
		// This leader has started nothing there, but an earlier one may have started runs on an
		// executor that this leader has not contacted yet.
		return in.Executor == "" || in.Phase != model.Up || l.now >= l.formerRunsEnd()
	}
	m.Leaving = true
	op.drained = m
	if m.Contact != execs.Live {
		if l.now >= max(m.leaseEnd, l.formerRunsEnd()) && len(l.tracker.RunsOn(m.Key)) == 0 {
			return true
		}
		if op.pool != "" && l.now > op.since+drainTimeout {
			l.endOperation(op, "executor is unresponsive")
		}
		return false
	}
	runs := l.tracker.RunsOn(m.Key)
	if len(runs) == 0 {
		// Unacknowledged ends would be lost with the executor.
		return m.startsInFlight == 0 && !m.hasUnanswered && m.confirmedSeq >= m.appliedSeq
	}
	blocked := false
	together := l.stoppableTogether(m)
	for r := range runs {
		if r.Phase != track.Running {
			continue
		}
		s := r.Task.Step
		switch {
		case s.LongRunning && l.canRunElsewhere(m, r.Task):
			if l.mayStop(r.Task) {
				l.stop(r, "instance is being drained")
			}
		case s.LongRunning:
			// After maintenance it can start again on this instance.
			if op.pool == "" && together[s] {
				l.stop(r, "instance is being drained")
			} else {
				blocked = true
			}
		case l.now > op.since+drainGrace:
			l.stop(r, "instance is being drained")
		}
	}
	switch {
	case l.now <= op.since+drainTimeout:
	case op.pool != "":
		l.endOperation(op, "instance was not drained in time")
	case blocked:
		// Until the next attempt it accepts other work again.
		l.fleet.retryMaintAt[op.instance] = l.now + drainTimeout
		l.endOperation(op, "long-running tasks fit on no other executor")
	}
	return false
}

// canRunElsewhere reports whether a long-running task may run and fits on another executor than m now.
// It asks for advice where the policy has not approved one. If an instance has to be moved for the
// task first, which takes about two seconds, it keeps running on m until then.
func (l *Leader) canRunElsewhere(m *member, t *track.Task) bool {
	var others []*execs.Member
	for _, o := range l.executorsOf(m.Service) {
		if o != m && l.isVisibleToSuccessor(o) {
			others = append(others, &o.Member)
		}
	}
	if assign.CanPlace(t, others, l.permission, l.now) {
		return true
	}
	if adv := l.queueOf(t.Step.Occ.Job).Advice; adv != nil {
		l.requestStepAdvice(t.Step, adv, others)
	}
	return false
}

// stoppableTogether returns the long-running steps on an executor, with true for those all of
// whose tasks there may be unavailable at the same time.
func (l *Leader) stoppableTogether(m *member) map[*track.Step]bool {
	here := map[*track.Step]int{}
	out := map[*track.Step]bool{}
	for r := range l.tracker.RunsOn(m.Key) {
		if r.Task.Step.LongRunning && r.Phase == track.Running {
			here[r.Task.Step]++
		}
	}
	for r := range l.tracker.RunsOn(m.Key) {
		s := r.Task.Step
		if _, known := out[s]; known || here[s] == 0 || r.Phase != track.Running {
			continue
		}
		unavailable, stale, _ := l.countUnavailable(r.Task)
		out[s] = s.MaxUnavailable < 0 || len(stale) == 0 && unavailable+here[s] <= s.MaxUnavailable
	}
	return out
}

// maxPollAge returns the highest age of a poll that the stop of a long-running task may rely
// on. A waiting poll is answered as soon as a run ends, and a task that is unavailable for
// another reason than an order counts only after the notice time; half of that is reserved for
// calls in flight.
func (l *Leader) maxPollAge() time.Duration {
	return min(pollWait+pollSlack, l.Settings.Bounds.Notice/2)
}

// freshPollPeriod is how long executors are polled often when a stop depends on them. It is
// above pollWait, since an executor may be in a poll of that length.
const freshPollPeriod = 2 * time.Second

// stopSlack is added to the longest time of a stop, for network delays.
const stopSlack = 400 * time.Millisecond

// mayStop reports whether a long-running task may be stopped without making more tasks of its
// step unavailable than the job allows. Executors whose last poll is too old, or on which a
// task starts, are polled more often.
func (l *Leader) mayStop(t *track.Task) bool {
	if t.Step.MaxUnavailable < 0 || l.isStuck(t) {
		return true
	}
	unavailable, stale, starting := l.countUnavailable(t)
	for _, m := range slices.Concat(stale, starting) {
		m.freshUntil = l.now + freshPollPeriod
	}
	return len(stale) == 0 && unavailable < t.Step.MaxUnavailable
}

// countUnavailable counts the other tasks of a step that are unavailable. It returns the
// executors whose last poll is too old to decide, and those on which a task starts.
func (l *Leader) countUnavailable(t *track.Task) (unavailable int, stale, starting []*member) {
	for _, o := range t.Step.Tasks {
		if o == t {
			continue
		}
		if !o.IsServing() {
			unavailable++
		}
		for _, r := range o.Runs {
			m := l.members[r.Executor]
			switch {
			case !o.IsServing():
				if m != nil {
					starting = append(starting, m)
				}
			case m == nil || m.Contact != execs.Live:
				unavailable++
			case l.now-m.clockAt > l.maxPollAge(), l.now < m.adoptedAt+l.Settings.Bounds.Stop+stopSlack:
				// After a takeover a stop sent by the former leader may be in progress; the
				// executor still lists such a run as running.
				stale = append(stale, m)
			}
		}
	}
	return unavailable, stale, starting
}

// stuckAfter is how long a long-running task may take from its start until it is serving.
const stuckAfter = 4 * time.Second

// isStuck reports whether a task has been started but is not serving after stuckAfter.
func (l *Leader) isStuck(t *track.Task) bool {
	return !t.IsServing() && len(t.Runs) > 0 && l.now > t.Runs[0].PhaseSince+stuckAfter
}

func (l *Leader) onOrderAnswered(ev orderAnswered) {
	op := ev.op
	op.inFlight = false
	op.nextAttempt = l.now + orderRetryInterval
	// The next attempt is a new order with a record of its own.
	op.decided, op.stored = false, false
	if l.fleet.operations[op.instance] != op {
		return
	}
	refused := (*platform.OrderError)(nil)
	if ev.err == nil {
		l.completeOrder(op)
		return
	}
	l.Log.Warn().Err(ev.err).Str("instance", op.instance).Str("to", op.pool).Int64("wave", op.wave).Msg("order for an instance failed")
	if !errors.As(ev.err, &refused) {
		return
	}
	switch refused.Reason {
	case platform.ReasonInvalid:
		if op.pool != "" {
			if l.fleet.refusedPools[op.instance] == nil {
				l.fleet.refusedPools[op.instance] = map[string]bool{}
			}
			l.fleet.refusedPools[op.instance][op.pool] = true
		}
		l.endOperation(op, "order is invalid")
	case platform.ReasonWave:
		l.recordMaintained(op)
		l.endOperation(op, "instance does not belong to the wave")
	case platform.ReasonBusy:
		if op.pool != "" {
			l.endOperation(op, "instance is busy")
		}
	default:
	}
}

// completeOrder records that an order was carried out, now or before: an order that changes nothing is
// answered in the same way. The next list shows whether the executor has ended.
func (l *Leader) completeOrder(op *operation) {
	op.accepted, op.acceptedAt = true, l.now
	if op.pool == "" {
		l.Meters.order("upkeep")
	} else {
		l.Meters.order("move")
	}
	if op.pool == "" {
		l.recordMaintained(op)
	}
	l.fleet.nextList = min(l.fleet.nextList, l.now+l.Settings.Bounds.Migrate)
}

// expectsExecutor reports whether the executor of a moved instance may register before the next
// read of the executors' reports.
func (l *Leader) expectsExecutor() bool {
	for _, op := range l.fleet.operations {
		if op.accepted && op.pool != "" && !l.isStandby(op.pool) && l.now+executorTailInterval >= op.acceptedAt+l.Settings.Bounds.Migrate {
			return true
		}
	}
	return false
}
