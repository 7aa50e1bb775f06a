package cmds

import (
	"context"
	"flag"
	"math/rand/v2"
	"time"

	"chervilgauge.example/chervilgauge/internal/bench/load"
	"chervilgauge.example/chervilgauge/internal/bench/world"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// The demo's load: two services at about 70% of their slots.
const (
	demoRun     = 20 // milliseconds
	demoRate    = 1100
	demoLength  = 4 * time.Second
	demoOnce    = 0.1
	floodFactor = 5
)

// runDemo runs the main job in one process and reports.
func runDemo(e *env, fs *flag.FlagSet, args []string) error {
	entries := fs.Int("entries", 3, "number of entries")
	if _, err := parse(fs, args, 0); err != nil {
		return err
	}
	say(e.out, "starting %d entries, the fakes of the platform and 8 endpoints on loopback\n", *entries)
	w, err := world.Start(e.ctx, world.WithEntries(*entries), world.WithPools(
		world.Pool{Name: "plan", Instances: 4, Budget: 1, Run: demoRun},
		world.Pool{Name: "study", Instances: 4, Budget: 1, Run: demoRun},
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

func demoPhases(e *env, w *world.World) error {
	calm, err := demoLoad(e, w, "requests", 0, nil)
	if err != nil {
		return err
	}
	drained, err := demoLoad(e, w, "drain and reboot of plan-00 during traffic", 0, func(ctx context.Context) error {
		return demoDrain(ctx, w, "plan-00")
	})
	if err != nil {
		return err
	}
	flooded, err := demoLoad(e, w, "flood of study at 5 times its rate", floodFactor, nil)
	if err != nil {
		return err
	}
	say(e.out, "\nanswers cut during the drain: %d\n", drained.Total().Counts[load.Cut])
	say(e.out, "plan kept %.1f%% of its answers during the flood of study\n",
		100*float64(flooded.Series[0].Counts[load.Answered])/float64(max(1, calm.Series[0].Counts[load.Answered])))
	return nil
}

// demoLoad sends load to all entries in turn while something else happens.
func demoLoad(e *env, w *world.World, title string, flood float64, during func(ctx context.Context) error) (load.Report, error) {
	h := newHTTP()
	defer h.CloseIdleConnections()
	addr := func() string { return w.Entries[rand.IntN(len(w.Entries))].Addrs().Callers }
	p := load.Profile{
		Parts: []load.Part{
			{Service: "plan", Rate: demoRate, Once: demoOnce},
			{Service: "study", Rate: demoRate, Urgency: "deferrable", Flood: flood},
		},
		Length: demoLength, FloodFor: demoLength, Outstanding: maxConns, Body: 64, Seed: 1,
	}
	ended := make(chan error, 1)
	go func() {
		if during == nil {
			ended <- nil
			return
		}
		ended <- during(e.ctx)
	}()
	r := load.Run(e.ctx, p, entrySender(h, addr), nil)
	say(e.out, "\n%s (%v)\n", title, demoLength)
	if err := r.Table(e.out); err != nil {
		return r, err
	}
	return r, <-ended
}

// demoDrain drains an instance for a reboot and waits for its return.
func demoDrain(ctx context.Context, w *world.World, name string) error {
	c, done, err := w.Operators(0)
	if err != nil {
		return err
	}
	defer done()
	base, _, err := versionOf(ctx, c, name)
	if err != nil {
		return err
	}
	if _, err := c.Drain(ctx, &recpb.Drain{Edit: &recpb.Edit{Base: base}, Name: name}); err != nil {
		return explain(err)
	}
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		_, phase, err := versionOf(ctx, c, name)
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

func versionOf(ctx context.Context, c opspb.OperatorsClient, name string) (uint64, string, error) {
	r, err := c.Status(ctx, &opspb.StatusAsk{})
	if err != nil {
		return 0, "", explain(err)
	}
	for _, i := range r.GetInstances() {
		if i.GetName() == name {
			return i.GetVersion(), i.GetPhase(), nil
		}
	}
	return 0, "", errFailed.New("no instance %q", name)
}
