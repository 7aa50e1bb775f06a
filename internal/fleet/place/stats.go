package place

import (
	"math"
	"time"
)

const (
	// minRuns is the number of finished runs from which the learned use of a kind counts.
	minRuns = 5
	// warmup is the time after its start in which a job's use is not representative.
	warmup = 2 * time.Second
	// smoothing is the weight of the latest run in the moving averages.
	smoothing = 0.1
	// minUseFactor and maxUseFactor bound the learned use, as multiples of the declared need.
	minUseFactor, maxUseFactor = 0.1, 4.0
)

// average is an exponential moving average with its variance.
type average struct{ mean, variance float64 }

func (a *average) add(x float64, first bool) {
	if first {
		a.mean = x
		return
	}
	d := x - a.mean
	a.mean += smoothing * d
	a.variance = (1 - smoothing) * (a.variance + smoothing*d*d)
}

// high returns the mean plus two standard deviations, which few runs exceed.
func (a *average) high() float64 { return a.mean + 2*math.Sqrt(a.variance) }

// kindStats holds the statistics of the jobs of one team and kind.
type kindStats struct {
	runs       int
	cores      average // as a multiple of the declared need
	memory     average // as a multiple of the declared need
	peakMemory float64 // decaying maximum, as a multiple of the declared need
	length     average // seconds
	successes  float64 // decaying count, as is failures
	failures   float64
}

// recordRun records a finished run with the largest use that was reported.
func (k *kindStats) recordRun(declared, peak Amount, took time.Duration) {
	first := k.runs == 0
	k.cores.add(float64(peak.Cores)/float64(max(declared.Cores, 1)), first)
	k.length.add(took.Seconds(), first)
	memory := float64(peak.Memory) / float64(max(declared.Memory, 1))
	k.memory.add(memory, first)
	k.peakMemory = max(k.peakMemory*0.995, memory)
	k.runs++
}

// expectedNeed returns what a job is expected to use, at most limit or what it declared,
// whichever is more. Accelerators are not shared, so their declared number counts.
func (k *kindStats) expectedNeed(declared, limit Amount) Amount {
	if k.runs < minRuns {
		return declared
	}
	scale := func(x int64, f float64) int64 {
		return int64(float64(x) * min(max(f, minUseFactor), maxUseFactor))
	}
	return Amount{
		Cores:        min(scale(declared.Cores, k.cores.high()), max(limit.Cores, declared.Cores)),
		Memory:       min(scale(declared.Memory, k.highMemory()), max(limit.Memory, declared.Memory)),
		Accelerators: declared.Accelerators,
	}
}

// highMemory returns the memory that hardly any run exceeds, as a multiple of the declared
// need. The estimate is higher than for cores, because a job that exceeds its worker's
// memory is killed, while one that exceeds its cores is only slowed down. A kind that never
// used more than it declared is not allocated more.
func (k *kindStats) highMemory() float64 {
	f := max(k.peakMemory*(1+1/float64(k.runs)), k.memory.high())
	if k.peakMemory <= 1 {
		return min(f, 1)
	}
	return f
}

// expectedLength returns how long a job is expected to run.
func (k *kindStats) expectedLength(declared time.Duration) time.Duration {
	if k.runs < minRuns {
		return declared
	}
	return time.Duration(k.length.high() * float64(time.Second))
}

// failureProbability returns the probability that a job of the kind fails on a healthy worker.
func (k *kindStats) failureProbability() float64 {
	return (k.failures + 1) / (k.successes + k.failures + 2)
}

func (k *kindStats) recordResult(ok bool) {
	k.successes *= 0.98
	k.failures *= 0.98
	if ok {
		k.successes++
	} else {
		k.failures++
	}
}
