package leader

import (
	"context"
	"strconv"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// maxAdviceExecutors limits the executors in one call to the advice service, which decides on
	// them one after the other.
	maxAdviceExecutors = 20
	// maxAdviceCalls limits the calls in flight. The service handles one at a time for each
	// machine, so that more would only wait there.
	maxAdviceCalls = 2
	// ticketSlack is how long before its expiry a ticket is not used any more.
	ticketSlack = 150 * time.Millisecond
	// adviceSlack is how much longer than the time of its decisions a call may take.
	adviceSlack = 1500 * time.Millisecond
	// adviceRetryInterval is the time to the next call for a step after a failed one.
	adviceRetryInterval = 200 * time.Millisecond
)

// stepAdvice holds the answers of the advice service for one step.
type stepAdvice struct {
	// tickets has the last ticket for each approved executor, by its key. It may have expired.
	tickets map[string]ticket
	// denied are the keys of the executors that may not run the step. That answer never changes.
	denied   map[string]bool
	inFlight bool
	next     time.Duration
}

type ticket struct {
	value   string
	expires time.Duration
}

// expire makes the ticket for an executor unusable.
func (a *stepAdvice) expire(key string) {
	if t, ok := a.tickets[key]; ok {
		t.expires = 0
		a.tickets[key] = t
	}
}

// adviceAnswered is the outcome of a call to the advice service.
type adviceAnswered struct {
	report
	step    *track.Step
	asked   []string
	tickets []platform.Ticket
	sent    time.Duration
	valid   time.Duration
	err     error
}

// permission returns the permission of a step on an executor. Queues without advice need no ticket.
func (l *Leader) permission(s *track.Step, m *execs.Member) assign.Permission {
	if l.queueOf(s.Occ.Job).Advice == nil {
		return assign.Startable
	}
	a := l.advice[s]
	if a == nil {
		return assign.Undecided
	}
	t, approved := a.tickets[m.Key]
	switch {
	case a.denied[m.Key]:
		return assign.Denied
	case !approved:
		return assign.Undecided
	case l.now >= t.expires-ticketSlack:
		return assign.Approved
	}
	return assign.Startable
}

// ticketFor returns the last ticket for a step on an executor, empty if none is needed. Placement uses
// only executors whose ticket is valid.
func (l *Leader) ticketFor(s *track.Step, key string) string {
	a := l.advice[s]
	if a == nil || l.queueOf(s.Occ.Job).Advice == nil {
		return ""
	}
	return a.tickets[key].value
}

// requestAdvice requests tickets for the ready steps of a job that have no usable ones. Jobs must
// be passed in the order of placement, since the number of calls in flight is limited.
func (l *Leader) requestAdvice(j *track.Job, members []*execs.Member) {
	adv := l.queueOf(j).Advice
	if adv == nil || l.adviceCalls >= maxAdviceCalls {
		return
	}
	for _, o := range j.Open {
		for _, s := range o.Steps {
			if s.IsReady() && hasWaiting(s) {
				l.requestStepAdvice(s, adv, members)
			}
		}
	}
}

func hasWaiting(s *track.Step) bool {
	for _, t := range s.Tasks {
		if t.IsWaiting() {
			return true
		}
	}
	return false
}

func (l *Leader) requestStepAdvice(s *track.Step, adv *model.Advice, members []*execs.Member) {
	a := l.advice[s]
	if a == nil {
		a = &stepAdvice{tickets: map[string]ticket{}, denied: map[string]bool{}}
		l.advice[s] = a
	}
	if l.adviceCalls >= maxAdviceCalls || a.inFlight || l.now < a.next {
		return
	}
	ms := assign.ToAsk(s, members, l.permission, l.now)
	if len(ms) == 0 {
		return
	}
	ms = ms[:min(len(ms), maxAdviceExecutors)]
	ev := adviceAnswered{step: s, sent: l.now, valid: adv.TicketTTL}
	ids := make([]string, len(ms))
	for i, m := range ms {
		ids[i] = m.ID
		ev.asked = append(ev.asked, m.Key)
	}
	a.inFlight = true
	l.adviceCalls++
	limit := time.Duration(maxAdviceCalls)*(adv.DecisionTime+time.Duration(len(ids))*adv.PerExecutor) + adviceSlack
	name := s.Occ.Job.ID + "." + strconv.Itoa(s.Occ.Number) + "." + strconv.Itoa(s.Number)
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ev.tickets, ev.err = l.Client.Advise(call, name, ids)
		return ev
	})
}

func (l *Leader) onAdvice(ev adviceAnswered) {
	l.adviceCalls--
	a := l.advice[ev.step]
	if a == nil {
		return
	}
	a.inFlight = false
	l.planDue[l.queueOf(ev.step.Occ.Job).Service] = true
	if ev.err != nil {
		a.next = l.now + adviceRetryInterval
		l.Log.Warn().Err(ev.err).Str("job", ev.step.Occ.Job.ID).Int("step", ev.step.Number).Msg("call to the advice service failed")
		return
	}
	given := map[string]string{}
	for _, t := range ev.tickets {
		given[t.Executor] = t.Value
	}
	for _, key := range ev.asked {
		m := l.members[key]
		if m == nil {
			continue
		}
		if v, ok := given[m.ID]; ok {
			// Validity starts when the ticket was issued, at the earliest when it was requested.
			a.tickets[key] = ticket{v, ev.sent + ev.valid}
		} else {
			a.denied[key] = true
		}
	}
	l.Log.Info().Str("job", ev.step.Occ.Job.ID).Int("step", ev.step.Number).Int("asked", len(ev.asked)).
		Int("tickets", len(ev.tickets)).Msg("advice service answered")
}

// purgeAdvice drops the advice for steps that are done or whose job is over.
func (l *Leader) purgeAdvice() {
	for s := range l.advice {
		if s.Left == 0 || s.Occ.Job.IsOver() {
			delete(l.advice, s)
		}
	}
}
