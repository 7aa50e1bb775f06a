package cmds

import (
	"cmp"
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/serve/agent"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/internal/watch/logs"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// followerGCPercent and leaderGCPercent are the GOGC values of an entry on the operators'
	// platform, where memory is charged for. The heap of a follower has a few MB. The heap of
	// the leader changes quickly, and its processor time limits the size of the fleet, so it
	// collects less often.
	followerGCPercent = 100
	leaderGCPercent   = 300
	// memoryLimitShare is the share of the instance's memory that is the soft memory limit of
	// the garbage collector, which runs as often as necessary to stay below it.
	memoryLimitShare = 0.6
)

// reloadInterval is the time between reads of the settings file, which can change without a
// signal.
const reloadInterval = 2 * time.Second

// setGCPercent sets the GOGC value of an entry that leads or follows.
func setGCPercent(leads bool) {
	if leads {
		debug.SetGCPercent(leaderGCPercent)
		return
	}
	debug.SetGCPercent(followerGCPercent)
}

// runAgent runs an entry on the operators' platform until SIGINT or SIGTERM.
func runAgent(e *env, fs *flag.FlagSet, args []string) error {
	port := fs.Int("metrics", 0, "port of the metrics page, 0 for none")
	if _, err := parse(fs, args, 0); err != nil {
		return err
	}
	settings, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		return err
	}
	debug.SetGCPercent(followerGCPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(cmp.Or(settings.Memory, guard.DefaultMemory)<<20)))
	sink := logs.NewSink(e.out)
	defer sink.Close()
	log := logs.New(sink, "", settings.Node)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	a, err := agent.Start(context.WithoutCancel(e.ctx), settings, log, agent.WithMetrics(*port), agent.WithLeaderCallback(setGCPercent))
	if err != nil {
		return err
	}
	ticks := clock.NewSystem().Subscribe(reloadInterval)
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
			log.Error().Err(err).Msg("settings could not be reloaded; the previous ones stay in force")
		case next != settings:
			settings = next
			a.Reload(settings)
		}
	}
}
