package share

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Guards against an account that gets more than its rate and burst in any window, for example after a
// refund or a forgotten bucket, and against a time of the next token that is too early or too late.
func TestBucketKeepsItsRateAndTellsWhenTheNextTokenIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.001, 2000).Draw(t, "weight")
		var b Buckets
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "start"))
		var taken, spare []time.Duration
		for range rapid.IntRange(1, 150).Draw(t, "submissions") {
			now += time.Duration(float64(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap")) / max(weight, 1))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				b.Forget(now)
			case 1:
				// A job takes a spare token only if the whole burst remains for others.
				if b.TakeSpare("a", weight, now) {
					spare = append(spare, now)
					left := Buckets{}
					left.set("a", b.byName["a"])
					for range int(depthOf(intervalOf(weight)) / intervalOf(weight)) {
						assert.Assert(t, left.Take("a", weight, now))
					}
				}
				continue
			}
			after, ok := b.NextToken("a", weight, now)
			assert.Assert(t, ok)
			if after > 0 {
				tick := b
				tick.byName = map[string]bucket{"a": b.byName["a"]}
				assert.Assert(t, !tick.Take("a", weight, now), "no token at %v", now)
				assert.Assert(t, !tick.Take("a", weight, now+after-1), "no token one tick earlier")
				assert.Assert(t, tick.Take("a", weight, now+after))
				continue
			}
			assert.Assert(t, b.Take("a", weight, now))
			taken = append(taken, now)
		}
		for i := range taken {
			for k := i; k < len(taken); k++ {
				bound := weight*(taken[k]-taken[i]).Seconds() + max(weight, minBurst)
				assert.Assert(t, float64(k-i+1) <= bound+1e-6, "%d submissions in %v", k-i+1, taken[k]-taken[i])
			}
		}
		// Together with the spare tokens it is no more than one token above that.
		all := slices.Sorted(slices.Values(append(spare, taken...)))
		for i := range all {
			for k := i; k < len(all); k++ {
				bound := weight*(all[k]-all[i]).Seconds() + max(weight, minBurst) + 1
				assert.Assert(t, float64(k-i+1) <= bound+1e-6, "%d tokens in %v", k-i+1, all[k]-all[i])
			}
		}
	})
}

// Guards against an account that sends its weight once a second and is refused a job, because an older excess job took the
// token between two of these times.
func TestSpareTokensAreNotMissedLater(t *testing.T) {
	var b Buckets
	spare := 0
	for second := range 10 {
		for tick := range 100 {
			now := time.Duration(second)*time.Second + time.Duration(tick)*10*time.Millisecond
			if b.TakeSpare("a", 10, now) {
				spare++
			}
			if tick == 50 {
				for range 10 {
					assert.Assert(t, b.Take("a", 10, now), "second %d", second)
				}
			}
		}
	}
	assert.Equal(t, spare, 6, "those of the first half second, and at its start the one of a full bucket")
	for range 10 {
		b.Take("a", 10, 10*time.Second)
	}
	spare = 0
	for tick := range 1000 {
		if b.TakeSpare("a", 10, 10*time.Second+time.Duration(tick)*10*time.Millisecond) {
			spare++
		}
	}
	assert.Assert(t, spare >= 85 && spare <= 90, "an idle account's tokens go to its excess jobs: %d", spare)
}

// Guards against callers that are refused one after the other, return when they were told to, and compete for one token,
// against promises beyond a bound, and against a promise that takes a token.
func TestRefusedCallersArePromisedSuccessiveTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.01, 500).Draw(t, "weight")
		interval := intervalOf(weight)
		var b Buckets
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "start"))
		for b.Take("a", weight, now) {
		}
		bound := max(promiseTime, depthOf(interval))
		var returns []time.Duration
		for range rapid.IntRange(1, int(bound/interval)+1).Draw(t, "refused") {
			now += time.Duration(rapid.Int64Range(0, int64(interval)/1000).Draw(t, "gap"))
			next, _ := b.NextToken("a", weight, now)
			if next == 0 {
				break
			}
			after := b.Promise("a", weight, now)
			assert.Assert(t, after >= next && after <= next+bound)
			left, _ := b.NextToken("a", weight, now)
			assert.Equal(t, left, next)
			returns = append(returns, now+after)
		}
		for i, at := range returns {
			if i > 0 && at < returns[i-1] {
				break // the bound was reached, and tokens are promised a second time
			}
			assert.Assert(t, b.Take("a", weight, at), "caller %d of %d", i, len(returns))
			assert.Assert(t, !b.Take("a", weight, at) || i < len(returns)-1 && returns[i+1] <= at)
		}
	})
	var b Buckets
	assert.Equal(t, b.Promise("full", 1, 0), time.Duration(0))
	assert.Equal(t, b.Promise("none", 0, 0), time.Duration(0))
	for range 1000 {
		b.Take("a", 10, 0)
		assert.Assert(t, b.Promise("a", 10, 0) <= promiseTime+100*time.Millisecond)
	}
	for range minBurst {
		b.Take("slow", 0.1, 0)
	}
	assert.Equal(t, b.Promise("slow", 0.1, 0), 10*time.Second)
	assert.Equal(t, b.Promise("slow", 0.1, 0), 20*time.Second)
	assert.Equal(t, b.Promise("slow", 0.2, 0), 5*time.Second, "promises of another rate don't count")
}

// Guards against accounts whose weight is zero, tiny or huge, and against tokens that a new weight gives
// or takes.
func TestBucketOfUnusualWeights(t *testing.T) {
	var b Buckets
	for _, weight := range []float64{0, -1, 1e-12, math.SmallestNonzeroFloat64} {
		assert.Assert(t, !b.Take("none", weight, time.Second), "weight %v", weight)
		_, ok := b.NextToken("none", weight, time.Second)
		assert.Assert(t, !ok)
	}
	assert.Assert(t, b.Take("huge", math.MaxFloat64, 0))
	for range minBurst {
		assert.Assert(t, b.Take("changed", 1, 0))
	}
	after, _ := b.NextToken("changed", 0.5, 0)
	assert.Equal(t, after, 2*time.Second, "the bucket stays empty, and fills at the new rate")
	assert.Assert(t, !b.Take("changed", 4, 0))
	b.Return("changed")
	assert.Assert(t, b.Take("changed", 4, 0), "a returned token can be taken again")
	b.Forget(time.Hour)
	assert.Equal(t, b.Len(), 0)
}

// Guards against a refusal of a job within its share, of one that can be served in time, and of one that
// finds idle capacity, and against a refusal that takes a token.
func TestOnlyExcessJobsOfFullPoolsAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		load    *Load
		refused bool
	}{
		"unknown":  {nil, false},
		"idle":     {&Load{Cores: 8000, Waiting: 800}, false},
		"in time":  {&Load{Cores: 8000, Waiting: 8, Full: true}, false},
		"too late": {&Load{Cores: 8000, Waiting: 80, Full: true}, true},
		"no cores": {&Load{Full: true, Waiting: 80}, false},
		"old":      {&Load{Cores: 8000, Waiting: 80, Full: true, At: -9 * time.Second}, false},
	} {
		var b Buckets
		canWait := func(d time.Duration) bool { return d <= 2*time.Second }
		for range minBurst {
			assert.DeepEqual(t, b.Admit("a", 1, 0, c.load, canWait), Decision{Admitted: true})
		}
		for i := range 3 {
			d := b.Admit("a", 1, 0, c.load, canWait)
			assert.Equal(t, d.Admitted, !c.refused, name)
			assert.Assert(t, d.Excess)
			if c.refused {
				assert.Equal(t, b.Promise("a", 1, 0), time.Duration(i+1)*time.Second, name)
			}
		}
		assert.DeepEqual(t, b.Admit("a", 1, time.Second, c.load, canWait), Decision{Admitted: true})
	}
}

func drawNeeds(t *rapid.T, resources int) []Need {
	needs := make([]Need, rapid.IntRange(1, 12).Draw(t, "accounts"))
	amount := func() model.Amount {
		a := model.Amount{Cores: rapid.Int64Range(0, 900).Draw(t, "cores")}
		if resources > 1 {
			a.Memory = rapid.Int64Range(0, 900).Draw(t, "memory")
			a.Accelerators = rapid.Int64Range(0, 3).Draw(t, "accelerators")
		}
		return a
	}
	for i := range needs {
		needs[i] = Need{Weight: rapid.Float64Range(0.1, 50).Draw(t, "weight"), Running: amount(), Waiting: amount()}
	}
	return needs
}

const tiny = 1e-9

// Guards against a division that leaves capacity unused while work waits, gives more than there is, or
// gives one account more for its weight while another is short.
func TestDivisionIsWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		needs := drawNeeds(t, rapid.IntRange(1, resources).Draw(t, "resources"))
		capacity := model.Amount{Cores: rapid.Int64Range(1, 5000).Draw(t, "cores"), Memory: 2000, Accelerators: 8}
		var d Divider
		shares := d.Divide(needs, capacity)
		var used vector
		wants := make([]vector, len(needs))
		met := make([]bool, len(needs))
		dominant := func(v vector) float64 { return max(v[0], v[1], v[2]) }
		for i, n := range needs {
			wants[i] = fractions(n.Running.Plus(n.Waiting), capacity)
			most := dominant(wants[i])
			assert.Assert(t, shares[i] <= most+tiny)
			met[i] = shares[i] >= most-tiny
			for r := range used {
				used[r] += wants[i][r] * shares[i] / max(most, tiny)
			}
		}
		for r := range used {
			assert.Assert(t, used[r] <= 1+1e-6, "resource %d", r)
		}
		for i := range needs {
			if met[i] {
				continue
			}
			blocked := false
			for r := range used {
				if wants[i][r] == 0 || used[r] < 1-1e-6 {
					continue
				}
				// No account that uses this resource has more for its weight.
				worst := true
				for k := range needs {
					worst = worst && (wants[k][r] == 0 || shares[k]/needs[k].Weight <= shares[i]/needs[i].Weight+1e-6)
				}
				blocked = blocked || worst
			}
			assert.Assert(t, blocked, "account %d is short without a reason: %v", i, shares)
		}
	})
}

// Guards against a division in which an account loses because the pool grows, another account needs less,
// or its own weight rises. This holds for one resource; DRF does not promise it for several.
func TestDivisionIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		needs := drawNeeds(t, 1)
		capacity := model.Amount{Cores: rapid.Int64Range(1, 5000).Draw(t, "capacity")}
		var d, e Divider
		before := d.Divide(needs, capacity)
		larger := capacity.Times(2)
		for i, s := range e.Divide(needs, larger) {
			assert.Assert(t, s*2 >= before[i]-tiny, "account %d in a larger pool", i)
		}
		k := rapid.IntRange(0, len(needs)-1).Draw(t, "account")
		heavier := append([]Need(nil), needs...)
		heavier[k].Weight *= 2
		assert.Assert(t, e.Divide(heavier, capacity)[k] >= before[k]-tiny)
		less := append([]Need(nil), needs...)
		less[k].Waiting = model.Amount{}
		for i, s := range e.Divide(less, capacity) {
			assert.Assert(t, i == k || s >= before[i]-tiny, "account %d beside one with less need", i)
		}
	})
}

// Guards against an account that is refused within its new weight because its bucket still fills at the old rate.
func TestBucketFillsAtTheNewRateFromTheChangeOn(t *testing.T) {
	var b Buckets
	for range minBurst {
		assert.Assert(t, b.Take("a", 0.5, 0))
	}
	b.Reweigh(func(string) float64 { return 1 }, 0)
	assert.Assert(t, !b.Take("a", 1, 900*time.Millisecond))
	assert.Assert(t, b.Take("a", 1, time.Second))
}
