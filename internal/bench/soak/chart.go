package soak

import (
	"bytes"
	"cmp"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the format
)

const (
	// chartFile is the name of the chart in the directory of a run.
	chartFile = "shares.svg"
	// maxLines is the largest number of lines in the chart. With more accounts, the last one is the sum of
	// those that use least.
	maxLines = 10
	// othersName is the name of that line.
	othersName = "others"
	// maxSamples bounds the points of a line. Beyond it, each second sample is dropped.
	maxSamples = 600
	// sampleInterval is the time between samples, until some are dropped.
	sampleInterval = 400 * time.Millisecond

	// legendRoom is the length of the time axis in lengths of the run: the legend is on the right.
	legendRoom = 1.25

	chartWidth, chartHeight = 18 * vg.Centimeter, 10 * vg.Centimeter
)

// sample is what the accounts ran at a time, in thousandths of a core.
type sample struct {
	at    time.Duration
	cores map[string]int
}

// shares records what each account runs over time. The zero value is ready for use.
type shares struct {
	mu       sync.Mutex
	all      []sample
	interval time.Duration
}

// add adds a sample if the last one is old enough. cores is called only then.
func (s *shares) add(at time.Duration, cores func() map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interval = max(s.interval, sampleInterval)
	if n := len(s.all); n > 0 && at < s.all[n-1].at+s.interval {
		return
	}
	s.all = append(s.all, sample{at, cores()})
	if len(s.all) < maxSamples {
		return
	}
	for i := range s.all[:len(s.all)/2] {
		s.all[i] = s.all[2*i]
	}
	s.all, s.interval = s.all[:len(s.all)/2], 2*s.interval
}

// lines returns the share of the running cores, in percent, of each account over time, by name.
func (s *shares) lines() map[string]plotter.XYs {
	sums := map[string]int{}
	for _, p := range s.all {
		for name, n := range p.cores {
			sums[name] += n
		}
	}
	names := slices.SortedFunc(maps.Keys(sums), func(a, b string) int { return cmp.Or(cmp.Compare(sums[b], sums[a]), cmp.Compare(a, b)) })
	lineOf := map[string]string{}
	for i, name := range names {
		lineOf[name] = name
		if len(names) > maxLines && i >= maxLines-1 {
			lineOf[name] = othersName
		}
	}
	out := map[string]plotter.XYs{}
	for i, p := range s.all {
		total := 0
		for _, n := range p.cores {
			total += n
		}
		for name := range sums {
			line := lineOf[name]
			if len(out[line]) <= i {
				out[line] = append(out[line], plotter.XY{X: (p.at - s.all[0].at).Seconds()})
			}
			out[line][i].Y += 100 * float64(p.cores[name]) / float64(max(total, 1))
		}
	}
	return out
}

// write writes the chart into a directory, unless there are no accounts. It returns an Err.
func (s *shares) write(dir, title string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.lines()
	if len(lines) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "time in s", "share of running cores in %"
	p.Y.Min, p.Y.Max = 0, 100
	p.Legend.Top = true
	for i, name := range slices.Sorted(maps.Keys(lines)) {
		line, err := plotter.NewLine(lines[name])
		if err != nil {
			return Err.Wrap(err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.X.Max *= legendRoom
	c, err := p.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return Err.Wrap(err)
	}
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return Err.Wrap(err)
	}
	return Err.Wrap(os.WriteFile(filepath.Join(dir, chartFile), b.Bytes(), 0o644))
}
