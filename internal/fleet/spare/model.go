package spare

import (
	"math"
	"slices"
	"time"
)

const (
	// maxHistory is the number of past peaks and of move times that are stored.
	maxHistory = 16
	// minPeaks is the number of past peaks from which a forecast is made.
	minPeaks = 3
	// forecastPeaks is the number of forecast peaks per pool.
	forecastPeaks = 2
	// peakStartShare and peakEndShare are the thresholds of peak detection, as shares of
	// the pool's own slots. With the gap between them, noise of a tenth does not split a
	// peak in two.
	peakStartShare, peakEndShare = 1.0, 0.8
)

// Model learns when and for how long the demand of each pool exceeds its slots. It is not
// stored: after a restart it learns again. It is not safe for concurrent use.
type Model struct {
	histories map[string]*poolHistory
	first     time.Duration // of the first observation
}

// NewModel returns a Model without observations.
func NewModel() *Model {
	return &Model{histories: make(map[string]*poolHistory)}
}

// poolHistory is the history of the peaks of one pool.
type poolHistory struct {
	inPeak      bool
	peakStart   time.Duration
	peakDeficit float64 // largest deficit of the present peak, in slots
	starts      []time.Duration
	lengths     []time.Duration
	deficits    []float64
	peakTime    time.Duration // in all ended peaks
	peakCount   int
	lastPeakEnd time.Duration // when the last peak ended
}

// Observe records the demand of the pools. The interval between calls is the precision of
// the times of peaks.
func (m *Model) Observe(now time.Duration, pools []Pool) {
	if len(m.histories) == 0 {
		m.first = now
	}
	for _, p := range pools {
		h := m.histories[p.Name]
		if h == nil {
			h = &poolHistory{}
			m.histories[p.Name] = h
		}
		h.observe(now, p)
	}
}

func (h *poolHistory) observe(now time.Duration, p Pool) {
	slots := float64(p.Slots)
	switch {
	case !h.inPeak && p.Demand > peakStartShare*slots:
		h.inPeak, h.peakStart, h.peakDeficit = true, now, 0
		h.starts = appendBounded(h.starts, now)
	case h.inPeak && p.Demand < peakEndShare*slots:
		h.inPeak = false
		h.lastPeakEnd = now
		h.peakTime += now - h.peakStart
		h.peakCount++
		h.lengths = appendBounded(h.lengths, now-h.peakStart)
		h.deficits = appendBounded(h.deficits, h.peakDeficit)
	}
	if h.inPeak {
		h.peakDeficit = max(h.peakDeficit, p.Demand-slots)
	}
}

func appendBounded[T any](s []T, v T) []T {
	if len(s) == maxHistory {
		s = slices.Delete(s, 0, 1)
	}
	return append(s, v)
}

// median returns the upper median of a list that is not empty.
func median[T float64 | time.Duration](s []T) T {
	c := slices.Sorted(slices.Values(s))
	return c[len(c)/2]
}

// pastLengths returns the lengths of the pool's past peaks, or of those of all pools if the
// pool had too few, because other pools' peaks are a better estimate than none. It returns
// nil if all pools together had too few.
func (m *Model) pastLengths(h *poolHistory) []time.Duration {
	if len(h.lengths) >= minPeaks {
		return h.lengths
	}
	var all []time.Duration
	for _, o := range m.histories {
		all = append(all, o.lengths...)
	}
	if len(all) >= minPeaks {
		return all
	}
	return nil
}

// remainingTimes returns how much longer the present peak may last, one value for each past
// peak that lasted longer. For a peak that is longer than all past ones, a quarter of the
// elapsed time is assumed. With too few past peaks it is the whole elapsed time.
func (m *Model) remainingTimes(h *poolHistory, now time.Duration) []time.Duration {
	elapsed := now - h.peakStart
	past := m.pastLengths(h)
	if past == nil {
		return []time.Duration{elapsed}
	}
	var out []time.Duration
	for _, l := range past {
		if l > elapsed {
			out = append(out, l-elapsed)
		}
	}
	if len(out) == 0 {
		out = append(out, elapsed/4)
	}
	return out
}

func mean(s []time.Duration) time.Duration {
	var sum time.Duration
	for _, d := range s {
		sum += d
	}
	return sum / time.Duration(len(s))
}

// period returns the median time between starts of peaks, and as confidence the share of the
// other gaps that differ from it by at most half the median length of a peak.
func (h *poolHistory) period() (gap time.Duration, confidence float64) {
	if len(h.starts) <= minPeaks || len(h.lengths) < minPeaks {
		return 0, 0
	}
	gaps := make([]time.Duration, len(h.starts)-1)
	for i := range gaps {
		gaps[i] = h.starts[i+1] - h.starts[i]
	}
	gap = median(gaps)
	slack := median(h.lengths) / 2
	n := 0
	for _, g := range gaps {
		if (g - gap).Abs() <= slack {
			n++
		}
	}
	// The median gap itself is not counted, because it always agrees.
	return gap, float64(n-1) / float64(len(gaps))
}

// visit is a present or forecast peak that an instance may serve, or a stay in a pool without
// periodic peaks (see waitingVisit).
type visit struct {
	pool       string
	start, end time.Duration
	confidence float64
	deficit    float64 // slots
	present    bool
	waiting    bool
	// remaining holds how much longer a present peak may last, each value equally likely.
	remaining []time.Duration
}

// useful returns the expected time for which an instance that arrives at arrive is useful.
// It is the mean over the possible ends, not the time to the mean end: a peak that may last
// long is worth a move even if most peaks end before the arrival.
func (v *visit) useful(now, arrive time.Duration) time.Duration {
	if !v.present {
		return max(0, v.end-arrive)
	}
	var sum time.Duration
	for _, r := range v.remaining {
		sum += max(0, r-(arrive-now))
	}
	return sum / time.Duration(len(v.remaining))
}

// visits returns the present and forecast peaks of a pool, and a waiting visit if its peaks
// are not periodic.
func (m *Model) visits(now time.Duration, p Pool) []visit {
	h := m.histories[p.Name]
	if h == nil {
		return nil
	}
	var out []visit
	if h.inPeak {
		d := max(p.Demand-float64(p.Slots), 0)
		rest := m.remainingTimes(h, now)
		out = append(out, visit{p.Name, now, now + mean(rest), 1, d, true, false, rest})
	}
	gap, c := h.period()
	// With a confidence below one half, a forecast is wrong more often than right.
	if c < 0.5 {
		if m.pastLengths(h) == nil {
			return out
		}
		return append(out, m.waitingVisit(now, h, p.Name))
	}
	length, d := median(h.lengths), median(h.deficits)
	next := h.starts[len(h.starts)-1] + gap
	for next+length/2 < now {
		next += gap
		c *= 0.5
	}
	for k := range forecastPeaks {
		out = append(out, visit{p.Name, max(next, now), next + length, math.Pow(c, float64(k+1)), d, false, false, nil})
		next += gap
	}
	return out
}

// priorPeaks is the number of a pool's own peaks that weigh as much as those of all pools.
const priorPeaks = 4

// waitingVisit returns a long visit to a pool without periodic peaks. An instance that waits
// there is useful for the share of time that the pool spends in peaks. While the pool had few
// peaks, the share is weighted with the mean of all pools, so that instances do not move
// after every change of the estimate.
func (m *Model) waitingVisit(now time.Duration, h *poolHistory, name string) visit {
	seen := max(now-m.first, 1)
	var all, own time.Duration
	var deficits []float64
	n := 0
	for _, o := range m.histories {
		all += o.peakTime
		n += o.peakCount
		deficits = append(deficits, o.deficits...)
	}
	own = h.peakTime
	common := float64(all) / float64(len(m.histories)) / float64(seen)
	weight := float64(h.peakCount) / float64(h.peakCount+priorPeaks)
	share := common + weight*(float64(own)/float64(seen)-common)
	// The next peak in any pool ends the visit.
	end := now + seen/time.Duration(n)
	return visit{name, now, end, min(1, share), median(deficits), false, true, nil}
}

// timeSincePeak returns the time since the last peak of a pool ended, or since the first
// observation if the pool was never observed.
func (m *Model) timeSincePeak(now time.Duration, pool string) time.Duration {
	h := m.histories[pool]
	if h == nil {
		return now - m.first
	}
	return now - h.lastPeakEnd
}
