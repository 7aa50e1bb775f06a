package soak

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chervilgauge.example/chervilgauge/internal/watch/joblog"
)

// The histogram holds latencies in microseconds.
const (
	maxLatency    = int64(time.Minute / time.Microsecond)
	latencyDigits = 3
)

// latency is a histogram that several callers record to.
type latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatency() *latency { return &latency{h: hdrhistogram.New(1, maxLatency, latencyDigits)} }

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A latency beyond the range of the histogram is recorded as its maximum.
	_ = l.h.RecordValue(min(d.Microseconds(), maxLatency))
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Faults   int
	Jobs     int
	Accepted int
	Finals   map[string]int
	// Answers counts the answers by method and status, 0 for none.
	Answers  map[string]int
	Submits  *hdrhistogram.Histogram // latency of accepted submissions, with their repetitions
	Findings []Finding
	// Leaders is the number of entries that led, and Callers that of the entries that made calls to
	// executors for a leader.
	Leaders, Callers int
	// Dir holds the logs of the entries. It is empty if they are not kept.
	Dir string

	logs []string
}

// report returns the result so far.
func (r *run) report() *Report {
	out := &Report{Seed: r.cfg.Seed, Faults: len(r.plan), Answers: r.answers, Submits: r.submits.h, Finals: map[string]int{}, Findings: r.findings}
	for _, j := range r.jobs.list() {
		v := j.view()
		out.Jobs++
		if v.accepted > 0 {
			out.Accepted++
		}
		if v.final != "" {
			out.Finals[v.final]++
		}
	}
	for _, e := range r.entries {
		out.logs = append(out.logs, e.logPath)
	}
	out.Leaders, out.Callers = r.countRoles()
	return out
}

// Write writes the report as text. It returns an Err if the logs of a finding can't be read.
func (p *Report) Write(w io.Writer) error {
	ms := func(q float64) float64 { return float64(p.Submits.ValueAtQuantile(q)) / 1000 }
	say(w, "seed %d: %d faults, %d jobs, %d accepted, final states %v, accepted in %.1f ms (p50) %.1f ms (p99), %d leaders, %d callers, %d findings\n",
		p.Seed, p.Faults, p.Jobs, p.Accepted, p.Finals, ms(50), ms(99), p.Leaders, p.Callers, len(p.Findings))
	for _, k := range slices.Sorted(maps.Keys(p.Answers)) {
		say(w, "  %s: %d", k, p.Answers[k])
	}
	say(w, "\n")
	for _, f := range p.Findings {
		say(w, "FOUND %s\n", f)
		if f.Job == "" {
			continue
		}
		lines, err := p.lines(f.Job)
		if err != nil {
			return err
		}
		for _, l := range lines {
			say(w, "    %s\n", l)
		}
	}
	if p.Dir != "" {
		say(w, "logs of the entries: %s\n", p.Dir)
	}
	return nil
}

// lines returns what the logs say about a job.
func (p *Report) lines(job string) ([]joblog.Line, error) {
	var out []joblog.Line
	for _, path := range p.logs {
		f, err := os.Open(path)
		if err != nil {
			return nil, Err.Wrap(err)
		}
		ls, err := joblog.Find(f, job)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		out = append(out, ls...)
	}
	joblog.Sort(out)
	return out, nil
}

// say writes to the terminal. It ignores errors, because they can't be reported anywhere.
func say(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
