package leader

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// askMost bounds the executors of one question: the service decides for each in turn.
	askMost = 20
	// asksAtOnce bounds the questions under way. The service answers one at a time for
	// each machine, so that more would only wait there.
	asksAtOnce = 2
	// ticketSlack is how long before its end a ticket is not used any more.
	ticketSlack = 150 * time.Millisecond
	// adviceSlack is how much longer than its decisions an answer may take.
	adviceSlack = 1500 * time.Millisecond
	// adviceRetry is the time to the next question after one that failed.
	adviceRetry = 200 * time.Millisecond
)

// advised is what the advice service said of one step.
type advised struct {
	tickets map[string]ticket // by executor
	denied  map[string]bool   // the answer for a step and an executor does not change
	asking  bool
	next    time.Duration
}

type ticket struct {
	value string
	until time.Duration
}

// answeredAdvice is an answer of the advice service.
type answeredAdvice struct {
	report
	step    *book.Step
	asked   []string
	tickets []platform.Ticket
	sent    time.Duration
	valid   time.Duration
	err     error
}

// ticketFor returns a ticket for a step on an executor. Queues without advice need none.
func (l *Leader) ticketFor(s *book.Step, m *crew.Member) (string, bool) {
	if l.rules(s.Occ.Job).Advice == nil {
		return "", true
	}
	a := l.advice[s]
	if a == nil {
		return "", false
	}
	t, ok := a.tickets[m.Key]
	return t.value, ok && l.now < t.until-ticketSlack
}

// seekAdvice asks for tickets for the ready steps of a job that have none that can be
// used. The job comes in the order in which it would be placed.
func (l *Leader) seekAdvice(j *book.Job, members []*crew.Member) {
	adv := l.rules(j).Advice
	if adv == nil {
		return
	}
	for _, o := range j.Open {
		for _, s := range o.Steps {
			if l.asking < asksAtOnce && s.IsReady() && hasWaiting(s) {
				l.askAdvice(s, adv, members)
			}
		}
	}
}

func hasWaiting(s *book.Step) bool {
	for _, t := range s.Tasks {
		if t.IsWaiting() {
			return true
		}
	}
	return false
}

func (l *Leader) askAdvice(s *book.Step, adv *model.Advice, members []*crew.Member) {
	a := l.advice[s]
	if a == nil {
		a = &advised{tickets: map[string]ticket{}, denied: map[string]bool{}}
		l.advice[s] = a
	}
	if a.asking || l.now < a.next {
		return
	}
	need := s.Room()
	var ms []*crew.Member
	usable := 0
	for _, m := range members {
		if !m.Takes(l.now) || a.denied[m.Key] || !m.HasLabel(s.Label) || !need.Within(m.Free()) {
			continue
		}
		if t, ok := a.tickets[m.Key]; ok && l.now < t.until-ticketSlack {
			usable++
			continue
		}
		ms = append(ms, m)
	}
	if usable > 0 || len(ms) == 0 {
		return
	}
	slices.SortFunc(ms, func(x, y *crew.Member) int {
		return cmp.Or(cmp.Compare(y.Free().Cores, x.Free().Cores), cmp.Compare(x.Key, y.Key))
	})
	ms = ms[:min(len(ms), askMost)]
	ev := answeredAdvice{step: s, sent: l.now, valid: adv.Valid}
	ids := make([]string, len(ms))
	for i, m := range ms {
		ids[i] = m.ID
		ev.asked = append(ev.asked, m.Key)
	}
	a.asking = true
	l.asking++
	limit := time.Duration(asksAtOnce)*(adv.Decision+time.Duration(len(ids))*adv.Each) + adviceSlack
	name := s.Occ.Job.ID + "." + strconv.Itoa(s.Occ.Number) + "." + strconv.Itoa(s.Number)
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ev.tickets, ev.err = l.Client.Advise(call, name, ids)
		return ev
	})
}

func (l *Leader) onAdvice(ev answeredAdvice) {
	l.asking--
	a := l.advice[ev.step]
	if a == nil {
		return
	}
	a.asking = false
	l.planDue[l.rules(ev.step.Occ.Job).Service] = true
	if ev.err != nil {
		a.next = l.now + adviceRetry
		l.Log.Warn().Err(ev.err).Str("job", ev.step.Occ.Job.ID).Int("step", ev.step.Number).Msg("advice was not given")
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
			// The ticket is valid from when it was given, at the earliest when it was asked for.
			a.tickets[key] = ticket{v, ev.sent + ev.valid}
		} else {
			a.denied[key] = true
		}
	}
	l.Log.Info().Str("job", ev.step.Occ.Job.ID).Int("step", ev.step.Number).Int("asked", len(ev.asked)).
		Int("tickets", len(ev.tickets)).Msg("advice is given")
}

// forgetAdvice drops what was said of steps that need it no more.
func (l *Leader) forgetAdvice() {
	for s := range l.advice {
		if s.Left == 0 || s.Occ.Job.IsOver() {
			delete(l.advice, s)
		}
	}
}
