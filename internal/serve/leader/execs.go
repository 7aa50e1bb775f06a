package leader

import (
	"context"
	"errors"
	"strconv"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/tenure"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// holdWait is how long an executor waits for an end before it lists what runs. The
	// lease outlasts several of these calls.
	holdWait = 1 * time.Second
	// hurryWait replaces it while fresh looks are needed.
	hurryWait = 120 * time.Millisecond
	// holdSlack is how much longer than it waits an answer may take.
	holdSlack = 600 * time.Millisecond
	// holdRetry is the time to the next call after one without an answer.
	holdRetry = 150 * time.Millisecond
	// holdLate is how long a call is put off for an append that its note of ends needs.
	holdLate = 400 * time.Millisecond
	// firstLook bounds the first call to an executor.
	firstLook = 500 * time.Millisecond
)

// member is an executor as the leader works with it.
type member struct {
	crew.Member
	// voided counts how often unanswered orders were voided by a higher fence.
	voided int
	// doubt says that orders are unanswered, and that the next call voids them.
	doubt bool
	// clock is what its clock showed in the answer that arrived at clockAt.
	clock, clockAt time.Duration
	// leaseEnd is when all that was ever started there has ended, unless it is heard.
	leaseEnd time.Duration
	holding  bool
	due      time.Duration // when the next call is due
	seen     int64         // the highest end that was applied
	acked    int64         // the highest end that is stored
	told     int64         // the highest end that it certainly knows to be stored
	sentAck  int64         // the highest end that it was told is stored
	failures int
	adopted  bool
	failed   []unconfirmed
	// hurry is until when looks must be fresh, and known when it was first listed.
	hurry time.Duration
	known time.Duration
	// starting counts starts under way, to bound the connections.
	starting int
	deadAt   time.Duration
}

// deadline returns a time on the executor's clock.
func (m *member) deadline(now time.Duration) time.Duration {
	return m.clock + (now - m.clockAt) + tenure.HoldFor
}

// extend notes that a call may have extended the leases there.
func (m *member) extend(deadline time.Duration) {
	m.leaseEnd = max(m.leaseEnd, tenure.LeaseEnd(m.clockAt, m.clock, deadline))
}

func (l *Leader) to(m *member) platform.To {
	return platform.To{Addr: m.Addr, ID: m.ID, Fence: tenure.Fence(l.token, m.voided)}
}

func keyOf(e *model.Executor) string { return e.ID + "@" + strconv.FormatInt(e.Born, 36) }

// takeExecutor takes over a report in the store.
func (l *Leader) takeExecutor(r platform.Record) {
	old := l.byID[r.Key]
	if len(r.Value) == 0 {
		if old != nil {
			l.unlist(old)
		}
		return
	}
	e, err := platform.DecodeExecutor(r.Key, r.Value)
	if err != nil {
		l.Log.Warn().Err(err).Str("executor", r.Key).Msg("report names no executor that can be used")
		if old != nil {
			l.unlist(old)
		}
		return
	}
	key := keyOf(&e)
	m := l.members[key]
	if m == nil {
		if old != nil && old.Born > e.Born {
			return // an earlier incarnation's report that came late
		}
		m = &member{Member: crew.Member{Key: key, Slow: 1}, known: l.now}
		l.members[key] = m
		l.Log.Info().Str("executor", e.ID).Int64("born", e.Born).Str("service", e.Service).Str("addr", e.Addr).Msg("executor is new")
		if old != nil {
			l.bury(old, "it started again")
		}
	}
	l.byID[e.ID] = m
	if m.Draining != e.Draining {
		l.Log.Info().Str("executor", e.ID).Bool("draining", e.Draining).Dur("remaining", e.Remaining).Msg("executor drains")
	}
	changed := m.Draining != e.Draining || !m.Listed || m.Capacity != e.Capacity
	m.Executor = e
	m.Listed = true
	if changed {
		l.planDue[e.Service] = true
		if e.Draining {
			l.evacuate(m)
		}
	}
}

func (l *Leader) unlist(m *member) {
	if m.Listed {
		m.Listed = false
		l.Log.Info().Str("executor", m.ID).Str("service", m.Service).Msg("executor is not listed any more")
	}
}

// bury notes that an incarnation has ended for certain, and all that ran there.
func (l *Leader) bury(m *member, cause string) {
	if m.Contact == crew.Dead {
		return
	}
	m.Contact = crew.Dead
	m.Listed = false
	m.deadAt = l.now
	l.Log.Info().Str("executor", m.ID).Int64("born", m.Born).Str("cause", cause).Int("runs", len(l.book.On(m.Key))).Msg("executor has ended")
	l.void(m)
	l.dropAll(m, cause)
}

// dropAll gives up all runs on an executor, which have ended for certain.
func (l *Leader) dropAll(m *member, cause string) {
	for r := range l.book.On(m.Key) {
		l.Log.Info().Stringer("task", r.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).Str("cause", cause).Msg("run is lost")
		l.Meters.lost.Inc(1)
		l.drop(r)
	}
}

// drop removes a run that is not there any more.
func (l *Leader) drop(r *book.Run) {
	l.book.Drop(r)
	if m := l.members[r.Executor]; m != nil {
		m.Used = m.Used.Minus(r.Task.Step.Room())
		l.planDue[m.Service] = true
	}
	l.planDue[l.rules(r.Task.Step.Occ.Job).Service] = true
}

// holdAll calls the executors that are due.
func (l *Leader) holdAll() {
	for _, m := range l.members {
		if !m.holding && m.Contact != crew.Dead && l.now >= m.due && l.needsHold(m) {
			l.hold(m)
		}
	}
}

// needsHold says whether an executor has to be called: idle ones are left alone, since
// each look is paid for.
func (l *Leader) needsHold(m *member) bool {
	if !m.adopted || m.doubt || m.acked > m.told {
		return true
	}
	return len(l.book.On(m.Key)) > 0
}

func (l *Leader) hold(m *member) {
	wait, limit := holdWait, holdWait+holdSlack
	if m.Contact != crew.Live || m.doubt || m.seen > m.acked {
		wait, limit = 0, firstLook
	}
	if m.seen > m.acked && l.now < m.due+holdLate {
		return // ends that are not stored yet would be listed again at once
	}
	if m.acked > m.told && (len(l.book.On(m.Key)) == 0 || len(m.failed) > 0) {
		// The answer confirms failures, and nothing else is expected of an idle executor.
		wait, limit = 0, firstLook
	}
	if l.now < m.hurry {
		wait, limit = min(wait, hurryWait), firstLook
	}
	if m.doubt {
		m.voided++
	}
	ev := held{m: m, sent: l.now, voiding: m.doubt, fence: tenure.Fence(l.token, m.voided)}
	m.doubt = false
	var deadline time.Duration
	if m.clockAt > 0 && m.adopted {
		deadline = m.deadline(l.now)
		m.extend(deadline)
	}
	to, acked := l.to(m), m.acked
	ev.acked = acked
	m.sentAck = acked
	m.holding = true
	l.Meters.looks.Inc(1)
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ev.list, ev.err = l.Client.Hold(call, to, deadline, acked, wait)
		return ev
	})
}

// held is the answer to a hold.
type held struct {
	report
	m       *member
	sent    time.Duration
	fence   uint64
	voiding bool
	acked   int64
	list    platform.Held
	err     error
}

func (l *Leader) onHeld(ev held) {
	m := ev.m
	m.holding = false
	if m.Contact == crew.Dead {
		return
	}
	if ev.err != nil {
		l.holdFailed(ev)
		return
	}
	if b := ev.list.Born; b != 0 && m.Born != 0 && b != m.Born {
		l.reborn(m, b)
		return
	}
	if m.Contact != crew.Live {
		l.Log.Info().Str("executor", m.ID).Str("service", m.Service).Int("running", len(ev.list.Running)).
			Int("ended", len(ev.list.Ended)).Bool("first", !m.adopted).Msg("executor is heard")
		l.planDue[m.Service] = true
	}
	m.Contact, m.failures = crew.Live, 0
	m.clock, m.clockAt = ev.list.Clock, l.now
	m.told = max(m.told, ev.acked)
	l.confirm(m)
	m.due = l.now
	first := !m.adopted
	m.adopted = true
	l.ends(m, ev.list.Ended, first)
	l.running(m, ev, first)
}

func (l *Leader) holdFailed(ev held) {
	m := ev.m
	m.doubt = m.doubt || ev.voiding
	m.due = l.now + holdRetry
	refused, other := (*platform.OrderError)(nil), (*platform.OtherLifeError)(nil)
	switch {
	case errors.As(ev.err, &other):
		l.bury(m, "another incarnation is at its address")
		return
	case errors.As(ev.err, &refused):
		if refused.Reason == platform.ReasonFence && ev.fence == tenure.Fence(l.token, m.voided) {
			l.Log.Warn().Str("executor", m.ID).Uint64("fence", ev.fence).Msg("executor has seen a higher fence")
			m.due = l.now + holdWait
		}
		return
	}
	m.failures++
	if m.Contact == crew.Live {
		m.Contact = crew.Silent
		l.Log.Warn().Err(ev.err).Str("executor", m.ID).Str("service", m.Service).Int("runs", len(l.book.On(m.Key))).Msg("executor does not answer")
	}
}

// reborn notes that an executor answers under its id as a new incarnation.
func (l *Leader) reborn(m *member, born int64) {
	e := m.Executor
	e.Born = born
	l.bury(m, "it started again")
	key := keyOf(&e)
	if l.members[key] == nil {
		n := &member{Member: crew.Member{Executor: e, Key: key, Slow: 1, Listed: true}, known: l.now}
		// Orders to the former incarnation that arrive late are below this fence.
		n.voided = m.voided + 1
		l.members[key] = n
		l.byID[e.ID] = n
	}
}

// ends applies the ends that an executor lists.
func (l *Leader) ends(m *member, ends []model.End, first bool) {
	for _, e := range ends {
		if e.Seq <= m.seen {
			continue
		}
		m.seen = e.Seq
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
		m.Used = m.Used.Minus(r.Task.Step.Room())
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

// missedMost is how many lists without a run show that it is gone. One list can be
// older than the run.
const missedMost = 2

// running compares the runs that an executor lists with the book.
func (l *Leader) running(m *member, ev held, first bool) {
	listed := map[*book.Run]bool{}
	for _, row := range ev.list.Running {
		r := l.book.Find(m.Key, row.Task, row.Attempt)
		if r == nil && first {
			if r = l.book.Adopt(m.Key, row, l.now); r != nil {
				m.Used = m.Used.Plus(r.Task.Step.Room())
			}
		}
		if r == nil {
			l.stopStray(m, row)
			continue
		}
		listed[r] = true
		if r.Phase == book.Uncertain || r.Phase == book.Starting && ev.sent > r.Begun {
			l.confirmRun(r)
		}
		if row.Percent > r.Percent {
			r.Progress = l.now
		}
		r.Percent, r.Tail, r.Missed = row.Percent, row.Tail, 0
		if row.Saved != "" {
			r.Saved = row.Saved
		}
		if r.Task.Step.Occ.Job.IsOver() && r.Phase == book.Running {
			l.stop(r, "job is over")
		}
	}
	if first {
		m.extend(m.clock + tenure.HoldFor)
	}
	for r := range l.book.On(m.Key) {
		if listed[r] || r.Since >= ev.sent {
			continue
		}
		switch r.Phase {
		case book.Starting:
			continue
		case book.Uncertain:
			if !ev.voiding {
				continue
			}
		case book.Running, book.Stopping:
			r.Missed++
			if r.Missed < missedMost {
				continue
			}
		}
		l.Log.Info().Stringer("task", r.Task.ID).Int("attempt", r.Attempt).Str("executor", m.ID).Msg("run is not there")
		l.drop(r)
	}
}

// expireLeases gives up the runs on executors that were not heard until their leases
// ended.
func (l *Leader) expireLeases() {
	for _, m := range l.members {
		if m.Contact == crew.Live || m.Contact == crew.Dead || l.now < m.leaseEnd || len(l.book.On(m.Key))+len(m.failed) == 0 {
			continue
		}
		l.void(m)
		l.dropAll(m, "its leases ended")
		m.doubt = true
	}
}
