package cmds

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/serve/agent"
	"chervilgauge.example/chervilgauge/internal/watch/logs"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// followGC and leadGC are the collector's pace for an entry on the operators' platform, in
	// percent. Memory is priced there, and the heap of one that follows is a few MB; that of
	// the one entry that leads changes quickly, and its processor time is what binds a large
	// fleet.
	followGC = 100
	leadGC   = 300
	// heapShare is the share of the instance's memory above which the collector runs at any
	// pace that it needs.
	heapShare = 0.6
)

// reloadEvery is the time between looks at the settings file, which can change without a
// signal.
const reloadEvery = 2 * time.Second

// paceCollector sets the collector's pace for an entry that leads, or does not.
func paceCollector(leads bool) {
	if leads {
		debug.SetGCPercent(leadGC)
		return
	}
	debug.SetGCPercent(followGC)
}

// runAgent runs an entry on the operators' platform until SIGTERM.
func runAgent(e *env, fs *flag.FlagSet, args []string) error {
	port := fs.Int("metrics", 0, "port of the metrics page, 0 for none")
	if _, err := parse(fs, args, 0); err != nil {
		return err
	}
	set, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		return err
	}
	debug.SetGCPercent(followGC)
	debug.SetMemoryLimit(int64(heapShare * float64(set.Memory<<20)))
	sink := logs.NewSink(e.out)
	defer sink.Close()
	log := logs.New(sink, "", set.Node)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	a, err := agent.Start(context.WithoutCancel(e.ctx), set, log, agent.WithMetrics(*port), agent.WithLeadNotice(paceCollector))
	if err != nil {
		return err
	}
	ticks := clock.NewSystem().Subscribe(reloadEvery)
	defer ticks.Close()
	for {
		select {
		case <-hup:
		case <-ticks.C:
		case <-e.ctx.Done():
			return a.Close()
		}
		next, err := platform.LoadSettings(platform.SettingsPath())
		switch {
		case err != nil:
			log.Error().Err(err).Msg("settings can't be read again, the former ones hold")
		case next != set:
			set = next
			a.Reload(set)
		}
	}
}
