package leader

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/tenure"
	"chervilgauge.example/chervilgauge/platform"
)

// errand is what is planned for one instance.
type errand struct {
	instance string
	// pool is where it moves, empty for an upkeep in the wave.
	pool  string
	wave  int64
	since time.Duration
	// ordered says that an order was sent, and accepted that it was answered well.
	ordered, accepted bool
	acceptedAt        time.Duration
	next              time.Duration
	calling           bool
	// noted says that the order is to be stored, and stored that it is: the next leader
	// must know of an order before it can have an effect.
	noted, stored bool
	notedAt       time.Duration
	former        string // the executor before the order
}

type ordered struct {
	report
	e   *errand
	err error
}

// lastOrder is the last order for an instance: when it was noted, in Unix time, and by the
// process of which entry.
type lastOrder struct {
	at time.Duration
	by string
}

// loadOrder takes over when an instance was ordered last.
func (l *Leader) loadOrder(instance string, value []byte) {
	at, by, _ := strings.Cut(string(value), " ")
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		l.Log.Error().Err(err).Str("instance", instance).Msg("record of an order can't be read")
		return
	}
	// A clock that is ahead must not make an order wait for long, nor make it one of this
	// leader's own.
	l.duty.lately[instance] = lastOrder{min(time.Duration(ms)*time.Millisecond, l.duty.began-1), by}
}

// orderEntry returns the record of an order that is to be sent. Each instance has one of
// its own: a fleet of a thousand has hundreds of orders within the time of a turn.
func (l *Leader) orderEntry(e *errand) book.Entry {
	o := l.duty.lately[e.instance]
	value := strconv.AppendInt(nil, o.at.Milliseconds(), 10)
	return book.Entry{Key: ordersKey + e.instance, Value: append(append(value, ' '), o.by...)}
}

// mayOrder says whether an order of this leader for an instance is far enough from one
// of a former leader. Orders of its own may follow one another.
func (l *Leader) mayOrder(instance string) bool {
	if !l.isValid() {
		return false
	}
	o, ok := l.duty.lately[instance]
	if !ok || o.at >= l.duty.began {
		return true
	}
	turn := l.Settings.Bounds.Turns
	if o.by == l.Settings.Node {
		// An earlier process of this entry is the same holder, and has ended: only its call may
		// still be on its way.
		turn = 0
	}
	return l.wall >= tenure.TurnEnds(o.at, turn)
}

// begin starts to empty an instance.
func (l *Leader) begin(e *errand) {
	l.duty.errands[e.instance] = e
	in := l.duty.fleet[e.instance]
	e.former = in.Executor
	m := l.memberOn(in)
	runs := 0
	if m != nil {
		m.Leaving = true
		runs = len(l.book.On(m.Key))
	}
	l.Log.Info().Str("instance", e.instance).Str("executor", in.Executor).Str("service", in.Pool).Str("to", e.pool).Int64("wave", e.wave).
		Int("runs", runs).Msg("instance is emptied")
}

func (l *Leader) endErrand(e *errand, cause string) {
	delete(l.duty.errands, e.instance)
	if in, ok := l.duty.fleet[e.instance]; ok {
		if m := l.memberOn(in); m != nil && m.Leaving {
			m.Leaving = false
			l.planDue[m.Service] = true
		}
	}
	l.Log.Info().Str("instance", e.instance).Str("to", e.pool).Int64("wave", e.wave).Str("cause", cause).
		Dur("took", l.now-e.since).Msg("errand ends")
}

// pursue goes on with an errand.
func (l *Leader) pursue(e *errand) {
	if e.accepted || e.calling || l.now < e.next {
		return
	}
	in, ok := l.duty.fleet[e.instance]
	if !ok {
		l.endErrand(e, "instance is gone")
		return
	}
	if !e.ordered && !l.isEmpty(e, in) {
		return
	}
	if !l.mayOrder(e.instance) {
		return
	}
	if !e.noted {
		e.noted, e.notedAt = true, l.now
		l.duty.lately[e.instance] = lastOrder{l.wall, l.Settings.Node}
		l.duty.noting = append(l.duty.noting, e)
		return
	}
	if !e.stored {
		return
	}
	if !tenure.MaySend(e.notedAt, l.now) {
		e.noted, e.stored = false, false
		return
	}
	e.ordered, e.calling = true, true
	l.Meters.cloud.Inc(1)
	l.Log.Info().Str("instance", e.instance).Str("to", e.pool).Int64("wave", e.wave).Msg("instance is ordered away")
	notedAt := e.notedAt
	l.call(func(ctx context.Context) event {
		if !tenure.MaySend(notedAt, l.Clock.Now()) {
			// The process was suspended since the order was decided.
			return ordered{e: e, err: &platform.OrderError{Reason: platform.ReasonLate}}
		}
		call, cancel := context.WithTimeout(ctx, tenure.OrderTimeout)
		defer cancel()
		if e.pool == "" {
			return ordered{e: e, err: l.Client.Maintain(call, l.token, e.instance, e.wave)}
		}
		return ordered{e: e, err: l.Client.Move(call, l.token, e.instance, e.pool)}
	})
}

// isEmpty says whether nothing runs on an instance, and stops what does not end by
// itself soon.
func (l *Leader) isEmpty(e *errand, in model.Instance) bool {
	m := l.memberOn(in)
	if m == nil {
		// Nothing that this leader started can be there, but an earlier leader may have
		// started what the executor was not asked for yet.
		return in.Executor == "" || in.Phase != model.Up || l.now >= tenure.Settled(l.start)
	}
	m.Leaving = true
	if m.Contact != crew.Live {
		if l.now >= max(m.leaseEnd, tenure.Settled(l.start)) && len(l.book.On(m.Key)) == 0 {
			return true
		}
		if e.pool != "" && l.now > e.since+giveUpAfter {
			l.endErrand(e, "executor does not answer")
		}
		return false
	}
	runs := l.book.On(m.Key)
	if len(runs) == 0 {
		// Ends that the executor does not know to be stored would be lost with it.
		return m.starting == 0 && !m.doubt && m.told >= m.seen
	}
	stuck := false
	together := l.mayStopTogether(m)
	for r := range runs {
		if r.Phase != book.Running {
			continue
		}
		s := r.Task.Step
		switch {
		case s.Lasts && l.hasPlace(m, r.Task):
			if l.mayStop(r.Task) {
				l.stop(r, "instance is emptied")
			}
		case s.Lasts:
			// After an upkeep it can start again here.
			if e.pool == "" && together[s] {
				l.stop(r, "instance is emptied")
			} else {
				stuck = true
			}
		case l.now > e.since+emptyFor:
			l.stop(r, "instance is emptied")
		}
	}
	switch {
	case l.now <= e.since+giveUpAfter:
	case e.pool != "":
		l.endErrand(e, "instance did not get empty")
	case stuck:
		// Meanwhile it takes other work again.
		l.duty.later[e.instance] = l.now + giveUpAfter
		l.endErrand(e, "tasks that last have no other place")
	}
	return false
}

// hasPlace says whether a task that lasts can run on another executor than m. An instance
// that is fetched for it takes some two seconds; until then it stays at work.
func (l *Leader) hasPlace(m *member, t *book.Task) bool {
	var others []*crew.Member
	for _, o := range l.crewOf(m.Service) {
		if o != m && l.isSure(o) {
			others = append(others, &o.Member)
		}
	}
	return assign.HasPlace(t, others, l.now)
}

// mayStopTogether returns the steps all of whose tasks on an executor may be away at the
// same time.
func (l *Leader) mayStopTogether(m *member) map[*book.Step]bool {
	here := map[*book.Step]int{}
	out := map[*book.Step]bool{}
	for r := range l.book.On(m.Key) {
		if r.Task.Step.Lasts && r.Phase == book.Running {
			here[r.Task.Step]++
		}
	}
	for r := range l.book.On(m.Key) {
		s := r.Task.Step
		if _, known := out[s]; known || here[s] == 0 || r.Phase != book.Running {
			continue
		}
		away, stale, _ := l.missing(r.Task)
		out[s] = s.MayMiss < 0 || len(stale) == 0 && away+here[s] <= s.MayMiss
	}
	return out
}

// freshFor returns how old a look may be that a stop of a task that lasts relies on. A look
// that waits is answered as soon as a run ends, and a task that is away for another reason
// than an order counts only after the notice; half of it is left for what is on its way.
func (l *Leader) freshFor() time.Duration {
	return min(holdWait+holdSlack, l.Settings.Bounds.Notice/2)
}

// hurryFor is how long executors are looked at often where a stop waits for them: one may
// be in a look of holdWait.
const hurryFor = 2 * time.Second

// stopSlack is added to the longest time of a stop, for its way.
const stopSlack = 400 * time.Millisecond

// mayStop says whether a task that lasts may be away: no more of its step are than the
// job allows. If that is not known well enough, or will change soon, it has the executors
// looked at.
func (l *Leader) mayStop(t *book.Task) bool {
	if t.Step.MayMiss < 0 || l.isStuck(t) {
		return true
	}
	away, stale, starting := l.missing(t)
	for _, m := range slices.Concat(stale, starting) {
		m.hurry = l.now + hurryFor
	}
	return len(stale) == 0 && away < t.Step.MayMiss
}

// missing counts the other tasks of a step that are away. It returns the executors whose
// last look is too old to tell, and those on which a task starts.
func (l *Leader) missing(t *book.Task) (away int, stale, starting []*member) {
	for _, o := range t.Step.Tasks {
		if o == t {
			continue
		}
		if !o.IsAtWork() {
			away++
		}
		for _, r := range o.Runs {
			m := l.members[r.Executor]
			switch {
			case !o.IsAtWork():
				if m != nil {
					starting = append(starting, m)
				}
			case m == nil || m.Contact != crew.Live:
				away++
			case l.now-m.clockAt > l.freshFor(), l.now < m.since+l.Settings.Bounds.Stop+stopSlack:
				// After a takeover a stop of the former leader may be under way; such a run is
				// listed as it was.
				stale = append(stale, m)
			}
		}
	}
	return away, stale, starting
}

// stuckAfter is how long a task that lasts may take to be at work.
const stuckAfter = 4 * time.Second

// isStuck says whether a task did not get to work for so long that it will not.
func (l *Leader) isStuck(t *book.Task) bool {
	return !t.IsAtWork() && len(t.Runs) > 0 && l.now > t.Runs[0].Since+stuckAfter
}

func (l *Leader) onOrdered(ev ordered) {
	e := ev.e
	e.calling = false
	e.next = l.now + orderRetry
	// The next attempt is an order of its own.
	e.noted, e.stored = false, false
	if l.duty.errands[e.instance] != e {
		return
	}
	refused := (*platform.OrderError)(nil)
	if ev.err == nil {
		l.accept(e)
		return
	}
	l.Log.Warn().Err(ev.err).Str("instance", e.instance).Str("to", e.pool).Int64("wave", e.wave).Msg("order for an instance failed")
	if !errors.As(ev.err, &refused) {
		return
	}
	switch refused.Reason {
	case platform.ReasonBad:
		if e.pool != "" {
			if l.duty.refused[e.instance] == nil {
				l.duty.refused[e.instance] = map[string]bool{}
			}
			l.duty.refused[e.instance][e.pool] = true
		}
		l.endErrand(e, "order is invalid")
	case platform.ReasonWave:
		l.finishUpkeep(e)
		l.endErrand(e, "instance is not of the wave")
	case platform.ReasonBusy:
		if e.pool != "" {
			l.endErrand(e, "instance is busy")
		}
	default:
	}
}

// accept notes that an order was carried out: all that ran there has ended.
func (l *Leader) accept(e *errand) {
	e.accepted, e.acceptedAt = true, l.now
	if e.pool == "" {
		l.Meters.order("upkeep")
	} else {
		l.Meters.order("move")
	}
	if m := l.byID[e.former]; m != nil {
		l.bury(m, "its instance was ordered away")
	}
	if e.pool == "" {
		l.finishUpkeep(e)
	}
	l.duty.nextList = min(l.duty.nextList, l.now+l.Settings.Bounds.Migrate)
}
