package cmds

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/http"
	"time"

	"chervilgauge.example/chervilgauge/internal/bench/inproc"
	"chervilgauge.example/chervilgauge/internal/bench/load"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
)

// maxConns is the maximum number of idle connections of the load generator, and of the requests
// in progress of the demo.
const maxConns = 4096

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxConns, MaxIdleConnsPerHost: maxConns, IdleConnTimeout: time.Minute}}
}

func runLoad(e *env, fs *flag.FlagSet, args []string) error {
	var p load.Profile
	var part load.ServiceLoad
	addr := fs.String("addr", "127.0.0.1:8080", "callers' `address` of an entry, or address of an endpoint with -direct")
	direct := fs.Bool("direct", false, "send to an endpoint instead of an entry")
	services := fs.String("services", "plan", "comma-separated `services` to send to")
	rate := fs.Float64("rate", 100, "requests per second over all services")
	fs.Float64Var(&part.NonIdempotentShare, "once", 0.1, "share of non-idempotent requests, 0 to 1")
	fs.StringVar(&part.Urgency, "urgency", "normal", "urgency of the requests")
	fs.StringVar(&part.Team, "team", "default", "team of the requests")
	flood := fs.String("flood", "", "`service` whose rate is multiplied during the flood")
	factor := fs.Float64("factor", 5, "what the flooded service's rate is multiplied by")
	fs.DurationVar(&p.FloodFrom, "flood-from", time.Second, "start of the flood")
	fs.DurationVar(&p.FloodFor, "flood-for", 0, "length of the flood")
	fs.DurationVar(&p.Length, "length", 10*time.Second, "how long requests are started, at most 10m")
	fs.IntVar(&p.MaxOutstanding, "outstanding", 4000, "most requests under way")
	fs.IntVar(&p.Body, "body", 64, "request body size in bytes")
	fs.Uint64Var(&p.Seed, "seed", 1, "seed of the arrival times")
	asJSON := fs.Bool("json", false, "print JSON instead of a table")
	if _, err := parse(fs, args, 0); err != nil {
		return err
	}
	p.Length = min(p.Length, 10*time.Minute)
	names := splitList(*services)
	for _, s := range names {
		one := part
		one.Service, one.Rate = s, *rate/float64(len(names))
		if s == *flood {
			one.Flood = *factor
		}
		p.Services = append(p.Services, one)
	}
	h := newHTTPClient()
	defer h.CloseIdleConnections()
	send := entrySender(h, func() string { return *addr })
	if *direct {
		send = endpointSender(h, *addr)
	}
	r := load.Run(e.ctx, p, send, e.printProgress)
	if *asJSON {
		return r.JSON(e.out)
	}
	return r.Table(e.out)
}

// printProgress prints one line about the elapsed time and the counts to the error output.
func (e *env) printProgress(elapsed time.Duration, counts map[load.Result]int) {
	printf(e.errOut, "%4.0fs", elapsed.Seconds())
	for _, k := range load.Results() {
		if n := counts[k]; n > 0 {
			printf(e.errOut, "  %s %d", k, n)
		}
	}
	printf(e.errOut, "\n")
}

// entrySender returns a sender to entries. It calls addr for the address of each request.
func entrySender(h *http.Client, addr func() string) load.Sender {
	return func(ctx context.Context, s load.Request) load.Result {
		c := inproc.Call{Service: s.Load.Service, Idempotent: !s.NonIdempotent, Urgency: s.Load.Urgency,
			Team: s.Load.Team, Body: s.Body}
		if s.NonIdempotent {
			c.ID = claim.NewID().String()
		}
		r := inproc.Send(ctx, h, addr(), c)
		if r.Err != nil {
			return load.Incomplete
		}
		return load.Result(r.Outcome)
	}
}

// endpointSender returns a sender that sends requests directly to an endpoint.
func endpointSender(h *http.Client, addr string) load.Sender {
	return func(ctx context.Context, s load.Request) load.Result {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost,
			"http://"+addr+"/run/"+s.Load.Service, bytes.NewReader(s.Body))
		if err != nil {
			return load.Incomplete
		}
		req.Header.Set("Request-Id", claim.NewID().String())
		resp, err := h.Do(req)
		if err != nil {
			return load.Incomplete
		}
		defer func() { _ = resp.Body.Close() }()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return load.Incomplete
		}
		if resp.StatusCode != http.StatusOK {
			return load.NotRun
		}
		return load.Answered
	}
}
