// Package check searches all interleavings of a small model of the leadership up to a bound. A few
// entries claim, renew and resign in the store's claim log, accept one job, and run its tasks on a
// few executors. Requests can be carried out late, answers can be lost or overtake one another,
// and executors and entries can restart.
//
// Each state is a comparable value. The decisions are those of jobs/elect, jobs/execs and
// jobs/track: a step restores a track.Tracker from the state, calls it and saves it again.
//
// Some decisions can't be called, since they are methods of the control goroutine of serve/leader or
// of the elector in serve/lead. They are written out once more, each under the name of the function
// that it follows: when an unanswered start is void and which runs are given up (reconcileRuns,
// expireLeases, extendLongest, pollFailed, replaceIncarnation), which ends a poll acknowledges (ack), when the runs of earlier leaders are known (resolveFormerRuns,
// allContacted), which ends count as stored (flush, onAppended), and who leads (applyRecord,
// isStillLeader). A change of one of them has to be made here as well.
//
// There is no step for a suspended process: no process has to take any step, and each request
// keeps the time and the fencing token with which it was made until it is carried out.
package check

import (
	"fmt"
	"strings"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Limits bound the search. Each is the largest number of such steps on any path.
type Limits struct {
	// Ticks is the number of steps of the clock.
	Ticks int
	// Claims includes the claim of the first leader.
	Claims int
	Starts int
	Polls  int
	// Lost is the number of appends to the claim log whose answer is lost or that are carried out
	// late.
	Lost int
	// SlowStarts and SlowPolls are the numbers of calls to executors that are carried out late or
	// not at all, or whose answer is late or lost.
	SlowStarts, SlowPolls int
	// Crashes is the number of restarts of executors under the same name, and Restarts the number
	// of restarts of entries.
	Crashes, Restarts int
	Resigns           int
	// Tries is the number of times that a caller submits the job, 0 for a job that is stored at the
	// start.
	Tries int
	// States stops the search at so many states, 0 for no limit.
	States int
}

// Model is a model with its bounds.
type Model struct {
	entries, execs, tasks int
	tick                  time.Duration
	idle                  time.Duration
	limits                Limits
	mutation              mutation
	unchecked             Breach
	relayed               bool
	page                  int
	services              []int
	account               string
	config                *model.Config

	spec     model.JobSpec
	queue    model.Queue
	progress [1 << maxTasks]track.Record
	ended    track.Record
	job      track.Record
	ownJob   track.Record
}

// mutation replaces one decision.
type mutation uint8

const (
	noMutation mutation = iota
	acceptAnyFence
	releaseAtOnce
	dropUnanswered
	sendLate
	callLate
	limitFromArrival
	loseUnknown
	trustFullLists
	askCurrentService
	startAfterClaims
	ackUnseen
	ackUnconfirmed
	countConfirmed
	shortLeases
)

// Option changes a model.
type Option func(*Model)

// WithSize sets the number of entries, executors and tasks.
func WithSize(entries, execs, tasks int) Option {
	return func(m *Model) { m.entries, m.execs, m.tasks = entries, execs, tasks }
}

// WithTick sets the time between two steps of the clock.
func WithTick(d time.Duration) Option { return func(m *Model) { m.tick = d } }

// WithIdle sets how long before the start the first leader last called the executors.
func WithIdle(d time.Duration) Option { return func(m *Model) { m.idle = d } }

// WithoutFences makes executors carry out orders with a lower fencing token than they have seen.
func WithoutFences() Option { return func(m *Model) { m.mutation = acceptAnyFence } }

// WithoutLeaseWait makes a leader take all runs of earlier leaders for ended at once.
func WithoutLeaseWait() Option { return func(m *Model) { m.mutation = releaseAtOnce } }

// WithoutVoiding makes a leader drop an unanswered start that an executor does not list, without
// raising the fencing token first.
func WithoutVoiding() Option { return func(m *Model) { m.mutation = dropUnanswered } }

// WithRelays has slow calls made by another entry. Calls that the leader makes itself are those that
// another entry makes at once.
func WithRelays() Option { return func(m *Model) { m.relayed = true } }

// WithPage has executors list at most n ends at a time.
func WithPage(n int) Option { return func(m *Model) { m.page = n } }

// WithServices has each executor serve a service of its own, of the same number. The queue of the job is on
// these services in turn, under the leaders with the tokens from 1 on, and stays on the last one.
func WithServices(services ...int) Option { return func(m *Model) { m.services = services } }

// WithoutFormerServices makes a leader ask only the executors of the present service for runs of earlier
// leaders.
func WithoutFormerServices() Option { return func(m *Model) { m.mutation = askCurrentService } }

// WithoutPages makes a leader take full lists of ends for whole ones.
func WithoutPages() Option { return func(m *Model) { m.mutation = trustFullLists } }

// WithoutSendLimit makes a leader count the time limit of a call from when it sends it to another entry.
func WithoutSendLimit() Option { return func(m *Model) { m.mutation = sendLate } }

// WithoutCallLimit makes entries make the calls of a leader however old they are.
func WithoutCallLimit() Option { return func(m *Model) { m.mutation = callLate } }

// WithLimitFromArrival makes entries count the time limit of a call from its arrival, as for the calls of
// a leader of an earlier version.
func WithLimitFromArrival() Option { return func(m *Model) { m.mutation = limitFromArrival } }

// WithoutUnknownOutcomes makes a leader take calls without an outcome for calls that were not made.
func WithoutUnknownOutcomes() Option { return func(m *Model) { m.mutation = loseUnknown } }

// WithoutSoleStarts makes a leader start tasks when another entry may have claimed.
func WithoutSoleStarts() Option { return func(m *Model) { m.mutation = startAfterClaims } }

// WithoutCertainAcks makes a leader acknowledge ends although the executor may have restarted.
func WithoutCertainAcks() Option { return func(m *Model) { m.mutation = ackUnseen } }

// WithoutLongestLeases makes a leader ignore that an order on the clock of a former incarnation grants the longest lease.
func WithoutLongestLeases() Option { return func(m *Model) { m.mutation = shortLeases } }

// WithoutHeldAcks makes a leader acknowledge ends although the start of a run there is not confirmed.
func WithoutHeldAcks() Option { return func(m *Model) { m.mutation = ackUnconfirmed } }

// Ignoring does not check some promises.
func Ignoring(b Breach) Option { return func(m *Model) { m.unchecked = b } }

// New returns a model of 2 entries, 2 executors and one task, with steps of 2.45 s: two of them are
// within elect.LeadershipTTL, and a lease of elect.RunLease on a slow clock outlasts two.
func New(limits Limits, opts ...Option) *Model {
	m := &Model{entries: 2, execs: 2, tasks: 1, tick: 2450 * time.Millisecond, limits: limits}
	for _, o := range opts {
		o(m)
	}
	m.spec = model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: m.tasks, Need: taskNeed}}, Account: m.account}
	m.queue = model.Queue{Name: "q", Service: "s", Attempts: 1}
	m.encodeRecords()
	return m
}

// Breach is a set of broken promises.
type Breach uint16

// Promises that can be broken.
const (
	// Twice is two runs of a task at once, or a start after its end was taken note of.
	Twice Breach = 1 << iota
	// Fence is an effect of an order at an executor that has seen a higher fencing token.
	Fence
	// Lost is an accepted job that a new leader does not load.
	Lost
	// Refused is a run of a job all of whose submissions were answered as refused.
	Refused
	// Early is a job that is stored as complete before its tasks are done.
	Early
	// Denied is an answer that an accepted job does not exist.
	Denied
	// Quota is more running tasks of an account than its limit.
	Quota
	// Removed is a call that is accepted with a key, although it was sent after its removal had to be in force.
	Removed
	// Unserved is a call that is refused with a valid key, although the entry's view is recent enough.
	Unserved
	// Reverted is an older configuration in force than before in the same process.
	Reverted
)

// String returns the names of the promises.
func (b Breach) String() string {
	var out []string
	for i, s := range [...]string{"twice", "fence", "lost", "refused", "early", "denied", "quota", "removed", "unserved", "reverted"} {
		if b&(1<<i) != 0 {
			out = append(out, s)
		}
	}
	return strings.Join(out, " ")
}

// Result is the result of a search.
type Result struct {
	// States is the number of different states, and Depth the number of steps to the last of them.
	States, Depth int
	// Complete is set if all states within the limits were visited.
	Complete bool
	// Breach is the first breach that was found, and Trace the shortest way to it.
	Breach Breach
	Trace  []string
	// Seen counts the transitions by their kind.
	Seen map[string]int
}

// step is a transition to a state.
type step struct {
	name    string
	a, b, c uint8
}

// String returns the step for a trace.
func (s step) String() string { return fmt.Sprintf("%s %d %d %d", s.name, s.a, s.b, s.c) }

// origin is how a state was reached first.
type origin struct {
	parent int
	by     step
}

// Search visits all states breadth-first, until a promise is broken.
func (m *Model) Search() Result {
	normalize := func(s *state) {
		m.normalize(s)
		s.broken &^= m.unchecked
	}
	return explore(m.initial(), m.limits.States, m.expand, normalize, func(s *state) Breach { return s.broken })
}

// explore visits all states that expand leads to, breadth-first, until one is a breach or there are more than
// limit of them, 0 for no limit. broken returns the promises that a new, normalized state breaks.
func explore[S comparable](first S, limit int, expand func(S, func(step, S)), normalize func(*S), broken func(*S) Breach) Result {
	index := map[S]struct{}{first: {}}
	origins := []origin{{parent: -1}}
	level, levelAt := []S{first}, 0
	res := Result{Seen: map[string]int{}}
	for len(level) > 0 && res.Breach == 0 {
		if limit > 0 && len(origins) > limit {
			break
		}
		var next []S
		nextAt := len(origins)
		for i, s := range level {
			expand(s, func(by step, n S) {
				if res.Breach != 0 {
					return
				}
				res.Seen[by.name]++
				normalize(&n)
				if _, ok := index[n]; ok {
					return
				}
				index[n] = struct{}{}
				origins = append(origins, origin{levelAt + i, by})
				next = append(next, n)
				res.Breach = broken(&n)
			})
			if res.Breach != 0 {
				break
			}
		}
		if len(next) > 0 {
			res.Depth++
		}
		level, levelAt = next, nextAt
	}
	res.States, res.Complete = len(origins), len(level) == 0
	if res.Breach != 0 {
		for i := len(origins) - 1; i > 0; i = origins[i].parent {
			res.Trace = append([]string{origins[i].by.String()}, res.Trace...)
		}
	}
	return res
}

// at returns a time of the model on the clock of the entries.
func (m *Model) at(t tick) time.Duration { return time.Duration(t) * m.tick }

// clock returns what the clock of an executor shows at a time. It runs slow by elect.ClockDrift.
func (m *Model) clock(x *executor, t tick) time.Duration {
	since := m.at(t - x.bornAt)
	if x.born == 1 {
		since += 2 * m.idle
	}
	return since - time.Duration(elect.ClockDrift*float64(since))
}
