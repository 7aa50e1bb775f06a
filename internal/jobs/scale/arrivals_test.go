package scale

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A narrow job needs 9 cores for a second.
const narrowCores = 9000

// meanNeed is the naive estimate: the work that arrived within the window over its length.
func meanNeed(a *Arrivals, now time.Duration) int64 {
	var sum int64
	for _, x := range a.jobs {
		if now-x.at < arrivalWindow {
			sum += x.work[""].Cores
		}
	}
	return int64(float64(sum) / arrivalWindow.Seconds())
}

// playRamp records narrow jobs at a rate that rises from 2 to 40 a second within 2 s and then
// stays, and calls f every 100 ms.
func playRamp(a *Arrivals, seed uint64, until time.Duration, f func(now time.Duration)) {
	rnd := rand.New(rand.NewPCG(seed, 0))
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < until; now += step {
		rate := 2 + 38*min(1, now.Seconds()/2)
		if rnd.Float64() < rate*step.Seconds() {
			a.Record(Work{"": cores(narrowCores)}, time.Second, now)
		}
		if now%(100*time.Millisecond) == 0 {
			f(now)
		}
	}
}

// Guards against a burst that is seen late: an instance takes about 2 s to come, so a need that is
// only averaged over the last 0.8 s has the pool short for the whole rise.
func TestBurstIsSeenEarlierThanByTheMean(t *testing.T) {
	const seeds, enough = 20, 20 * narrowCores // half of the final need
	var early, mean time.Duration
	for seed := range uint64(seeds) {
		a := &Arrivals{}
		seen, seenByMean := time.Duration(0), time.Duration(0)
		playRamp(a, seed, 4*time.Second, func(now time.Duration) {
			if seen == 0 && a.Need(now)[""].Cores >= enough {
				seen = now
			}
			if seenByMean == 0 && meanNeed(a, now) >= enough {
				seenByMean = now
			}
		})
		assert.Assert(t, seen > 0 && seenByMean > 0, "seed %d", seed)
		early, mean = early+seen, mean+seenByMean
	}
	t.Logf("half of the need is seen after %v, by the mean after %v", early/seeds, mean/seeds)
	assert.Assert(t, early < mean-seeds*200*time.Millisecond, "%v against %v", early/seeds, mean/seeds)
}

// Guards against a steady load that keeps more instances than it needs.
func TestSteadyLoadIsNotTakenForABurst(t *testing.T) {
	a := &Arrivals{}
	var sum, n float64
	playRamp(a, 1, time.Minute, func(now time.Duration) {
		if now > 10*time.Second {
			sum += float64(a.Need(now)[""].Cores)
			n++
		}
	})
	got := sum / n / (40 * narrowCores)
	t.Logf("mean need %.2f of the load", got)
	assert.Assert(t, got > 0.9 && got < 1.3, "%.2f", got)
}

// Guards against instances for work that can't run at the same time: the work of a job of 4 s
// counted as if it were done within 0.8 s, so that single jobs drew five times what they could use.
func TestLongJobNeedsItsOwnWidthOnly(t *testing.T) {
	a := &Arrivals{}
	a.Record(Work{"": cores(4 * 30000)}, 4*time.Second, 0)
	assert.Equal(t, a.Need(100 * time.Millisecond)[""].Cores, int64(30000))
	assert.Equal(t, a.Need(3900 * time.Millisecond)[""].Cores, int64(30000))
	assert.Equal(t, a.Need(4 * time.Second)[""].Cores, int64(0))
	assert.Equal(t, meanNeed(&Arrivals{[]arrival{{0, 4 * time.Second, Work{"": cores(4 * 30000)}}}}, 0), int64(150000))
}
