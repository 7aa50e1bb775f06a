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
	say(e.out, "%s: ok\n", rest[0])
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
	tune()
	for {
		again, err := serveOnce(e, cfg, logger)
		if err != nil || !again {
			return err
		}
	}
}

const (
	// gcPercent trades memory for processor time: the heap of an entry is small, and at
	// the default of 100 the collector runs several times a second under load.
	gcPercent = 300
	// memoryLimit makes the collector work harder before the heap grows beyond it, in
	// bytes.
	memoryLimit = 512 << 20
)

// tune sets up the runtime unless the environment does, and silences the standard
// logger: the HTTP transport prints bytes of answers that an endpoint sent unasked.
func tune() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	log.SetOutput(io.Discard)
}

// serveOnce runs an entry until a signal, or until it lost its membership and must
// start again as a new incarnation.
func serveOnce(e *env, cfg config.Config, logger zerolog.Logger) (bool, error) {
	en, err := entry.Start(context.WithoutCancel(e.ctx), cfg, logger)
	if err != nil {
		return false, err
	}
	select {
	case <-e.ctx.Done():
	case <-en.Lost():
		logger.Warn().Msg("entry was evicted and starts again")
		cfg.Stop.Lag = 0
	}
	again := e.ctx.Err() == nil
	ctx, stop := secondSignal()
	defer stop()
	return again, en.Close(ctx)
}

// secondSignal returns a context that ends at the next signal, which cuts the requests
// in flight.
func secondSignal() (context.Context, context.CancelFunc) {
	signal.Reset(os.Interrupt, syscall.SIGTERM)
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
