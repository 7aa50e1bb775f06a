package leader

import (
	"context"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/quota"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

var (
	notLeaderAnswer = relay.Answer{Verdict: relay.NotLeader}
	unknownAnswer   = relay.Answer{Verdict: relay.Unknown, Cause: "outcome of the append is not known"}
	noMemoryAnswer  = relay.Answer{Verdict: relay.Refused, RetryAfter: memoryRetry, Cause: "leader has no memory for another job"}
)

// submitRequest is the submission of a job that is to be stored.
type submitRequest struct {
	relay.Submission
	ctx      context.Context
	settings model.Queue
	accepted time.Duration
	// timing is what decides how long the job can wait, nil if its account has no share.
	timing *jobTiming
	// excess is set if the job is beyond the rate that its account is owed.
	excess bool
	// asked is when it was held, and checked is set once leaderless records were read since.
	asked   time.Duration
	checked bool
	reply   chan relay.Answer
	// refusal is why its account's limit refuses it, empty if it does not. unchecked is set if there was no
	// memory to decode the body for that.
	refusal   string
	unchecked bool
	// bytes is an estimate of the memory that the job takes.
	bytes int64
	// repeats are repeated submissions of the same job.
	repeats []*submitRequest
}

func (*submitRequest) isEvent() {}

// isAbandoned reports whether the entry that sent the submission has stopped waiting for the answer.
func (s *submitRequest) isAbandoned() bool { return s.ctx != nil && s.ctx.Err() != nil }

// answer answers the submission and its repeats. It must be called once.
func (s *submitRequest) answer(a relay.Answer) {
	s.reply <- a
	for _, r := range s.repeats {
		r.reply <- a
	}
}

type stateRequest struct {
	id    string
	reply chan queryReply
}

func (*stateRequest) isEvent() {}

type queryReply struct {
	state         model.State
	authoritative bool
}

type cancelRequest struct {
	id    string
	at    time.Duration
	asked time.Duration // when it arrived, on the entry's clock
	reply chan relay.Verdict
}

func (*cancelRequest) isEvent() {}

type pendingRequest struct{ reply chan map[string]int }

func (*pendingRequest) isEvent() {}

// send passes an event to the control goroutine. It returns false if the leader was closed or ctx
// has ended.
func (l *Leader) send(ctx context.Context, ev event) bool {
	select {
	case l.events <- ev:
		return true
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// Submit stores a job. The verdict is Stored once the job is stored, NotLeader if this leader has
// not handled it, and Unknown if the outcome is not known.
func (l *Leader) Submit(ctx context.Context, s relay.Submission) relay.Answer {
	ev := &submitRequest{Submission: s, ctx: ctx, bytes: bodyBytes(s.Body), reply: make(chan relay.Answer, 1)}
	l.checkBody(ctx, ev)
	if !l.send(ctx, ev) {
		return notLeaderAnswer
	}
	select {
	case a := <-ev.reply:
		return a
	case <-ctx.Done():
	case <-l.done:
	}
	return unknownAnswer
}

// checkBody decodes what the control goroutine needs of a submission. A large body takes milliseconds, which
// that goroutine must not spend.
func (l *Leader) checkBody(ctx context.Context, ev *submitRequest) {
	a, applies := limitedAccount(l.Orders.Config(), ev.Account), l.sharesApply(ev.Account)
	if a == nil && !applies {
		return
	}
	release, ok := l.Guard.Decode(ctx, ev.Body)
	if !ok {
		ev.unchecked = true
		return
	}
	defer release()
	spec, err := platform.DecodeJob(ev.Body)
	if err != nil {
		return // the entry that received the job has checked it
	}
	if a != nil {
		ev.refusal = quota.Refusal(a, spec.Steps)
	}
	if applies {
		ev.timing = timingOf(&spec)
	}
}

// Query returns the state of a job. It returns false if this leader can't answer for the job.
func (l *Leader) Query(ctx context.Context, id string) (model.State, bool) {
	ev := &stateRequest{id, make(chan queryReply, 1)}
	if !l.send(ctx, ev) {
		return model.Unknown, false
	}
	select {
	case r := <-ev.reply:
		return r.state, r.authoritative
	case <-ctx.Done():
	case <-l.done:
	}
	return model.Unknown, false
}

// Cancel cancels a job. The verdict is Stored once the cancel is stored or if the job has ended,
// NotFound if there is no such job, NotLeader if this leader can't decide that, and Unknown if the
// outcome is not known.
func (l *Leader) Cancel(ctx context.Context, id string) relay.Verdict {
	ev := &cancelRequest{id: id, reply: make(chan relay.Verdict, 1)}
	if !l.send(ctx, ev) {
		return relay.NotLeader
	}
	select {
	case v := <-ev.reply:
		return v
	case <-ctx.Done():
	case <-l.done:
	}
	return relay.Unknown
}

// Pending returns the number of pending jobs of each queue, or nil if it is not known. The caller
// must not modify the map.
func (l *Leader) Pending(ctx context.Context) map[string]int {
	ev := &pendingRequest{make(chan map[string]int, 1)}
	if !l.send(ctx, ev) {
		return nil
	}
	select {
	case p := <-ev.reply:
		return p
	case <-ctx.Done():
	case <-l.done:
	}
	return nil
}

func (l *Leader) onSubmit(ev *submitRequest) {
	if !l.ready {
		l.deferSubmission(ev)
		return
	}
	if ev.isAbandoned() {
		l.abandon(ev)
		return // the entry has stopped waiting, and may have stored the job itself
	}
	if l.tracker.Job(ev.ID) != nil {
		ev.answer(relay.Answer{Verdict: relay.Stored})
		return
	}
	if a := l.findUnstored(ev.ID); a != nil {
		if len(a.repeats) >= maxHeld {
			ev.answer(unknownAnswer)
			return
		}
		ev.Body = nil // that of the first is stored
		a.repeats = append(a.repeats, ev)
		return
	}
	if l.joinHeld(ev) {
		return
	}
	if l.isStoreSlow() || !l.isValid() {
		// The store may refuse only this entry; the entry that sent the job can store it itself.
		l.Meters.refuse("store")
		l.returnSubmission(ev)
		return
	}
	q := (*model.Queue)(nil)
	if c := l.Orders.Config(); c != nil {
		q = c.Queue(ev.Queue)
	}
	if q == nil {
		// This leader has not read the configuration that the entry has, which stores the job with the settings
		// of its queue.
		l.Meters.refuse("queue")
		l.returnSubmission(ev)
		return
	}
	ev.settings = *q
	if len(ev.Body)+len(ev.settings.Name)+len(ev.settings.Service)+recordOverhead > l.Settings.Store.RecordBytes {
		// The store would refuse the record for ever, and with it all that waits behind it.
		l.Meters.refuse("size")
		ev.answer(relay.Answer{Verdict: relay.Refused, Cause: "submission is larger than a record of the store"})
		return
	}
	if ev.refusal != "" {
		l.Meters.refuse("limit")
		l.countRefused(ev.Account, RefusedCounts{Limit: 1})
		ev.answer(relay.Answer{Verdict: relay.Limited, Cause: ev.refusal})
		return
	}
	if ev.unchecked || !l.hasMemory(ev.bytes, len(ev.Body)) {
		l.Meters.refuse("memory")
		ev.answer(noMemoryAnswer)
		return
	}
	if !l.admit(ev) {
		return
	}
	l.store.accepts = append(l.store.accepts, ev)
}

// deferSubmission keeps a submission until the state is loaded. Those whose entries have stopped waiting hold
// memory that the guard does not count any more.
func (l *Leader) deferSubmission(ev *submitRequest) {
	limit := int(guard.NewLimits(l.Settings.Memory, l.Settings.MaxDescriptors).Held)
	if l.deferredBytes+len(ev.Body) > limit {
		l.dropAbandoned()
	}
	if l.deferredBytes+len(ev.Body) > limit {
		l.Meters.refuse("memory")
		ev.answer(noMemoryAnswer)
		return
	}
	l.deferredBytes += len(ev.Body)
	l.deferred = append(l.deferred, ev)
}

// dropAbandoned drops the deferred submissions whose entries have stopped waiting, and may have stored the job
// themselves.
func (l *Leader) dropAbandoned() {
	l.deferred = slices.DeleteFunc(l.deferred, func(ev event) bool {
		s, ok := ev.(*submitRequest)
		if !ok || !s.isAbandoned() {
			return false
		}
		l.abandon(s)
		l.deferredBytes -= len(s.Body)
		return true
	})
}

// recordOverhead bounds the bytes of a job's record besides its body and names.
const recordOverhead = 192

// onJobStored adds a job that was stored to the tracker.
func (l *Leader) onJobStored(ev *submitRequest, p preparedJob) {
	if p.job == nil {
		if p.err != nil {
			// The entry has checked it, but it may run another version of the program that checks less.
			l.Log.Error().Err(p.err).Str("job", ev.ID).Msg("accepted job can't be decoded")
		}
		ev.answer(unknownAnswer)
		return
	}
	j := l.tracker.AcceptPrepared(p.job, l.now)
	j.BodyBytes = len(ev.Body)
	l.countStored(j, ev.excess)
	l.memory.add(j)
	l.Meters.accepted.Inc(1)
	l.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Int("tasks", j.Spec.TaskCount()).Bool("lasts", j.Spec.IsLongRunning()).Msg("job is accepted")
	l.planDue[l.queueOf(j).Service] = true
	l.recordArrival(j)
	ev.answer(relay.Answer{Verdict: relay.Stored})
}

func (l *Leader) onQuery(ev *stateRequest) {
	if !l.ready {
		l.deferred = append(l.deferred, ev)
		return
	}
	if j := l.tracker.Job(ev.id); j != nil {
		ev.reply <- queryReply{j.State(), true}
		return
	}
	// A job that is being stored has not been answered, so that its caller can't know it yet.
	ev.reply <- queryReply{model.Unknown, l.knowsAllJobs()}
}

// knowsAllJobs reports whether a job that this leader does not know does not exist. Another leader
// may have jobs that this one has not, unless no other entry can have claimed since the last
// renewal. Entries without a leader may have stored jobs since the last read of leaderless records.
func (l *Leader) knowsAllJobs() bool {
	return l.isSole() && l.now <= l.leaderlessTail.lastRead+maxCountAge
}

func (l *Leader) onCancel(ev *cancelRequest) {
	if !l.ready {
		l.deferred = append(l.deferred, ev)
		return
	}
	if ev.asked == 0 {
		ev.asked = l.now
	}
	j := l.tracker.Job(ev.id)
	if j == nil && l.findUnstored(ev.id) == nil {
		if ev.asked > l.leaderlessTail.lastRead {
			// Another entry may have stored the job since the last read of leaderless records.
			l.unread = append(l.unread, ev)
			l.leaderlessTail.next = l.now
			return
		}
		if !l.knowsAllJobs() {
			ev.reply <- relay.NotLeader
			return
		}
		if float64((l.tracker.EarlyCancels()+len(l.store.cancels))*cancelBytes) > cancelShare*float64(l.nextLimit()) {
			l.Meters.refuse("memory")
			ev.reply <- relay.Refused
			return
		}
		// The cancel is stored: an unanswered record of the job may still arrive seconds later.
	}
	if j != nil && j.State().IsFinal() {
		ev.reply <- relay.Stored
		return
	}
	l.store.cancels = append(l.store.cancels, ev)
}

// findUnstored returns the submission of a job that is still to be stored, or nil.
func (l *Leader) findUnstored(id string) *submitRequest {
	for _, a := range l.store.accepts {
		if a.ID == id {
			return a
		}
	}
	return l.store.inFlight[id]
}

// onCancelStored cancels a job whose cancel was stored. One that is not known is cancelled if it arrives later.
func (l *Leader) onCancelStored(ev *cancelRequest) {
	l.cancelJob(ev.id)
	if l.tracker.HasEarlyCancel(ev.id) {
		l.Log.Info().Str("job", ev.id).Msg("cancel of an unknown job is stored")
		ev.reply <- relay.NotFound
		return
	}
	ev.reply <- relay.Stored
}

func (l *Leader) cancelJob(id string) {
	j := l.tracker.Job(id)
	if !l.tracker.Cancel(id, l.wall) || j == nil {
		return
	}
	l.Log.Info().Str("job", id).Str("queue", j.Queue).Msg("job is cancelled")
	l.stopJob(j)
}

// stopJob stops all runs of a job that is over.
func (l *Leader) stopJob(j *track.Job) {
	j.ForEachRun(func(r *track.Run) {
		if r.Phase == track.Running {
			l.stop(r, "job is over")
		}
	})
}

// maxCountAge is the highest age of the last read of leaderless records with which the number of
// pending jobs is still reported.
const maxCountAge = 2 * time.Second

// countInterval is the time between counts of pending jobs: every entry requests the number, and
// may show it for two seconds.
const countInterval = 100 * time.Millisecond

func (l *Leader) onPending(ev *pendingRequest) {
	if !l.ready || !l.isValid() || l.now > l.leaderlessTail.lastRead+maxCountAge {
		ev.reply <- nil
		return
	}
	if l.pendingJobs == nil || l.now > l.countedAt+countInterval {
		l.pendingJobs, l.countedAt = l.tracker.CountPending(), l.now
	}
	ev.reply <- l.pendingJobs
}

// refuseAll answers the requests that were not handled before the leader was closed.
func (l *Leader) refuseAll() {
	l.returnUnread()
	l.returnUnsent()
	for _, ev := range l.deferred {
		switch ev := ev.(type) {
		case *submitRequest:
			ev.answer(notLeaderAnswer)
		case *stateRequest:
			ev.reply <- queryReply{}
		case *cancelRequest:
			ev.reply <- relay.NotLeader
		}
	}
}
