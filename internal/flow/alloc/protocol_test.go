package alloc

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

func newPair(slots int) (a, b *Holder, al *Allocator) {
	targets := map[string]int{"i0": slots}
	v := View{Epoch: 1, Active: []Member{{"a", 1}, {"b", 2}}}
	a, b = NewHolder("a", 1), NewHolder("b", 2)
	al = NewAllocator(AllocatorOf(v, "i0"), maxRun)
	a.SetView(v, targets)
	b.SetView(v, targets)
	al.SetView(0, v, targets)
	for range 2 {
		exchange(a, al)
		exchange(b, al)
	}
	return a, b, al
}

func exchange(h *Holder, al *Allocator) {
	h.ApplyReply(al.name, al.HandleAsk(0, h.Asks()[al.name]))
	h.SetInFlight("i0", 0)
}

// Guards against an ask that arrives twice and cancels the grant made for it, while the reply with
// the grant is still on its way.
func TestDoubledAsk(t *testing.T) {
	a, b, al := newPair(8)
	a.SetWant("i0", 8)
	exchange(a, al)
	exchange(b, al)
	exchange(b, al)
	a.SetWant("i0", 9)
	ask := a.Asks()[al.name]
	late := al.HandleAsk(0, ask)
	assert.Equal(t, int(late.Grants[0].Limit), 8)
	b.SetWant("i0", 8)
	exchange(b, al)
	al.HandleAsk(0, ask)
	exchange(b, al)
	a.ApplyReply(al.name, late)
	assert.Assert(t, a.Limit("i0")+b.Limit("i0") <= 8, "%d and %d of 8", a.Limit("i0"), b.Limit("i0"))
}

// Guards against a report that leaves out requests that were started under the previous limit,
// before a reduction was in force.
func TestReductionUnconfirmed(t *testing.T) {
	a, b, al := newPair(8)
	was := a.Limit("i0")
	b.SetWant("i0", 8)
	exchange(b, al)
	a.ApplyReply(al.name, al.HandleAsk(0, a.Asks()[al.name]))
	assert.Assert(t, a.Limit("i0") < was)
	a.SetWant("i0", 9)
	s := a.Asks()[al.name].Slots
	assert.Equal(t, int(s[0].Held), was)
	a.SetInFlight("i0", was-1)
	assert.Equal(t, int(a.Asks()[al.name].Slots[0].Held), was-1)
}

// divideOneByOne divides the slots by demand one at a time, each time to the part with the fewest
// slots, and returns the numbers of slots.
func divideOneByOne(n int, parts []part) []int {
	give := make([]int, len(parts))
	for ; n > 0; n-- {
		least := -1
		for i, p := range parts {
			if give[i] < p.want && (least < 0 || give[i] < give[least]) {
				least = i
			}
		}
		if least < 0 {
			break
		}
		give[least]++
	}
	return give
}

// Guards against a division that loses or invents slots, takes slots from a demand to keep a
// reserve, or is less even than a division one slot at a time.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 40).Draw(t, "stock")
		parts := make([]part, rapid.IntRange(1, 8).Draw(t, "parts"))
		for i := range parts {
			parts[i].want = rapid.IntRange(0, 12).Draw(t, "want")
			parts[i].held = rapid.IntRange(0, 12).Draw(t, "held")
			parts[i].rank = uint64(i)
		}
		want := divideOneByOne(n, parts)
		divide(n, parts)
		sum := 0
		var met []int
		for _, p := range parts {
			sum += p.granted
			met = append(met, min(p.granted, p.want))
		}
		assert.Equal(t, sum, n)
		slices.Sort(met)
		slices.Sort(want)
		assert.DeepEqual(t, met, want)
	})
}

// Guards against counting asks of an incarnation that is not active, or of another epoch.
func TestForeignAsk(t *testing.T) {
	_, _, al := newPair(8)
	for _, a := range []*peerpb.SlotAsk{
		{Name: "a", Incarnation: 9, Epoch: 1},
		{Name: "a", Incarnation: 1, Epoch: 2},
	} {
		a.Slots = []*peerpb.Slot{{Instance: "i0", Want: 8, Serial: 99}}
		r := al.HandleAsk(0, a)
		assert.Equal(t, len(r.Grants), 0)
		assert.Equal(t, r.Epoch, uint64(1))
	}
}

// Guards against a grant of an older epoch that arrives after the holder has received a newer
// epoch, under which it may have reported already.
func TestOldGrant(t *testing.T) {
	v := View{Epoch: 1, Active: []Member{{"a", 1}}}
	h := NewHolder("a", 1)
	h.SetView(v, map[string]int{"i0": 8})
	v.Epoch = 2
	h.SetView(v, map[string]int{"i0": 8})
	h.Asks()
	h.ApplyReply("a", &peerpb.SlotReply{Epoch: 1, Grants: []*peerpb.Grant{{Instance: "i0", Limit: 5}}})
	assert.Equal(t, h.Limit("i0"), 0)
}
