package leader

import (
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
	// firstLook bounds a call to an executor that waits for nothing.
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
	since    time.Duration // when it was adopted
	failed   []unconfirmed
	// hurry is until when looks must be fresh, and known when it was first listed.
	hurry time.Duration
	known time.Duration
	// sure says that no other entry had claimed when it was first listed.
	sure bool
	// starting counts starts under way, to bound the connections.
	starting int
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
	return platform.To{Addr: m.Addr, ID: m.ID, Zone: m.Zone, Fence: tenure.Fence(l.token, m.voided)}
}

func keyOf(e *model.Executor) string { return e.ID + "@" + strconv.FormatInt(e.Born, 36) }

// crewOf returns the executors of a service that have not ended.
func (l *Leader) crewOf(service string) []*member {
	if l.crews == nil {
		l.crews = map[string][]*member{}
		for _, m := range l.members {
			if m.Contact != crew.Dead {
				l.crews[m.Service] = append(l.crews[m.Service], m)
			}
		}
	}
	return l.crews[service]
}

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
	if _, ended := l.ended[key]; ended {
		return // a report that it wrote before its end
	}
	m := l.members[key]
	if m == nil {
		if old != nil && old.Born > e.Born {
			return // an earlier incarnation's report that came late
		}
		m = &member{Member: crew.Member{Key: key, Slow: 1}, known: l.now, sure: tenure.IsCertain(l.Renewed(), l.now)}
		l.members[key] = m
		l.crews = nil
		l.touch(m)
		l.Log.Info().Str("executor", e.ID).Int64("born", e.Born).Str("service", e.Service).Str("addr", e.Addr).Msg("executor is new")
		if old != nil {
			l.bury(old, "it started again")
		}
	}
	l.byID[e.ID] = m
	if m.Draining != e.Draining {
		l.Log.Info().Str("executor", e.ID).Bool("draining", e.Draining).Dur("remaining", e.Remaining).Msg("executor drains")
	}
	if m.Service != e.Service {
		l.crews = nil
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
	l.crews = nil
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
		m.Remove(r.Task.Step)
		l.planDue[m.Service] = true
	}
	l.planDue[l.rules(r.Task.Step.Occ.Job).Service] = true
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
		l.crews = nil
		l.byID[e.ID] = n
		l.touch(n)
	}
}

// isSure says whether a later leader knows of an executor. It may not have heard of one
// that registered after its claim, and start elsewhere what this leader starts there.
func (l *Leader) isSure(m *member) bool {
	if !m.sure {
		m.sure = l.Renewed() >= m.known
	}
	return m.sure
}

// trust plans for executors that a later leader knows of by now.
func (l *Leader) trust() {
	for _, m := range l.members {
		if !m.sure && l.isSure(m) {
			l.planDue[m.Service] = true
		}
	}
}
