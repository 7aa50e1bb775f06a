// Package leader carries the jobs while this entry leads: it stores what is accepted,
// starts tasks on executors, learns how they end, and takes note of that in the store.
// One goroutine owns all state; calls run in goroutines of their own and report back to
// it as events.
package leader

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/tenure"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/internal/serve/proxy"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// Topic holds the jobs: accepted ones, their progress and their ends.
	Topic = "keyed.chervilgauge.jobs"
	// leaderPart is the partition that only the leader writes to. An append of another
	// entry there would hold up its next one.
	leaderPart = 0
	// writer names the leader's appends, which are fenced by the token.
	writer = "leader"
	// tick is how often due times are looked at.
	tick = 20 * time.Millisecond
	// sweepEvery is the time between looks at all runs and leases, for what no event tells:
	// stops to repeat, runs that stand still, leases that have ended.
	sweepEvery = 200 * time.Millisecond
	// eventBuffer holds events while the control goroutine works.
	eventBuffer = 1024
)

// Executors makes the calls to executors.
type Executors interface {
	proxy.Executors
	// Size says how many executors each zone has.
	Size(zones map[string]int)
}

// Parts are what a leader works with.
type Parts struct {
	Client   *platform.Client
	Execs    Executors
	Settings platform.Settings
	Orders   *orders.Orders
	Clock    clock.Clock
	Log      zerolog.Logger
	Meters   *Meters
	// Renewed returns when the last renewal of the lease that succeeded was sent.
	Renewed func() time.Duration
}

// Leader leads from Start to Close.
type Leader struct {
	Parts
	token  uint64
	start  time.Duration
	events chan event
	cancel context.CancelFunc
	ctx    context.Context
	done   chan struct{}
	// calls counts the goroutines that will report an event.
	calls int

	// All below belongs to the control goroutine.
	now   time.Duration
	wall  time.Duration
	ready bool
	book  *book.Book

	members map[string]*member // by key
	// crews are the executors that have not ended by service, nil after a change.
	crews map[string][]*member
	ended map[string]time.Duration // incarnations that are over, by key, and since when
	byID  map[string]*member       // the newest incarnation of an id
	// touched are the executors that may have to be looked at, and unacked those with ends
	// that are not stored.
	touched map[*member]struct{}
	unacked map[*member]struct{}
	settled map[string]bool // services whose former runs are known
	// allSettled says that no former run can go on anywhere.
	allSettled bool
	usual      map[string]*ratio // run times compared with estimates, by service

	store   storing
	execTop tailing
	loneTop tailing
	lone    map[string]struct{} // jobs with keys in the partition of lone records

	waiting  []event // requests that came before the book was loaded
	planDue  map[string]bool
	nextPlan time.Duration
	queues   map[string]*queue // by service
	// nextSweep is when all runs and leases are looked at again.
	nextSweep time.Duration
	forgetAt  time.Duration
	duty      duties
	advice    map[*book.Step]*advised
	asking    int // questions to the advice service under way
	// backlog is the last count of pending jobs, which nobody changes, and counted when it was made.
	backlog  map[string]int
	counted  time.Duration
	execLost bool // the executors' reports can't be read
}

// event is a message to the control goroutine.
type event interface{ isEvent() }

// LonePart returns the partition of Topic for jobs and cancels that an entry stores by
// itself, of so many partitions.
func LonePart(parts int) int { return min(1, parts-1) }

// Start begins to lead under a token. It takes over what an earlier leader left.
func Start(ctx context.Context, p Parts, token uint64) *Leader {
	ctx, cancel := context.WithCancel(ctx)
	l := &Leader{
		Parts: p, token: token, events: make(chan event, eventBuffer), ctx: ctx, cancel: cancel, done: make(chan struct{}),
		members: map[string]*member{}, byID: map[string]*member{}, settled: map[string]bool{}, usual: map[string]*ratio{},
		touched: map[*member]struct{}{}, unacked: map[*member]struct{}{}, queues: map[string]*queue{}, ended: map[string]time.Duration{},
		planDue: map[string]bool{}, advice: map[*book.Step]*advised{}, lone: map[string]struct{}{},
	}
	l.start = p.Clock.Now()
	l.Log = p.Log.With().Uint64("token", token).Logger()
	go l.run()
	return l
}

// Close stops leading and waits for all calls.
func (l *Leader) Close() {
	l.cancel()
	<-l.done
}

func (l *Leader) run() {
	defer close(l.done)
	l.Log.Info().Msg("leading starts")
	l.call(func(ctx context.Context) event { return l.load(ctx) })
	ticks := l.Clock.Subscribe(tick)
	defer ticks.Close()
	for l.ctx.Err() == nil {
		select {
		case ev := <-l.events:
			l.clocks()
			l.handle(ev)
			l.drain()
		case <-ticks.C:
			l.clocks()
			l.onTick()
		case <-l.ctx.Done():
			continue
		}
		l.act()
	}
	l.Log.Info().Int("jobs", l.jobCount()).Msg("leading stops")
	l.refuseAll()
	for l.calls > 0 {
		if _, ok := (<-l.events).(reporting); ok {
			l.calls--
		}
	}
}

// reporting events end a call.
type reporting interface{ isReport() }

type report struct{}

func (report) isEvent()  {}
func (report) isReport() {}

// call runs f in a goroutine, which reports its event.
func (l *Leader) call(f func(ctx context.Context) event) {
	l.calls++
	go func() { l.events <- f(l.ctx) }()
}

// drainMost bounds the events that are handled before the leader acts on them.
const drainMost = 256

func (l *Leader) drain() {
	for range drainMost {
		select {
		case ev := <-l.events:
			l.handle(ev)
		default:
			return
		}
	}
}

func (l *Leader) clocks() {
	l.now = l.Clock.Now()
	l.wall = time.Duration(l.Clock.Wall().UnixNano())
}

func (l *Leader) jobCount() int {
	if l.book == nil {
		return 0
	}
	return l.book.Len()
}

// isValid says whether this leader may act.
func (l *Leader) isValid() bool { return tenure.IsValid(l.Renewed(), l.now) }

func (l *Leader) handle(ev event) {
	if _, ok := ev.(reporting); ok {
		l.calls--
	}
	switch ev := ev.(type) {
	case loaded:
		l.onLoaded(ev)
	case *submitted:
		l.onSubmit(ev)
	case *queried:
		l.onQuery(ev)
	case *cancelled:
		l.onCancel(ev)
	case *digested:
		l.onDigest(ev)
	case appended:
		l.onAppended(ev)
	case readExecutors:
		l.onExecutors(ev)
	case readLone:
		l.onLone(ev)
	case held:
		l.onHeld(ev)
	case startedRun:
		l.onStarted(ev)
	case stoppedRun:
		l.onStopped(ev)
	case forgotLone:
		l.onForgotLone(ev)
	case answeredAdvice:
		l.onAdvice(ev)
	case listed:
		l.onListed(ev)
	case ordered:
		l.onOrdered(ev)
	case statused:
		l.onStatused(ev)
	}
}

// act does all that is due after a change.
func (l *Leader) act() {
	if !l.ready {
		return
	}
	l.flush()
	if !l.isValid() {
		return
	}
	l.settle()
	l.plan()
	l.holdAll()
	l.flush()
}

func (l *Leader) onTick() {
	if !l.ready {
		return
	}
	l.openDue()
	l.trust()
	l.tail()
	if l.now >= l.nextSweep {
		l.nextSweep = l.now + sweepEvery
		l.retryStops()
		l.expireLeases()
	}
	l.dutyTick()
	l.forget()
}

// openDue opens occurrences whose time has come.
func (l *Leader) openDue() {
	for _, j := range l.book.Active() {
		if l.book.Open(j, l.wall) {
			l.planDue[l.rules(j).Service] = true
		}
	}
}

// forgetEvery is the time between looks for jobs that ended long ago, and between
// updates of gauges.
const forgetEvery = 1 * time.Second

// endedKeep is how long an executor that has ended is kept in mind: its last report may be
// read after its end, and stays in the store until three more are missing.
const endedKeep = 60 * time.Second

// forgetSlack keeps ended jobs longer than their status must be shown.
const forgetSlack = 30 * time.Second

func (l *Leader) forget() {
	if l.now < l.forgetAt {
		return
	}
	l.forgetAt = l.now + forgetEvery
	l.size()
	pending := 0
	for _, n := range l.book.Pending() {
		pending += n
	}
	l.Meters.active.Update(float64(len(l.book.Active())))
	l.Meters.pending.Update(float64(pending))
	for _, id := range l.book.Forget(l.wall - l.Settings.Bounds.Status - forgetSlack) {
		if _, ok := l.lone[id]; ok {
			l.forgetLone(id)
			continue
		}
		l.store.pending = append(l.store.pending, book.ForgetEntries(id)...)
	}
	l.forgetAdvice()
	for key, m := range l.members {
		if m.Contact == crew.Dead && len(l.book.On(key)) == 0 && !m.holding {
			delete(l.members, key)
			l.ended[key] = l.now
		}
	}
	for key, at := range l.ended {
		if l.now > at+endedKeep {
			delete(l.ended, key)
		}
	}
}

// size says how many executors each zone has.
func (l *Leader) size() {
	zones := map[string]int{}
	for _, m := range l.members {
		if m.Contact != crew.Dead && m.Listed {
			zones[m.Zone]++
		}
	}
	l.Execs.Size(zones)
}

// rules returns the settings of a job's queue that are in force, or those that it was
// accepted with if its queue was removed.
func (l *Leader) rules(j *book.Job) *model.Queue {
	if c := l.Orders.Config(); c != nil {
		if q := c.Queue(j.Queue); q != nil {
			return q
		}
	}
	return &j.Rules
}

// ratio is the mean run time compared with the estimate.
type ratio struct {
	mean float64
	n    int
}

// ratioWeight is the least weight of a new run in the mean.
const ratioWeight = 0.02

func (r *ratio) add(took, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	r.n++
	w := max(1/float64(r.n), ratioWeight)
	r.mean += w * (float64(took)/float64(estimate) - r.mean)
}
