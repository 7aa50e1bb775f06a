package cmds

import (
	"context"
	"flag"
	"io"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"chervilgauge.example/chervilgauge/internal/serve/entry"
	"chervilgauge.example/chervilgauge/internal/setup/config"
	"chervilgauge.example/chervilgauge/internal/watch/logs"
)

func runCheck(e *env, fs *flag.FlagSet, args []string) error {
	rest, err := parse(fs, args, 1)
	if err != nil {
		return err
	}
	if _, err := config.Load(rest[0]); err != nil {
		return err
	}
	printf(e.out, "%s: ok\n", rest[0])
	return nil
}

func runServe(e *env, fs *flag.FlagSet, args []string) error {
	rest, err := parse(fs, args, 1)
	if err != nil {
		return err
	}
	cfg, err := config.Load(rest[0])
	if err != nil {
		return err
	}
	logger := logs.New(e.errOut, cfg.Logs.Level, cfg.Name)
	configureRuntime()
	for {
		again, err := serveOnce(e, cfg, logger)
		if err != nil || !again {
			return err
		}
	}
}

const (
	// gcPercent is the GOGC value. It uses more memory for less processor time: the heap of
	// an entry is small, and at the default of 100 the collector runs several times a second
	// under load.
	gcPercent = 300
	// memoryLimit is the soft memory limit in bytes. Near it the collector runs more often.
	memoryLimit = 512 << 20
)

// configureRuntime configures the garbage collector, except for values that the environment
// sets. It also discards the output of the standard logger, to which the HTTP transport prints
// bytes of unsolicited answers of endpoints.
func configureRuntime() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	log.SetOutput(io.Discard)
}

// serveOnce runs an entry until a signal or until it loses its membership. In the latter case it
// reports that the entry must start again, as a new incarnation.
func serveOnce(e *env, cfg config.Config, logger zerolog.Logger) (bool, error) {
	en, err := entry.Start(context.WithoutCancel(e.ctx), cfg, logger)
	if err != nil {
		return false, err
	}
	select {
	case <-e.ctx.Done():
	case <-en.MembershipLost():
		logger.Warn().Msg("entry was evicted and starts again")
		cfg.Stop.Lag = 0
	}
	again := e.ctx.Err() == nil
	ctx, stop := nextSignalContext()
	defer stop()
	return again, en.Close(ctx)
}

// nextSignalContext returns a context that ends at the next signal. The end of the context aborts
// the requests in flight.
func nextSignalContext() (context.Context, context.CancelFunc) {
	signal.Reset(os.Interrupt, syscall.SIGTERM)
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
