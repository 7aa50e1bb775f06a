package pools

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/bench/inproc"
	"chervilgauge.example/chervilgauge/internal/bench/load"
	"chervilgauge.example/chervilgauge/internal/setup/config"
)

// The current deployment size: 5 services on 50 executors with 8 slots each, 200 ms per request at
// 70% utilization, a tenth of the requests non-idempotent.
const (
	floodEntries   = 6
	floodServices  = 5
	floodEndpoints = 10
	floodRun       = 200 // milliseconds, mean
	floodUse       = 0.7
	floodFactor    = 5
	floodLength    = 15 * time.Second
)

// TestFloodFigures prints the throughput and latency of each service while another one is flooded,
// through complete entries. It asserts nothing: docs/performance.md compares the figures of one
// run with the targets, and internal/flow/admit asserts the targets on the decisions.
func TestFloodFigures(t *testing.T) {
	if os.Getenv("FLOOD") == "" {
		t.Skip("set FLOOD=1 to measure what services keep during a flood")
	}
	var pools []inproc.Pool
	for n := range floodServices {
		pools = append(pools, inproc.Pool{Name: fmt.Sprintf("s%d", n), Instances: floodEndpoints, Budget: 2, Run: floodRun, Exp: true})
	}
	w := start(t, inproc.WithEntries(floodEntries), inproc.WithPools(pools...),
		inproc.WithSettings(func(c *config.Config) { c.Limits.Waiting = 4000 }))
	h := &http.Client{Transport: &http.Transport{MaxIdleConns: 8192, MaxIdleConnsPerHost: 8192}}
	defer h.CloseIdleConnections()
	runLoad(t, w, h, "warm-up", -1, "normal")
	for _, urgency := range []string{"deferrable", "urgent"} {
		runLoad(t, w, h, "no flood", -1, urgency)
		runLoad(t, w, h, "flood of s0, "+urgency, 0, urgency)
	}
}

// runLoad runs one load and prints its results as a table.
func runLoad(t *testing.T, w *inproc.Deployment, h *http.Client, title string, flooded int, urgency string) {
	rate := floodUse * floodEndpoints * 8 * 1000 / floodRun
	p := load.Profile{Length: floodLength, FloodFrom: 3 * time.Second, FloodFor: 8 * time.Second,
		MaxOutstanding: 8000, Body: 64, Seed: 1}
	for n := range floodServices {
		part := load.ServiceLoad{Service: fmt.Sprintf("s%d", n), Rate: rate, NonIdempotentShare: 0.1, Urgency: "normal"}
		if n == flooded {
			part.Flood, part.Urgency = floodFactor, urgency
		}
		p.Services = append(p.Services, part)
	}
	r := load.Run(t.Context(), p, func(ctx context.Context, s load.Request) load.Result {
		c := inproc.Call{Service: s.Load.Service, Idempotent: !s.NonIdempotent, Urgency: s.Load.Urgency, Body: s.Body}
		if s.NonIdempotent {
			c.ID = inproc.NewID()
		}
		reply := inproc.Send(ctx, h, w.Entries[rand.IntN(len(w.Entries))].Addrs().Callers, c)
		if reply.Err != nil {
			return load.Incomplete
		}
		return load.Result(reply.Outcome)
	}, nil)
	fmt.Println(title)
	if err := r.Table(os.Stdout); err != nil {
		t.Error(err)
	}
}
