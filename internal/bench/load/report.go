package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/zeebo/errs"
)

// Err is the class of errors when a report can't be written.
var Err = errs.Class("report")

// Table writes the report as a table, with latencies in milliseconds. Its errors are of class Err.
func (r Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	printCell(t, "service\t")
	for _, k := range Results() {
		printCell(t, "%s\t", k)
	}
	printCell(t, "per second\tp50 ms\tp99 ms\tmax ms\t\n")
	for _, s := range r.Series {
		printCell(t, "%s\t", s.Service)
		for _, k := range Results() {
			printCell(t, "%d\t", s.Counts[k])
		}
		printCell(t, "%.1f\t%.3f\t%.3f\t%.3f\t\n", r.rate(s),
			millis(s.Latency.ValueAtQuantile(50)), millis(s.Latency.ValueAtQuantile(99)), millis(s.Latency.Max()))
	}
	return Err.Wrap(t.Flush())
}

// rate returns the answered requests per second.
func (r Report) rate(s *Series) float64 {
	return float64(s.Counts[Answered]) / r.Length.Seconds()
}

// millis converts microseconds to milliseconds.
func millis(us int64) float64 { return float64(us) / float64(time.Millisecond/time.Microsecond) }

// JSON writes the report as one JSON object, with latencies in milliseconds. Its errors are of
// class Err.
func (r Report) JSON(w io.Writer) error {
	type line struct {
		Service string         `json:"service"`
		Counts  map[Result]int `json:"counts"`
		Flooded map[Result]int `json:"flooded"`
		Rate    float64        `json:"rate"`
		P50     float64        `json:"p50"`
		P90     float64        `json:"p90"`
		P99     float64        `json:"p99"`
		Max     float64        `json:"max"`
	}
	out := struct {
		Seconds float64 `json:"seconds"`
		Series  []line  `json:"series"`
	}{Seconds: r.Length.Seconds()}
	for _, s := range r.Series {
		out.Series = append(out.Series, line{
			Service: s.Service, Counts: s.Counts, Flooded: s.Flooded, Rate: r.rate(s),
			P50: millis(s.Latency.ValueAtQuantile(50)), P90: millis(s.Latency.ValueAtQuantile(90)),
			P99: millis(s.Latency.ValueAtQuantile(99)), Max: millis(s.Latency.Max()),
		})
	}
	return Err.Wrap(json.NewEncoder(w).Encode(out))
}

// Total returns the sum of all series, without a service name.
func (r Report) Total() *Series {
	out := &Series{Counts: map[Result]int{}, Flooded: map[Result]int{}, Latency: hdrhistogram.New(1, maxLatency, latencyDigits)}
	for _, s := range r.Series {
		for k, n := range s.Counts {
			out.Counts[k] += n
		}
		for k, n := range s.Flooded {
			out.Flooded[k] += n
		}
		out.Latency.Merge(s.Latency)
	}
	return out
}

// printCell writes to the table. Its errors are ignored, because Flush returns those of the
// underlying writer.
func printCell(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
