package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/retry"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/lead"
	"chervilgauge.example/chervilgauge/internal/serve/leader"
	"chervilgauge.example/chervilgauge/internal/serve/proxy"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// relayTimeout bounds a call to the leader. It stores within some 30 ms, or within
	// 1 s while the store is slow; a second copy of each job would slow it further.
	relayTimeout = 2500 * time.Millisecond
	// leadersAsked is how many leaders, one after the other, are asked to store a job.
	leadersAsked = 2
	// silencePoll is how often a call to the leader looks whether that is silent by now.
	silencePoll = 100 * time.Millisecond
	// queryTimeout bounds a question to the leader, which answers from memory.
	queryTimeout = 400 * time.Millisecond
	// retryPause is the time between questions while nobody leads.
	retryPause = 60 * time.Millisecond
	// loneTimeout bounds an append of an entry without a leader.
	loneTimeout = 700 * time.Millisecond
	// storeLost is how long ago the store last answered when it counts as lost: two reads
	// of the operators' orders.
	storeLost = 2 * time.Second
	// freshFor is how old the number of pending jobs may be.
	freshFor = 2 * time.Second
)

// Config returns the configuration in force.
func (a *Agent) Config() *model.Config { return a.orders.Config() }

// Submit has a job stored by the leader, or stores it itself if nobody leads. If another
// entry leads by the time that the leader has failed to answer, that one is asked: it knows
// what its predecessor stored, and all entries at once would overrun the partition for jobs
// without a leader.
func (a *Agent) Submit(ctx context.Context, s relay.Submission, q *model.Queue) relay.Answer {
	notRun, cause := true, error(nil)
	for range leadersAsked {
		seat := a.elector.Seat()
		ans, err := a.toLeader(ctx, seat, s)
		if err == nil && ans.Verdict != relay.Elsewhere && ans.Verdict != relay.Unsure {
			return ans
		}
		if ctx.Err() != nil {
			return relay.Answer{Verdict: relay.Unsure, Cause: "the leader did not answer in time"}
		}
		notRun = notRun && err == nil && ans.Verdict == relay.Elsewhere
		cause = err
		if a.elector.Seat().Token == seat.Token {
			break
		}
	}
	a.log.Info().Err(cause).Str("job", s.ID).Str("queue", s.Queue).Msg("job is stored without the leader")
	wall := time.Duration(a.clk.Wall().UnixNano())
	return a.lone(ctx, track.LeaderlessJobRecord(s.ID, *q, s.Body, wall), notRun)
}

func (a *Agent) toLeader(ctx context.Context, seat lead.Seat, s relay.Submission) (relay.Answer, error) {
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if l := a.leads(); l != nil {
		return l.Submit(call, s), nil
	}
	if seat.Addr == "" || seat.Mine || a.elector.IsSilent() {
		return relay.Answer{Verdict: relay.Elsewhere}, nil
	}
	stop := a.whileHeard(seat, cancel)
	defer stop()
	return a.peers.Submit(call, seat.Addr, s)
}

// whileHeard cancels a call to the leader when that is silent, or another entry leads. The
// returned function ends the watch.
func (a *Agent) whileHeard(seat lead.Seat, cancel context.CancelFunc) func() {
	ticks := a.clk.Subscribe(silencePoll)
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ticks.C:
				if a.elector.IsSilent() || a.elector.Seat().Token != seat.Token {
					cancel()
					return
				}
			case <-quit:
				return
			}
		}
	}()
	return func() {
		close(quit)
		<-done
		ticks.Close()
	}
}

// lone stores a record. notRun says that nothing was stored for the request before.
func (a *Agent) lone(ctx context.Context, e track.Record, notRun bool) relay.Answer {
	age := a.orders.Age()
	back := retry.After(age, rand.Float64())
	if age > storeLost {
		// It would only be held for the time of a call that fails.
		if notRun {
			return relay.Answer{Verdict: relay.Refused, After: back, Cause: "store does not answer"}
		}
		return relay.Answer{Verdict: relay.Unsure, After: back, Cause: "store does not answer"}
	}
	call, cancel := context.WithTimeout(ctx, loneTimeout)
	defer cancel()
	_, _, err := a.client.Append(call, platform.Append{
		Topic: leader.Topic, Part: leader.LeaderlessPart(a.set.Store.Parts), Records: [][]byte{platform.KeyedRecord(e.Key, e.Value)}, At: -1,
	})
	refused := (*platform.RefusedError)(nil)
	switch {
	case err == nil:
		return relay.Answer{Verdict: relay.Taken}
	case errors.As(err, &refused) && notRun:
		return relay.Answer{Verdict: relay.Refused, After: back, Cause: "store: " + err.Error()}
	}
	return relay.Answer{Verdict: relay.Unsure, After: back, Cause: "store: " + err.Error()}
}

// Query asks the leader for a job's state until the caller's time is up.
func (a *Agent) Query(ctx context.Context, id string) (model.State, bool) {
	for {
		if s, ok := a.queryOnce(ctx, id); ok {
			return s, true
		}
		if clock.Pause(ctx, a.clk, retryPause); ctx.Err() != nil {
			return model.Unknown, false
		}
	}
}

func (a *Agent) queryOnce(ctx context.Context, id string) (model.State, bool) {
	call, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if l := a.leads(); l != nil {
		return l.Query(call, id)
	}
	seat := a.elector.Seat()
	if seat.Addr == "" || seat.Mine {
		return model.Unknown, false
	}
	s, ok, err := a.peers.Query(call, seat.Addr, id)
	if err != nil {
		a.log.Debug().Err(err).Str("job", id).Msg("leader did not answer")
	}
	return s, ok && err == nil
}

// Cancel has a cancel stored by the leader, or stores it itself if nobody leads.
func (a *Agent) Cancel(ctx context.Context, id string) relay.Verdict {
	v, err := a.cancelAtLeader(ctx, id)
	if err == nil && v != relay.Elsewhere && v != relay.Unsure {
		return v
	}
	if ctx.Err() != nil {
		return relay.Unsure
	}
	a.log.Info().Err(err).Str("job", id).Msg("cancel is stored without the leader")
	wall := time.Duration(a.clk.Wall().UnixNano())
	return a.lone(ctx, track.CancelRecord(id, wall), false).Verdict
}

func (a *Agent) cancelAtLeader(ctx context.Context, id string) (relay.Verdict, error) {
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if l := a.leads(); l != nil {
		return l.Cancel(call, id), nil
	}
	seat := a.elector.Seat()
	if seat.Addr == "" || seat.Mine || a.elector.IsSilent() {
		return relay.Elsewhere, nil
	}
	stop := a.whileHeard(seat, cancel)
	defer stop()
	return a.peers.Cancel(call, seat.Addr, id, relayTimeout)
}

// Pending returns the pending jobs of a queue.
func (a *Agent) Pending(queue string) (int, bool) {
	if l := a.leads(); l != nil {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		p := l.Pending(ctx)
		return p[queue], p != nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.digest.Backlog[queue], a.digestAt > 0 && a.clk.Now()-a.digestAt < freshFor
}

// desk answers other entries.
type desk Agent

func (d *desk) agent() *Agent { return (*Agent)(d) }

// Submit stores a job if this entry leads.
func (d *desk) Submit(ctx context.Context, s relay.Submission) relay.Answer {
	if l := d.agent().leads(); l != nil {
		return l.Submit(ctx, s)
	}
	return relay.Answer{Verdict: relay.Elsewhere}
}

// Query returns a job's state if this entry leads.
func (d *desk) Query(ctx context.Context, id string) (model.State, bool) {
	if l := d.agent().leads(); l != nil {
		return l.Query(ctx, id)
	}
	return model.Unknown, false
}

// Cancel cancels a job if this entry leads.
func (d *desk) Cancel(ctx context.Context, id string, _ time.Duration) relay.Verdict {
	if l := d.agent().leads(); l != nil {
		return l.Cancel(ctx, id)
	}
	return relay.Elsewhere
}

// Digest says what this entry knows of the leader, and of the jobs if it leads.
func (d *desk) Digest(ctx context.Context, by relay.Asker) relay.Digest {
	a := d.agent()
	a.elector.Heard(by)
	if by.Leaving {
		a.calls.Left(by.Name)
	} else {
		a.calls.Heard(by.Name, by.Addr, by.Zone, by.Place)
	}
	seat := a.elector.Seat()
	out := relay.Digest{Token: seat.Token, Addr: seat.Addr}
	if a.version() > by.Version {
		out.Config = a.orders.Raw()
	}
	l := a.leads()
	if l == nil {
		return out
	}
	if by.Place < elect.Rank(a.set.Cores) {
		a.elector.Yield()
	}
	out.Leads = true
	out.Age = a.clk.Now() - a.elector.Renewed()
	out.Backlog = l.Pending(ctx)
	out.Pause = elect.FollowerPollDelay(by.Place, a.elector.Followers())
	return out
}

// Carry makes calls to executors for the leader.
func (d *desk) Carry(s proxy.Stream) error { return proxy.Carry(s, d.client, d.clk) }

// Announce takes over who leads, or that this entry is asked to claim.
func (d *desk) Announce(token uint64, name, addr string) {
	d.agent().elector.Announced(token, name, addr)
}
