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

func (s *sim) chance(percent int) bool { return s.IntN(100) < percent }

func (s *sim) randomDelay(most time.Duration) time.Duration {
	return time.Duration(s.Int64N(int64(most)))
}

// after schedules f after a delay of up to 150 ms, or of up to 3 s in 3% of the calls.
func (s *sim) after(f func()) {
	d := s.randomDelay(150 * time.Millisecond)
	if s.chance(3) {
		d = s.randomDelay(3 * time.Second)
	}
	at := (s.now + d).Truncate(step) + step
	s.scheduled[at] = append(s.scheduled[at], f)
}

// deliver delivers a message to a node unless the link is cut. The message waits while the
// node is paused, and is lost if the node has another incarnation by then.
func (s *sim) deliver(n *node, from string, f func()) {
	v := n.View
	if n.cutLinks[from] {
		return
	}
	s.after(func() {
		n.inbox = append(n.inbox, func() {
			if n.up && n.View == v {
				f()
			}
		})
	})
}

// append appends a record to the log after a delay, unless the node is cut off from it.
func (s *sim) append(n *node, r *recpb.Record, done func(uint64)) {
	if n.cutLinks["log"] {
		return
	}
	s.lastID++
	r.Id, r.Schema = binary.BigEndian.AppendUint64(make([]byte, 8), s.lastID), state.Schema
	s.after(func() {
		offset := uint64(len(s.states))
		next, v := s.states[offset-1].Apply(offset, r)
		s.states = append(s.states, next)
		if f := r.GetFence(); f != nil && v.OK() {
			s.fenced[state.Incarnation{Name: f.Name, Number: f.Incarnation}] = true
			s.fences++
		}
		if done != nil && v.OK() {
			done(offset)
		}
	})
}

func (s *sim) advance(n *node, offset uint64) {
	if offset > n.offset {
		n.offset = offset
		n.Update(s.now, s.states[offset])
	}
}

// start joins a node with a new incarnation. The node runs once its join is accepted.
func (s *sim) start(n *node) {
	id := state.Incarnation{Name: n.name, Number: s.Uint64() | 1}
	r := &recpb.Join{Name: id.Name, Incarnation: id.Number, Addr: "a"}
	s.append(n, &recpb.Record{Body: &recpb.Record_Join{Join: r}}, func(offset uint64) {
		n.View, n.offset, n.up = New(id), 0, true
		s.advance(n, offset)
	})
}

func (s *sim) gossip(n *node) {
	for range 2 {
		p, sent := s.nodes[s.IntN(len(s.nodes))], s.now
		if p == n || !p.up {
			continue
		}
		s.deliver(p, n.name, func() {
			d := p.Digest(s.now)
			s.deliver(n, p.name, func() {
				n.RecordReply(sent, d)
				if s.chance(50) {
					s.advance(n, d.Applied)
				}
			})
		})
	}
}

func (s *sim) readLog(n *node) {
	issued := s.now
	if n.cutLinks["log"] {
		return
	}
	s.after(func() {
		head := uint64(len(s.states) - 1)
		s.deliver(n, "log", func() {
			s.advance(n, head)
			n.RecordLogRead(issued)
		})
	})
}

func (s *sim) evictAndFence(n *node) {
	for _, id := range n.Suspects(s.now) {
		s.append(n, &recpb.Record{Body: &recpb.Record_Evict{Evict: &recpb.Evict{Name: id.Name, Incarnation: id.Number}}}, nil)
	}
	for _, id := range n.FenceCandidates(s.now) {
		s.append(n, &recpb.Record{Body: &recpb.Record_Fence{Fence: &recpb.Fence{Name: id.Name, Incarnation: id.Number}}}, nil)
	}
}

// injectFault pauses, stops or cuts off a node, partitions the nodes, or ends all cuts.
func (s *sim) injectFault() {
	n := s.nodes[s.IntN(len(s.nodes))]
	switch s.IntN(7) {
	case 0:
		n.pausedUntil = s.now + s.randomDelay(10*time.Second)
	case 1:
		n.cutLinks["log"] = !n.cutLinks["log"]
	case 2:
		p := s.nodes[s.IntN(len(s.nodes))]
		n.cutLinks[p.name] = !n.cutLinks[p.name]
	case 3:
		if n.up && s.chance(50) {
			id := n.self
			s.append(n, &recpb.Record{Body: &recpb.Record_Leave{Leave: &recpb.Leave{Name: id.Name, Incarnation: id.Number}}}, nil)
			n.up = false
		}
	case 4:
		for _, o := range s.nodes {
			clear(o.cutLinks)
		}
	default:
		s.partition()
	}
}

// partition cuts the nodes into two groups. With a chance of two thirds one of them is cut
// off from the log too.
func (s *sim) partition() {
	side, log := s.Uint64(), s.IntN(3)
	for a, n := range s.nodes {
		clear(n.cutLinks)
		for b, p := range s.nodes {
			if side>>a&1 != side>>b&1 {
				n.cutLinks[p.name] = true
			}
		}
		if log > 0 && side>>a&1 == 0 {
			n.cutLinks["log"] = true
		}
	}
}

func (s *sim) runNode(n *node, tick int) {
	if n.pausedUntil > s.now {
		return
	}
	work := n.inbox
	n.inbox = nil
	for _, f := range work {
		f()
	}
	if !n.up {
		if s.chance(2) {
			s.start(n)
		}
		return
	}
	if !isMember(s.states[n.offset], n.self) {
		n.up = false
		return
	}
	if tick%5 == 0 {
		s.gossip(n)
		s.readLog(n)
		s.evictAndFence(n)
	}
}

func newSim(seed uint64) *sim {
	return &sim{
		Rand: rand.New(rand.NewPCG(seed, 1)), states: []*state.State{state.New()},
		fenced: map[state.Incarnation]bool{}, scheduled: map[time.Duration][]func(){},
	}
}

func (s *sim) addNode() {
	n := &node{name: fmt.Sprint("e", len(s.nodes)), cutLinks: map[string]bool{}, View: New(state.Incarnation{})}
	s.nodes = append(s.nodes, n)
	s.start(n)
}

// tick simulates one step and returns the nodes that may send work.
func (s *sim) tick() (sending []*node) {
	for _, f := range s.scheduled[s.now] {
		f()
	}
	delete(s.scheduled, s.now)
	for _, n := range s.nodes {
		s.runNode(n, int(s.now/step)-1)
	}
	for _, n := range s.nodes {
		if n.up && n.IsConfirmed(s.now) {
			sending = append(sending, n)
		}
	}
	return sending
}

// simulate runs nodes with random faults and fails the test if a node is fenced and still
// has a confirmed view. It returns the numbers of fences and of confirmed views.
func simulate(t assert.TestingT, seed uint64, maxSteps int) (fences, confirmed int) {
	s := newSim(seed)
	faultInterval := 20 + s.IntN(200)
	for range maxSteps {
		s.now += step
		if len(s.nodes) < 5 || len(s.nodes) < 9 && s.chance(1) {
			s.addNode()
		}
		if s.IntN(faultInterval) == 0 {
			s.injectFault()
		}
		for _, n := range s.tick() {
			assert.Assert(t, !s.fenced[n.self], "seed %d: %v sends at %v after its fence", seed, n.self, s.now)
			confirmed++
		}
	}
	return s.fences, confirmed
}

// TestLogOutage guards against entries that stop sending in a log outage although a
// majority is in contact, and against an entry that sends for longer than the view lease
// after it was cut off from the others.
func TestLogOutage(t *testing.T) {
	s := newSim(1)
	for range 5 {
		s.addNode()
	}
	run := func(d time.Duration) (sending []*node) {
		for end := s.now + d; s.now < end; {
			s.now += step
			sending = s.tick()
			assert.Assert(t, s.now < 5*time.Second || len(sending) >= 4, "%d entries send at %v", len(sending), s.now)
		}
		return sending
	}
	assert.Equal(t, len(run(10*time.Second)), 5)
	for _, n := range s.nodes {
		n.cutLinks["log"] = true
	}
	assert.Equal(t, len(run(10*time.Minute)), 5)
	for _, n := range s.nodes {
		n.cutLinks["e0"], s.nodes[0].cutLinks[n.name] = true, true
	}
	assert.Assert(t, !slices.Contains(run(ViewLease+step), s.nodes[0]))
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
