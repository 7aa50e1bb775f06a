package check

import (
	"cmp"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// maxLease is the longest lease that an executor grants.
const maxLease = 10 * time.Second

// initial returns the first state: entry 0 has claimed and has contacted all executors.
func (m *Model) initial() state {
	s := state{log: claimLog{claims: 1, kind: claimRecord, token: 1}}
	s.store = jobStore{epoch: 1, job: m.limits.Tries == 0}
	s.caller.accepted = s.store.job
	for x := range m.execs {
		s.execs[x] = executor{born: 1, reported: 1, token: 1}
	}
	e := &s.entries[0]
	e.lead(1, 0, 0)
	m.onLoaded(&s, e)
	m.update(&s, e, func(tr *track.Tracker) { tr.ReleaseUnresolved(func(*track.Job) bool { return true }, 0) })
	for x := range m.execs {
		b := &e.members[x]
		b.contact, b.adopted, b.visible = execs.Live, true, true
		b.clockAt = -tick(m.idle / m.tick)
		b.clock = millis(m.clock(&s.execs[x], b.clockAt))
	}
	return s
}

// expand passes all successors of a state to emit.
func (m *Model) expand(s state, emit func(step, state)) {
	for i := range m.entries {
		e := &s.entries[i]
		m.stepElection(s, i, emit)
		if e.leads {
			m.stepLeader(s, i, emit)
		}
		if int(s.used.restarts) < m.limits.Restarts {
			n := s
			n.used.restarts++
			m.leaderStopped(&n, i)
			n.dropWaiting(i)
			if int(n.caller.via) == i+1 {
				n.caller.unsure = true
				n.answerCaller(false)
			}
			n.entries[i] = entry{gen: e.gen + 1}
			emit(step{"restart of entry", uint8(i), 0, 0}, n)
		}
	}
	for i := range s.calls {
		m.stepCall(s, i, emit)
	}
	for x := range m.execs {
		m.stepExecutor(s, x, emit)
	}
	if m.limits.Tries > 0 {
		m.stepCaller(s, emit)
	}
	if int(s.now) < m.limits.Ticks {
		n := s
		m.advance(&n)
		emit(step{"time", uint8(n.now), 0, 0}, n)
		m.renew(n, emit)
	}
}

// advance moves the clock by one step. Leases that have ended by then have ended before all that
// happens at the new time.
func (m *Model) advance(s *state) {
	s.now++
	for i := range s.calls {
		if c := &s.calls[i]; c.place != onConnection {
			c.expire(true)
		}
	}
	for i := range m.entries {
		if e := &s.entries[i]; e.leads && e.token != s.log.token && !elect.CanAct(m.at(e.renewed), m.at(s.now)) {
			m.endLeadership(s, i)
		}
	}
	for i := range s.execs {
		x := &s.execs[i]
		if x.lease == 0 || m.clock(x, s.now) < duration(x.lease) {
			continue
		}
		x.lease = 0
		for t, attempt := range x.running {
			if attempt != 0 {
				x.addEnd(t, false)
			}
		}
		for d := range x.ends {
			x.ends[d].void = x.ends[d].seq != 0
		}
	}
}

// stepExecutor adds the steps of an executor that no call causes.
func (m *Model) stepExecutor(s state, i int, emit func(step, state)) {
	x := &s.execs[i]
	for t, attempt := range x.running {
		if attempt == 0 {
			continue
		}
		n := s
		if n.execs[i].addEnd(t, true) {
			n.ran[t] = true
			emit(step{"task ends", uint8(i), uint8(t), attempt}, n)
		}
	}
	if x.reported < x.born {
		n := s
		n.execs[i].reported = x.born
		emit(step{"report", uint8(i), x.born, 0}, n)
	}
	if int(s.used.crashes) < m.limits.Crashes {
		n := s
		m.restartExecutor(&n, i)
		emit(step{"restart of executor", uint8(i), x.born + 1, 0}, n)
	}
}

// restartExecutor starts the next incarnation of an executor. The connections of the earlier one end
// with it. Calls that another entry holds go to the next one, on a fresh connection.
func (m *Model) restartExecutor(s *state, i int) {
	s.used.crashes++
	x := &s.execs[i]
	*x = executor{born: x.born + 1, reported: x.reported, bornAt: s.now}
	for k := range s.calls {
		c := &s.calls[k]
		switch {
		case c.kind == noCall || int(c.exec) != i || c.carriedOut:
		case c.place != onConnection:
			c.expire(c.stale)
		case c.waiting:
			c.lost = true
		default:
			*c = call{}
		}
	}
}

// stepCall adds the steps of a call: it is carried out, its answer arrives, or the leader does not
// wait for it any more.
func (m *Model) stepCall(s state, i int, emit func(step, state)) {
	c := s.calls[i]
	if c.kind == noCall {
		return
	}
	by := func(name string) step {
		return step{name + [...]string{"", " start", " poll"}[c.kind], c.by, c.exec, c.attempt}
	}
	if c.place != onConnection {
		m.stepRelayed(s, i, emit)
		return
	}
	if !c.carriedOut && !c.lost {
		n := s
		m.execute(&n, &n.calls[i])
		emit(by("carried out:"), n)
	}
	if !c.waiting {
		if !c.carriedOut {
			n := s
			n.calls[i] = call{}
			emit(by("never carried out:"), n)
		}
		return
	}
	if c.carriedOut {
		n := s
		n.calls[i] = call{}
		m.onAnswer(&n, &c, true)
		emit(by("answer:"), n)
	}
	n := s
	n.calls[i].stopWaiting()
	m.onAnswer(&n, &c, false)
	emit(by("no answer:"), n)
}

// send adds the steps that make a call: it is carried out and answered at once, or it is slow.
func (m *Model) send(s state, c call, by step, emit func(step, state)) {
	n, done := s, c
	m.execute(&n, &done)
	m.onAnswer(&n, &done, true)
	emit(by, n)
	if c.kind == startCall && int(s.used.slowStarts) >= m.limits.SlowStarts || c.kind == pollCall && int(s.used.slowPolls) >= m.limits.SlowPolls {
		return
	}
	n = s
	if m.relayed {
		c.place = atLeader
	}
	if c.kind == startCall {
		n.used.slowStarts++
	} else {
		n.used.slowPolls++
	}
	if n.addCall(c) {
		by.name += " slowly"
		emit(by, n)
	}
}

func (m *Model) onAnswer(s *state, c *call, answered bool) {
	e := &s.entries[c.by]
	b := &e.members[c.exec]
	switch {
	case c.kind == startCall:
		m.onStarted(s, e, c, answered)
	case b.born != c.born: // this incarnation was replaced
	case answered:
		m.onPolled(s, e, c)
	default:
		m.pollFailed(b, c, s.now, false)
	}
}

// execute carries out a call at its executor, whatever incarnation that is by now.
func (m *Model) execute(s *state, c *call) {
	x := &s.execs[c.exec]
	lower := fenceOf(c.token, c.raises) < fenceOf(x.token, x.raises)
	switch {
	case lower && m.mutation != acceptAnyFence:
		c.res = resultFence
	case c.kind == startCall:
		c.res = m.executeStart(s, x, c)
	default:
		m.executePoll(s, x, c)
	}
	if !lower {
		x.token, x.raises = c.token, c.raises
	} else if c.res != resultFence {
		s.broken |= Fence
	}
	s.answered(c.exec)
	if c.carriedOut = true; !c.waiting {
		*c = call{}
	}
}

// extendLease extends the lease of all runs on an executor.
func (m *Model) extendLease(s *state, x *executor, deadline int32) {
	if deadline > 0 {
		x.lease = max(x.lease, min(deadline, millis(m.clock(x, s.now)+maxLease)))
	}
}

func (m *Model) executeStart(s *state, x *executor, c *call) result {
	if m.clock(x, s.now) >= duration(c.deadline) {
		return resultLate
	}
	m.extendLease(s, x, c.deadline)
	c.clock = millis(m.clock(x, s.now))
	t := c.task
	if c.attempt <= x.top[t] {
		return resultOld
	}
	if x.running[t] == c.attempt {
		return resultOK
	}
	if s.noted[t] {
		s.broken |= Twice
	}
	for i := range s.execs {
		o := &s.execs[i]
		if o.running[t] != 0 {
			s.broken |= Twice
		}
		for d := range o.ends {
			if o.ends[d].task == t && o.ends[d].done && !o.ends[d].void {
				o.ends[d].restarted = true
			}
		}
	}
	if s.caller.tries > 0 && s.caller.via == 0 && !s.caller.open {
		s.broken |= Refused
	}
	x.running[t] = c.attempt
	m.checkLimit(s)
	return resultOK
}

func (m *Model) executePoll(s *state, x *executor, c *call) {
	m.extendLease(s, x, c.deadline)
	for d := range x.ends {
		n := &x.ends[d]
		if n.seq == 0 || n.seq > c.ack {
			continue
		}
		if n.done && !n.void {
			s.noted[n.task] = true
			if n.restarted {
				s.broken |= Twice
			}
		}
		*n = end{}
	}
	c.answerBorn, c.clock, c.running = x.born, millis(m.clock(x, s.now)), x.running
	c.ends, c.full = m.listEnds(x)
}

// listEnds returns the first ends of an executor, and whether that may not be all of them.
func (m *Model) listEnds(x *executor) ([maxEnds]end, bool) {
	out := x.ends
	slices.SortFunc(out[:], func(a, b end) int { return cmp.Compare(a.seq, b.seq) })
	n := 0
	for d := range out {
		if out[d].seq == 0 || m.page > 0 && n == m.page {
			out[d] = end{}
			continue
		}
		n++
		out[d].void, out[d].restarted = false, false
	}
	return out, m.page > 0 && n == m.page
}
