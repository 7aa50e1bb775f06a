package cmds

import (
	"flag"
	"math/rand/v2"
	"os"
	"time"

	"chervilgauge.example/chervilgauge/internal/bench/soak"
)

// runSoak runs entries under random faults. It returns an errFailed if a promise was broken.
func runSoak(e *env, fs *flag.FlagSet, args []string) error {
	cfg := soak.Config{}
	fs.Uint64Var(&cfg.Seed, "seed", 0, "seed of the plan of faults, 0 for a random one")
	minutes := fs.Float64("minutes", 0, "time with faults in `minutes`")
	seconds := fs.Float64("seconds", 30, "time with faults in `seconds`, used if the minutes are 0")
	fs.IntVar(&cfg.Entries, "entries", 3, "number of entries, 3 to 40")
	fs.IntVar(&cfg.Small, "small", 0, "number of these entries that are too small to lead beside larger ones")
	fs.IntVar(&cfg.Executors, "executors", soak.DefaultExecutors, "number of executors, 5 to 1000; from 100 on other entries make the leader's calls")
	fs.StringVar(&cfg.Program, "program", "", "`path` of the program that runs the entries, empty for this one")
	fs.IntVar(&cfg.Series, "faults", 3, "number of faults at the same time")
	fs.BoolVar(&cfg.Keep, "keep", false, "keep the logs of a run without findings too")
	fs.StringVar(&cfg.Only, "only", "", "inject only faults whose line in the plan contains this `text`")
	if _, err := parse(fs, args, 0); err != nil {
		return err
	}
	cfg.Length = time.Duration(*seconds * float64(time.Second))
	if *minutes > 0 {
		cfg.Length = time.Duration(*minutes * float64(time.Minute))
	}
	for cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	var err error
	if cfg.Program == "" {
		if cfg.Program, err = os.Executable(); err != nil {
			return errFailed.Wrap(err)
		}
	}
	report, err := soak.Run(e.ctx, cfg, e.out)
	if report != nil {
		if err := report.Write(e.out); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	if n := len(report.Findings); n > 0 {
		return errFailed.New("%d findings with seed %d", n, cfg.Seed)
	}
	return nil
}
