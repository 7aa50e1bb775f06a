package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// wallBase is an arbitrary wall-clock time in milliseconds since the Unix epoch.
const wallBase = int64(1_700_000_000_000)

func idAt(ms int64, n byte) ID {
	var id ID
	for i := 5; i >= 0; i-- {
		id[i] = byte(ms)
		ms >>= 8
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id
}

func oneClaim(id ID, holder string, token, prev uint64) *recpb.Claims {
	c := &recpb.Claim{Id: id[:], Holder: holder, Token: token, Prev: prev}
	return &recpb.Claims{At: wallBase, Claims: []*recpb.Claim{c}}
}

// Guards against a later claim of an id that replaces the first one.
func TestFirstClaimWins(t *testing.T) {
	x := NewIndex()
	id := idAt(wallBase, 1)
	x.Apply(1, oneClaim(id, "a", 11, 0), wallBase)
	x.Apply(2, oneClaim(id, "b", 12, 0), wallBase)
	winner, v := x.Lookup(id, wallBase)
	assert.Equal(t, v, Held)
	assert.Equal(t, winner.Token, uint64(11))
}

// Guards against two claims that both replace the same void claim.
func TestVoidClaimIsReplacedOnce(t *testing.T) {
	x := NewIndex()
	id := idAt(wallBase, 1)
	x.Apply(1, oneClaim(id, "a", 11, 0), wallBase)
	x.Apply(2, oneClaim(id, "b", 12, 11), wallBase)
	x.Apply(3, oneClaim(id, "c", 13, 11), wallBase)
	winner, _ := x.Lookup(id, wallBase)
	assert.Equal(t, winner.Holder, "b")
}

// Guards against an id that is reported as free although log retention may have removed its claim.
func TestTruncationMakesEarlierIDsForgotten(t *testing.T) {
	x := NewIndex()
	id := idAt(wallBase, 1)
	x.Apply(1, oneClaim(id, "a", 11, 0), wallBase)
	x.Apply(9, oneClaim(idAt(wallBase, 2), "a", 12, 0), wallBase+1000)
	_, v := x.Lookup(id, wallBase+1000)
	assert.Equal(t, v, Forgotten)
	_, v = x.Lookup(idAt(wallBase+30_000, 3), wallBase+30_000)
	assert.Equal(t, v, Free)
}

// Guards against ids that are removed while an entry still accepts them, and against an index that
// grows without limit.
func TestForgetKeepsAcceptedIDs(t *testing.T) {
	x := NewIndex()
	id := idAt(wallBase, 1)
	x.Apply(1, oneClaim(id, "a", 11, 0), wallBase)
	late := wallBase + IDLifetime.Milliseconds()
	x.Forget(late)
	_, v := x.Lookup(id, late)
	assert.Equal(t, v, Held)
	x.Forget(late + time.Minute.Milliseconds())
	assert.Equal(t, x.Len(), 0)
	_, v = x.Lookup(id, late+1)
	assert.Equal(t, v, Forgotten)
}

// Guards against a grant that arrives after the entry has answered "not run".
func TestLateGrantDoesNotSend(t *testing.T) {
	s := NewAttempts(1 << 20)
	a, _, fresh := s.Begin(idAt(wallBase, 1), 5)
	assert.Assert(t, fresh)
	assert.Assert(t, a.Void())
	assert.Assert(t, !a.Grant())
	b, prev, fresh := s.Begin(a.ID, 6)
	assert.Assert(t, fresh)
	assert.Equal(t, prev, uint64(5))
	assert.Assert(t, b.Grant())
	assert.Assert(t, b.Finish(Outcome{Status: 200}))
	assert.Assert(t, !b.Void())
}

// Guards against stored answers that exceed their memory limit.
func TestAttemptsStayWithinLimit(t *testing.T) {
	s := NewAttempts(10 * (attemptOverhead + 100))
	for n := range byte(50) {
		a, _, _ := s.Begin(idAt(wallBase, n), uint64(n)+1)
		a.Finish(Outcome{Body: make([]byte, 100)})
	}
	assert.Equal(t, len(s.byID), 10)
	s.Expire(wallBase + 2*IDLifetime.Milliseconds())
	assert.Equal(t, len(s.byID)+len(s.byToken)+s.endedOrder.Len(), 0)
}

// scanHistory returns the token of the winning claim of an id by a scan of the whole history.
func scanHistory(history []*recpb.Claim, id ID) uint64 {
	var winner uint64
	for _, c := range history {
		if ID(c.Id) == id && c.Prev == winner {
			winner = c.Token
		}
	}
	return winner
}

// Guards against an index that differs from a scan of the whole history, with duplicated records
// and claims that replace any earlier one.
func TestIndexEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewIndex()
		var history []*recpb.Claim
		for offset := range uint64(rapid.IntRange(1, 60).Draw(t, "n")) {
			id := idAt(wallBase, byte(rapid.IntRange(0, 3).Draw(t, "id")))
			token := uint64(rapid.IntRange(1, 20).Draw(t, "token"))
			prev := uint64(rapid.IntRange(0, 20).Draw(t, "prev"))
			c := &recpb.Claim{Id: id[:], Token: token, Prev: prev}
			history = append(history, c)
			x.Apply(offset+1, &recpb.Claims{At: wallBase, Claims: []*recpb.Claim{c}}, wallBase)
		}
		for n := range byte(4) {
			winner, _ := x.Lookup(idAt(wallBase, n), wallBase)
			assert.Equal(t, winner.Token, scanHistory(history, idAt(wallBase, n)))
		}
	})
}

// Guards against text that makes the id parser panic or accept another UUID version.
func FuzzParseID(f *testing.F) {
	f.Add("018bcfe5-6800-7000-8000-000000000001")
	f.Add("018bcfe5-6800-4000-8000-000000000001")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseID(s)
		if err == nil && id[6]>>4 != 7 {
			t.Fatalf("accepted version %d", id[6]>>4)
		}
	})
}

// BenchmarkIndex measures the lookup of a claim in the index of one slice that holds the ids of one
// IDLifetime, at 140 claims/s over 8 slices and at 30 times that rate.
func BenchmarkIndex(b *testing.B) {
	for _, bench := range []struct {
		name string
		ids  int
	}{{"today", 10_500}, {"twoyears", 315_000}} {
		b.Run(bench.name, func(b *testing.B) {
			x := NewIndex()
			for n := range bench.ids {
				x.Apply(uint64(n+1), oneClaim(numberedID(n), "a", uint64(n+1), 0), wallBase)
			}
			b.ResetTimer()
			b.ReportAllocs()
			for n := range b.N {
				id := numberedID(n % bench.ids)
				x.Lookup(id, wallBase)
			}
		})
	}
}

func numberedID(n int) ID {
	id := idAt(wallBase, 0)
	id[12], id[13], id[14], id[15] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n)
	return id
}
