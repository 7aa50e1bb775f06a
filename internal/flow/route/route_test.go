package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const slots = 8

func targets(n int) []Target {
	ts := make([]Target, n)
	for i := range ts {
		ts[i] = Target{
			Name:   fmt.Sprintf("i%d", i),
			Rack:   fmt.Sprintf("r%d", i/4),
			Centre: fmt.Sprintf("c%d", i%3),
			Slots:  slots,
		}
	}
	return ts
}

func newWholeSlotsRouter(n int) *Router {
	r := New("c0", WithWholeSlots())
	r.SetTargets(0, targets(n))
	return r
}

// referenceState is a simple reference implementation of which targets can accept work. It checks
// every target each time and keeps no lists or sums.
type referenceState struct {
	listed, leaving, blocked map[string]bool
	limit, inFlight          map[string]int
}

func newReferenceState() *referenceState {
	return &referenceState{map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]int{}, map[string]int{}}
}

func (m *referenceState) freeSlots(r *Router, name string) int {
	if !m.listed[name] || m.leaving[name] || m.blocked[name] || r.IsEjected(name) {
		return 0
	}
	s := min(slots, m.limit[name])
	if r.node(name).trialLeft > 0 {
		s = min(s, 1)
	}
	return max(s-m.inFlight[name], 0)
}

// Guards against work sent to leaving, blocked, ejected or full targets, against lists and sums
// that differ from a full count, and against the ejection of more than half of a pool. Applies
// random operations.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New("c0", WithSeed(rapid.Uint64().Draw(t, "seed")))
		m := newReferenceState()
		all := targets(6)
		now := time.Duration(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			name := fmt.Sprintf("i%d", rapid.IntRange(0, 5).Draw(t, "target"))
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				n := rapid.IntRange(0, 6).Draw(t, "listed")
				r.SetTargets(now, all[:n])
				clear(m.listed)
				for _, x := range all[:n] {
					m.listed[x.Name] = true
				}
			case 1:
				m.limit[name] = rapid.IntRange(0, 10).Draw(t, "limit")
				r.SetLimit(name, m.limit[name])
			case 2:
				m.blocked[name] = !m.blocked[name]
				if m.blocked[name] {
					r.Block(name)
				} else {
					r.Unblock(name)
				}
			case 3:
				m.leaving[name] = !m.leaving[name]
				if m.leaving[name] {
					r.MarkLeaving(now, name)
				} else {
					r.MarkReturned(name)
				}
			case 4, 5, 6:
				pickBoth(t, r, m, now, name)
			case 7, 8:
				o := Outcome(rapid.IntRange(0, 5).Draw(t, "outcome"))
				r.Done(now, name, o, time.Millisecond)
				m.inFlight[name] = max(m.inFlight[name]-1, 0)
			case 9:
				for _, p := range r.DueProbes(now) {
					r.RecordProbe(now, p.Name, rapid.Bool().Draw(t, "ok"))
				}
			}
			compare(t, r, m)
		}
	})
}

func pickBoth(t *rapid.T, r *Router, m *referenceState, now time.Duration, avoid string) {
	var free, tried int
	for i := range 6 {
		name := fmt.Sprintf("i%d", i)
		if name == avoid {
			tried = m.freeSlots(r, name)
			continue
		}
		free += m.freeSlots(r, name)
	}
	got, err := r.Pick(now, []string{avoid})
	if free > 0 {
		assert.NilError(t, err)
		assert.Assert(t, got.Name != avoid && m.freeSlots(r, got.Name) > 0, got.Name)
		m.inFlight[got.Name]++
		return
	}
	var none *NoTargetError
	assert.Assert(t, errors.As(err, &none))
	assert.Equal(t, none.Reason == Tried, tried > 0)
	assert.Equal(t, none.Reason == Empty, len(m.listed) == 0)
}

func compare(t *rapid.T, r *Router, m *referenceState) {
	var free, usable, ejected int
	for i := range 6 {
		name := fmt.Sprintf("i%d", i)
		free += m.freeSlots(r, name)
		assert.Equal(t, r.InFlight(name), m.inFlight[name])
		assert.Equal(t, r.IsLeaving(name), m.leaving[name])
		if m.listed[name] && !m.leaving[name] && !m.blocked[name] {
			usable++
			ejected += boolToInt(r.IsEjected(name))
		}
	}
	assert.Equal(t, r.FreeSlots(), free)
	assert.Assert(t, 2*ejected <= usable, "%d of %d ejected", ejected, usable)
}

// drive sends n requests, at most width of them at a time, and returns the attempts and failures by
// target. A target for which fails returns true fails its requests at once.
func drive(r *Router, n, width int, fails func(name string) bool) (tried, failed map[string]int) {
	tried, failed = map[string]int{}, map[string]int{}
	var busy []string
	rnd := rand.New(rand.NewPCG(7, 7))
	for i := range n {
		now := time.Duration(i) * 5 * time.Millisecond
		for _, p := range r.DueProbes(now) {
			r.RecordProbe(now, p.Name, true)
		}
		if len(busy) == width {
			k := rnd.IntN(len(busy))
			r.Done(now, busy[k], Answered, 200*time.Millisecond)
			busy[k] = busy[width-1]
			busy = busy[:width-1]
		}
		t, err := r.Pick(now, nil)
		if err != nil {
			continue
		}
		tried[t.Name]++
		if fails(t.Name) {
			failed[t.Name]++
			r.Done(now, t.Name, Failed, time.Millisecond)
			continue
		}
		busy = append(busy, t.Name)
	}
	return tried, failed
}

// Guards against a target that fails all requests at once and therefore looks idle and fast: it
// must not attract work, even though its probes succeed and all other targets are full.
func TestFailFast(t *testing.T) {
	for _, width := range []int{40, 392} {
		tried, _ := drive(newWholeSlotsRouter(50), 20000, width, func(n string) bool { return n == "i0" })
		t.Logf("%d of 20000 attempts at the failing target, %d of 400 slots in use", tried["i0"], width)
		assert.Assert(t, tried["i0"] <= 40, "%d attempts", tried["i0"])
	}
}

// Guards against a correlated failure that ejects a whole pool, and against a failed data centre
// that keeps its share of the work.
func TestCorrelated(t *testing.T) {
	r := newWholeSlotsRouter(12)
	_, failed := drive(r, 2000, 8, func(string) bool { return true })
	out := 0
	for name := range failed {
		out += boolToInt(r.IsEjected(name))
	}
	assert.Equal(t, out, 6)
	r = newWholeSlotsRouter(12)
	tried, failed := drive(r, 4000, 20, func(n string) bool { return n == "i0" || n == "i3" || n == "i6" || n == "i9" })
	bad := failed["i0"] + failed["i3"] + failed["i6"] + failed["i9"]
	assert.Assert(t, bad <= 60, "%d of 4000 failed: %v", bad, tried)
	t.Logf("%d of 4000 attempts at the failing data centre", bad)
}

// Guards against new work at a leaving target that is listed again, and against lost counts of
// requests in flight, which drain acknowledgements depend on.
func TestLeavingStays(t *testing.T) {
	r := newWholeSlotsRouter(1)
	_, err := r.Pick(0, nil)
	assert.NilError(t, err)
	r.MarkLeaving(0, "i0")
	r.SetTargets(0, nil)
	assert.Equal(t, r.InFlight("i0"), 1)
	r.Done(time.Second, "i0", Answered, time.Second)
	r.SetTargets(time.Second, targets(1))
	_, err = r.Pick(time.Second, nil)
	assert.Error(t, err, errUnusable.Error())
	r.MarkReturned("i0")
	_, err = r.Pick(time.Second, nil)
	assert.NilError(t, err)
}

// BenchmarkPick measures Pick and Done, and the same with a scan of all targets.
func BenchmarkPick(b *testing.B) {
	for name, pick := range map[string]func(*Router, time.Duration) string{"two": pickOfTwo, "scan": pickByScan} {
		for _, n := range []int{10, 50, 1500} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				r := newWholeSlotsRouter(n)
				now := time.Duration(0)
				for range 4 * n {
					r.Done(now, pickOfTwo(r, now), Answered, 200*time.Millisecond)
					pickOfTwo(r, now)
				}
				b.ReportAllocs()
				for b.Loop() {
					now += time.Millisecond
					r.Done(now, pick(r, now), Answered, 200*time.Millisecond)
				}
			})
		}
	}
}

// pickByScan reserves a slot at the best of all targets, as the baseline for Pick.
func pickByScan(r *Router, now time.Duration) string {
	n := r.scanCandidates(now, nil)
	n.inFlight++
	r.updateSums(n)
	return n.target.Name
}

func pickOfTwo(r *Router, now time.Duration) string {
	t, _ := r.Pick(now, nil)
	return t.Name
}

func pickRandom(r *Router, _ time.Duration) string {
	n := r.candidate(r.rnd.IntN(len(r.local) + len(r.remote)))
	n.inFlight++
	r.updateSums(n)
	return n.target.Name
}

// BenchmarkChoice compares ways to choose among 50 targets by 8 entries at half load. The latency
// of a target grows with its load, and a fifth of the targets is twice as slow.
func BenchmarkChoice(b *testing.B) {
	for name, pick := range map[string]func(*Router, time.Duration) string{"two": pickOfTwo, "least": pickByScan, "random": pickRandom} {
		b.Run(name, func(b *testing.B) {
			var rs [8]*Router
			for i := range rs {
				rs[i] = New(fmt.Sprintf("c%d", i%3), WithWholeSlots(), WithSeed(uint64(i)))
				rs[i].SetTargets(0, targets(50))
			}
			type end struct {
				entry int
				name  string
				took  time.Duration
			}
			ends := map[int][]end{}
			load := map[string]int{}
			rnd := rand.New(rand.NewPCG(3, 4))
			var sum time.Duration
			var most, near int
			for ms := range b.N {
				now := time.Duration(ms) * time.Millisecond
				for _, e := range ends[ms] {
					load[e.name]--
					rs[e.entry].Done(now, e.name, Answered, e.took)
				}
				delete(ends, ms)
				i := rnd.IntN(8)
				to := pick(rs[i], now)
				load[to]++
				took := time.Duration(float64(100+25*load[to]) * (0.5 + rnd.Float64()) * float64(time.Millisecond))
				if to[len(to)-1] == '5' || to[len(to)-1] == '0' {
					took *= 2
				}
				at := ms + 1 + int(took/time.Millisecond)
				ends[at] = append(ends[at], end{i, to, took})
				sum += took
				most = max(most, load[to])
				near += boolToInt(rs[i].node(to).target.Centre == rs[i].centre)
			}
			b.ReportMetric(float64(sum/time.Duration(b.N))/1e6, "ms")
			b.ReportMetric(float64(most), "most")
			b.ReportMetric(float64(near)/float64(b.N), "near")
		})
	}
}
