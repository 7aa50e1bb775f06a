package check

import (
	"strconv"

	"chervilgauge.example/chervilgauge/internal/jobs/elect"
)

// stepElection adds the steps of an entry in the election. It follows serve/lead: Elector.follow,
// applyRecord, claim, renewOrResign and isStillLeader. Each entry has read the claim log when it
// appends, since an entry that reads later does what another interleaving does.
func (m *Model) stepElection(s state, i int, emit func(step, state)) {
	e, l := &s.entries[i], &s.log
	id := uint8(i)
	if e.late != noRecord {
		n := s
		m.appendClaim(&n, i, e.late, e.lateToken)
		emit(step{"late claim record", id, uint8(e.late), 0}, n)
	}
	own := int(l.by) == i && l.gen == e.gen
	switch {
	case e.leads && (!own || l.token != e.token):
		if int(l.claims) >= m.limits.Claims {
			return // it can't claim again, and need not take any step otherwise
		}
		n := s
		m.endLeadership(&n, i)
		emit(step{"learns of a claim", id, 0, 0}, n)
	case e.leads:
		m.stepResign(s, i, emit)
	case own && l.kind == claimRecord && !e.ended:
		// The claim was stored, but the answer to it was lost.
		n := s
		n.entries[i].lead(l.token, e.claimSent, s.now)
		emit(step{"learns of its claim", id, 0, 0}, n)
	case !e.retired && m.mayClaim(&s, i):
		m.stepAppend(s, i, claimRecord, emit)
	}
}

func (m *Model) mayClaim(s *state, i int) bool {
	l := &s.log
	if int(l.claims) >= m.limits.Claims {
		return false
	}
	restarted := l.gen != s.entries[l.by].gen
	resigned := l.kind == resignRecord
	v := elect.LeaderView{
		LastChange: m.at(l.changed), LastRead: m.at(s.now), Resigned: resigned, HasSuccessor: l.next != 0 && int(l.next) != i+1,
		LedBeforeRestart: !resigned && restarted && int(l.by) == i, ProcessGone: !resigned && restarted,
	}
	return elect.MayClaim(v, m.at(s.now), elect.ClaimDelay(0, 0))
}

// stepResign adds the steps of a leader that stops as planned.
func (m *Model) stepResign(s state, i int, emit func(step, state)) {
	switch {
	case s.entries[i].retired:
		m.stepAppend(s, i, resignRecord, emit)
	case int(s.used.resigns) < m.limits.Resigns:
		n := s
		n.used.resigns++
		n.entries[i].retired = true
		m.stepAppend(n, i, resignRecord, emit)
	}
}

// renew adds the renewals of the current leader right after a step of the clock. Nothing depends on
// when between two steps they are made.
func (m *Model) renew(s state, emit func(step, state)) {
	i := int(s.log.by)
	e := &s.entries[i]
	if e.leads && !e.retired && s.log.token == e.token && s.log.gen == e.gen && s.log.kind != resignRecord {
		m.stepAppend(s, i, renewRecord, emit)
	}
}

// stepAppend appends a record. It is stored and answered, stored without an answer, or stored later.
func (m *Model) stepAppend(s state, i int, kind recordKind, emit func(step, state)) {
	by := func(name string) step {
		return step{name + [...]string{"", "claim", "time and renewal", "resignation"}[kind], uint8(i), 0, 0}
	}
	if kind == claimRecord {
		s.entries[i].claimSent, s.entries[i].ended = s.now, false
	}
	token := s.entries[i].token
	n := s
	m.appendClaim(&n, i, kind, token)
	lost := n
	e := &n.entries[i]
	switch kind {
	case claimRecord:
		e.lead(n.log.token, s.now, s.now)
	case renewRecord:
		e.renewed = s.now
	case resignRecord:
		m.endLeadership(&n, i)
	case noRecord:
	}
	emit(by(""), n)
	if int(s.used.lost) >= m.limits.Lost {
		return
	}
	lost.used.lost++
	emit(by("unanswered "), lost)
	if s.entries[i].late == noRecord {
		n := s
		n.used.lost++
		n.entries[i].late, n.entries[i].lateToken = kind, token
		emit(by("delayed "), n)
	}
}

// appendClaim appends a record where the log ends. All appends that are still on their way fail.
func (m *Model) appendClaim(s *state, i int, kind recordKind, token uint8) {
	l := &s.log
	if kind == claimRecord {
		l.claims++
		token = l.claims
	}
	*l = claimLog{claims: l.claims, kind: kind, token: token, by: uint8(i), gen: s.entries[i].gen, changed: s.now}
	if kind == resignRecord {
		l.next = m.successor(s, i)
	}
	for k := range s.entries {
		s.entries[k].late, s.entries[k].lateToken = noRecord, 0
	}
}

// successor returns the entry that a resigning leader designates, plus 1.
func (m *Model) successor(s *state, i int) uint8 {
	var cs []elect.Candidate
	for k := range m.entries {
		if k != i && !s.entries[k].retired {
			cs = append(cs, elect.Candidate{Name: strconv.Itoa(k), LastSeen: m.at(s.now)})
		}
	}
	c, ok := elect.ChooseSuccessor(cs, m.at(s.now))
	if !ok {
		return 0
	}
	return c.Name[0] - '0' + 1
}

func (m *Model) endLeadership(s *state, i int) {
	e := &s.entries[i]
	m.leaderStopped(s, i)
	e.stopLeading()
	e.ended = true
	s.dropWaiting(i)
}
