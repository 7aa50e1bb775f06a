package leader

import (
	"context"
	"errors"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/tenure"
	"chervilgauge.example/chervilgauge/platform"
)

// touch has an executor looked at when that is due, if it is needed. It is called after
// each change that may make a look necessary: most executors are idle or in a look that
// waits, and a round must not cost in proportion to the fleet.
func (l *Leader) touch(m *member) { l.touched[m] = struct{}{} }

// holdAll calls the executors that are due.
func (l *Leader) holdAll() {
	for m := range l.touched {
		switch {
		case m.holding, m.Contact == crew.Dead, !l.needsHold(m):
			delete(l.touched, m)
		case l.now >= m.due:
			l.hold(m)
		}
	}
}

// needsHold says whether an executor has to be called: idle ones are left alone, since
// each look is paid for.
func (l *Leader) needsHold(m *member) bool {
	if !m.adopted || m.doubt || m.acked > m.told || m.Strays > 0 {
		return true
	}
	return len(l.book.On(m.Key)) > 0
}

func (l *Leader) hold(m *member) {
	wait, limit := holdWait, holdWait+holdSlack
	if m.Contact != crew.Live || m.doubt || m.seen > m.acked {
		wait, limit = 0, firstLook
	}
	if m.Contact == crew.Unheard {
		limit = tenure.LookFor(m.failures)
	}
	if m.seen > m.acked && l.now < m.due+holdLate {
		return // ends that are not stored yet would be listed again at once
	}
	if m.Strays == 0 && m.acked > m.told && (len(l.book.On(m.Key)) == 0 || len(m.failed) > 0) {
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
		ev.list, ev.err = l.Execs.Hold(call, to, deadline, acked, wait)
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
	l.touch(m)
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
	if first {
		m.adopted, m.since = true, l.now
	}
	l.ends(m, ev.list.Ended, first)
	l.running(m, ev, first)
}

func (l *Leader) holdFailed(ev held) {
	m := ev.m
	m.doubt = m.doubt || ev.voiding
	m.due = l.now + holdRetry
	if m.Contact == crew.Unheard && m.failures < tenure.QuickLooks {
		m.due = l.now
	}
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

// missedMost is how many lists without a run show that it is gone. One list can be
// older than the run.
const missedMost = 2

// running compares the runs that an executor lists with the book.
func (l *Leader) running(m *member, ev held, first bool) {
	listed := map[*book.Run]bool{}
	strays := 0
	for _, row := range ev.list.Running {
		r := l.book.Find(m.Key, row.Task, row.Attempt)
		if r == nil && first {
			if r = l.book.Adopt(m.Key, row, l.now); r != nil {
				m.Add(r.Task.Step)
			}
		}
		if r == nil {
			strays++
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
	if m.Strays > 0 && strays == 0 {
		l.planDue[m.Service] = true
	}
	m.Strays = strays
	if first {
		m.extend(m.clock + tenure.HoldFor)
	}
	for r := range l.book.On(m.Key) {
		if listed[r] {
			continue
		}
		switch r.Phase {
		case book.Starting, book.Uncertain:
			if ev.fence <= r.Fence {
				continue // its order may still arrive
			}
		case book.Running, book.Stopping:
			if r.Since >= ev.sent {
				continue
			}
			if r.Missed++; r.Missed < missedMost {
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
		l.touch(m)
	}
}
