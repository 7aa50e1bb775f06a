package member

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const step = 50 * time.Millisecond

// sim simulates entries and the log, with random message delays and faults.
type sim struct {
	*rand.Rand
	now       time.Duration
	states    []*state.State // by offset
	fenced    map[state.Incarnation]bool
	nodes     []*node
	scheduled map[time.Duration][]func()
	lastID    uint64
	fences    int
}

// node is one entry. It handles no messages while it is paused or stopped.
type node struct {
	*View
	name        string
	offset      uint64
	pausedUntil time.Duration
	up          bool
	inbox       []func()
	cutLinks    map[string]bool // peers whose messages to it are lost, or "log"
}

func (m *sim) chance(percent int) bool { return m.IntN(100) < percent }

func (m *sim) randomDelay(most time.Duration) time.Duration {
	return time.Duration(m.Int64N(int64(most)))
}

// after schedules f after a delay of up to 150 ms, or of up to 3 s in 3% of the calls.
func (m *sim) after(f func()) {
	d := m.randomDelay(150 * time.Millisecond)
	if m.chance(3) {
		d = m.randomDelay(3 * time.Second)
	}
	at := (m.now + d).Truncate(step) + step
	m.scheduled[at] = append(m.scheduled[at], f)
}

// deliver delivers a message to a node unless the link is cut. The message waits while the
// node is paused, and is lost if the node has another incarnation by then.
func (m *sim) deliver(n *node, from string, f func()) {
	v := n.View
	if n.cutLinks[from] {
		return
	}
	m.after(func() {
		n.inbox = append(n.inbox, func() {
			if n.up && n.View == v {
				f()
			}
		})
	})
}

// append appends a record to the log after a delay, unless the node is cut off from it.
func (m *sim) append(n *node, r *recpb.Record, done func(uint64)) {
	if n.cutLinks["log"] {
		return
	}
	m.lastID++
	r.Id, r.Schema = binary.BigEndian.AppendUint64(make([]byte, 8), m.lastID), state.Schema
	m.after(func() {
		offset := uint64(len(m.states))
		s, v := m.states[offset-1].Apply(offset, r)
		m.states = append(m.states, s)
		if f := r.GetFence(); f != nil && v.OK() {
			m.fenced[state.Incarnation{Name: f.Name, Number: f.Incarnation}] = true
			m.fences++
		}
		if done != nil && v.OK() {
			done(offset)
		}
	})
}

func (m *sim) advance(n *node, offset uint64) {
	if offset > n.offset {
		n.offset = offset
		n.Update(m.now, m.states[offset])
	}
}

// start joins a node with a new incarnation. The node runs once its join is accepted.
func (m *sim) start(n *node) {
	id := state.Incarnation{Name: n.name, Number: m.Uint64() | 1}
	r := &recpb.Join{Name: id.Name, Incarnation: id.Number, Addr: "a"}
	m.append(n, &recpb.Record{Body: &recpb.Record_Join{Join: r}}, func(offset uint64) {
		n.View, n.offset, n.up = New(id), 0, true
		m.advance(n, offset)
	})
}

func (m *sim) gossip(n *node) {
	for range 2 {
		p, sent := m.nodes[m.IntN(len(m.nodes))], m.now
		if p == n || !p.up {
			continue
		}
		m.deliver(p, n.name, func() {
			d := p.Digest(m.now)
			m.deliver(n, p.name, func() {
				n.RecordReply(sent, d)
				if m.chance(50) {
					m.advance(n, d.Applied)
				}
			})
		})
	}
}

func (m *sim) readLog(n *node) {
	issued := m.now
	if n.cutLinks["log"] {
		return
	}
	m.after(func() {
		head := uint64(len(m.states) - 1)
		m.deliver(n, "log", func() {
			m.advance(n, head)
			n.RecordLogRead(issued)
		})
	})
}

func (m *sim) evictAndFence(n *node) {
	for _, id := range n.Suspects(m.now) {
		m.append(n, &recpb.Record{Body: &recpb.Record_Evict{Evict: &recpb.Evict{Name: id.Name, Incarnation: id.Number}}}, nil)
	}
	for _, id := range n.FenceCandidates(m.now) {
		m.append(n, &recpb.Record{Body: &recpb.Record_Fence{Fence: &recpb.Fence{Name: id.Name, Incarnation: id.Number}}}, nil)
	}
}

// injectFault pauses, stops or cuts off a node, partitions the nodes, or ends all cuts.
func (m *sim) injectFault() {
	n := m.nodes[m.IntN(len(m.nodes))]
	switch m.IntN(7) {
	case 0:
		n.pausedUntil = m.now + m.randomDelay(10*time.Second)
	case 1:
		n.cutLinks["log"] = !n.cutLinks["log"]
	case 2:
		p := m.nodes[m.IntN(len(m.nodes))]
		n.cutLinks[p.name] = !n.cutLinks[p.name]
	case 3:
		if n.up && m.chance(50) {
			id := n.self
			m.append(n, &recpb.Record{Body: &recpb.Record_Leave{Leave: &recpb.Leave{Name: id.Name, Incarnation: id.Number}}}, nil)
			n.up = false
		}
	case 4:
		for _, o := range m.nodes {
			clear(o.cutLinks)
		}
	default:
		m.partition()
	}
}

// partition cuts the nodes into two groups. With a chance of two thirds one of them is cut
// off from the log too.
func (m *sim) partition() {
	side, log := m.Uint64(), m.IntN(3)
	for a, n := range m.nodes {
		clear(n.cutLinks)
		for b, p := range m.nodes {
			if side>>a&1 != side>>b&1 {
				n.cutLinks[p.name] = true
			}
		}
		if log > 0 && side>>a&1 == 0 {
			n.cutLinks["log"] = true
		}
	}
}

func (m *sim) runNode(n *node, tick int) {
	if n.pausedUntil > m.now {
		return
	}
	work := n.inbox
	n.inbox = nil
	for _, f := range work {
		f()
	}
	if !n.up {
		if m.chance(2) {
			m.start(n)
		}
		return
	}
	if !isMember(m.states[n.offset], n.self) {
		n.up = false
		return
	}
	if tick%5 == 0 {
		m.gossip(n)
		m.readLog(n)
		m.evictAndFence(n)
	}
}

func newSim(seed uint64) *sim {
	return &sim{
		Rand: rand.New(rand.NewPCG(seed, 1)), states: []*state.State{state.New()},
		fenced: map[state.Incarnation]bool{}, scheduled: map[time.Duration][]func(){},
	}
}

func (m *sim) addNode() {
	n := &node{name: fmt.Sprint("e", len(m.nodes)), cutLinks: map[string]bool{}, View: New(state.Incarnation{})}
	m.nodes = append(m.nodes, n)
	m.start(n)
}

// tick simulates one step and returns the nodes that may send work.
func (m *sim) tick() (sending []*node) {
	for _, f := range m.scheduled[m.now] {
		f()
	}
	delete(m.scheduled, m.now)
	for _, n := range m.nodes {
		m.runNode(n, int(m.now/step)-1)
	}
	for _, n := range m.nodes {
		if n.up && n.IsConfirmed(m.now) {
			sending = append(sending, n)
		}
	}
	return sending
}

// simulate runs nodes with random faults and fails the test if a node is fenced and still
// has a confirmed view. It returns the numbers of fences and of confirmed views.
func simulate(t assert.TestingT, seed uint64, maxSteps int) (fences, confirmed int) {
	m := newSim(seed)
	faultInterval := 20 + m.IntN(200)
	for range maxSteps {
		m.now += step
		if len(m.nodes) < 5 || len(m.nodes) < 9 && m.chance(1) {
			m.addNode()
		}
		if m.IntN(faultInterval) == 0 {
			m.injectFault()
		}
		for _, n := range m.tick() {
			assert.Assert(t, !m.fenced[n.self], "seed %d: %v sends at %v after its fence", seed, n.self, m.now)
			confirmed++
		}
	}
	return m.fences, confirmed
}

// TestLogOutage guards against entries that stop sending in a log outage although a
// majority is in contact, and against an entry that sends for longer than the view lease
// after it was cut off from the others.
func TestLogOutage(t *testing.T) {
	m := newSim(1)
	for range 5 {
		m.addNode()
	}
	run := func(d time.Duration) (sending []*node) {
		for end := m.now + d; m.now < end; {
			m.now += step
			sending = m.tick()
			assert.Assert(t, m.now < 5*time.Second || len(sending) >= 4, "%d entries send at %v", len(sending), m.now)
		}
		return sending
	}
	assert.Equal(t, len(run(10*time.Second)), 5)
	for _, n := range m.nodes {
		n.cutLinks["log"] = true
	}
	assert.Equal(t, len(run(10*time.Minute)), 5)
	for _, n := range m.nodes {
		n.cutLinks["e0"], m.nodes[0].cutLinks[n.name] = true, true
	}
	assert.Assert(t, !slices.Contains(run(ViewLease+step), m.nodes[0]))
	assert.Equal(t, len(run(10*time.Minute)), 4)
}

// TestNoSendAfterFence guards against an entry that sends work after its fence, when its
// slots are allocated to others and drained instances are rebooted. Each fixed seed failed
// with one rule removed: reports of evicted members count as evidence, higher offsets of
// other members are ignored, the fence wait is 0.5 s, newer members count in older sets.
func TestNoSendAfterFence(t *testing.T) {
	for _, seed := range []uint64{14566681, 6, 10, 812182} {
		simulate(t, seed, 2000)
	}
	rapid.Check(t, func(t *rapid.T) {
		simulate(t, rapid.Uint64().Draw(t, "seed"), 600)
	})
	fences, confirmed := simulate(t, 1, 10000)
	assert.Assert(t, fences > 10 && confirmed > 10000, "few fences or confirmed views: %d, %d", fences, confirmed)
}
