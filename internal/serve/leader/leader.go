// Package leader runs the jobs and the fleet maintenance while this entry leads. It stores
// accepted jobs, starts their tasks on executors, polls the executors for the outcomes and
// stores those, and moves or maintains instances. One control goroutine owns all state; calls
// run in goroutines of their own and report their results to it as events.
package leader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/jobs/window"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/internal/serve/proxy"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// Topic holds the accepted jobs, their progress and their outcomes.
	Topic = "keyed.chervilgauge.jobs"
	// leaderPart is the partition that only the leader appends to. An append of another entry
	// there would delay the leader's next one.
	leaderPart = 0
	// writer is the writer name of the leader's appends, which are fenced by the token.
	writer = "leader"
	// tickInterval is the time between checks for due work.
	tickInterval = 20 * time.Millisecond
	// sweepInterval is the time between checks of all runs and leases for conditions that raise
	// no event: stops to repeat, stalled runs, expired leases.
	sweepInterval = 200 * time.Millisecond
	// eventBuffer is the number of events that can wait for the control goroutine.
	eventBuffer = 1024
)

// Executors makes the calls to executors and limits their connections.
type Executors interface {
	proxy.Executors
	// SetCentreSizes sets the number of executors in each data centre.
	SetCentreSizes(centres map[string]int)
	// Caller returns the name of the entry that makes the calls to an executor.
	Caller(to platform.Target) string
}

// Deps are the dependencies of a leader.
type Deps struct {
	Client   *platform.Client
	Execs    Executors
	Settings platform.Settings
	Orders   *orders.Orders
	Clock    clock.Clock
	Log      zerolog.Logger
	Meters   *Meters
	// Guard bounds the memory for decoding, nil for no limit.
	Guard *guard.Guard
	// LastRenewal returns when the last successful renewal of the leader lease was sent.
	LastRenewal func() time.Duration
	// HasSentResignation reports whether a resignation was sent. It is nil for a leader that never
	// resigns.
	HasSentResignation func() bool
	// SmallestMemory returns the least memory in MiB of the entries that may lead next, 0 if none is known. It is
	// nil for a leader without successors.
	SmallestMemory func() int64
}

// Leader is one term of leadership, from Start to Close.
type Leader struct {
	Deps
	token  uint64
	start  time.Duration
	events chan event
	cancel context.CancelFunc
	ctx    context.Context
	done   chan struct{}
	// calls is the number of goroutines that have yet to report their event.
	calls int
	// watchedUntil is until when the gauges of accounts are kept up to date.
	watchedUntil atomic.Int64

	// The fields below are owned by the control goroutine.
	now     time.Duration
	wall    time.Duration
	ready   bool
	readyAt time.Duration
	// heldRunsEnd is when the leases that were extended during the load have ended.
	heldRunsEnd time.Duration
	tracker     *track.Tracker

	members map[string]*member // executors by key
	// byService caches the executors that have not ended by service; nil after a change.
	byService map[string][]*member
	ended     map[string]time.Duration // when incarnations ended, by key
	byID      map[string]*member       // the newest incarnation of each id
	// pollCandidates are the executors that may need a poll, and unstoredEnds those with run
	// ends that are not stored yet.
	pollCandidates map[*member]struct{}
	unstoredEnds   map[*member]struct{}
	resolved       map[string]bool // services all of whose executors have listed the runs of earlier leaders
	// allResolved is set once the runs of earlier leaders are known for all jobs. lastContact is
	// when an executor last answered for the first time.
	allResolved   bool
	lastContact   time.Duration
	runtimeRatios map[string]*runtimeRatio // by service

	store          appendState
	executorTail   tailState
	leaderlessTail tailState
	leaderless     map[string]leaderlessRecords // by the ID of their job
	purging        bool                         // a deletion of leaderless records is in flight
	unread         []*cancelRequest             // cancels that wait for the next read of leaderless records
	memory         jobMemory

	deferred []event // requests that arrived before the state was loaded
	// deferredBytes is the size of the bodies in deferred.
	deferredBytes int
	planDue       map[string]bool
	replanAt      map[string]time.Duration // by service
	nextPlan      time.Duration
	jobOrders     map[string]*jobOrder // by service
	shares        shareState
	slow          map[string][]*track.Run // runs that should continue elsewhere, by service, of the last sweep
	nextMove      time.Duration           // when slow runs may be moved next
	// window limits the starts in flight, and windowLogged is when a lower limit was last logged.
	window       window.Window
	windowLogged time.Duration
	// restarts are the last unplanned restarts that ended runs, oldest first.
	restarts []restart
	// nextSweep is when all runs and leases are checked next.
	nextSweep   time.Duration
	nextPurge   time.Duration
	fleet       fleetState
	advice      map[*track.Step]*stepAdvice
	adviceCalls int // calls to the advice service in flight
	quota       quotaState
	accounts    accountsState
	waits       waitState
	// pendingJobs is the last count of pending jobs by queue, and countedAt its time. The map is
	// shared with readers and never modified.
	pendingJobs        map[string]int
	countedAt          time.Duration
	executorReadFailed bool // the last read of the executors' reports failed
}

// event is a message to the control goroutine.
type event interface{ isEvent() }

// LeaderlessPart returns the partition of Topic for leaderless records: jobs and cancels that
// an entry stored while it had no leader. parts is the number of partitions.
func LeaderlessPart(parts int) int { return min(1, parts-1) }

// Start starts a leader under a fencing token. It loads the state that earlier leaders stored.
func Start(ctx context.Context, d Deps, token uint64) *Leader {
	l := newLeader(ctx, d, token)
	go l.run()
	return l
}

// newLeader returns a leader whose control goroutine does not run yet.
func newLeader(ctx context.Context, d Deps, token uint64) *Leader {
	ctx, cancel := context.WithCancel(ctx)
	l := &Leader{
		Deps: d, token: token, events: make(chan event, eventBuffer), ctx: ctx, cancel: cancel, done: make(chan struct{}),
		members: map[string]*member{}, byID: map[string]*member{}, resolved: map[string]bool{}, runtimeRatios: map[string]*runtimeRatio{},
		pollCandidates: map[*member]struct{}{}, unstoredEnds: map[*member]struct{}{}, jobOrders: map[string]*jobOrder{}, ended: map[string]time.Duration{},
		planDue: map[string]bool{}, replanAt: map[string]time.Duration{}, advice: map[*track.Step]*stepAdvice{}, leaderless: map[string]leaderlessRecords{},
	}
	l.start = d.Clock.Now()
	l.Log = d.Log.With().Uint64("token", token).Logger()
	return l
}

// Close stops the leader and waits for all calls in flight.
func (l *Leader) Close() {
	l.cancel()
	<-l.done
}

func (l *Leader) run() {
	defer close(l.done)
	l.Log.Info().Msg("leading starts")
	l.call(func(ctx context.Context) event { return l.load(ctx) })
	ticks := l.Clock.Subscribe(tickInterval)
	defer ticks.Close()
	for l.ctx.Err() == nil {
		select {
		case ev := <-l.events:
			l.readClocks()
			l.handle(ev)
			l.drainEvents()
		case <-ticks.C:
			l.readClocks()
			l.onTick()
		case <-l.ctx.Done():
			continue
		}
		l.act()
	}
	l.Log.Info().Int("jobs", l.jobCount()).Msg("leading stops")
	l.refuseAll()
	l.Meters.setAccounts(&Accounts{})
	for l.calls > 0 {
		if _, ok := (<-l.events).(reporting); ok {
			l.calls--
		}
	}
}

// reporting is implemented by events that report the end of a call.
type reporting interface{ isReport() }

type report struct{}

func (report) isEvent()  {}
func (report) isReport() {}

// call runs f in a goroutine of its own and queues the event that it returns.
func (l *Leader) call(f func(ctx context.Context) event) {
	l.calls++
	go func() { l.events <- f(l.ctx) }()
}

// maxDrainedEvents is the number of queued events handled before the leader acts on them.
const maxDrainedEvents = 256

func (l *Leader) drainEvents() {
	for range maxDrainedEvents {
		select {
		case ev := <-l.events:
			l.handle(ev)
		default:
			return
		}
	}
}

func (l *Leader) readClocks() {
	l.now = l.Clock.Now()
	l.wall = time.Duration(l.Clock.Wall().UnixNano())
}

func (l *Leader) jobCount() int {
	if l.tracker == nil {
		return 0
	}
	return l.tracker.Len()
}

// isValid reports whether this leader's lease still allows it to act.
func (l *Leader) isValid() bool { return elect.CanAct(l.LastRenewal(), l.now) }

// isSole reports whether no other entry can have claimed the leadership by now.
func (l *Leader) isSole() bool {
	if l.HasSentResignation != nil && l.HasSentResignation() {
		return false
	}
	return elect.IsSoleLeader(l.LastRenewal(), l.now)
}

func (l *Leader) handle(ev event) {
	if _, ok := ev.(reporting); ok {
		l.calls--
	}
	switch ev := ev.(type) {
	case loaded:
		l.onLoaded(ev)
	case *submitRequest:
		l.onSubmit(ev)
	case *stateRequest:
		l.onQuery(ev)
	case *cancelRequest:
		l.onCancel(ev)
	case *pendingRequest:
		l.onPending(ev)
	case *accountsRequest:
		ev.reply <- l.accountsNow()
	case appended:
		l.onAppended(ev)
	case appendRefused:
		l.onAppendRefused(ev)
	case executorsRead:
		l.onExecutors(ev)
	case leaderlessRead:
		l.onLeaderless(ev)
	case polled:
		l.onPolled(ev)
	case startedRun:
		l.onStarted(ev)
	case stoppedRun:
		l.onStopped(ev)
	case leaderlessPurged:
		l.onLeaderlessPurged(ev)
	case adviceAnswered:
		l.onAdvice(ev)
	case instancesListed:
		l.onInstancesListed(ev)
	case orderAnswered:
		l.onOrderAnswered(ev)
	case statusStored:
		l.onStatusStored(ev)
	}
}

// act does the work that is due after events or a tick.
func (l *Leader) act() {
	if !l.ready {
		return
	}
	l.flush()
	if !l.isValid() {
		return
	}
	l.onExpanded()
	l.resolveFormerRuns()
	l.plan()
	l.pollDue()
	l.flush()
}

func (l *Leader) onTick() {
	if !l.ready {
		return
	}
	l.applyWeights()
	l.returnQueued()
	l.openDue()
	l.expandParked(expandTime)
	l.planNewlyVisible()
	l.replan()
	l.tailTopics()
	if l.now >= l.nextSweep {
		l.nextSweep = l.now + sweepInterval
		l.retryStops()
		l.expireLeases()
		l.renewClocks()
	}
	l.manageFleet()
	l.purge()
}

// purgeInterval is the time between purges of ended jobs and executors, and between updates of
// the gauges.
const purgeInterval = 1 * time.Second

// endedRetention is how long an ended executor is remembered: its last report may be read after
// its end, and stays in the store until it has missed three more reports.
const endedRetention = 60 * time.Second

func (l *Leader) purge() {
	if l.now < l.nextPurge {
		return
	}
	l.nextPurge = l.now + purgeInterval
	l.reportCentreSizes()
	pending := 0
	for _, n := range l.tracker.CountPending() {
		pending += n
	}
	l.Meters.activeJobs.Update(float64(len(l.tracker.Active())))
	l.Meters.pendingJobs.Update(float64(pending))
	l.Meters.parkedJobs.Update(float64(len(l.tracker.Parked())))
	l.Meters.startLimit.Update(float64(l.window.Size()))
	l.forgetEnded()
	l.purgeAdvice()
	l.forgetShares()
	l.forgetWaits()
	if l.now < time.Duration(l.watchedUntil.Load()) {
		l.accountsNow()
	}
	for key, m := range l.members {
		if m.Contact == execs.Dead && len(l.tracker.RunsOn(key)) == 0 && !m.polling {
			delete(l.members, key)
			l.ended[key] = l.now
		}
	}
	for key, at := range l.ended {
		if l.now > at+endedRetention {
			delete(l.ended, key)
		}
	}
}

// reportCentreSizes passes the number of listed executors in each data centre to the connection
// pool.
func (l *Leader) reportCentreSizes() {
	centres := map[string]int{}
	for _, m := range l.members {
		if m.Contact != execs.Dead && m.Listed {
			centres[m.Centre]++
		}
	}
	l.Execs.SetCentreSizes(centres)
}

// queueOf returns the settings of a job's queue that are in force, or those that the job was
// accepted with if its queue was removed.
func (l *Leader) queueOf(j *track.Job) *model.Queue {
	if c := l.Orders.Config(); c != nil {
		if q := c.Queue(j.Queue); q != nil {
			return q
		}
	}
	return &j.Settings
}

// runtimeRatio is the moving mean of measured run time over estimated run time.
type runtimeRatio struct {
	mean float64
	n    int
}

// minRatioWeight is the lowest weight of a new run in the mean.
const minRatioWeight = 0.02

func (r *runtimeRatio) add(took, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	r.n++
	w := max(1/float64(r.n), minRatioWeight)
	r.mean += w * (float64(took)/float64(estimate) - r.mean)
}
