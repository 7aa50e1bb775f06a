package leader

import (
	"context"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// holdAfter is how long a load may take until the leases of the runs are extended. A usual load
	// takes less, and the former leader's last extension outlasts it.
	holdAfter = 1 * time.Second
	// holdInterval is the time between extensions.
	holdInterval = elect.RunLease / 2
	// maxHolds bounds the executors that are called at the same time.
	maxHolds = 32
)

// holdLeases extends the leases of all runs until ctx ends, which is when the jobs are loaded. It
// needs to know only the executors, so that a long load does not end the runs of the former leader.
// It returns when the last extension was sent, 0 if there was none.
func (l *Leader) holdLeases(ctx context.Context, records []platform.Record) time.Duration {
	var executors []model.Executor
	centres := map[string]int{}
	for _, r := range records {
		e, err := platform.DecodeExecutor(r.Key, r.Value)
		if err != nil {
			continue // it is logged once the report is applied
		}
		executors = append(executors, e)
		centres[e.Centre]++
	}
	var last time.Duration
	clock.Pause(ctx, l.Clock, l.start+holdAfter-l.Clock.Now())
	for ctx.Err() == nil {
		if last == 0 {
			l.Execs.SetCentreSizes(centres)
		}
		begin := l.Clock.Now()
		sent, held := l.holdOnce(ctx, executors)
		last = max(last, sent)
		l.Log.Info().Int("executors", len(executors)).Int("held", held).Msg("leases are extended while the jobs are loaded")
		clock.Pause(ctx, l.Clock, begin+holdInterval-l.Clock.Now())
	}
	return last
}

// holdOnce extends the leases on all executors that run something. It returns when the last
// extension was sent, 0 if there was none, and the number of these executors.
func (l *Leader) holdOnce(ctx context.Context, executors []model.Executor) (time.Duration, int) {
	var mu sync.Mutex
	var last time.Duration
	held := 0
	queue := make(chan model.Executor)
	var workers sync.WaitGroup
	for range min(maxHolds, len(executors)) {
		workers.Go(func() {
			for e := range queue {
				sent := l.hold(ctx, &e)
				mu.Lock()
				if sent > 0 {
					last = max(last, sent)
					held++
				}
				mu.Unlock()
			}
		})
	}
	for _, e := range executors {
		select {
		case queue <- e:
		case <-ctx.Done():
		}
	}
	close(queue)
	workers.Wait()
	return last, held
}

// hold extends the leases on one executor if it runs anything. It returns when the extension was
// sent, 0 for none: whether it succeeds shows in the first regular poll.
func (l *Leader) hold(ctx context.Context, e *model.Executor) time.Duration {
	to := platform.Target{Addr: e.Addr, ID: e.ID, Centre: e.Centre, Fence: elect.FencingToken(l.token, 0)}
	poll := func(deadline time.Duration) (platform.PollResult, error) {
		call, cancel := context.WithTimeout(ctx, immediatePollTimeout)
		defer cancel()
		to.Expires = l.Clock.Now() + immediatePollTimeout
		return l.Execs.Poll(call, to, deadline, 0, 0)
	}
	if !elect.CanAct(l.LastRenewal(), l.Clock.Now()) {
		return 0
	}
	list, err := poll(0)
	now := l.Clock.Now()
	if err != nil || len(list.Running) == 0 || list.Born != 0 && e.StartMillis != 0 && list.Born != e.StartMillis || !elect.CanAct(l.LastRenewal(), now) {
		return 0
	}
	l.Meters.polls.Inc(2)
	if _, err := poll(list.Clock + elect.RunLease); err != nil {
		l.Log.Debug().Err(err).Str("executor", e.ID).Msg("extending the leases on an executor failed")
	}
	return now
}
