package check

import (
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// store follows Leader.flush and Leader.onAppended: one append stores the job that was submitted, the
// progress and the end. It is refused once a later leader has fenced the store. The changes are
// taken from the tracker either way.
func (m *Model) store(s *state, e *entry) bool {
	changed := false
	for x := range m.execs {
		changed = changed || e.members[x].stored != e.members[x].applied
	}
	if !e.queued && !e.book.dirty && !changed {
		return false
	}
	accept, dirty := e.queued, e.book.dirty
	e.queued, e.book.dirty = false, false
	waits := accept && s.caller.leader != 0 && &s.entries[s.caller.leader-1] == e
	if (accept || dirty) && s.store.epoch > e.token {
		if waits {
			s.caller.leader, s.caller.unsure = 0, true
		}
		e.book.dirty = dirty
		return true
	}
	for x := range m.execs {
		e.members[x].stored = e.members[x].applied
	}
	if dirty {
		for t := range m.tasks {
			if e.book.tasks[t].done {
				s.store.done |= 1 << t
			}
			if e.book.over && !s.ran[t] {
				s.broken |= Early
			}
		}
		s.store.ended = s.store.ended || e.book.over
	}
	if accept {
		s.store.job = true
		m.update(s, e, func(tr *track.Tracker) { tr.Accept(jobID, m.queue, m.spec, 0, m.at(s.now)) })
	}
	if waits {
		s.answerCaller(true)
	}
	return true
}

// readLeaderless follows Leader.readLeaderless and Leader.applyLeaderless.
func (m *Model) readLeaderless(s *state, e *entry) bool {
	if !s.store.leaderless || e.book.known {
		return false
	}
	m.update(s, e, func(tr *track.Tracker) { tr.Accept(jobID, m.queue, m.spec, 0, m.at(s.now)) })
	return true
}

// answerCaller answers the request of the caller.
func (s *state) answerCaller(accepted bool) {
	c := &s.caller
	c.via, c.leader = 0, 0
	c.accepted = c.accepted || accepted
	c.open = c.open || c.unsure || accepted
	c.unsure = false
}

// leaderStopped answers the submission that waits for a leader that stops, see Leader.refuseAll.
func (m *Model) leaderStopped(s *state, i int) {
	if int(s.caller.leader) == i+1 {
		s.caller.leader, s.caller.unsure = 0, !s.entries[i].queued
	}
}

// stepCaller adds the steps of the caller and of the entries that handle its request. It follows
// serve/agent: Agent.Submit and Agent.storeLeaderless.
func (m *Model) stepCaller(s state, emit func(step, state)) {
	c := s.caller
	if c.pending {
		n := s
		n.caller.pending, n.store.leaderless = false, true
		emit(step{"late leaderless job", 0, 0, 0}, n)
	}
	if c.via == 0 {
		for i := range m.entries {
			if int(c.tries) < m.limits.Tries {
				n := s
				n.caller.tries++
				n.caller.via = uint8(i) + 1
				emit(step{"submit", uint8(i), 0, 0}, n)
			}
		}
	} else {
		// The answer to the caller is lost.
		n := s
		n.caller.unsure = true
		n.answerCaller(false)
		emit(step{"answer to caller is lost", 0, 0, 0}, n)
	}
	if c.leader != 0 {
		// The entry does not hear from the leader, which may still store the job.
		n := s
		n.caller.leader, n.caller.unsure = 0, true
		emit(step{"answer to entry is lost", c.leader - 1, 0, 0}, n)
	}
	if c.leader != 0 && s.entries[c.leader-1].queued {
		// The leader returns the request, see Leader.returnQueued.
		n := s
		n.entries[c.leader-1].queued, n.caller.leader = false, 0
		emit(step{"submission is returned", c.leader - 1, 0, 0}, n)
	}
	if c.via != 0 && c.leader == 0 {
		m.stepSubmission(s, emit)
	}
	m.stepQuery(s, emit)
}

func (m *Model) stepSubmission(s state, emit func(step, state)) {
	for i := range m.entries {
		e := &s.entries[i]
		if !e.leads || !e.ready || s.caller.unsure {
			continue
		}
		// The leader follows Leader.onSubmit.
		n := s
		en := &n.entries[i]
		switch {
		case en.book.known:
			n.answerCaller(true)
		case !elect.CanAct(m.at(e.renewed), m.at(s.now)):
			continue // the entry stores the job itself
		default:
			en.queued = true
			n.caller.leader = uint8(i) + 1
		}
		emit(step{"submit to leader", uint8(i), 0, 0}, n)
	}
	if !s.caller.unsure {
		n := s
		n.answerCaller(false)
		emit(step{"refused", 0, 0, 0}, n)
	}
	n := s
	n.store.leaderless = true
	n.answerCaller(true)
	emit(step{"store leaderless job", 0, 0, 0}, n)
	if !s.caller.pending {
		n := s
		n.caller.pending, n.caller.unsure = true, true
		n.answerCaller(false)
		emit(step{"delayed leaderless job", 0, 0, 0}, n)
	}
}

// stepQuery checks what a leader answers about the job, see Leader.onQuery.
func (m *Model) stepQuery(s state, emit func(step, state)) {
	if !s.caller.accepted {
		return
	}
	for i := range m.entries {
		e := &s.entries[i]
		if e.leads && e.ready && !e.book.known && !s.store.leaderless && m.isSole(e, s.now) {
			n := s
			n.broken |= Denied
			emit(step{"answer that there is no such job", uint8(i), 0, 0}, n)
		}
	}
}
