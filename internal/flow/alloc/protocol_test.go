package share

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

func pair(slots int) (a, b *Holder, c *Custodian) {
	targets := map[string]int{"i0": slots}
	v := View{Epoch: 1, Active: []Member{{"a", 1}, {"b", 2}}}
	a, b = NewHolder("a", 1), NewHolder("b", 2)
	c = NewCustodian(CustodianOf(v, "i0"), maxRun)
	a.Epoch(v, targets)
	b.Epoch(v, targets)
	c.Epoch(0, v, targets)
	for range 2 {
		exchange(a, c)
		exchange(b, c)
	}
	return a, b, c
}

func exchange(h *Holder, c *Custodian) {
	h.Take(c.name, c.Answer(0, h.Asks()[c.name]))
	h.InFlight("i0", 0)
}

// Guards against an ask that arrives twice voiding the grant made for it, whose
// reply is still on its way.
func TestDoubledAsk(t *testing.T) {
	a, b, c := pair(8)
	a.Want("i0", 8)
	exchange(a, c)
	exchange(b, c)
	exchange(b, c)
	a.Want("i0", 9)
	ask := a.Asks()[c.name]
	late := c.Answer(0, ask)
	assert.Equal(t, int(late.Grants[0].Limit), 8)
	b.Want("i0", 8)
	exchange(b, c)
	c.Answer(0, ask)
	exchange(b, c)
	a.Take(c.name, late)
	assert.Assert(t, a.Limit("i0")+b.Limit("i0") <= 8, "%d and %d of 8", a.Limit("i0"), b.Limit("i0"))
}

// Guards against a report that omits requests started under the old limit before a
// reduction was put into force.
func TestReductionUnconfirmed(t *testing.T) {
	a, b, c := pair(8)
	was := a.Limit("i0")
	b.Want("i0", 8)
	exchange(b, c)
	a.Take(c.name, c.Answer(0, a.Asks()[c.name]))
	assert.Assert(t, a.Limit("i0") < was)
	a.Want("i0", 9)
	s := a.Asks()[c.name].Slots
	assert.Equal(t, int(s[0].Held), was)
	a.InFlight("i0", was-1)
	assert.Equal(t, int(a.Asks()[c.name].Slots[0].Held), was-1)
}

// naiveDivide hands out one slot at a time to the demand, each time to the part that
// was given least, and returns what was given.
func naiveDivide(n int, parts []part) []int {
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

// Guards against a division that loses or invents slots, takes slots from a demand to
// keep a reserve, or is less even than one slot at a time would be.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 40).Draw(t, "stock")
		parts := make([]part, rapid.IntRange(1, 8).Draw(t, "parts"))
		for i := range parts {
			parts[i].want = rapid.IntRange(0, 12).Draw(t, "want")
			parts[i].held = rapid.IntRange(0, 12).Draw(t, "held")
			parts[i].rank = uint64(i)
		}
		naive := naiveDivide(n, parts)
		divide(n, parts)
		sum := 0
		var met []int
		for _, p := range parts {
			sum += p.give
			met = append(met, min(p.give, p.want))
		}
		assert.Equal(t, sum, n)
		slices.Sort(met)
		slices.Sort(naive)
		assert.DeepEqual(t, met, naive)
	})
}

// Guards against asks of a run that is not active or of another epoch being counted.
func TestForeignAsk(t *testing.T) {
	_, _, c := pair(8)
	for _, a := range []*peerpb.SlotAsk{
		{Name: "a", Incarnation: 9, Epoch: 1},
		{Name: "a", Incarnation: 1, Epoch: 2},
	} {
		a.Slots = []*peerpb.Slot{{Instance: "i0", Want: 8, Serial: 99}}
		r := c.Answer(0, a)
		assert.Equal(t, len(r.Grants), 0)
		assert.Equal(t, r.Epoch, uint64(1))
	}
}

// Guards against a grant of an older epoch that arrives after the holder was told of
// a newer one, under which it may have reported already.
func TestOldGrant(t *testing.T) {
	v := View{Epoch: 1, Active: []Member{{"a", 1}}}
	h := NewHolder("a", 1)
	h.Epoch(v, map[string]int{"i0": 8})
	v.Epoch = 2
	h.Epoch(v, map[string]int{"i0": 8})
	h.Asks()
	h.Take("a", &peerpb.SlotReply{Epoch: 1, Grants: []*peerpb.Grant{{Instance: "i0", Limit: 5}}})
	assert.Equal(t, h.Limit("i0"), 0)
}
