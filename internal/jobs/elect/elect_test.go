package tenure

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a claim while the leader renews, and against none when it does not.
func TestClaimsWaitForSilence(t *testing.T) {
	const moved = 10 * time.Second
	for _, c := range []struct {
		name  string
		view  View
		after time.Duration
	}{
		{"silent", View{Moved: moved}, Silence},
		{"process gone", View{Moved: moved, Ended: true}, endedAfter},
		{"turned away by the store", View{Moved: moved, Troubled: true}, Troubled},
		{"resigned", View{Moved: moved, Resigned: true}, 0},
		{"resigned for another one", View{Moved: moved, Resigned: true, Named: true}, namedFor},
		{"an earlier process of this entry", View{Moved: moved, Own: true, Ended: true}, 0},
		{"nobody ever", View{Moved: moved, Empty: true}, 0},
	} {
		delay := Delay(0, 0)
		if c.after > 0 {
			assert.Assert(t, !MayClaim(c.view, moved+c.after-time.Millisecond, delay), c.name)
		}
		assert.Assert(t, MayClaim(c.view, moved+c.after, delay), c.name)
		assert.Assert(t, !MayClaim(c.view, moved+c.after, Delay(1, 0)), "%s: smaller instances wait", c.name)
	}
}

// Guards against a new leader that starts a task again while the former one may still
// extend its lease on an executor that only the former one reaches. Clocks of executors
// are up to 2% slow; everything else is drawn.
func TestSettledIsAfterEveryFormerLease(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	for range 100_000 {
		claimed := 100 * time.Second
		// The former leader's last renewal was sent before the claim, or the claim would
		// have failed. It acts until Valid after it.
		renewed := claimed - time.Duration(draw.Int64N(int64(Silence)))
		lastHold := renewed + time.Duration(draw.Int64N(int64(Valid)))
		// The executor's clock runs slow by up to ClockDrift.
		rate := 1 - ClockDrift*draw.Float64()
		lapse := lastHold + time.Duration(float64(HoldFor)/rate)
		assert.Assert(t, lapse <= Settled(claimed), "lapse %s, settled %s", lapse, Settled(claimed))
	}
}

// Guards against a lease that is thought to have ended while it has not.
func TestLeaseEndIsLate(t *testing.T) {
	draw := rand.New(rand.NewPCG(3, 4))
	for range 100_000 {
		got, clock := 50*time.Second, 7*time.Second
		deadline := clock + time.Duration(draw.Int64N(int64(HoldFor)))
		// The clock was read when the answer was sent, at most at got.
		rate := 1 - ClockDrift*draw.Float64()
		lapse := got + time.Duration(float64(deadline-clock)/rate)
		assert.Assert(t, lapse <= LeaseEnd(got, clock, deadline))
	}
}

// Guards against a fence that an earlier leader's orders pass.
func TestFencesRise(t *testing.T) {
	assert.Assert(t, Fence(2, 0) > Fence(1, 1<<fenceBits+5))
	assert.Assert(t, Fence(1, 1) > Fence(1, 0))
	assert.Assert(t, Fence(1<<36, 0) < 1<<53, "a fence is a whole number in JSON")
}

// Guards against claims while a slow store puts the renewals apart (lra-tankrun, trouble-2:
// three leaders within 2.4 s while each answer took 0.25 s, and again two while each took
// 0.4 s).
func TestSlowRenewalsAreNoReasonToClaim(t *testing.T) {
	for _, answer := range []time.Duration{5 * time.Millisecond, 250 * time.Millisecond, 450 * time.Millisecond, 550 * time.Millisecond} {
		// The next renewal is sent after an answer, and seen after it was answered.
		apart := answer + NextRenewal(answer) + answer
		assert.Assert(t, apart < Troubled && apart < Silence, "%s apart with answers of %s", apart, answer)
		assert.Assert(t, answer+NextRenewal(answer) >= RenewEvery)
		for _, v := range []View{{}, {Troubled: true}} {
			assert.Assert(t, !MayClaim(v, apart, 0))
		}
	}
}

// Guards against a service whose tasks wait for one lost answer of one executor after a
// takeover (lse-cuciture trouble-3: 716 and 1,092 ms after the claim, 99 ms for the
// services whose executors all answered). The load is executors that leave one call in
// twenty unanswered; the rule before waited 500 ms and paused 150 ms.
func TestLostAnswersDelayATakeoverLittle(t *testing.T) {
	const executors, answer = 12, 2 * time.Millisecond
	draw := rand.New(rand.NewPCG(5, 6))
	known := func(limit func(int) time.Duration, pause func(int) time.Duration) time.Duration {
		var last time.Duration
		for range executors {
			var at time.Duration
			for n := 0; draw.Float64() < 0.055; n++ {
				at += limit(n) + pause(n)
			}
			last = max(last, at+answer)
		}
		return last
	}
	var sum, before time.Duration
	const plays = 2000
	for range plays {
		sum += known(LookFor, func(n int) time.Duration {
			if n < QuickLooks {
				return 0
			}
			return 150 * time.Millisecond
		})
		before += known(func(int) time.Duration { return slowLook }, func(int) time.Duration { return 150 * time.Millisecond })
	}
	t.Logf("former runs are known after %s on average, before %s", sum/plays, before/plays)
	assert.Assert(t, sum*4 < before)
}

// Guards against a leader that hands over to an entry that is stopped next. The load is a
// roll-out of eight entries, one each 2 s, that are gone for 700 ms each; the rule before
// left it to chance who claims.
func TestRollOutNeedsFewHandovers(t *testing.T) {
	const entries, gap, gone = 8, 2 * time.Second, 700 * time.Millisecond
	roll := func(leads int, choose func([]Candidate, time.Duration) string) int {
		since := [entries]time.Duration{}
		handovers := 0
		for i := range entries {
			now := time.Duration(i+1) * gap
			if i == leads {
				var cs []Candidate
				for n := range entries {
					if n != leads {
						cs = append(cs, Candidate{Name: string(rune('a' + n)), Since: since[n], Heard: now})
					}
				}
				leads = int(choose(cs, now)[0] - 'a')
				handovers++
			}
			since[i] = now + gone
		}
		return handovers
	}
	draw := rand.New(rand.NewPCG(9, 10))
	ours, before := 0, 0
	for first := range entries {
		n := roll(first, func(cs []Candidate, now time.Duration) string {
			c, ok := Successor(cs, now)
			assert.Assert(t, ok)
			return c.Name
		})
		// Only the very first one that is stopped has no restarted entry to name.
		assert.Assert(t, n == 1 || first == 0 && n == 2, "first leader %d: %d handovers", first, n)
		ours += n
		for range 100 {
			before += roll(first, func(cs []Candidate, _ time.Duration) string { return cs[draw.IntN(len(cs))].Name })
		}
	}
	t.Logf("%d handovers in %d roll-outs, by chance %.1f", ours, entries, float64(before)/100)
}

// Guards against a handover to an entry that is gone, or too small.
func TestSuccessorIsThereAndLarge(t *testing.T) {
	cs := []Candidate{
		{Name: "gone", Since: 9 * time.Second, Heard: 9 * time.Second},
		{Name: "small", Place: 1, Since: 8 * time.Second, Heard: 10 * time.Second},
		{Name: "old", Heard: 10 * time.Second}, {Name: "young", Since: 5 * time.Second, Heard: 10 * time.Second},
	}
	c, ok := Successor(cs, 10*time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, c.Name, "young")
	_, ok = Successor(cs[:1], 10*time.Second)
	assert.Assert(t, !ok)
}

// Guards against a leader that is taken for one which the store turns away, since it gave
// up a renewal that was under way, or waited for a lost answer (lra-tankrun-grown inc-ac6f:
// renewals took more than the 0.7 s that were allowed, two takeovers in a slow store, 16 s
// with a fifth of the jobs served).
func TestRenewalsAreGivenUpInTime(t *testing.T) {
	const quick, slow = 8 * time.Millisecond, 560 * time.Millisecond
	// A slow store is waited for, from its first slow answer on.
	assert.Assert(t, RenewalTimeout(quick) > slow)
	assert.Assert(t, RenewalTimeout(slow) > 2*slow)
	// A lost answer: the next renewal finds the first one and follows it.
	lost := quick + NextRenewal(quick) + RenewalTimeout(quick) + 50*time.Millisecond + 3*quick
	assert.Assert(t, lost < Troubled, "%s", lost)
}
