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

// agentGC is the collector's pace for an entry on the operators' platform, in percent.
// Memory is priced there, and its heap is a few MB.
const agentGC = 100

// reloadEvery is the time between looks at the settings file, which can change without a
// signal.
const reloadEvery = 2 * time.Second

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
	debug.SetGCPercent(agentGC)
	sink := logs.NewSink(e.out)
	defer sink.Close()
	log := logs.New(sink, "", set.Node)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	a, err := agent.Start(context.WithoutCancel(e.ctx), set, log, agent.WithMetrics(*port))
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
