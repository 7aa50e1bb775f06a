package leader

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/tenure"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

var (
	elsewhereAnswer = relay.Answer{Verdict: relay.Elsewhere}
	unsureAnswer    = relay.Answer{Verdict: relay.Unsure, Cause: "outcome of the append is not known"}
)

// submitted is a job that waits to be stored.
type submitted struct {
	relay.Submission
	rules    model.Queue
	accepted time.Duration
	reply    chan relay.Answer
	// more are repeated submissions of the same job.
	more []*submitted
}

func (*submitted) isEvent() {}

// answer answers the submission and its repeats once.
func (s *submitted) answer(a relay.Answer) {
	s.reply <- a
	for _, m := range s.more {
		m.reply <- a
	}
}

type queried struct {
	id    string
	reply chan queryReply
}

func (*queried) isEvent() {}

type queryReply struct {
	state model.State
	leads bool
}

type cancelled struct {
	id    string
	at    time.Duration
	reply chan relay.Verdict
}

func (*cancelled) isEvent() {}

func (c *cancelled) answer(stored bool) {
	if stored {
		c.reply <- relay.Taken
		return
	}
	c.reply <- relay.Unsure
}

type digested struct{ reply chan map[string]int }

func (*digested) isEvent() {}

// send hands an event to the control goroutine. It returns false if leading has ended.
func (l *Leader) send(ctx context.Context, ev event) bool {
	select {
	case l.events <- ev:
		return true
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// Submit stores a job.
func (l *Leader) Submit(ctx context.Context, s relay.Submission) relay.Answer {
	ev := &submitted{Submission: s, reply: make(chan relay.Answer, 1)}
	if !l.send(ctx, ev) {
		return elsewhereAnswer
	}
	select {
	case a := <-ev.reply:
		return a
	case <-ctx.Done():
	case <-l.done:
	}
	return unsureAnswer
}

// Query returns the state of a job, or false if it is not known here.
func (l *Leader) Query(ctx context.Context, id string) (model.State, bool) {
	ev := &queried{id, make(chan queryReply, 1)}
	if !l.send(ctx, ev) {
		return model.Unknown, false
	}
	select {
	case r := <-ev.reply:
		return r.state, r.leads
	case <-ctx.Done():
	case <-l.done:
	}
	return model.Unknown, false
}

// Cancel cancels a job.
func (l *Leader) Cancel(ctx context.Context, id string) relay.Verdict {
	ev := &cancelled{id: id, reply: make(chan relay.Verdict, 1)}
	if !l.send(ctx, ev) {
		return relay.Elsewhere
	}
	select {
	case v := <-ev.reply:
		return v
	case <-ctx.Done():
	case <-l.done:
	}
	return relay.Unsure
}

// Pending returns the pending jobs of each queue, or nil if they are not known.
func (l *Leader) Pending(ctx context.Context) map[string]int {
	ev := &digested{make(chan map[string]int, 1)}
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

func (l *Leader) onSubmit(ev *submitted) {
	if !l.ready {
		l.waiting = append(l.waiting, ev)
		return
	}
	if l.book.Job(ev.ID) != nil {
		ev.answer(relay.Answer{Verdict: relay.Taken})
		return
	}
	if a := l.beingStored(ev.ID); a != nil {
		a.more = append(a.more, ev)
		return
	}
	if l.storeTrouble() || !l.isValid() {
		// The store may turn only this entry away; the one that asks can store it itself.
		l.Meters.refuse("store")
		ev.answer(elsewhereAnswer)
		return
	}
	ev.rules = model.Queue{Name: ev.Queue, Attempts: 1}
	if c := l.Orders.Config(); c != nil {
		if q := c.Queue(ev.Queue); q != nil {
			ev.rules = *q
		}
	}
	l.store.accepts = append(l.store.accepts, ev)
}

// accepted takes over a job that is stored.
func (l *Leader) accepted(ev *submitted) {
	w, err := platform.DecodeWork(ev.Body)
	if err != nil {
		// The entry checked it; another version of the program may check less.
		l.Log.Error().Err(err).Str("job", ev.ID).Msg("accepted job can't be decoded")
		ev.answer(unsureAnswer)
		return
	}
	j := l.book.Accept(ev.ID, ev.rules, w, ev.accepted, l.now)
	l.Meters.accepted.Inc(1)
	l.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Int("tasks", w.Tasks()).Bool("lasts", w.Lasts()).Msg("job is accepted")
	l.planDue[l.rules(j).Service] = true
	l.noteArrival(j)
	ev.answer(relay.Answer{Verdict: relay.Taken})
}

func (l *Leader) onQuery(ev *queried) {
	if !l.ready {
		l.waiting = append(l.waiting, ev)
		return
	}
	if j := l.book.Job(ev.id); j != nil {
		ev.reply <- queryReply{j.State(), true}
		return
	}
	// A job that is being stored is not known to its caller yet. Another leader may know
	// jobs that this one does not.
	ev.reply <- queryReply{model.Unknown, tenure.IsCertain(l.Renewed(), l.now)}
}

func (l *Leader) onCancel(ev *cancelled) {
	if !l.ready {
		l.waiting = append(l.waiting, ev)
		return
	}
	j := l.book.Job(ev.id)
	if j == nil && l.beingStored(ev.id) == nil {
		if tenure.IsCertain(l.Renewed(), l.now) {
			ev.reply <- relay.Gone
		} else {
			ev.reply <- relay.Elsewhere
		}
		return
	}
	if j != nil && j.State().Final() {
		ev.reply <- relay.Taken
		return
	}
	l.store.cancels = append(l.store.cancels, ev)
}

// beingStored returns the submission of a job that is not stored yet, or nil.
func (l *Leader) beingStored(id string) *submitted {
	for _, a := range l.store.accepts {
		if a.ID == id {
			return a
		}
	}
	return l.store.underway[id]
}

// cancelStored ends a job whose cancel is stored.
func (l *Leader) cancelStored(ev *cancelled) {
	l.cancelJob(ev.id)
	ev.answer(true)
}

func (l *Leader) cancelJob(id string) {
	j := l.book.Job(id)
	if !l.book.Cancel(id, l.wall) || j == nil {
		return
	}
	l.Log.Info().Str("job", id).Str("queue", j.Queue).Msg("job is cancelled")
	l.stopJob(j)
}

// stopJob stops all runs of a job that is over.
func (l *Leader) stopJob(j *book.Job) {
	j.Runs(func(r *book.Run) {
		if r.Phase == book.Running {
			l.stop(r, "job is over")
		}
	})
}

// countedFor is how old the last read of jobs that entries stored by themselves may be
// for the number of pending jobs to hold.
const countedFor = 2 * time.Second

// countEvery is the time between counts of pending jobs: every entry asks for the number,
// and may show it for two seconds.
const countEvery = 100 * time.Millisecond

func (l *Leader) onDigest(ev *digested) {
	if !l.ready || !l.isValid() || l.now > l.loneTop.read+countedFor {
		ev.reply <- nil
		return
	}
	if l.backlog == nil || l.now > l.counted+countEvery {
		l.backlog, l.counted = l.book.Pending(), l.now
	}
	ev.reply <- l.backlog
}

// refuseAll answers requests that were not handled when leading ended.
func (l *Leader) refuseAll() {
	for _, a := range l.store.accepts {
		a.answer(elsewhereAnswer)
	}
	for _, c := range l.store.cancels {
		c.reply <- relay.Elsewhere
	}
	for _, w := range l.waiting {
		switch w := w.(type) {
		case *submitted:
			w.answer(elsewhereAnswer)
		case *queried:
			w.reply <- queryReply{}
		case *cancelled:
			w.reply <- relay.Elsewhere
		}
	}
}
