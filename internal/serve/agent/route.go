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
	"chervilgauge.example/chervilgauge/internal/serve/front"
	"chervilgauge.example/chervilgauge/internal/serve/lead"
	"chervilgauge.example/chervilgauge/internal/serve/leader"
	"chervilgauge.example/chervilgauge/internal/serve/proxy"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// relayTimeout bounds a call to the leader. The leader stores a job within some 30 ms, or
	// within 1 s while the store is slow. With a shorter limit each job would be stored a second
	// time, which would slow the store further.
	relayTimeout = 2500 * time.Millisecond
	// maxLeaderAttempts is the number of leaders, one after the other, that a job is sent to.
	maxLeaderAttempts = 2
	// leaderCheckInterval is the time between checks, during a call, whether the leader has become
	// unresponsive.
	leaderCheckInterval = 100 * time.Millisecond
	// queryTimeout bounds a query to the leader, which answers from memory.
	queryTimeout = 400 * time.Millisecond
	// minUnknownPause and maxUnknownPause bound the time between attempts of a submission whose outcome
	// is not known. It doubles, since an outage of the store can last for seconds.
	minUnknownPause = 100 * time.Millisecond
	maxUnknownPause = 400 * time.Millisecond
	// retryPause is the time between queries while there is no leader.
	retryPause = 60 * time.Millisecond
	// leaderlessTimeout bounds the append of a leaderless record.
	leaderlessTimeout = 700 * time.Millisecond
	// storeLostAge is the time since the store's last answer after which the store counts as
	// unreachable. It covers two reads of the operators' orders.
	storeLostAge = 2 * time.Second
	// maxPendingAge is the greatest age at which the number of pending jobs is still reported.
	maxPendingAge = 2 * time.Second
)

// Config returns the configuration in force.
func (a *Agent) Config() *model.Config { return a.orders.Config() }

// View returns the configuration in force and the age of the view of it.
func (a *Agent) View() front.View {
	return ViewOf(a.orders, a.settings.Bounds)
}

// Submit has a job stored by the leader, or stores a leaderless record if there is no leader. While
// it is not known whether the job is stored, Submit repeats the submission until the caller's timeout:
// a job with the same ID stays one job, and many callers can't repeat a request whose outcome is not
// known. 195 submissions of one day were lost that way when the store and a new leader were back 0.1 s
// later.
func (a *Agent) Submit(ctx context.Context, s relay.Submission, q *model.Queue) relay.Answer {
	notRun := true
	for pause := minUnknownPause; ; pause = min(2*pause, maxUnknownPause) {
		ans := a.submitOnce(ctx, s, q, &notRun)
		if ans.Verdict != relay.Unknown || ctx.Err() != nil {
			return ans
		}
		if clock.Pause(ctx, a.clk, pause); ctx.Err() != nil {
			return ans
		}
	}
}

// submitOnce tries the leader, and then a leaderless record. If another entry leads by the time that a
// call to the leader has failed, it tries that entry first: it has read what its predecessor stored,
// and leaderless records of all entries at once would overload their partition. notRun reports that
// nothing was stored for the submission so far, and is cleared once that is not certain any more.
func (a *Agent) submitOnce(ctx context.Context, s relay.Submission, q *model.Queue, notRun *bool) relay.Answer {
	cause := error(nil)
	for range maxLeaderAttempts {
		elected := a.elector.Leader()
		ans, err := a.submitToLeader(ctx, elected, s)
		if err == nil && ans.Verdict != relay.NotLeader && ans.Verdict != relay.Unknown {
			return refusalAfter(ans, *notRun)
		}
		if ctx.Err() != nil {
			return relay.Answer{Verdict: relay.Unknown, Cause: "the leader did not answer in time"}
		}
		*notRun = *notRun && err == nil && ans.Verdict == relay.NotLeader
		cause = err
		// An entry that has stopped leading knows its successor before others do.
		if err == nil && a.elector.AskForSuccessor(ctx, elected) {
			continue
		}
		if a.elector.Leader().Token == elected.Token {
			break
		}
	}
	limited, ok := leader.LimitRefusal(ctx, a.guard, a.Config(), s.Account, s.Body)
	switch {
	case !ok:
		return refusalAfter(memoryAnswer, *notRun)
	case limited != "":
		return refusalAfter(relay.Answer{Verdict: relay.Limited, Cause: limited}, *notRun)
	}
	if leader.IsLargeJob(s.Body) {
		return largeJobAnswer(*notRun)
	}
	a.log.Info().Err(cause).Str("job", s.ID).Str("queue", s.Queue).Msg("job is stored without the leader")
	wall := time.Duration(a.clk.Wall().UnixNano())
	ans := a.storeLeaderless(ctx, track.LeaderlessJobRecord(s.ID, *q, s.Account, s.Body, wall), *notRun)
	*notRun = *notRun && ans.Verdict != relay.Unknown
	return ans
}

// refusalAfter returns an answer of the leader as it applies to all attempts of a submission. A refusal
// says that the job never runs, which does not hold if an earlier attempt may have stored it.
func refusalAfter(ans relay.Answer, notRun bool) relay.Answer {
	if notRun || ans.Verdict != relay.Refused && ans.Verdict != relay.Limited {
		return ans
	}
	ans.Verdict = relay.Unknown
	return ans
}

func (a *Agent) submitToLeader(ctx context.Context, elected lead.Leader, s relay.Submission) (relay.Answer, error) {
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if l := a.localLeader(); l != nil {
		return l.Submit(call, s), nil
	}
	if elected.Addr == "" || elected.IsSelf || a.elector.IsLeaderUnresponsive() {
		return relay.Answer{Verdict: relay.NotLeader}, nil
	}
	stop := a.cancelOnLeaderLoss(elected, cancel)
	defer stop()
	return a.peerClient.Submit(call, elected.Addr, s)
}

// cancelOnLeaderLoss cancels a call to the leader once the leader is unresponsive or another entry
// leads. The returned function ends the watch.
func (a *Agent) cancelOnLeaderLoss(elected lead.Leader, cancel context.CancelFunc) func() {
	ticks := a.clk.Subscribe(leaderCheckInterval)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ticks.C:
				if a.elector.IsLeaderUnresponsive() || a.elector.Leader().Token != elected.Token {
					cancel()
					return
				}
			case <-stop:
				return
			}
		}
	}()
	return func() {
		close(stop)
		<-done
		ticks.Close()
	}
}

// storeLeaderless stores a leaderless record. notRun reports that nothing was stored for the
// request before.
func (a *Agent) storeLeaderless(ctx context.Context, e track.Record, notRun bool) relay.Answer {
	age := a.orders.SinceLastRead()
	retryAfter := retry.After(age, rand.Float64())
	if age > storeLostAge {
		// An append would only delay the answer until its timeout.
		if notRun {
			return relay.Answer{Verdict: relay.Refused, RetryAfter: retryAfter, Cause: "store does not answer"}
		}
		return relay.Answer{Verdict: relay.Unknown, RetryAfter: retryAfter, Cause: "store does not answer"}
	}
	record := platform.KeyedRecord(e.Key, e.Value)
	if notRun && len(record) > a.settings.Store.RecordBytes {
		// The leader answers the same; a time to come back would only bring the submission again.
		return relay.Answer{Verdict: relay.Refused, Cause: "submission is larger than a record of the store"}
	}
	call, cancel := context.WithTimeout(ctx, leaderlessTimeout)
	defer cancel()
	_, _, err := a.client.Append(call, platform.Append{
		Topic: leader.Topic, Part: leader.LeaderlessPart(a.settings.Store.Parts), Records: [][]byte{record}, At: -1,
	})
	refused := (*platform.RefusedError)(nil)
	switch {
	case err == nil:
		return relay.Answer{Verdict: relay.Stored}
	case errors.As(err, &refused) && notRun:
		return relay.Answer{Verdict: relay.Refused, RetryAfter: retryAfter, Cause: "store: " + err.Error()}
	}
	return relay.Answer{Verdict: relay.Unknown, RetryAfter: retryAfter, Cause: "store: " + err.Error()}
}

// Query requests a job's state from the leader, and retries until the caller's timeout.
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
	if l := a.localLeader(); l != nil {
		return l.Query(call, id)
	}
	elected := a.elector.Leader()
	if elected.Addr == "" || elected.IsSelf {
		return model.Unknown, false
	}
	s, ok, err := a.peerClient.Query(call, elected.Addr, id)
	if err != nil {
		a.log.Debug().Err(err).Str("job", id).Msg("query to the leader failed")
	}
	return s, ok && err == nil
}

// Cancel has a cancel stored by the leader, or stores a leaderless record if there is no leader.
func (a *Agent) Cancel(ctx context.Context, id string) relay.Verdict {
	elected := a.elector.Leader()
	v, err := a.cancelAtLeader(ctx, elected, id)
	if err == nil && v == relay.NotLeader && a.elector.AskForSuccessor(ctx, elected) {
		v, err = a.cancelAtLeader(ctx, a.elector.Leader(), id)
	}
	if err == nil && v != relay.NotLeader && v != relay.Unknown {
		return v
	}
	if ctx.Err() != nil {
		return relay.Unknown
	}
	a.log.Info().Err(err).Str("job", id).Msg("cancel is stored without the leader")
	wall := time.Duration(a.clk.Wall().UnixNano())
	return a.storeLeaderless(ctx, track.CancelRecord(id, wall), false).Verdict
}

func (a *Agent) cancelAtLeader(ctx context.Context, elected lead.Leader, id string) (relay.Verdict, error) {
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if l := a.localLeader(); l != nil {
		return l.Cancel(call, id), nil
	}
	if elected.Addr == "" || elected.IsSelf || a.elector.IsLeaderUnresponsive() {
		return relay.NotLeader, nil
	}
	stop := a.cancelOnLeaderLoss(elected, cancel)
	defer stop()
	return a.peerClient.Cancel(call, elected.Addr, id, relayTimeout)
}

// Pending returns the number of pending jobs of a queue, or false if it is unknown.
func (a *Agent) Pending(queue string) (int, bool) {
	if l := a.localLeader(); l != nil {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		p := l.Pending(ctx)
		return p[queue], p != nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.digest.Pending[queue], a.digestAt > 0 && a.clk.Now()-a.digestAt < maxPendingAge
}

// peerHandler handles requests of other entries. It implements relay.Handler.
type peerHandler Agent

func (h *peerHandler) agent() *Agent { return (*Agent)(h) }

// Submit stores a job if this entry leads.
func (h *peerHandler) Submit(ctx context.Context, s relay.Submission) relay.Answer {
	if l := h.agent().localLeader(); l != nil {
		if h.guard.IsFull() {
			h.guard.Refuse("leader")
			return memoryAnswer
		}
		return l.Submit(ctx, s)
	}
	return relay.Answer{Verdict: relay.NotLeader}
}

// Query returns a job's state if this entry leads.
func (h *peerHandler) Query(ctx context.Context, id string) (model.State, bool) {
	if l := h.agent().localLeader(); l != nil {
		return l.Query(ctx, id)
	}
	return model.Unknown, false
}

// Cancel cancels a job if this entry leads.
func (h *peerHandler) Cancel(ctx context.Context, id string, _ time.Duration) relay.Verdict {
	if l := h.agent().localLeader(); l != nil {
		return l.Cancel(ctx, id)
	}
	return relay.NotLeader
}

// Digest returns the leader that this entry follows, and the pending jobs if it leads. It records
// the polling entry, and steps down if that is a larger instance.
func (h *peerHandler) Digest(ctx context.Context, f relay.Follower) relay.Digest {
	a := h.agent()
	if len(f.Name)+len(f.Addr)+len(f.Centre) <= maxNames {
		a.elector.RecordFollower(f)
		if f.Leaving {
			a.execs.RemovePeer(f.Name)
		} else {
			a.execs.RecordPeer(f.Name, f.Addr, f.Centre, f.Rank)
		}
	}
	elected := a.elector.Leader()
	out := ConfigDigest(a.orders, f.Version)
	out.Token, out.Addr = elected.Token, elected.Addr
	l := a.localLeader()
	if l == nil {
		return out
	}
	if f.Rank < elect.Rank(a.settings.Cores) {
		a.elector.StepDown()
	}
	out.Leads = true
	out.LeaseAge = a.clk.Now() - a.elector.LastRenewal()
	out.Pending = l.Pending(ctx)
	out.PollInterval = elect.FollowerPollDelay(f.Rank, a.elector.FollowerCount())
	return out
}

// ProxyCalls makes calls to executors for the leader.
func (h *peerHandler) ProxyCalls(s proxy.ServerStream) error {
	return proxy.Serve(s, h.client, h.proxyLimits, h.clk, h.log)
}

// maxNames bounds the sum of an entry's name, address and data centre: what is longer is no entry's, and would be
// kept.
const maxNames = 1024

// Announce records the new leader, or that this entry is the designated successor.
func (h *peerHandler) Announce(token uint64, name, addr string) {
	if len(name)+len(addr) > maxNames {
		return
	}
	h.agent().elector.HandleAnnouncement(token, name, addr)
}
