package check

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var deep = flag.Bool("deep", false, "search up to larger bounds, which takes minutes and GOMEMLIMIT=3GiB")

// search runs a search and logs its size.
func search(t *testing.T, l Limits, opts ...Option) Result {
	t.Helper()
	from := time.Now()
	r := New(l, opts...).Search()
	t.Logf("%d states, %d steps, complete %v, %v", r.States, r.Depth, r.Complete, time.Since(from).Round(10*time.Millisecond))
	return r
}

// assertKept fails with the shortest trace if a promise is broken.
func assertKept(t *testing.T, r Result) {
	t.Helper()
	assert.Assert(t, r.Breach == 0, "%s:\n%s", r.Breach, strings.Join(r.Trace, "\n"))
	assert.Assert(t, r.Complete)
}

const tightTick = 1600 * time.Millisecond

// searchCase is a search with its bounds.
type searchCase struct {
	name   string
	limits Limits
	opts   []Option
}

// searchAll runs searches in which no promise may be broken. It returns the transitions by their kind.
func searchAll(t *testing.T, list []searchCase, opts ...Option) map[string]int {
	t.Helper()
	seen := map[string]int{}
	for _, c := range list {
		t.Run(c.name, func(t *testing.T) {
			r := search(t, c.limits, slices.Concat(opts, c.opts)...)
			assert.Assert(t, r.Breach == 0, "%s:\n%s", r.Breach, strings.Join(r.Trace, "\n"))
			assert.Assert(t, r.Complete || c.limits.States > 0)
			for name, n := range r.Seen {
				seen[name] += n
			}
		})
	}
	return seen
}

var searches = []searchCase{
	{"takeover with slow calls", Limits{Ticks: 2, Claims: 2, Starts: 2, Polls: 2, SlowStarts: 1}, nil},
	{"silent executor", Limits{Ticks: 2, Claims: 2, Starts: 2, Polls: 2, SlowPolls: 1}, nil},
	{"leases of the former leader", Limits{Ticks: 7, Claims: 2, Starts: 2, Polls: 1}, nil},
	{"restart of an executor", Limits{Ticks: 1, Claims: 1, Starts: 2, Polls: 2, SlowStarts: 1, Crashes: 1}, nil},
	{"submissions", Limits{Ticks: 1, Claims: 2, Starts: 1, Polls: 1, Tries: 2}, nil},
	{"planned stop", Limits{Ticks: 1, Claims: 2, Starts: 2, Polls: 2, Lost: 1, Resigns: 1}, nil},
	{"restart of an entry", Limits{Ticks: 2, Claims: 3, Starts: 2, Polls: 1, Restarts: 1}, nil},
	{"two tasks", Limits{Ticks: 1, Claims: 2, Starts: 3, Polls: 2}, []Option{WithSize(2, 2, 2)}},
	{"three entries", Limits{Ticks: 2, Claims: 3, Starts: 1, Polls: 1, Lost: 1}, []Option{WithSize(3, 1, 1)}},
}

var deepSearches = []searchCase{
	{"slow calls", Limits{Ticks: 3, Claims: 2, Starts: 3, Polls: 3, SlowStarts: 1, SlowPolls: 1, States: 1_000_000}, nil},
	{"silent executor", Limits{Ticks: 3, Claims: 2, Starts: 2, Polls: 3, SlowPolls: 1}, nil},
	{"slow clocks", Limits{Ticks: 8, Claims: 2, Starts: 2, Polls: 1}, []Option{WithIdle(200 * time.Second), WithTick(tightTick)}},
	{"restarts of executors", Limits{Ticks: 2, Claims: 1, Starts: 3, Polls: 3, SlowStarts: 1, Crashes: 2, States: 1_000_000}, nil},
	{"restarts of executors and a takeover", Limits{Ticks: 2, Claims: 2, Starts: 3, Polls: 3, SlowStarts: 1, Crashes: 1, States: 1_000_000}, nil},
	{"submissions and starts", Limits{Ticks: 2, Claims: 2, Starts: 2, Polls: 2, Tries: 2, Lost: 1, Resigns: 1, Restarts: 1, States: 1_000_000}, nil},
	{"one executor", Limits{Ticks: 3, Claims: 2, Starts: 3, Polls: 3, SlowStarts: 2, SlowPolls: 1, States: 1_000_000}, []Option{WithSize(2, 1, 1)}},
	{"restarts of entries", Limits{Ticks: 2, Claims: 3, Starts: 2, Polls: 3, SlowStarts: 1, Restarts: 1, States: 1_000_000}, nil},
	{"submissions", Limits{Ticks: 3, Claims: 3, Starts: 1, Polls: 1, Tries: 2, Lost: 2, Resigns: 1, States: 1_000_000}, nil},
	{"two tasks", Limits{Ticks: 2, Claims: 2, Starts: 3, Polls: 2, SlowStarts: 1, States: 1_000_000}, []Option{WithSize(2, 2, 2)}},
	{"three entries", Limits{Ticks: 3, Claims: 3, Starts: 2, Polls: 2, Lost: 1}, []Option{WithSize(3, 2, 1)}},
}

// Guards against an order of events, within the bounds, that breaks a promise, and against a search that never takes one of its steps.
func TestLeadership(t *testing.T) {
	list := searches
	if *deep {
		list = deepSearches
	}
	seen := searchAll(t, list)
	for _, name := range []string{
		"claim", "time and renewal", "resignation", "unanswered claim", "delayed claim", "unanswered resignation", "late claim record",
		"learns of a claim", "learns of its claim", "load", "store", "poll", "start", "poll slowly", "start slowly", "carried out: start",
		"no answer: poll", "answer: poll", "task ends", "restart of executor", "restart of entry", "report", "read reports",
		"submit", "submit to leader", "refused", "store leaderless job", "delayed leaderless job", "read leaderless", "answer to caller is lost", "answer to entry is lost",
	} {
		assert.Assert(t, *deep || seen[name] > 0, "no step %q", name)
	}
}

// Guards against a model that does not need the fencing tokens of executors.
func TestWithoutFencesATaskRunsTwice(t *testing.T) {
	l := Limits{Ticks: 1, Claims: 2, Starts: 2, Polls: 2, SlowStarts: 1}
	r := search(t, l, WithoutFences(), Ignoring(Fence))
	assert.Equal(t, r.Breach, Twice)
	r = search(t, l, WithoutFences())
	assert.Equal(t, r.Breach, Fence)
}

// Guards against a model that does not need the wait for the leases of earlier leaders.
func TestWithoutLeaseWaitATaskRunsTwice(t *testing.T) {
	r := search(t, Limits{Ticks: 1, Claims: 2, Starts: 2, Polls: 1}, WithoutLeaseWait())
	assert.Equal(t, r.Breach, Twice)
}

// Guards against a model that does not need unanswered starts to be voided.
func TestWithoutVoidingATaskRunsTwice(t *testing.T) {
	r := search(t, Limits{Claims: 1, Starts: 2, Polls: 1, SlowStarts: 1}, WithoutVoiding())
	assert.Equal(t, r.Breach, Twice)
}

// Guards against orders of two leaders for one instance within the handover interval, or out of order,
// with and without an instance service that checks fencing tokens.
func TestOrdersOfTwoLeaders(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		n, race := SearchOrders(3*time.Second, fenced)
		t.Logf("%d histories", n)
		assert.Assert(t, race == nil, "%s", race)
	}
}

// Guards against a model that does not need starts to end when another entry may have claimed.
func TestWithoutSoleStartsATaskRunsTwice(t *testing.T) {
	for _, l := range []Limits{
		{Ticks: 1, Claims: 2, Starts: 2, Polls: 2, Crashes: 1}, {Ticks: 1, Claims: 2, Starts: 2, Polls: 1, Tries: 1},
	} {
		assert.Equal(t, search(t, l, WithoutSoleStarts()).Breach, Twice)
	}
}

// Guards against breaches at the bounds of the searches that found earlier ones.
func TestBoundsOfFormerBreaches(t *testing.T) {
	for _, l := range []Limits{
		{Ticks: 1, Claims: 2, Starts: 2, Polls: 4}, {Claims: 1, Starts: 2, Polls: 2, Crashes: 1}, {Claims: 2, Tries: 1, Lost: 1, Resigns: 1},
		{Ticks: 1, Claims: 2, Starts: 2, Polls: 1, Tries: 1}, {Ticks: 1, Claims: 2, Starts: 2, Polls: 2, Crashes: 1},
	} {
		assertKept(t, search(t, l))
	}
}

// Guards against an end that an executor forgets because of an append that was refused.
func TestEndsOfARefusedAppendAreNotConfirmed(t *testing.T) {
	assertKept(t, search(t, Limits{Ticks: 1, Claims: 2, Starts: 2, Polls: 4}))
}

// Guards against a second run of a task whose order an executor carried out after a restart.
func TestOrdersToARestartedExecutorAreNotForgotten(t *testing.T) {
	assertKept(t, search(t, Limits{Claims: 1, Starts: 2, Polls: 2, Crashes: 1}))
}

// Guards against a run that is given up by its former leader although the later leader has extended
// its lease.
func TestLeasesExtendedByALaterLeader(t *testing.T) {
	assertKept(t, search(t, Limits{Ticks: 3, Claims: 2, Starts: 2, Polls: 3, SlowPolls: 1}))
}

// Guards against a job that an entry stored without a leader and that two leaders read and start.
func TestLeaderlessJobsAreStartedByOneLeader(t *testing.T) {
	assertKept(t, search(t, Limits{Ticks: 1, Claims: 2, Starts: 2, Polls: 1, Tries: 1}))
}

// Guards against a lease that outlasts elect.FormerRunsEnd on the slow clock of an executor that was
// idle.
func TestLeasesOnSlowClocksEndInTime(t *testing.T) {
	assertKept(t, search(t, Limits{Ticks: 8, Claims: 2, Starts: 2, Polls: 1}, WithIdle(200*time.Second), WithTick(tightTick)))
}

// Guards against a start by a former leader on an executor that restarted and has not seen the later
// leader's fencing token.
func TestFormerLeaderStartsNothingOnARestartedExecutor(t *testing.T) {
	assertKept(t, search(t, Limits{Ticks: 1, Claims: 2, Starts: 2, Polls: 2, Crashes: 1}))
}

// Guards against a leader that denies a job after its resignation was stored without an answer.
func TestResignedLeaderDoesNotDenyJobs(t *testing.T) {
	assertKept(t, search(t, Limits{Claims: 2, Tries: 1, Lost: 1, Resigns: 1}))
}

// Guards against an order of the former leader that is taken for the new leader's own, since the
// former one's clock is ahead.
func TestOrdersJustBeforeATakeoverAreAwaited(t *testing.T) {
	_, race := SearchOrders(3*time.Second, true)
	assert.Assert(t, race == nil, "%s", race)
}

// Guards against an end that a restarted executor forgets because a poll acknowledges the ends of its former
// incarnation.
func TestEndsOfARestartedExecutorAreNotAcknowledgedUnseen(t *testing.T) {
	l := Limits{Claims: 1, Starts: 3, Polls: 3, Crashes: 1}
	opts := []Option{WithSize(1, 1, 2), WithIdle(20 * time.Second)}
	assertKept(t, search(t, l, opts...))
	assert.Equal(t, search(t, l, append(opts, WithoutCertainAcks())...).Breach, Twice)
}

// Guards against a second run of a task whose start an unnoticed next incarnation of its executor has carried out. That
// and polls on the clock of the former one grant the longest lease, and a silent executor's leases end.
func TestLeasesOfAnUnnoticedRestart(t *testing.T) {
	opts := []Option{WithSize(1, 2, 1), WithIdle(200 * time.Second)}
	list := []searchCase{{"answered start", Limits{Ticks: 4, Claims: 1, Starts: 2, Polls: 1, SlowPolls: 1, Crashes: 1}, nil}}
	if *deep {
		list = append(list, searchCase{"unanswered start", Limits{Ticks: 4, Claims: 1, Starts: 2, Polls: 1, SlowPolls: 1, SlowStarts: 1, Crashes: 1}, nil})
	}
	searchAll(t, list, opts...)
	for _, c := range list {
		assert.Equal(t, search(t, c.limits, append(opts, WithoutLongestLeases())...).Breach, Twice, c.name)
	}
}
