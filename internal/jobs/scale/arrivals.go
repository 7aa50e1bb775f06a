package scale

import (
	"math"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

const (
	// arrivalWindow is the longest time over which arriving work is averaged.
	arrivalWindow = 800 * time.Millisecond
	// moveTime is about the time from the decision for a move until the instance accepts work.
	moveTime = 2 * time.Second
	// maxGrowth bounds the factor by which a rising rate is extrapolated.
	maxGrowth = 2.5
)

// burstWindows are the times over which arrivals are averaged. A short one shows the start of a
// burst sooner, a long one is steadier.
var burstWindows = [...]time.Duration{arrivalWindow / 4, arrivalWindow / 2, arrivalWindow}

// Work is work by needed label: the capacity that tasks need times their estimated run time in
// seconds. The empty label has the work that needs none.
type Work map[string]model.Amount

// Arrivals estimates the need of a service from the jobs that it accepted lately. It answers
// bursts that last for seconds, about as long as it takes to move an instance: the need has to be
// seen within tenths of a second, and without taking one large job for a burst.
type Arrivals struct{ jobs []arrival }

type arrival struct {
	at, span time.Duration
	work     Work
}

// Record adds a job that arrived at a time. span is the estimated run time of its longest chain of
// steps.
func (a *Arrivals) Record(work Work, span, at time.Duration) {
	a.jobs = append(a.jobs, arrival{at, span, work})
}

// Need returns the capacity that arriving jobs will need at the same time. A job that is shorter
// than a move stands for the jobs that will follow it, at the rate at which such jobs arrive. A
// longer one needs capacity for as long as it runs.
func (a *Arrivals) Need(now time.Duration) Work {
	a.jobs = slices.DeleteFunc(a.jobs, func(x arrival) bool { return now-x.at >= max(arrivalWindow, x.span) })
	growth := a.growth(now)
	out := Work{}
	for _, window := range burstWindows {
		certainty := 1.0
		if n := a.count(now, 0, window); window < arrivalWindow {
			// One standard deviation of the number of arrivals in so short a time may be chance.
			certainty = 1 - 1/math.Sqrt(max(float64(n), 1))
		}
		need := Work{}
		for _, x := range a.jobs {
			span, factor := window, certainty*growth
			if x.span > moveTime {
				span, factor = max(arrivalWindow, x.span), 1
			}
			if now-x.at >= span {
				continue
			}
			for label, w := range x.work {
				need[label] = need[label].Plus(w.Scale(factor / span.Seconds()))
			}
		}
		for label, w := range need {
			out[label] = out[label].Max(w)
		}
	}
	return out
}

// growth returns the factor by which the rate of arrivals is expected to rise until an instance
// that is ordered now accepts work, 1 if no rise is certain. The last rise is taken to go on for
// half of that time.
func (a *Arrivals) growth(now time.Duration) float64 {
	const half = arrivalWindow / 2
	recent, before := float64(a.count(now, 0, half)), float64(a.count(now, half, arrivalWindow))
	rise := recent - before - math.Sqrt(recent+before)
	if rise <= 0 {
		return 1
	}
	mean := (recent + before) / 2
	return min(maxGrowth, 1+rise/mean*(moveTime/2).Seconds()/half.Seconds())
}

// count returns the number of jobs that arrived from to up to from before now.
func (a *Arrivals) count(now, from, to time.Duration) int {
	n := 0
	for _, x := range a.jobs {
		if age := now - x.at; age >= from && age < to {
			n++
		}
	}
	return n
}
