package spare

import (
	"math"
	"slices"
	"time"
)

const (
	// history is the number of past peaks and move times that are kept.
	history = 16
	// samples is the number of past peaks from which a forecast is made.
	samples = 3
	// ahead is the number of forecast peaks per pool.
	ahead = 2
	// high and low bound the hysteresis of peak detection, as shares of the pool's own
	// slots. The gap keeps noise of a tenth from splitting a peak in two.
	high, low = 1.0, 0.8
)

// Model learns when and for how long the demand of each pool exceeds its slots. It
// is rebuilt by observation after a restart. It is not safe for concurrent use.
type Model struct {
	pools map[string]*track
	first time.Duration // of the first observation
}

// NewModel returns a Model without observations.
func NewModel() *Model {
	return &Model{pools: make(map[string]*track)}
}

// track is the history of one pool.
type track struct {
	peak    bool
	start   time.Duration
	most    float64 // largest deficit in slots of the present peak
	starts  []time.Duration
	lengths []time.Duration
	deficit []float64
	total   time.Duration // in all ended peaks
	count   int
	ended   time.Duration // when the last peak ended
}

// Observe records the demand of the pools. Peaks are located to the interval
// between calls, so it is called several times per second.
func (m *Model) Observe(now time.Duration, pools []Pool) {
	if len(m.pools) == 0 {
		m.first = now
	}
	for _, p := range pools {
		t := m.pools[p.Name]
		if t == nil {
			t = &track{}
			m.pools[p.Name] = t
		}
		t.observe(now, p)
	}
}

func (t *track) observe(now time.Duration, p Pool) {
	slots := float64(p.Slots)
	switch {
	case !t.peak && p.Demand > high*slots:
		t.peak, t.start, t.most = true, now, 0
		t.starts = keep(t.starts, now)
	case t.peak && p.Demand < low*slots:
		t.peak = false
		t.ended = now
		t.total += now - t.start
		t.count++
		t.lengths = keep(t.lengths, now-t.start)
		t.deficit = keep(t.deficit, t.most)
	}
	if t.peak {
		t.most = max(t.most, p.Demand-slots)
	}
}

func keep[T any](s []T, v T) []T {
	if len(s) == history {
		s = slices.Delete(s, 0, 1)
	}
	return append(s, v)
}

// median returns the upper median of a list that is not empty.
func median[T float64 | time.Duration](s []T) T {
	c := slices.Sorted(slices.Values(s))
	return c[len(c)/2]
}

// lasts returns how long the past peaks of the pool lasted, or those of all pools
// if the pool had too few: peaks of different pools are more alike than unknown.
func (m *Model) lasts(t *track) []time.Duration {
	if len(t.lengths) >= samples {
		return t.lengths
	}
	var all []time.Duration
	for _, o := range m.pools {
		all = append(all, o.lengths...)
	}
	if len(all) >= samples {
		return all
	}
	return nil
}

// remaining returns how much longer the present peak may last, one value for each past
// peak that lasted longer. A peak that outlasts all past ones says little about its
// end: a quarter of the elapsed time is assumed. With too few past peaks it is the
// elapsed time again.
func (m *Model) remaining(t *track, now time.Duration) []time.Duration {
	elapsed := now - t.start
	past := m.lasts(t)
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

// rhythm returns the usual time between starts of peaks and the share of past ones
// that came within half a peak of it.
func (t *track) rhythm() (gap time.Duration, confidence float64) {
	if len(t.starts) <= samples || len(t.lengths) < samples {
		return 0, 0
	}
	gaps := make([]time.Duration, len(t.starts)-1)
	for i := range gaps {
		gaps[i] = t.starts[i+1] - t.starts[i]
	}
	gap = median(gaps)
	slack := median(t.lengths) / 2
	n := 0
	for _, g := range gaps {
		if (g - gap).Abs() <= slack {
			n++
		}
	}
	// The median gap always agrees with itself.
	return gap, float64(n-1) / float64(len(gaps))
}

// visit is a present or forecast peak that an instance may serve.
type visit struct {
	pool       string
	start, end time.Duration
	confidence float64
	deficit    float64 // slots
	present    bool
	stay       bool
	// rest holds how much longer a present peak may last, each value equally likely.
	rest []time.Duration
}

// useful returns the expected time for which an instance that arrives at a time is
// useful. The mean over the possible ends counts, not the mean end: a peak that may
// last long is worth a move even if most peaks end before the arrival.
func (v *visit) useful(now, arrive time.Duration) time.Duration {
	if !v.present {
		return max(0, v.end-arrive)
	}
	var sum time.Duration
	for _, r := range v.rest {
		sum += max(0, r-(arrive-now))
	}
	return sum / time.Duration(len(v.rest))
}

// visits returns the present and forecast peaks of a pool.
func (m *Model) visits(now time.Duration, p Pool) []visit {
	t := m.pools[p.Name]
	if t == nil {
		return nil
	}
	var out []visit
	if t.peak {
		d := max(p.Demand-float64(p.Slots), 0)
		rest := m.remaining(t, now)
		out = append(out, visit{p.Name, now, now + mean(rest), 1, d, true, false, rest})
	}
	gap, c := t.rhythm()
	// Below one half, a forecast is wrong more often than right.
	if c < 0.5 {
		if m.lasts(t) == nil {
			return out
		}
		return append(out, m.stay(now, t, p.Name))
	}
	length, d := median(t.lengths), median(t.deficit)
	next := t.starts[len(t.starts)-1] + gap
	for next+length/2 < now {
		next += gap
		c *= 0.5
	}
	for k := range ahead {
		out = append(out, visit{p.Name, max(next, now), next + length, math.Pow(c, float64(k+1)), d, false, false, nil})
		next += gap
	}
	return out
}

// prior is the number of a pool's own peaks that weigh as much as those of all pools.
const prior = 4

// stay returns a long visit to a pool without a rhythm. An instance that waits there
// is useful for the share of time that the pool spends in peaks. The share is drawn
// towards that of all pools while the pool had few peaks, so that instances do not
// move after every estimate.
func (m *Model) stay(now time.Duration, t *track, name string) visit {
	seen := max(now-m.first, 1)
	var all, own time.Duration
	var deficits []float64
	n := 0
	for _, o := range m.pools {
		all += o.total
		n += o.count
		deficits = append(deficits, o.deficit...)
	}
	own = t.total
	common := float64(all) / float64(len(m.pools)) / float64(seen)
	weight := float64(t.count) / float64(t.count+prior)
	share := common + weight*(float64(own)/float64(seen)-common)
	// The next peak in any pool ends the stay.
	end := now + seen/time.Duration(n)
	return visit{name, now, end, min(1, share), median(deficits), false, true, nil}
}

// idle returns the time since the last peak of a pool ended.
func (m *Model) idle(now time.Duration, pool string) time.Duration {
	t := m.pools[pool]
	if t == nil {
		return now - m.first
	}
	return now - t.ended
}
