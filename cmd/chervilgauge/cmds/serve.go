package cmds

import (
	"context"
	"flag"
	"os"
	"os/signal"
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
	for {
		again, err := serveOnce(e, cfg, logger)
		if err != nil || !again {
			return err
		}
	}
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
