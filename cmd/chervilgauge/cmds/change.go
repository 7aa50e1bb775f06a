package cmds

import (
	"context"
	"flag"
	"strconv"
	"strings"

	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// isDelete reports whether a verb is delete. It returns an errUsage for other verbs than put and
// delete.
func isDelete(verb string) (bool, error) {
	switch verb {
	case "put":
		return false, nil
	case "delete":
		return true, nil
	}
	return false, errUsage.New("unknown action %q; expected put or delete", verb)
}

func runPool(e *env, fs *flag.FlagSet, args []string) error {
	flags := addEditFlags(fs)
	total := fs.Uint("budget", 1, "most `instances` that may be unavailable at a time")
	rack := fs.Uint("rack", 0, "most unavailable `instances` in each rack, 0 for no limit")
	centre := fs.Uint("centre", 0, "most unavailable `instances` in each data centre, 0 for no limit")
	spare := fs.Bool("spare", false, "the pool lends its instances to other pools")
	rest, err := parse(fs, args, 2)
	if err != nil {
		return err
	}
	del, err := isDelete(rest[0])
	if err != nil {
		return err
	}
	r := &recpb.Pool{Edit: flags.newEdit(del), Name: rest[1], Spare: *spare,
		Budget: &recpb.Budget{Total: uint32(*total), Rack: uint32(*rack), Centre: uint32(*centre)}}
	return flags.send(e, func(ctx context.Context, c opspb.OperatorsClient) (*opspb.Change, error) {
		return c.PutPool(ctx, r)
	})
}

func runService(e *env, fs *flag.FlagSet, args []string) error {
	flags := addEditFlags(fs)
	pool := fs.String("pool", "", "`pool` that the service is placed on")
	weight := fs.Uint("weight", 1, "share of the pool's slots relative to its other services")
	rest, err := parse(fs, args, 2)
	if err != nil {
		return err
	}
	del, err := isDelete(rest[0])
	if err != nil {
		return err
	}
	r := &recpb.Service{Edit: flags.newEdit(del), Name: rest[1], Pool: *pool, Weight: uint32(*weight)}
	return flags.send(e, func(ctx context.Context, c opspb.OperatorsClient) (*opspb.Change, error) {
		return c.PutService(ctx, r)
	})
}

func runTeam(e *env, fs *flag.FlagSet, args []string) error {
	flags := addEditFlags(fs)
	weight := fs.Uint("weight", 1, "share of a service's slots relative to other teams")
	quota := fs.Uint("quota", 0, "most slots in use by the team, 0 for no limit")
	rest, err := parse(fs, args, 2)
	if err != nil {
		return err
	}
	del, err := isDelete(rest[0])
	if err != nil {
		return err
	}
	r := &recpb.Team{Edit: flags.newEdit(del), Name: rest[1], Weight: uint32(*weight), Quota: uint32(*quota)}
	return flags.send(e, func(ctx context.Context, c opspb.OperatorsClient) (*opspb.Change, error) {
		return c.PutTeam(ctx, r)
	})
}

func runInstance(e *env, fs *flag.FlagSet, args []string) error {
	flags := addEditFlags(fs)
	r := &recpb.Instance{}
	fs.StringVar(&r.Addr, "endpoint", "", "`address` of the instance's endpoint")
	fs.StringVar(&r.Pool, "pool", "", "`pool` of the instance")
	fs.StringVar(&r.Rack, "rack", "", "`rack` of the instance")
	fs.StringVar(&r.Centre, "centre", "", "data `centre` of the instance")
	slots := fs.Uint("slots", 8, "requests that the endpoint runs at a time")
	conns := fs.Uint("conns", 64, "connections that the endpoint accepts")
	to := fs.String("to", "", "`pool` to move the instance to")
	grant := fs.Uint64("grant", 0, "`offset` of the drain to cancel")
	rest, err := parse(fs, args, 2)
	if err != nil {
		return err
	}
	r.Name, r.Slots, r.Conns = rest[1], uint32(*slots), uint32(*conns)
	switch rest[0] {
	case "drain", "move":
		if (rest[0] == "move") != (*to != "") {
			return errUsage.New("-to is needed by move, and by move only")
		}
		return flags.send(e, func(ctx context.Context, c opspb.OperatorsClient) (*opspb.Change, error) {
			return c.Drain(ctx, &recpb.Drain{Edit: flags.newEdit(false), Name: r.Name, Target: *to})
		})
	case "cancel":
		return flags.send(e, func(ctx context.Context, c opspb.OperatorsClient) (*opspb.Change, error) {
			return c.Cancel(ctx, &recpb.Cancel{Edit: flags.newEdit(false), Name: r.Name, Grant: *grant})
		})
	}
	del, err := isDelete(rest[0])
	if err != nil {
		return err
	}
	r.Edit = flags.newEdit(del)
	return flags.send(e, func(ctx context.Context, c opspb.OperatorsClient) (*opspb.Change, error) {
		return c.PutInstance(ctx, r)
	})
}

var waveOrders = map[string]recpb.Wave_Order{
	"start":  recpb.Wave_START,
	"halt":   recpb.Wave_HALT,
	"resume": recpb.Wave_RESUME,
	"rollon": recpb.Wave_ROLLON,
	"finish": recpb.Wave_FINISH,
}

func runWave(e *env, fs *flag.FlagSet, args []string) error {
	flags := addEditFlags(fs)
	pools := fs.String("pools", "", "comma-separated `pools` of a wave to start")
	limit := fs.Uint("limit", 0, "most instances in progress at a time, 0 for the budget alone")
	reason := fs.String("reason", "", "`reason` of a halt")
	rest, err := parse(fs, args, 2)
	if err != nil {
		return err
	}
	order, ok := waveOrders[rest[0]]
	if !ok {
		return errUsage.New("unknown action %q; expected start, halt, resume, rollon or finish", rest[0])
	}
	r := &recpb.Wave{Edit: flags.newEdit(false), Name: rest[1], Order: order, Limit: uint32(*limit), Reason: *reason}
	if *pools != "" {
		r.Pools = strings.Split(*pools, ",")
	}
	return flags.send(e, func(ctx context.Context, c opspb.OperatorsClient) (*opspb.Change, error) {
		return c.Order(ctx, r)
	})
}

func runJob(e *env, fs *flag.FlagSet, args []string) error {
	flags := addEditFlags(fs)
	r := &recpb.Job{}
	fs.StringVar(&r.Team, "team", "", "`team` that the job is charged to")
	cores := fs.Uint("cores", 1, "declared processor cores")
	fs.Uint64Var(&r.Memory, "memory", 0, "declared memory in `bytes`")
	accelerators := fs.Uint("accelerators", 0, "declared accelerators")
	urgency := fs.Uint("urgency", 1, "0 may wait until morning, 1 normal, 2 urgent")
	fs.BoolVar(&r.Idempotent, "idempotent", false, "the job may run more than once")
	fs.BoolVar(&r.Checkpoint, "checkpoint", false, "the job can be checkpointed")
	rest, err := parse(fs, args, 2)
	if err != nil {
		return err
	}
	if rest[0] != "submit" && rest[0] != "cancel" {
		return errUsage.New("unknown action %q; expected submit or cancel", rest[0])
	}
	r.Edit = flags.newEdit(rest[0] == "cancel")
	r.Name, r.Cores, r.Accelerators, r.Urgency = rest[1], uint32(*cores), uint32(*accelerators), uint32(*urgency)
	return flags.send(e, func(ctx context.Context, c opspb.OperatorsClient) (*opspb.Change, error) {
		return c.Submit(ctx, r)
	})
}

func runEntry(e *env, fs *flag.FlagSet, args []string) error {
	flags := addClientFlags(fs)
	number := fs.String("incarnation", "", "incarnation `number` of the entry as 'status' shows it")
	rest, err := parse(fs, args, 2)
	if err != nil {
		return err
	}
	n, err := strconv.ParseUint(*number, 16, 64)
	if err != nil || rest[0] != "remove" {
		return errUsage.New("expected remove NAME with -incarnation")
	}
	return flags.send(e, func(ctx context.Context, c opspb.OperatorsClient) (*opspb.Change, error) {
		return c.Remove(ctx, &opspb.MemberAsk{Name: rest[1], Incarnation: n})
	})
}

func runConfig(e *env, fs *flag.FlagSet, args []string) error {
	flags := addClientFlags(fs)
	rest, err := parse(fs, args, 2)
	if err != nil {
		return err
	}
	version, err := strconv.ParseUint(rest[1], 10, 64)
	if err != nil || rest[0] != "wait" {
		return errUsage.New("expected wait VERSION")
	}
	return flags.withClient(e, func(ctx context.Context, c opspb.OperatorsClient) error {
		return waitInForce(ctx, e, c, version, flags.timeout)
	})
}
