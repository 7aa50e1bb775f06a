package place

import (
	"math"
	"time"
)

const (
	// trusted is the number of finished runs from which a kind's use is believed.
	trusted = 5
	// settle is how long after its start a job's use is not representative yet.
	settle = 2 * time.Second
	// fade is the weight of the newest run in the moving averages.
	fade = 0.1
	// least and most bound the learned use as multiples of the declared need.
	least, most = 0.1, 4.0
)

// average is a moving average with its variance.
type average struct{ mean, vary float64 }

func (a *average) add(x float64, first bool) {
	if first {
		a.mean = x
		return
	}
	d := x - a.mean
	a.mean += fade * d
	a.vary = (1 - fade) * (a.vary + fade*d*d)
}

// high returns a value that few runs exceed.
func (a *average) high() float64 { return a.mean + 2*math.Sqrt(a.vary) }

// kind is what is known about the jobs of one team and kind.
type kind struct {
	runs   int
	cores  average // of the declared need
	memory average // of the declared need
	top    float64 // largest memory use of the declared need, decaying
	length average // seconds
	good   float64 // decaying counts of results
	bad    float64
}

// observe records a finished run with the largest use that was reported.
func (k *kind) observe(declared, peak Amount, took time.Duration) {
	first := k.runs == 0
	k.cores.add(float64(peak.Cores)/float64(max(declared.Cores, 1)), first)
	k.length.add(took.Seconds(), first)
	memory := float64(peak.Memory) / float64(max(declared.Memory, 1))
	k.memory.add(memory, first)
	k.top = max(k.top*0.995, memory)
	k.runs++
}

// need returns what a job is expected to use, at most limit. Accelerators are not
// shared, so the declared number counts.
func (k *kind) need(declared, limit Amount) Amount {
	if k.runs < trusted {
		return declared
	}
	scale := func(x int64, f float64) int64 {
		return int64(float64(x) * min(max(f, least), most))
	}
	return Amount{
		Cores:        min(scale(declared.Cores, k.cores.high()), max(limit.Cores, declared.Cores)),
		Memory:       min(scale(declared.Memory, k.highMemory()), max(limit.Memory, declared.Memory)),
		Accelerators: declared.Accelerators,
	}
}

// highMemory returns the memory that hardly any run exceeds, of the declared need. It
// is more careful than for cores, because a job that exceeds its worker's memory is
// killed, while one that exceeds its cores is slowed down. A kind that never used
// more than it declared is not given more.
func (k *kind) highMemory() float64 {
	f := max(k.top*(1+1/float64(k.runs)), k.memory.high())
	if k.top <= 1 {
		return min(f, 1)
	}
	return f
}

// lasts returns how long a job is expected to run.
func (k *kind) lasts(declared time.Duration) time.Duration {
	if k.runs < trusted {
		return declared
	}
	return time.Duration(k.length.high() * float64(time.Second))
}

// failing returns the probability that a job of the kind fails on a healthy worker.
func (k *kind) failing() float64 { return (k.bad + 1) / (k.good + k.bad + 2) }

func (k *kind) result(ok bool) {
	k.good *= 0.98
	k.bad *= 0.98
	if ok {
		k.good++
	} else {
		k.bad++
	}
}
