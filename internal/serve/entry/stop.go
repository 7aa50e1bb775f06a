package entry

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// membershipTimeout bounds the append of a leave or join record. If the log is down at a leave, the
// other entries evict and fence this one.
const membershipTimeout = 3 * time.Second

// Close stops the entry gracefully: it reports not ready, waits until the load balancer has noticed
// that, and finishes the requests in flight. At the end of the context, or at the limit in the
// settings, the remaining requests are aborted. Errors are of class Err.
func (e *Entry) Close(ctx context.Context) error {
	e.stopping.Store(true)
	e.logger.Info().Msg("entry stops")
	e.sleep(ctx, e.cfg.Stop.Lag)
	e.callers.SetKeepAlive(false)
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Stop.Limit)
	defer cancel()
	var group errs.Group
	group.Add(e.callers.Close(ctx))
	e.engine.Close()
	e.leave()
	group.Add(e.closeParts())
	return Err.Wrap(group.Err())
}

// sleep waits for a duration or for the end of the context.
func (e *Entry) sleep(ctx context.Context, d time.Duration) {
	sub := e.clk.After(d)
	defer sub.Close()
	select {
	case <-sub.C:
	case <-ctx.Done():
	}
}

// leave appends the leave record, which states that this entry sends no more requests.
func (e *Entry) leave() {
	if !e.core.View().Joined {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), membershipTimeout)
	defer cancel()
	_, err := e.core.Submit(ctx, &recpb.Record{Body: &recpb.Record_Leave{
		Leave: &recpb.Leave{Name: e.self.Name, Incarnation: e.self.Number}}})
	if err != nil {
		e.logger.Warn().Err(err).Msg("leave was not recorded; the other entries will evict this one")
	}
}

// closeParts closes every part. The peers' listener closes after the requests have ended, because a
// successor that can listen on the same address concludes that this entry has ended.
func (e *Entry) closeParts() error {
	var group errs.Group
	e.goroutines.close()
	e.gauges.Close()
	e.planner.Close()
	e.slots.Close()
	e.claims.Close()
	group.Add(e.operators.Close())
	e.core.Close()
	group.Add(e.peers.Close())
	group.Add(e.client.Close())
	group.Add(e.health.Close())
	e.cancel()
	e.endpoint.Close()
	e.log.Close()
	e.list.Close()
	if e.workers != nil {
		e.workers.Close()
	}
	group.Add(e.tracer.Close())
	group.Add(e.meter.Close())
	return group.Err()
}
