package member

import (
	"encoding/binary"
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
	"gotest.tools/v3/assert"
)

// group is a state whose members are e1, e2 and so on with the incarnation 1.
type group struct{ *state.State }

func newGroup(n int) *group {
	g := &group{state.New()}
	for at := range n {
		g.join(at + 1)
	}
	return g
}

func (g *group) apply(r *recpb.Record) {
	r.Id = binary.BigEndian.AppendUint64(make([]byte, 8), g.Applied()+1)
	g.State, _ = g.Apply(g.Applied()+1, r)
}

func (g *group) join(n int) {
	g.apply(&recpb.Record{Body: &recpb.Record_Join{Join: &recpb.Join{Name: name(n), Incarnation: 1, Addr: "a"}}})
}

func (g *group) evict(n int) {
	g.apply(&recpb.Record{Body: &recpb.Record_Evict{Evict: &recpb.Evict{Name: name(n), Incarnation: 1}}})
}

func (g *group) leave(n int) {
	g.apply(&recpb.Record{Body: &recpb.Record_Leave{Leave: &recpb.Leave{Name: name(n), Incarnation: 1}}})
}

func name(n int) string { return "e" + string(rune('0'+n)) }

func id(n int) state.Incarnation { return state.Incarnation{Name: name(n), Number: 1} }

func view(g *group) *View {
	v := New(id(1))
	v.Update(0, g.State)
	return v
}

func digest(n int, applied uint64, heard ...*peerpb.Heard) *peerpb.Digest {
	return &peerpb.Digest{Name: name(n), Incarnation: 1, Applied: applied, Heard: heard}
}

// TestViewLease guards against sending without a recent confirmation, against reports that
// are dated too late, and against reports of entries that are not members.
func TestViewLease(t *testing.T) {
	v := view(newGroup(5))
	assert.Assert(t, !v.IsConfirmed(0))
	v.RecordLogRead(time.Second)
	assert.Assert(t, v.IsConfirmed(3*time.Second-1) && !v.IsConfirmed(3*time.Second))
	v.RecordReply(4*time.Second, digest(2, 5))
	assert.Assert(t, !v.IsConfirmed(4*time.Second), "two of five confirm")
	v.RecordReply(4*time.Second, digest(2, 5, &peerpb.Heard{Name: "e3", Incarnation: 1, Age: 500, Applied: 5}))
	assert.Equal(t, v.LeaseExpiry(5*time.Second), 5500*time.Millisecond)
	v.RecordReply(5*time.Second, digest(9, 5))
	v.RecordReply(5*time.Second, &peerpb.Digest{Name: "e4", Incarnation: 2})
	assert.Equal(t, v.LeaseExpiry(5*time.Second), 5500*time.Millisecond, "not members")
}

// TestHigherOffset guards against a view that gossip confirms although a member has
// reported a higher offset than this entry has applied.
func TestHigherOffset(t *testing.T) {
	g := newGroup(3)
	v := view(g)
	v.RecordReply(time.Second, digest(2, 3))
	v.RecordReply(2*time.Second, digest(2, 3))
	v.RecordReply(2*time.Second, digest(3, 4))
	assert.Assert(t, !v.IsConfirmed(2*time.Second), "e3 has applied more")
	g.join(4)
	v.Update(3*time.Second, g.State)
	assert.Equal(t, v.LeaseExpiry(3*time.Second), 4*time.Second, "three of four")
	g.evict(1)
	v.RecordLogRead(3 * time.Second)
	v.Update(3*time.Second, g.State)
	assert.Assert(t, !v.IsConfirmed(3*time.Second), "evicted")
}

// TestSuspects guards against evictions by an entry that was paused or that has no contact
// with a majority.
func TestSuspects(t *testing.T) {
	v := view(newGroup(3))
	v.RecordReply(4*time.Second, digest(2, 3))
	assert.Equal(t, len(v.Suspects(5*time.Second-1)), 0)
	assert.DeepEqual(t, v.Suspects(5*time.Second), []state.Incarnation{id(3)})
	assert.Equal(t, len(v.Suspects(20*time.Second)), 0, "no contact with a majority")
	d := v.Digest(20 * time.Second)
	assert.Equal(t, len(d.Heard), 1)
	assert.Equal(t, d.Heard[0].Age, uint32(16000))
}

// TestFences guards against a fence before a majority has applied the eviction and the
// fence wait is over, against a wait that a leave does not restart, and against a majority
// of newer members, while older ones may still confirm the view of the evicted entry.
func TestFences(t *testing.T) {
	g := newGroup(5)
	g.evict(5)
	v := view(g)
	now := time.Duration(0)
	fencesAfter := func(to time.Duration, n ...int) []state.Incarnation {
		now = to
		for _, m := range n {
			v.RecordReply(now, digest(m, g.Applied()))
		}
		return v.FenceCandidates(now)
	}
	fencesAfter(0, 2)
	assert.Equal(t, len(fencesAfter(FenceWait, 2, 3)), 0, "the majority is new")
	assert.Equal(t, len(fencesAfter(2*FenceWait-1, 2, 3)), 0)
	g.leave(4)
	v.Update(now, g.State)
	assert.Equal(t, len(fencesAfter(2*FenceWait, 2, 3)), 0, "e4 may have confirmed the view of e5")
	assert.DeepEqual(t, fencesAfter(3*FenceWait, 2, 3), []state.Incarnation{id(5)})

	g = newGroup(4)
	for _, n := range []int{5, 6, 7, 8} {
		g.join(n)
	}
	g.evict(4)
	v = view(g)
	fencesAfter(0, 5, 6, 7, 8)
	assert.Equal(t, len(fencesAfter(time.Minute, 5, 6, 7, 8)), 0, "e4 may hear from e2 and e3")
	assert.Equal(t, len(fencesAfter(StaleWait+FenceWait, 5, 6, 7, 8)), 0, "the wait starts")
	assert.DeepEqual(t, fencesAfter(StaleWait+2*FenceWait, 5, 6, 7, 8), []state.Incarnation{id(4)})
}
