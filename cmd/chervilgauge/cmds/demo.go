package cmds

import (
	"context"
	"flag"
	"math/rand/v2"
	"time"

	"chervilgauge.example/chervilgauge/internal/bench/inproc"
	"chervilgauge.example/chervilgauge/internal/bench/load"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Load of the demo: two services, each of which uses about 70% of its slots.
const (
	demoRunTime    = 20   // milliseconds
	demoRate       = 1100 // requests per second to each service
	demoLength     = 4 * time.Second
	demoOnceShare  = 0.1 // share of requests that must not run twice
	demoFloodRatio = 5
)

// runDemo runs entries, fakes and traffic in one process and prints a report.
func runDemo(e *env, fs *flag.FlagSet, args []string) error {
	entries := fs.Int("entries", 3, "number of entries")
	if _, err := parse(fs, args, 0); err != nil {
		return err
	}
	printf(e.out, "starting %d entries, the fakes of the platform and 8 endpoints on loopback\n", *entries)
	w, err := inproc.Start(e.ctx, inproc.WithEntries(*entries), inproc.WithPools(
		inproc.Pool{Name: "plan", Instances: 4, Budget: 1, Run: demoRunTime},
		inproc.Pool{Name: "study", Instances: 4, Budget: 1, Run: demoRunTime},
	))
	if err != nil {
		return err
	}
	err = demoPhases(e, w)
	if closeErr := w.Close(); err == nil {
		err = closeErr
	}
	return err
}

// demoPhases sends load without a disturbance, during a drain and during a flood.
func demoPhases(e *env, w *inproc.Deployment) error {
	baseline, err := demoLoad(e, w, "requests", 0, nil)
	if err != nil {
		return err
	}
	drained, err := demoLoad(e, w, "drain and reboot of plan-00 during traffic", 0, func(ctx context.Context) error {
		return demoDrain(ctx, w, "plan-00")
	})
	if err != nil {
		return err
	}
	flooded, err := demoLoad(e, w, "flood of study at 5 times its rate", demoFloodRatio, nil)
	if err != nil {
		return err
	}
	printf(e.out, "\nanswers cut during the drain: %d\n", drained.Total().Counts[load.Incomplete])
	printf(e.out, "plan kept %.1f%% of its answers during the flood of study\n",
		100*float64(flooded.Series[0].Counts[load.Answered])/float64(max(1, baseline.Series[0].Counts[load.Answered])))
	return nil
}

// demoLoad sends load, each request to a random entry, and prints the results. It calls during,
// if not nil, at the same time and returns its error.
func demoLoad(e *env, w *inproc.Deployment, title string, flood float64, during func(ctx context.Context) error) (load.Report, error) {
	h := newHTTPClient()
	defer h.CloseIdleConnections()
	addr := func() string { return w.Entries[rand.IntN(len(w.Entries))].Addrs().Callers }
	p := load.Profile{
		Services: []load.ServiceLoad{
			{Service: "plan", Rate: demoRate, NonIdempotentShare: demoOnceShare},
			{Service: "study", Rate: demoRate, Urgency: "deferrable", Flood: flood},
		},
		Length: demoLength, FloodFor: demoLength, MaxOutstanding: maxConns, Body: 64, Seed: 1,
	}
	duringErr := make(chan error, 1)
	go func() {
		if during == nil {
			duringErr <- nil
			return
		}
		duringErr <- during(e.ctx)
	}()
	r := load.Run(e.ctx, p, entrySender(h, addr), nil)
	printf(e.out, "\n%s (%v)\n", title, demoLength)
	if err := r.Table(e.out); err != nil {
		return r, err
	}
	return r, <-duringErr
}

// demoDrain drains an instance for a reboot and waits until it serves again.
func demoDrain(ctx context.Context, w *inproc.Deployment, name string) error {
	c, closeConn, err := w.Operators(0)
	if err != nil {
		return err
	}
	defer closeConn()
	base, _, err := instanceState(ctx, c, name)
	if err != nil {
		return err
	}
	if _, err := c.Drain(ctx, &recpb.Drain{Edit: &recpb.Edit{Base: base}, Name: name}); err != nil {
		return convertError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		_, phase, err := instanceState(ctx, c, name)
		if err != nil {
			return err
		}
		if phase == "serving" {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errFailed.New("%s did not return", name)
		}
	}
}

// instanceState returns the version and the phase of an instance.
func instanceState(ctx context.Context, c opspb.OperatorsClient, name string) (uint64, string, error) {
	r, err := c.Status(ctx, &opspb.StatusAsk{})
	if err != nil {
		return 0, "", convertError(err)
	}
	for _, i := range r.GetInstances() {
		if i.GetName() == name {
			return i.GetVersion(), i.GetPhase(), nil
		}
	}
	return 0, "", errFailed.New("no instance %q", name)
}
