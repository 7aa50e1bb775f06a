package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// tasks are the entry's own goroutines.
type tasks struct {
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

func newTasks(ctx context.Context) *tasks {
	t := &tasks{}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t
}

func (t *tasks) start(f func(ctx context.Context)) {
	t.work.Add(1)
	go func() {
		defer t.work.Done()
		f(t.ctx)
	}()
}

// close ends the goroutines and waits for them.
func (t *tasks) close() {
	t.cancel()
	t.work.Wait()
}

// incarnation returns a random number that is not 0.
func incarnation() uint64 { return rand.Uint64() | 1 }

// join appends the join record until it is accepted. The peers' listener is open by
// then, which shows that a predecessor with the same address has ended.
func (e *Entry) join(ctx context.Context) {
	for ctx.Err() == nil {
		if e.core.View().Joined {
			return
		}
		e.tryJoin(ctx)
		e.pause(ctx, joinPause)
	}
}

func (e *Entry) tryJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
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

// maintainInterval is how often claim slices are opened and closed.
const maintainInterval = time.Second

// maintain keeps the claim slices of this entry open, and notices the loss of membership.
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
			close(e.lost)
			return
		}
		joined = v.Joined
		if joined {
			e.claims.Maintain()
		}
	}
}
