package check

import (
	"chervilgauge.example/chervilgauge/internal/serve/agent"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// expand passes all successors of a state to emit.
func (m *KeyModel) expand(s keyState, emit func(step, keyState)) {
	if int(s.now) < m.limits.Ticks {
		n := s
		n.now++
		for i := range m.entries {
			if e := &n.entries[i]; e.suspended && m.sleepingClocks {
				e.slept++
			}
		}
		emit(step{"time", uint8(n.now), 0, 0}, n)
	}
	if int(s.written) < len(m.script) {
		n := s
		if m.script[n.written] == FewerKeys && n.removedAt == never {
			n.removedAt = n.now
		}
		n.written++
		emit(step{"write", uint8(n.written), 0, 0}, n)
	}
	for i := range m.entries {
		m.stepProcess(s, i, emit)
		m.stepRead(s, i, emit)
		m.stepAsk(s, i, emit)
	}
}

// stepProcess adds restarts and suspensions.
func (m *KeyModel) stepProcess(s keyState, i int, emit func(step, keyState)) {
	if int(s.used.restarts) < m.limits.Restarts {
		n := s
		n.used.restarts++
		n.entries[i] = keyEntry{from: -1, asOf: never, born: s.now}
		emit(step{"restart", uint8(i), 0, 0}, n)
	}
	n := s
	switch e := &n.entries[i]; {
	case e.suspended:
		e.suspended = false
		emit(step{"resume", uint8(i), 0, 0}, n)
	case int(s.used.suspend) < m.limits.Suspend:
		e.suspended = true
		n.used.suspend++
		emit(step{"suspend", uint8(i), 0, 0}, n)
	}
}

// stepRead adds the steps of reads of the store.
func (m *KeyModel) stepRead(s keyState, i int, emit func(step, keyState)) {
	e := &s.entries[i]
	send := func(gone int8) {
		n := s
		n.used.reads++
		n.used.gone += gone
		n.entries[i].read = keyCall{pending: true, sent: s.now, sentLocal: m.local(&s, i), list: gone > 0 || e.from < 0, end: s.written}
		emit(step{"read", uint8(i), uint8(gone), 0}, n)
	}
	switch {
	case e.suspended:
		return
	case e.read.pending:
		for _, end := range m.ends(&s, i)[1:] {
			n := s
			o, st := m.restore(&n, i)
			m.receiveRead(&n, i, end, o, st)
			m.save(&n, i, o)
			emit(step{"read answered", uint8(i), uint8(end), 0}, n)
		}
	case int(s.used.reads) < m.limits.Reads && (m.limits.Readers == 0 || i < m.limits.Readers):
		send(0)
		if e.from >= 0 && int(s.used.gone) < m.limits.Gone {
			send(1)
		}
	}
	if e.read.pending && !e.suspended && int(s.used.lost) < m.limits.Lost {
		n := s
		n.used.lost++
		n.entries[i].read = keyCall{}
		emit(step{"read given up", uint8(i), 0, 0}, n)
	}
}

// stepAsk adds the steps of requests to other entries.
func (m *KeyModel) stepAsk(s keyState, i int, emit func(step, keyState)) {
	e := &s.entries[i]
	switch {
	case e.ask.pending && !e.ask.done:
		if to := int(e.ask.to); !s.entries[to].suspended {
			for _, end := range m.ends(&s, to) {
				m.carryOutAsk(s, i, end, emit)
			}
		}
	case e.suspended:
		return
	case e.ask.done:
		n := s
		m.receiveDigest(&n, i)
		emit(step{"ask answered", uint8(i), 0, 0}, n)
	case int(s.used.asks) < m.limits.Asks && i < m.limits.Askers:
		for to := range m.entries {
			if to == i {
				continue
			}
			n := s
			n.used.asks++
			c := keyCall{pending: true, sent: s.now, sentLocal: m.local(&s, i), to: int8(to)}
			if cfg := e.orders.Config; cfg != nil {
				c.above = cfg.Version
			}
			n.entries[i].ask = c
			emit(step{"ask", uint8(i), uint8(to), 0}, n)
		}
	}
	if e.ask.pending && !e.suspended && int(s.used.lost) < m.limits.Lost {
		n := s
		n.used.lost++
		n.entries[i].ask = keyCall{}
		emit(step{"ask given up", uint8(i), 0, 0}, n)
	}
}

// carryOutAsk has the other entry answer. With end above 0, the answer to its read arrives meanwhile.
func (m *KeyModel) carryOutAsk(s keyState, i int, end int8, emit func(step, keyState)) {
	n := s
	c := &n.entries[i].ask
	to := int(c.to)
	o, st := m.restore(&n, to)
	asOf := n.entries[to].asOf
	if end > 0 {
		st.clk.before = func() { m.receiveRead(&n, to, end, o, st) }
	}
	d := agent.ConfigDigest(o, c.above)
	m.save(&n, to, o)
	if len(d.Config) > 0 {
		c.version = n.entries[to].orders.Config.Version
	}
	c.done, c.view, c.asOf = true, relay.EncodeDigest(d).GetView(), never
	if asOf != never {
		c.asOf = c.sent - (s.now - asOf)
	}
	by := step{"ask carried out", uint8(i), uint8(to), uint8(end)}
	if end > 0 {
		by.name = "ask carried out during answer"
	}
	emit(by, n)
	if m.earlier && c.view != 0 {
		c.view, c.asOf, by.name = 0, never, by.name+" by an earlier version"
		emit(by, n)
	}
}

// receiveDigest has an entry receive the answer to its request.
func (m *KeyModel) receiveDigest(s *keyState, i int) {
	e := &s.entries[i]
	c := e.ask
	e.ask = keyCall{}
	o, st := m.restore(s, i)
	st.clk.now = c.sentLocal
	err := agent.FetchConfig(o, st.clk, func() (relay.Digest, error) {
		st.clk.now = m.local(s, i)
		out := &workpb.DigestReply{View: c.view}
		if c.version > 0 {
			out.Config = *m.known[c.version].Raw
		}
		return relay.DecodeDigest(out), nil
	})
	if err != nil {
		panic(err) // all configurations of entries can be decoded
	}
	m.save(s, i, o)
	e.asOf = max(e.asOf, c.asOf)
}
