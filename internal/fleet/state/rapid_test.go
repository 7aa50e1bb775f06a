package state

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"chervilgauge.example/chervilgauge/internal/fleet/budget"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// recordGen generates random records that are mostly valid in a state. It draws uniform
// numbers of its own, because rapid prefers small ones, which would leave most rules
// untested.
type recordGen struct {
	*rand.Rand
	s *State
}

func (h recordGen) name(kind string, n int) string { return fmt.Sprint(kind, h.IntN(n)) }

func (h recordGen) chance(percent int) bool { return h.IntN(100) < percent }

func (h recordGen) upTo(n uint64) uint64 { return h.Uint64N(n + 1) }

// maybeWrong returns the value, or in 4% of the calls a random one.
func (h recordGen) maybeWrong(v uint64) uint64 {
	if h.chance(4) {
		return h.upTo(9)
	}
	return v
}

// setup returns the records that create a team, two members, three pools and their
// instances.
func (h recordGen) setup() []proto.Message {
	all := []proto.Message{&recpb.Team{Name: "t0", Weight: 1}, joinRecord("e0", 1), joinRecord("e1", 2)}
	for n := range 3 {
		b := &recpb.Budget{Total: 1 + uint32(h.upTo(2)), Rack: uint32(h.upTo(2)), Centre: uint32(h.upTo(2))}
		all = append(all, &recpb.Pool{Name: fmt.Sprint("p", n), Budget: b, Spare: h.chance(40)})
	}
	for n := range 7 {
		i := instanceRecord(fmt.Sprint("i", n), h.name("p", 3))
		i.Rack, i.Centre = h.name("r", 2), h.name("c", 2)
		all = append(all, i, healthUp(i.Name, 1))
	}
	return all
}

func (h recordGen) edit(version uint64, remove int) *recpb.Edit {
	e := &recpb.Edit{Base: h.maybeWrong(version), Remove: version > 0 && h.chance(remove)}
	if h.chance(20) {
		e.Change = h.name("change", 300)
	}
	return e
}

func (h recordGen) inst() (string, *Instance, *Grant) {
	name := h.name("i", 7)
	i, ok := h.s.Instance(name)
	if !ok {
		i = &Instance{Name: name, Pool: h.name("p", 3)}
	}
	if i.Grant == nil {
		return name, i, &Grant{}
	}
	return name, i, i.Grant
}

// granted returns the first instance under a grant, so that grants make progress. If there
// is none, it returns its arguments.
func (h recordGen) granted(name string, i *Instance, g *Grant) (string, *Instance, *Grant) {
	for o := range h.s.Instances() {
		if o.Grant != nil {
			return o.Name, o, o.Grant
		}
	}
	return name, i, g
}

func (h recordGen) member() Incarnation {
	name := h.name("e", 4)
	if m, ok := h.s.Member(name); ok && h.chance(90) {
		return m.Incarnation
	}
	return Incarnation{name, h.upTo(9)}
}

func (h recordGen) drawBody() proto.Message {
	name, i, g := h.inst()
	if h.chance(40) {
		name, i, g = h.granted(name, i, g)
	}
	m := h.member()
	w, ok := h.s.Wave(h.name("w", 2))
	if !ok {
		w = &Wave{Name: h.name("w", 2)}
	}
	j, ok := h.s.Job(h.name("j", 3))
	if !ok {
		j = &Job{Name: h.name("j", 3)}
	}
	var wave, target string
	if h.chance(40) {
		wave = w.Name
	}
	if wave == "" && h.chance(50) {
		target = h.name("p", 3)
	}
	switch kind := h.IntN(42); kind {
	case 0:
		n := h.name("p", 3)
		p, ok := h.s.Pool(n)
		if !ok {
			p = &Pool{}
		}
		b := &recpb.Budget{Total: uint32(h.upTo(3)), Rack: uint32(h.upTo(2)), Centre: uint32(h.upTo(2))}
		return &recpb.Pool{Edit: h.edit(p.Version, 10), Name: n, Budget: b, Spare: h.chance(40)}
	case 2:
		v, _ := h.s.Service("s0")
		if v == nil {
			v = &Service{}
		}
		return &recpb.Service{Edit: h.edit(v.Version, 50), Name: "s0", Pool: h.name("p", 3), Weight: uint32(h.upTo(3))}
	case 3:
		v, _ := h.s.Team("t0")
		if v == nil {
			v = &Team{}
		}
		return &recpb.Team{Edit: h.edit(v.Version, 5), Name: "t0", Weight: uint32(h.upTo(3))}
	case 1, 4, 5:
		in := &recpb.Instance{Edit: h.edit(i.Version, 20), Name: name, Pool: i.Pool, Addr: "a", Rack: h.name("r", 2), Centre: h.name("c", 2)}
		if i.Version > 0 && h.chance(50) {
			in.Rack, in.Centre = i.Rack, i.Centre
		}
		return in
	case 7, 8:
		return &recpb.Join{Name: m.Name, Incarnation: m.Number, Addr: h.name("a", 2)}
	case 9:
		return &recpb.Leave{Name: m.Name, Incarnation: m.Number}
	case 10:
		return &recpb.Evict{Name: m.Name, Incarnation: m.Number}
	case 11:
		return &recpb.Fence{Name: m.Name, Incarnation: m.Number}
	case 6, 12, 13, 14, 15:
		return &recpb.Health{Name: name, Up: h.chance(80), Boot: h.maybeWrong(i.Boot + h.upTo(1))}
	case 16, 17, 18:
		return &recpb.Drain{Edit: h.edit(i.Version, 0), Name: name, Wave: wave, Target: target}
	case 19, 20, 31, 32:
		if len(g.Waiting) > 0 && h.chance(90) {
			m = g.Waiting[0]
		}
		return &recpb.Drained{Name: name, Grant: h.maybeWrong(g.Offset), Member: m.Name, Incarnation: m.Number}
	case 21, 33:
		return &recpb.Restart{Name: name, Grant: h.maybeWrong(g.Offset)}
	case 22, 34:
		return &recpb.Back{Name: name, Grant: h.maybeWrong(g.Offset), Boot: h.maybeWrong(i.Boot + h.upTo(1))}
	case 23, 24:
		return &recpb.Moved{Name: name, Grant: h.maybeWrong(g.Offset)}
	case 25:
		return &recpb.Cancel{Edit: h.edit(i.Version, 0), Name: name, Grant: h.maybeWrong(g.Offset)}
	case 26, 27, 36:
		if w.Version == 0 {
			return &recpb.Wave{Edit: h.edit(0, 0), Name: w.Name, Pools: []string{h.name("p", 3), "p0"}, Order: recpb.Wave_START, Limit: uint32(h.upTo(3))}
		}
		order := recpb.Wave_Order(h.IntN(6))
		return &recpb.Wave{Edit: h.edit(w.Version, 10), Name: w.Name, Pools: []string{h.name("p", 3), "p0"}, Order: order, Limit: uint32(h.upTo(2))}
	case 28, 37:
		return &recpb.Step{Wave: w.Name, Name: name, Failed: h.chance(50)}
	case 29:
		return &recpb.Lease{Holder: m.Name, Incarnation: m.Number, Prev: h.maybeWrong(h.s.Lease().Offset * h.upTo(1))}
	case 30, 38:
		return &recpb.Job{Edit: h.edit(j.Version, 30), Name: j.Name, Team: "t0", Idempotent: h.chance(50)}
	}
	if j.Phase == Placed && h.chance(60) {
		return &recpb.Ended{Job: j.Name, Token: h.maybeWrong(j.Token), Failed: h.chance(50)}
	}
	return &recpb.Placed{Job: j.Name, Worker: name, Prev: h.maybeWrong(j.Token)}
}

// record generates a record, at times a repeated, a newer or a malformed one.
func (h recordGen) record(id uint64, earlier []*recpb.Record) *recpb.Record {
	switch n := h.IntN(100); {
	case n < 5 && len(earlier) > 0:
		return earlier[h.IntN(len(earlier))]
	case n == 5:
		return &recpb.Record{Schema: Schema + 1}
	case n == 6:
		return nil
	case n == 7:
		return &recpb.Record{Id: make([]byte, idLen)}
	case n == 8:
		return newRecord(id, &recpb.Snapshot{})
	}
	return newRecord(id, h.drawBody())
}

// checkInvariants checks the properties that every record must preserve: a consistent
// state, no planned action beyond the budget, each instance in exactly one pool, and no
// change by a record that is not accepted.
func checkInvariants(t *rapid.T, before, after *State, r *recpb.Record, v Verdict) {
	assert.Equal(t, after.findInconsistency(), "")
	planned := r.GetHealth() == nil && r.GetInstance() == nil
	for i := range after.Instances() {
		p, _ := after.Pool(i.Pool)
		was, is := before.Counts(i), after.Counts(i)
		within := func(was, is budget.Count, limit uint32) {
			now := is.Unavailable() - is.Arriving
			more := now > was.Unavailable()-was.Arriving
			assert.Assert(t, !planned || !more || limit == 0 || now <= limit, "%v exceeds the budget", r)
		}
		within(was.Pool, is.Pool, p.Budget.Total)
		within(was.Rack, is.Rack, p.Budget.Rack)
		within(was.Centre, is.Centre, p.Budget.Centre)
	}
	total := 0
	for p := range after.Pools() {
		total += len(slices.Collect(after.InstancesOf(p.Name)))
	}
	assert.Equal(t, total, len(slices.Collect(after.Instances())))
	if v.Kind != Accepted {
		a, b := *before, *after
		b.applied, b.ids, b.changes, b.skipped = a.applied, a.ids, a.changes, a.skipped
		assert.Equal(t, a.Hash(), b.Hash(), "a record that was not accepted changed the state")
	}
}

// TestAgainstBaseline guards against verdicts and homes of instances that differ from those
// of a replay of all records, against repeated records that change the state, against
// accepted drains beyond the budget, and against a state restored from a snapshot that
// judges records otherwise than the original.
func TestAgainstBaseline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var n baseline
		var earlier []*recpb.Record
		s, restored := New(), New()
		h := recordGen{rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), s}
		setup := h.setup()
		for at := range uint64(150) {
			at, r := at+1, h.record(at+1, earlier)
			if int(at) <= len(setup) {
				r = newRecord(at, setup[at-1])
			}
			earlier = append(earlier, r)
			next, v := s.Apply(at, r)
			assert.Equal(t, v, n.apply(at, r), "offset %d: %v", at, r)
			checkInvariants(t, s, next, r, v)
			if at%50 == 20 {
				restored = reload(t, s)
			}
			if at >= 20 {
				restored, v = restored.Apply(at, r)
				assert.Equal(t, v, n.entries[at-1].v)
				assert.Equal(t, restored.Hash(), next.Hash())
			}
			again, v := next.Apply(at, r)
			assert.Assert(t, again == next && v == refused(OutOfOrder))
			s, h.s = next, next
		}
		w := n.replay()
		for i := range s.Instances() {
			assert.Equal(t, i.Home, w.homeOf[i.Name], i.Name)
		}
	})
}

// reload returns a state restored from the snapshot parts of another.
func reload(t assert.TestingT, s *State) *State {
	var c Collector
	parts := s.Parts(100)
	for at, p := range parts {
		got, err := c.Add(p)
		assert.NilError(t, err)
		assert.Equal(t, got != nil, at == len(parts)-1)
		if got != nil {
			return got
		}
	}
	return nil
}

// FuzzApply guards against panics, inconsistent states and differing verdicts on arbitrary
// records.
func FuzzApply(f *testing.F) {
	seed, _ := proto.Marshal(newRecord(99, &recpb.Drain{Name: "a", Edit: &recpb.Edit{Base: 3}}))
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r recpb.Record
		if proto.Unmarshal(data, &r) != nil {
			return
		}
		c := newFleet(t)
		s, first := c.s.Apply(c.offset+1, &r)
		_, again := c.s.Apply(c.offset+1, &r)
		assert.Equal(t, first, again)
		assert.Equal(t, s.findInconsistency(), "")
	})
}

// FuzzDecode guards against panics of Decode, against bytes that decode although they are
// not the canonical encoding, and against decoded states on which Apply panics. Run it with
// -fuzzminimizetime 5x, because it spends its time on minimizing the long inputs otherwise.
func FuzzDecode(f *testing.F) {
	h := recordGen{rand.New(rand.NewPCG(1, 0)), New()}
	setup := h.setup()
	for at := range uint64(90) {
		r := h.record(at+1, nil)
		if int(at) < len(setup) {
			r = newRecord(at+1, setup[at])
		}
		h.s, _ = h.s.Apply(at+1, r)
		if at%30 == 29 {
			f.Add(h.s.Encode())
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		assert.Equal(t, string(s.Encode()), string(data))
		h := recordGen{rand.New(rand.NewPCG(uint64(len(data)), 0)), s}
		for at := s.Applied() + 1; at != 0 && at <= s.Applied()+50; at++ {
			h.s, _ = h.s.Apply(at, h.record(at, nil))
			assert.Equal(t, h.s.findInconsistency(), "")
		}
	})
}
