package state

import (
	"encoding/binary"
	"testing"

	"chervilgauge.example/chervilgauge/internal/fleet/budget"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
	"gotest.tools/v3/assert"
)

// stream applies records one after the other under fresh ids.
type stream struct {
	t  testing.TB
	s  *State
	at uint64
}

func newStream(t testing.TB) *stream { return &stream{t: t, s: New()} }

func (c *stream) apply(body any) Verdict {
	c.t.Helper()
	c.at++
	r := record(c.at, body)
	var v Verdict
	c.s, v = c.s.Apply(c.at, r)
	return v
}

func (c *stream) accept(body any) uint64 {
	c.t.Helper()
	assert.Equal(c.t, c.apply(body), accepted)
	return c.at
}

func (c *stream) refuse(body any, why Reason) {
	c.t.Helper()
	assert.Equal(c.t, c.apply(body), refused(why))
}

func record(id uint64, body any) *recpb.Record {
	r := &recpb.Record{Id: make([]byte, idLen), Schema: Schema}
	binary.BigEndian.PutUint64(r.Id, id)
	switch b := body.(type) {
	case *recpb.Pool:
		r.Body = &recpb.Record_Pool{Pool: b}
	case *recpb.Service:
		r.Body = &recpb.Record_Service{Service: b}
	case *recpb.Team:
		r.Body = &recpb.Record_Team{Team: b}
	case *recpb.Instance:
		r.Body = &recpb.Record_Instance{Instance: b}
	case *recpb.Join:
		r.Body = &recpb.Record_Join{Join: b}
	case *recpb.Leave:
		r.Body = &recpb.Record_Leave{Leave: b}
	case *recpb.Evict:
		r.Body = &recpb.Record_Evict{Evict: b}
	case *recpb.Fence:
		r.Body = &recpb.Record_Fence{Fence: b}
	case *recpb.Health:
		r.Body = &recpb.Record_Health{Health: b}
	case *recpb.Drain:
		r.Body = &recpb.Record_Drain{Drain: b}
	case *recpb.Drained:
		r.Body = &recpb.Record_Drained{Drained: b}
	case *recpb.Restart:
		r.Body = &recpb.Record_Restart{Restart: b}
	case *recpb.Back:
		r.Body = &recpb.Record_Back{Back: b}
	case *recpb.Moved:
		r.Body = &recpb.Record_Moved{Moved: b}
	case *recpb.Cancel:
		r.Body = &recpb.Record_Cancel{Cancel: b}
	case *recpb.Wave:
		r.Body = &recpb.Record_Wave{Wave: b}
	case *recpb.Step:
		r.Body = &recpb.Record_Step{Step: b}
	case *recpb.Lease:
		r.Body = &recpb.Record_Lease{Lease: b}
	case *recpb.Job:
		r.Body = &recpb.Record_Job{Job: b}
	case *recpb.Placed:
		r.Body = &recpb.Record_Placed{Placed: b}
	case *recpb.Ended:
		r.Body = &recpb.Record_Ended{Ended: b}
	case *recpb.Snapshot:
		r.Body = &recpb.Record_Snapshot{Snapshot: b}
	}
	return r
}

func pool(name string, total uint32) *recpb.Pool {
	return &recpb.Pool{Name: name, Budget: &recpb.Budget{Total: total}}
}

func inst(name, pool string) *recpb.Instance {
	return &recpb.Instance{Name: name, Addr: "127.0.0.1:1", Pool: pool, Rack: "r", Centre: "c", Slots: 8, Conns: 64}
}

func up(name string, boot uint64) *recpb.Health {
	return &recpb.Health{Name: name, Up: true, Boot: boot}
}

func join(name string, n uint64) *recpb.Join {
	return &recpb.Join{Name: name, Incarnation: n, Addr: "127.0.0.1:2"}
}

// drain returns a drain that is based on the current version.
func (c *stream) drain(name, target string) *recpb.Drain {
	i, _ := c.s.Instance(name)
	return &recpb.Drain{Name: name, Target: target, Edit: &recpb.Edit{Base: i.Version}}
}

// fleet is a stream with pools p and q of two instances each and two members.
func fleet(t testing.TB) *stream {
	c := newStream(t)
	c.accept(pool("p", 1))
	c.accept(pool("q", 1))
	for _, n := range []string{"a", "b"} {
		c.accept(inst(n, "p"))
		c.accept(inst(n+n, "q"))
		c.accept(up(n, 1))
		c.accept(up(n+n, 1))
	}
	c.accept(join("e1", 11))
	c.accept(join("e2", 22))
	return c
}

// TestRebootOfDrained guards against a reboot before every member has acknowledged
// and against a return with an old boot number.
func TestRebootOfDrained(t *testing.T) {
	c := fleet(t)
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

// TestMove guards against a pool change of an instance that is in use, and against
// two operators who move the same instance.
func TestMove(t *testing.T) {
	c := fleet(t)
	first, second := c.drain("a", "q"), c.drain("a", "q")
	g := c.accept(first)
	assert.Equal(t, c.apply(second), conflict(g))
	c.refuse(&recpb.Moved{Name: "a", Grant: g}, NotDrained)
	c.accept(&recpb.Drained{Name: "a", Grant: g, Member: "e1", Incarnation: 11})
	c.accept(&recpb.Leave{Name: "e2", Incarnation: 22})
	c.accept(&recpb.Moved{Name: "a", Grant: g})
	i, _ := c.s.Instance("a")
	assert.Equal(t, i.Pool, "q")
	assert.Assert(t, !i.Available())
	c.accept(up("a", 1))
	i, _ = c.s.Instance("a")
	assert.Assert(t, i.Available())
	assert.Assert(t, i.Grant == nil)
}
