package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// goroutines are the entry's own goroutines.
type goroutines struct {
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

func newGoroutines(ctx context.Context) *goroutines {
	g := &goroutines{}
	g.ctx, g.cancel = context.WithCancel(ctx)
	return g
}

func (g *goroutines) start(f func(ctx context.Context)) {
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		f(g.ctx)
	}()
}

// close stops the goroutines and waits for them.
func (g *goroutines) close() {
	g.cancel()
	g.work.Wait()
}

// newIncarnation returns a random number other than 0.
func newIncarnation() uint64 { return rand.Uint64() | 1 }

// join appends the join record until it is accepted. The peers' listener is already open, which
// shows that a predecessor with the same address has ended.
func (e *Entry) join(ctx context.Context) {
	for ctx.Err() == nil {
		if e.core.View().Joined {
			return
		}
		e.tryJoin(ctx)
		e.sleep(ctx, joinRetryPause)
	}
}

func (e *Entry) tryJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	s, err := e.core.Submit(ctx, &recpb.Record{Body: &recpb.Record_Join{Join: &recpb.Join{
		Name: e.self.Name, Incarnation: e.self.Number, Addr: e.cfg.Listen.Peers, Centre: e.cfg.Centre}}})
	if err != nil {
		e.meter.Scope().Counter("joins_unsettled").Inc(1)
		return
	}
	if !s.Verdict.OK() {
		e.logger.Warn().Str("reason", s.Verdict.Error()).Msg("join refused")
	}
}

// maintainInterval is how often the claim slices and the membership are checked.
const maintainInterval = time.Second

// maintain keeps this entry's claim slices open, and detects the loss of membership.
func (e *Entry) maintain(ctx context.Context) {
	sub := e.clk.Subscribe(maintainInterval)
	defer sub.Close()
	joined := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
		}
		v := e.core.View()
		if joined && !v.Joined && !e.stopping.Load() {
			close(e.membershipLost)
			return
		}
		joined = v.Joined
		if joined {
			e.claims.Maintain()
		}
	}
}
