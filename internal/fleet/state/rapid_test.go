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

func (gen recordGen) name(kind string, n int) string { return fmt.Sprint(kind, gen.IntN(n)) }

func (gen recordGen) chance(percent int) bool { return gen.IntN(100) < percent }

func (gen recordGen) upTo(n uint64) uint64 { return gen.Uint64N(n + 1) }

// maybeWrong returns the value, or in 4% of the calls a random one.
func (gen recordGen) maybeWrong(v uint64) uint64 {
	if gen.chance(4) {
		return gen.upTo(9)
	}
	return v
}

// setup returns the records that create a team, two members, three pools and their
// instances.
func (gen recordGen) setup() []proto.Message {
	all := []proto.Message{&recpb.Team{Name: "t0", Weight: 1}, joinRecord("e0", 1), joinRecord("e1", 2)}
	for n := range 3 {
		b := &recpb.Budget{Total: 1 + uint32(gen.upTo(2)), Rack: uint32(gen.upTo(2)), Centre: uint32(gen.upTo(2))}
		all = append(all, &recpb.Pool{Name: fmt.Sprint("p", n), Budget: b, Spare: gen.chance(40)})
	}
	for n := range 7 {
		i := instanceRecord(fmt.Sprint("i", n), gen.name("p", 3))
		i.Rack, i.Centre = gen.name("r", 2), gen.name("c", 2)
		all = append(all, i, healthUp(i.Name, 1))
	}
	return all
}

func (gen recordGen) edit(version uint64, remove int) *recpb.Edit {
	e := &recpb.Edit{Base: gen.maybeWrong(version), Remove: version > 0 && gen.chance(remove)}
	if gen.chance(20) {
		e.Change = gen.name("change", 300)
	}
	return e
}

func (gen recordGen) inst() (string, *Instance, *Grant) {
	name := gen.name("i", 7)
	i, ok := gen.s.Instance(name)
	if !ok {
		i = &Instance{Name: name, Pool: gen.name("p", 3)}
	}
	if i.Grant == nil {
		return name, i, &Grant{}
	}
	return name, i, i.Grant
}

// granted returns the first instance under a grant, so that grants make progress. If there
// is none, it returns its arguments.
func (gen recordGen) granted(name string, i *Instance, g *Grant) (string, *Instance, *Grant) {
	for o := range gen.s.Instances() {
		if o.Grant != nil {
			return o.Name, o, o.Grant
		}
	}
	return name, i, g
}

func (gen recordGen) member() Incarnation {
	name := gen.name("e", 4)
	if m, ok := gen.s.Member(name); ok && gen.chance(90) {
		return m.Incarnation
	}
	return Incarnation{name, gen.upTo(9)}
}

func (gen recordGen) drawBody() proto.Message {
	name, i, g := gen.inst()
	if gen.chance(40) {
		name, i, g = gen.granted(name, i, g)
	}
	m := gen.member()
	w, ok := gen.s.Wave(gen.name("w", 2))
	if !ok {
		w = &Wave{Name: gen.name("w", 2)}
	}
	j, ok := gen.s.Job(gen.name("j", 3))
	if !ok {
		j = &Job{Name: gen.name("j", 3)}
	}
	var wave, target string
	if gen.chance(40) {
		wave = w.Name
	}
	if wave == "" && gen.chance(50) {
		target = gen.name("p", 3)
	}
	switch kind := gen.IntN(42); kind {
	case 0:
		n := gen.name("p", 3)
		p, ok := gen.s.Pool(n)
		if !ok {
			p = &Pool{}
		}
		b := &recpb.Budget{Total: uint32(gen.upTo(3)), Rack: uint32(gen.upTo(2)), Centre: uint32(gen.upTo(2))}
		return &recpb.Pool{Edit: gen.edit(p.Version, 10), Name: n, Budget: b, Spare: gen.chance(40)}
	case 2:
		v, _ := gen.s.Service("s0")
		if v == nil {
			v = &Service{}
		}
		return &recpb.Service{Edit: gen.edit(v.Version, 50), Name: "s0", Pool: gen.name("p", 3), Weight: uint32(gen.upTo(3))}
	case 3:
		v, _ := gen.s.Team("t0")
		if v == nil {
			v = &Team{}
		}
		return &recpb.Team{Edit: gen.edit(v.Version, 5), Name: "t0", Weight: uint32(gen.upTo(3))}
	case 1, 4, 5:
		in := &recpb.Instance{Edit: gen.edit(i.Version, 20), Name: name, Pool: i.Pool, Addr: "a", Rack: gen.name("r", 2), Centre: gen.name("c", 2)}
		if i.Version > 0 && gen.chance(50) {
			in.Rack, in.Centre = i.Rack, i.Centre
		}
		return in
	case 7, 8:
		return &recpb.Join{Name: m.Name, Incarnation: m.Number, Addr: gen.name("a", 2)}
	case 9:
		return &recpb.Leave{Name: m.Name, Incarnation: m.Number}
	case 10:
		return &recpb.Evict{Name: m.Name, Incarnation: m.Number}
	case 11:
		return &recpb.Fence{Name: m.Name, Incarnation: m.Number}
	case 6, 12, 13, 14, 15:
		return &recpb.Health{Name: name, Up: gen.chance(80), Boot: gen.maybeWrong(i.Boot + gen.upTo(1))}
	case 16, 17, 18:
		return &recpb.Drain{Edit: gen.edit(i.Version, 0), Name: name, Wave: wave, Target: target}
	case 19, 20, 31, 32:
		if len(g.Waiting) > 0 && gen.chance(90) {
			m = g.Waiting[0]
		}
		return &recpb.Drained{Name: name, Grant: gen.maybeWrong(g.Offset), Member: m.Name, Incarnation: m.Number}
	case 21, 33:
		return &recpb.Restart{Name: name, Grant: gen.maybeWrong(g.Offset)}
	case 22, 34:
		return &recpb.Back{Name: name, Grant: gen.maybeWrong(g.Offset), Boot: gen.maybeWrong(i.Boot + gen.upTo(1))}
	case 23, 24:
		return &recpb.Moved{Name: name, Grant: gen.maybeWrong(g.Offset)}
	case 25:
		return &recpb.Cancel{Edit: gen.edit(i.Version, 0), Name: name, Grant: gen.maybeWrong(g.Offset)}
	case 26, 27, 36:
		if w.Version == 0 {
			return &recpb.Wave{Edit: gen.edit(0, 0), Name: w.Name, Pools: []string{gen.name("p", 3), "p0"}, Order: recpb.Wave_START, Limit: uint32(gen.upTo(3))}
		}
		order := recpb.Wave_Order(gen.IntN(6))
		return &recpb.Wave{Edit: gen.edit(w.Version, 10), Name: w.Name, Pools: []string{gen.name("p", 3), "p0"}, Order: order, Limit: uint32(gen.upTo(2))}
	case 28, 37:
		return &recpb.Step{Wave: w.Name, Name: name, Failed: gen.chance(50)}
	case 29:
		return &recpb.Lease{Holder: m.Name, Incarnation: m.Number, Prev: gen.maybeWrong(gen.s.Lease().Offset * gen.upTo(1))}
	case 30, 38:
		return &recpb.Job{Edit: gen.edit(j.Version, 30), Name: j.Name, Team: "t0", Idempotent: gen.chance(50)}
	}
	if j.Phase == Placed && gen.chance(60) {
		return &recpb.Ended{Job: j.Name, Token: gen.maybeWrong(j.Token), Failed: gen.chance(50)}
	}
	return &recpb.Placed{Job: j.Name, Worker: name, Prev: gen.maybeWrong(j.Token)}
}

// record generates a record, at times a repeated, a newer or a malformed one.
func (gen recordGen) record(id uint64, earlier []*recpb.Record) *recpb.Record {
	switch n := gen.IntN(100); {
	case n < 5 && len(earlier) > 0:
		return earlier[gen.IntN(len(earlier))]
	case n == 5:
		return &recpb.Record{Schema: Schema + 1}
	case n == 6:
		return nil
	case n == 7:
		return &recpb.Record{Id: make([]byte, idLen)}
	case n == 8:
		return newRecord(id, &recpb.Snapshot{})
	}
	return newRecord(id, gen.drawBody())
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
		gen := recordGen{rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), s}
		setup := gen.setup()
		for at := range uint64(150) {
			at, r := at+1, gen.record(at+1, earlier)
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
			s, gen.s = next, next
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
	gen := recordGen{rand.New(rand.NewPCG(1, 0)), New()}
	setup := gen.setup()
	for at := range uint64(90) {
		r := gen.record(at+1, nil)
		if int(at) < len(setup) {
			r = newRecord(at+1, setup[at])
		}
		gen.s, _ = gen.s.Apply(at+1, r)
		if at%30 == 29 {
			f.Add(gen.s.Encode())
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		assert.Equal(t, string(s.Encode()), string(data))
		gen := recordGen{rand.New(rand.NewPCG(uint64(len(data)), 0)), s}
		for at := s.Applied() + 1; at != 0 && at <= s.Applied()+50; at++ {
			gen.s, _ = gen.s.Apply(at, gen.record(at, nil))
			assert.Equal(t, gen.s.findInconsistency(), "")
		}
	})
}
