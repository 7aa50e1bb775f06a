// Package load generates open-loop load: requests start at their scheduled times whether or not
// earlier ones have ended, and latency is measured from the scheduled time.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ServiceLoad is the load for one service.
type ServiceLoad struct {
	Service string
	// Rate is in requests per second.
	Rate float64
	// NonIdempotentShare is the share of non-idempotent requests, 0 to 1.
	NonIdempotentShare float64
	Urgency            string
	Team               string
	// Flood is the factor of the rate during the flood, 0 for no flood.
	Flood float64
}

// Profile describes a load.
type Profile struct {
	Services []ServiceLoad
	// Length is the time during which requests are started.
	Length time.Duration
	// FloodFrom is when the flood starts, counted from the start of the load, and FloodFor is
	// its duration, 0 for no flood.
	FloodFrom, FloodFor time.Duration
	// MaxOutstanding is the highest number of requests in flight for each service; requests
	// beyond it are counted as Unsent. The limit is per service, so that a flood of one
	// service does not stop the load for the others.
	MaxOutstanding int
	// Body is the size of request bodies in bytes.
	Body int
	Seed uint64
}

// Request is one request of the load.
type Request struct {
	Load          *ServiceLoad
	NonIdempotent bool
	// InFlood is set if the request was scheduled during the flood.
	InFlood bool
	Body    []byte
}

// Result is how a request ended.
type Result string

// Results.
const (
	Answered Result = "answered"
	Failed   Result = "failed"
	NotRun   Result = "not-run"
	Unknown  Result = "unknown"
	// Incomplete means that no whole answer was received.
	Incomplete Result = "cut"
	// Unsent means that too many requests were in flight.
	Unsent Result = "unsent"
)

// Results returns all results in the order of the report's columns.
func Results() []Result { return []Result{Answered, Failed, NotRun, Unknown, Incomplete, Unsent} }

// Sender sends one request and waits for its result.
type Sender func(ctx context.Context, s Request) Result

const (
	// maxLatency, in microseconds, and latencyDigits, in significant digits, are the range
	// and precision of the latency histograms.
	maxLatency    = int64(60 * time.Second / time.Microsecond)
	latencyDigits = 3
)

// Series holds the results of the requests to one service.
type Series struct {
	Service string
	Counts  map[Result]int
	// Flooded counts the results of requests scheduled during the flood.
	Flooded map[Result]int
	// Latency holds the latency of answered requests in microseconds.
	Latency *hdrhistogram.Histogram
}

// Report holds the results of a load.
type Report struct {
	Series []*Series
	Length time.Duration
}

// run is a load in progress.
type run struct {
	profile  Profile
	send     Sender
	body     []byte
	requests sync.WaitGroup

	mu     sync.Mutex
	series map[string]*Series
	report Report
}

// Run sends the load and waits for all answers. If progress is not nil, it is called about once a
// second with the number of requests by result so far.
func Run(ctx context.Context, p Profile, send Sender, progress func(elapsed time.Duration, counts map[Result]int)) Report {
	r := &run{
		profile: p,
		send:    send,
		body:    make([]byte, p.Body),
		series:  map[string]*Series{},
	}
	for i := range p.Services {
		r.addSeries(p.Services[i].Service)
	}
	start := time.Now()
	done := make(chan struct{})
	go r.reportProgress(start, progress, done)
	for i := range p.Services {
		r.requests.Add(1)
		go func() {
			defer r.requests.Done()
			r.generate(ctx, start, &p.Services[i], rand.New(rand.NewPCG(p.Seed, uint64(i))))
		}()
	}
	r.requests.Wait()
	done <- struct{}{}
	r.report.Length = time.Since(start)
	return r.report
}

func (r *run) addSeries(service string) {
	if r.series[service] != nil {
		return
	}
	s := &Series{
		Service: service,
		Counts:  map[Result]int{},
		Flooded: map[Result]int{},
		Latency: hdrhistogram.New(1, maxLatency, latencyDigits),
	}
	r.series[service] = s
	r.report.Series = append(r.report.Series, s)
}

// reportProgress calls progress once a second until it receives from done.
func (r *run) reportProgress(start time.Time, progress func(time.Duration, map[Result]int), done <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		if progress != nil {
			progress(time.Since(start), r.counts())
		}
	}
}

func (r *run) counts() map[Result]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[Result]int{}
	for _, s := range r.series {
		for k, n := range s.Counts {
			out[k] += n
		}
	}
	return out
}

// generate starts the requests to a service as a Poisson process, with exponentially distributed
// intervals.
func (r *run) generate(ctx context.Context, start time.Time, p *ServiceLoad, rng *rand.Rand) {
	slots := make(chan struct{}, max(1, r.profile.MaxOutstanding))
	at := time.Duration(0)
	for ctx.Err() == nil {
		rate := p.Rate
		flooded := r.inFlood(at)
		if flooded && p.Flood > 0 {
			rate *= p.Flood
		}
		if rate <= 0 {
			return
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= r.profile.Length {
			return
		}
		if wait := at - time.Since(start); wait > 0 {
			time.Sleep(wait)
		}
		r.start(ctx, slots, start.Add(at), Request{Load: p, NonIdempotent: rng.Float64() < p.NonIdempotentShare, InFlood: r.inFlood(at), Body: r.body})
	}
}

// inFlood reports whether a time since the start of the load is during the flood.
func (r *run) inFlood(at time.Duration) bool {
	return r.profile.FloodFor > 0 && at >= r.profile.FloodFrom && at < r.profile.FloodFrom+r.profile.FloodFor
}

// start sends a request in a goroutine of its own, or records it as Unsent if too many are in
// flight.
func (r *run) start(ctx context.Context, slots chan struct{}, at time.Time, s Request) {
	select {
	case slots <- struct{}{}:
	default:
		r.record(s, Unsent, 0)
		return
	}
	r.requests.Add(1)
	go func() {
		defer r.requests.Done()
		result := r.send(ctx, s)
		<-slots
		r.record(s, result, time.Since(at))
	}()
}

func (r *run) record(s Request, result Result, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	series := r.series[s.Load.Service]
	series.Counts[result]++
	if s.InFlood {
		series.Flooded[result]++
	}
	if result == Answered {
		// A latency beyond the range of the histogram is recorded as its maximum.
		_ = series.Latency.RecordValue(min(latency.Microseconds(), maxLatency))
	}
}
