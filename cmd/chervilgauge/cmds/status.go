package cmds

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"

	"chervilgauge.example/chervilgauge/internal/wire/opspb"
)

func runStatus(e *env, fs *flag.FlagSet, args []string) error {
	flags := addClientFlags(fs)
	pool := fs.String("pool", "", "list the instances of this `pool` only")
	asJSON := fs.Bool("json", false, "print JSON")
	if _, err := parse(fs, args, 0); err != nil {
		return err
	}
	return flags.withClient(e, func(ctx context.Context, c opspb.OperatorsClient) error {
		r, err := c.Status(ctx, &opspb.StatusAsk{Pool: *pool})
		if err != nil {
			return convertError(err)
		}
		if *asJSON {
			printf(e.out, "%s\n", protojson.Format(r))
			return nil
		}
		return printStatus(e, r)
	})
}

// printStatus prints the state in columns.
func printStatus(e *env, r *opspb.StatusReply) error {
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	row := func(cells ...any) {
		for _, c := range cells {
			printf(w, "%v\t", c)
		}
		printf(w, "\n")
	}
	row("entry", r.GetEntry(), "applied", r.GetApplied(), "ready", r.GetReady())
	row()
	row("MEMBER", "INCARNATION", "APPLIED", "EVICTED")
	for _, m := range r.GetMembers() {
		row(m.GetName(), fmt.Sprintf("%x", m.GetIncarnation()), m.GetApplied(), m.GetEvicted())
	}
	row()
	row("POOL", "VERSION", "SIZE", "AVAILABLE", "BUDGET", "RACK", "CENTRE")
	for _, p := range r.GetPools() {
		b := p.GetBudget()
		row(p.GetName(), p.GetVersion(), p.GetSize(), p.GetAvailable(), b.GetTotal(), b.GetRack(), b.GetCentre())
	}
	row()
	row("SERVICE", "VERSION", "POOL", "WEIGHT")
	for _, s := range r.GetServices() {
		row(s.GetName(), s.GetEdit().GetBase(), s.GetPool(), s.GetWeight())
	}
	row()
	row("INSTANCE", "VERSION", "POOL", "RACK", "CENTRE", "PHASE", "HEALTH", "GRANT", "TARGET")
	for _, i := range r.GetInstances() {
		row(i.GetName(), i.GetVersion(), i.GetPool(), i.GetRack(), i.GetCentre(), i.GetPhase(),
			i.GetHealth(), i.GetGrant(), i.GetTarget())
	}
	row()
	row("WAVE", "VERSION", "PHASE", "DONE", "FAILED", "TOTAL", "REASON")
	for _, v := range r.GetWaves() {
		row(v.GetName(), v.GetVersion(), v.GetPhase(), v.GetDone(), v.GetFailed(), v.GetTotal(), v.GetReason())
	}
	return errFailed.Wrap(w.Flush())
}
