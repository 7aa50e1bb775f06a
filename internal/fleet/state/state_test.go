package state

import (
	"encoding/binary"
	"fmt"
	"testing"

	"chervilgauge.example/chervilgauge/internal/fleet/budget"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"
)

// stream applies records at consecutive offsets, each with a new id.
type stream struct {
	t      testing.TB
	s      *State
	offset uint64
}

func newStream(t testing.TB) *stream { return &stream{t: t, s: New()} }

func (c *stream) apply(body proto.Message) Verdict {
	c.t.Helper()
	c.offset++
	r := newRecord(c.offset, body)
	var v Verdict
	c.s, v = c.s.Apply(c.offset, r)
	return v
}

func (c *stream) accept(body proto.Message) uint64 {
	c.t.Helper()
	assert.Equal(c.t, c.apply(body), accepted)
	return c.offset
}

func (c *stream) refuse(body proto.Message, reason Reason) {
	c.t.Helper()
	assert.Equal(c.t, c.apply(body), refused(reason))
}

// newRecord returns a record with the body in the field of the oneof that has its type.
func newRecord(id uint64, body proto.Message) *recpb.Record {
	r := &recpb.Record{Id: binary.BigEndian.AppendUint64(make([]byte, 8), id), Schema: Schema}
	fields := r.ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	for at := range fields.Len() {
		if fields.Get(at).Message() == body.ProtoReflect().Descriptor() {
			r.ProtoReflect().Set(fields.Get(at), protoreflect.ValueOfMessage(body.ProtoReflect()))
		}
	}
	return r
}

func poolRecord(name string, total uint32) *recpb.Pool {
	return &recpb.Pool{Name: name, Budget: &recpb.Budget{Total: total}}
}

func instanceRecord(name, pool string) *recpb.Instance {
	return &recpb.Instance{Name: name, Addr: "127.0.0.1:1", Pool: pool, Rack: "r", Centre: "c", Slots: 8, Conns: 64}
}

func healthUp(name string, boot uint64) *recpb.Health {
	return &recpb.Health{Name: name, Up: true, Boot: boot}
}

func joinRecord(name string, n uint64) *recpb.Join {
	return &recpb.Join{Name: name, Incarnation: n, Addr: "127.0.0.1:2"}
}

// drain returns a drain that is based on the current version of the instance.
func (c *stream) drain(name, target string) *recpb.Drain {
	i, ok := c.s.Instance(name)
	if !ok {
		i = &Instance{}
	}
	return &recpb.Drain{Name: name, Target: target, Edit: &recpb.Edit{Base: i.Version}}
}

// newFleet returns a stream with the pools p and q of two instances each and two members.
func newFleet(t testing.TB) *stream {
	c := newStream(t)
	c.accept(poolRecord("p", 1))
	c.accept(poolRecord("q", 1))
	for _, n := range []string{"a", "b"} {
		c.accept(instanceRecord(n, "p"))
		c.accept(instanceRecord(n+n, "q"))
		c.accept(healthUp(n, 1))
		c.accept(healthUp(n+n, 1))
	}
	c.accept(joinRecord("e1", 11))
	c.accept(joinRecord("e2", 22))
	return c
}

// TestRebootOfDrained guards against a reboot before every member has acknowledged the
// drain or was fenced, and against a return with an old boot number.
func TestRebootOfDrained(t *testing.T) {
	c := newFleet(t)
	g := c.accept(c.drain("a", ""))
	over := Verdict{Kind: Refused, Reason: OverBudget, Scope: budget.Pool}
	assert.Equal(t, c.apply(c.drain("b", "")), over)
	c.refuse(&recpb.Restart{Name: "a", Grant: g}, NotDrained)
	c.accept(&recpb.Drained{Name: "a", Grant: g, Member: "e1", Incarnation: 11})
	c.refuse(&recpb.Restart{Name: "a", Grant: g}, NotDrained)
	c.accept(&recpb.Evict{Name: "e2", Incarnation: 22})
	c.refuse(&recpb.Restart{Name: "a", Grant: g}, NotDrained)
	c.accept(&recpb.Fence{Name: "e2", Incarnation: 22})
	c.accept(&recpb.Restart{Name: "a", Grant: g})
	c.refuse(&recpb.Back{Name: "a", Grant: g, Boot: 1}, OldBoot)
	c.accept(&recpb.Back{Name: "a", Grant: g, Boot: 2})
	c.accept(c.drain("b", ""))
}

// TestReturnCompletesStep guards against a wave that drains an instance again after its
// return. This happened when the return and the end of the step were two records.
func TestReturnCompletesStep(t *testing.T) {
	c := newFleet(t)
	c.accept(&recpb.Wave{Name: "w", Pools: []string{"p"}, Order: recpb.Wave_START})
	d := c.drain("a", "")
	d.Wave = "w"
	g := c.accept(d)
	c.accept(&recpb.Drained{Name: "a", Grant: g, Member: "e1", Incarnation: 11})
	c.accept(&recpb.Drained{Name: "a", Grant: g, Member: "e2", Incarnation: 22})
	c.accept(&recpb.Restart{Name: "a", Grant: g})
	c.accept(&recpb.Back{Name: "a", Grant: g, Boot: 2})
	again := c.drain("a", "")
	again.Wave = "w"
	c.refuse(again, WrongPhase)
}

// TestRejoin guards against a restarted entry that can't join because its former
// incarnation is still a member, and against an entry on another address that takes its
// name.
func TestRejoin(t *testing.T) {
	c := newFleet(t)
	other := joinRecord("e1", 12)
	other.Addr = "127.0.0.1:9"
	c.refuse(other, NameTaken)
	c.accept(joinRecord("e1", 12))
	c.refuse(joinRecord("e1", 11), IncarnationGone)
}

// TestMove guards against a move of an instance that is not drained, and against two
// operators who move the same instance.
func TestMove(t *testing.T) {
	c := newFleet(t)
	first, second := c.drain("a", "q"), c.drain("a", "q")
	g := c.accept(first)
	assert.Equal(t, c.apply(second), conflict(g))
	c.refuse(&recpb.Moved{Name: "a", Grant: g}, NotDrained)
	c.accept(&recpb.Drained{Name: "a", Grant: g, Member: "e1", Incarnation: 11})
	c.accept(&recpb.Leave{Name: "e2", Incarnation: 22})
	c.accept(&recpb.Moved{Name: "a", Grant: g})
	i, _ := c.s.Instance("a")
	assert.Equal(t, i.Pool, "q")
	assert.Assert(t, !i.IsAvailable())
	c.accept(healthUp("a", 1))
	i, _ = c.s.Instance("a")
	assert.Assert(t, i.IsAvailable())
	assert.Assert(t, i.Grant == nil)
}

// TestRemovals guards against the removal of objects that others depend on, and of
// instances that are available or may have work in flight.
func TestRemovals(t *testing.T) {
	c := newFleet(t)
	c.accept(poolRecord("r", 1))
	p, _ := c.s.Pool("r")
	removal := &recpb.Edit{Base: p.Version, Remove: true}
	s := c.accept(&recpb.Service{Name: "s", Pool: "r", Weight: 1})
	c.refuse(&recpb.Pool{Name: "r", Edit: removal}, InUse)
	c.accept(&recpb.Service{Name: "s", Edit: &recpb.Edit{Base: s, Remove: true}})
	g := c.accept(c.drain("a", "r"))
	c.refuse(&recpb.Pool{Name: "r", Edit: removal}, InUse)
	c.refuse(&recpb.Instance{Name: "a", Edit: &recpb.Edit{Base: g, Remove: true}}, NotDrained)
	c.accept(&recpb.Cancel{Name: "a", Grant: g, Edit: &recpb.Edit{Base: g}})
	c.refuse(&recpb.Instance{Name: "a", Edit: &recpb.Edit{Base: c.offset, Remove: true}}, NotDrained)
	w := c.accept(&recpb.Wave{Name: "w", Pools: []string{"r"}, Order: recpb.Wave_START})
	c.refuse(&recpb.Pool{Name: "r", Edit: removal}, InUse)
	c.accept(&recpb.Wave{Name: "w", Order: recpb.Wave_FINISH, Edit: &recpb.Edit{Base: w}})
	c.accept(&recpb.Pool{Name: "r", Edit: removal})
	b, _ := c.s.Instance("b")
	c.accept(&recpb.Health{Name: "b", Boot: 1})
	c.accept(&recpb.Instance{Name: "b", Edit: &recpb.Edit{Base: b.Version, Remove: true}})
}

// TestRepeatedChange guards against a second change by a repeated call of an operator or
// by a record that was appended twice.
func TestRepeatedChange(t *testing.T) {
	c := newFleet(t)
	d := c.drain("a", "")
	d.Edit.Change = "x"
	g := c.accept(d)
	again := Verdict{Kind: Duplicate, FirstOffset: g, FirstKind: Accepted}
	assert.Equal(t, c.apply(d), again)
	r := newRecord(c.offset, d)
	for range 2 {
		var v Verdict
		c.offset++
		c.s, v = c.s.Apply(c.offset, r)
		assert.Equal(t, v, again)
		assert.NilError(t, v.Err())
	}
	d = c.drain("b", "")
	d.Edit.Change = "y"
	c.apply(d)
	assert.Error(t, c.apply(d).Err(), "change refused: budget exhausted of the pool")
	seen, ok := c.s.ChangeVerdict("y")
	assert.Assert(t, ok && seen.Verdict.Scope == budget.Pool)
}

// TestBoundedHistory guards against tables of verdicts and of ended jobs that grow without
// bound, and against a reader that started from a snapshot and drops other verdicts than
// the rest.
func TestBoundedHistory(t *testing.T) {
	c := newFleet(t)
	c.accept(&recpb.Team{Name: "t", Weight: 1})
	first := c.offset
	for range maxVerdicts {
		c.accept(healthUp("a", 1))
	}
	assert.Equal(t, c.s.ids.size, maxVerdicts)
	restored := reload(t, c.s)
	for _, id := range []uint64{first, first + 1, first + 2} {
		_, v := c.s.Apply(c.offset+1, newRecord(id, healthUp("a", 1)))
		_, w := restored.Apply(c.offset+1, newRecord(id, healthUp("a", 1)))
		assert.Equal(t, v, w)
		assert.Equal(t, v.Kind == Accepted, id == first)
	}
	for n := range uint64(maxEndedJobs + 5) {
		j := fmt.Sprint("j", n)
		c.accept(&recpb.Job{Name: j, Team: "t"})
		token := c.accept(&recpb.Placed{Job: j, Worker: "a"})
		c.accept(&recpb.Ended{Job: j, Token: token})
	}
	assert.Equal(t, c.s.JobCount(), maxEndedJobs)
}

// TestCollector guards against a state that is assembled from parts of different snapshots
// or from damaged parts.
func TestCollector(t *testing.T) {
	a := newFleet(t)
	b := newFleet(t)
	b.accept(healthUp("a", 2))
	var c Collector
	x, y := a.s.Parts(200), b.s.Parts(200)
	assert.Equal(t, len(x), len(y))
	for at := range x {
		one, err := c.Add(x[at])
		assert.NilError(t, err)
		two, err := c.Add(y[at])
		assert.NilError(t, err)
		assert.Equal(t, one != nil && two != nil, at == len(x)-1)
	}
	x[0].Data[20]++
	for at := range x {
		s, err := c.Add(x[at])
		assert.Assert(t, s == nil)
		assert.Equal(t, err != nil, at == len(x)-1)
	}
	_, err := c.Add(&recpb.Snapshot{Part: 1, Parts: 1})
	assert.Error(t, err, "bad snapshot: part number")
}

// TestSkipped guards against a malformed or unsupported record that changes more of the
// state than the counts of skipped records.
func TestSkipped(t *testing.T) {
	c := newFleet(t)
	before := *c.s
	bodiless := newRecord(99, poolRecord("x", 1))
	bodiless.Body = nil
	newer := newRecord(98, poolRecord("x", 1))
	newer.Schema++
	for _, r := range []*recpb.Record{nil, {}, bodiless, newer, newRecord(97, &recpb.Drain{})} {
		c.offset++
		c.s, _ = c.s.Apply(c.offset, r)
	}
	assert.Equal(t, c.s.Skipped(), Skips{Malformed: 2, Unknown: 1, Newer: 1})
	assert.Equal(t, c.s.pools, before.pools)
}
