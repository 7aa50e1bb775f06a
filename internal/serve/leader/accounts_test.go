package leader

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/share"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/internal/watch/joblog"
)

// Guards against an account whose use, waiting tasks, refusals or keys are counted wrongly, a snapshot that
// changes after it was published or is made for each request, and gauges that differ from it.
func TestAccountsAreCounted(t *testing.T) {
	l, _, _ := newLimitedLeader(t, 5000)
	scope := tally.NewTestScope("", nil)
	l.ready, l.Meters = true, NewMeters(scope)
	job := acceptFor(l, "job", "q", "a", model.Step{Count: 7, Need: need(2)}, model.Step{Count: 3, Need: need(1), After: []int{0}})
	acceptFor(l, "former", "r", "removed", model.Step{Count: 1, Need: need(1)})
	acceptFor(l, "none", "q", "", model.Step{Count: 1, Need: need(2)})
	assert.Equal(t, planAll(l, job), 2)
	l.onSubmit(&submitRequest{Submission: relay.Submission{ID: "no", Queue: "q", Account: "a"}, refusal: "too large", reply: make(chan relay.Answer, 1)})
	s := l.accountsNow()
	assert.DeepEqual(t, s.All, []Account{
		{Name: "a", Used: need(4), Running: 2, Waiting: 5, Blocked: 5, Jobs: 1, Refused: RefusedCounts{Limit: 1}, Limit: model.Amount{Cores: 5000}, Weight: 1, Share: 4.0 / 16, Keys: 1, Since: 2},
		{Name: "removed", Used: need(1), Running: 1, Weight: 1, Share: 1.0 / 16},
	})
	gauges := map[string]float64{}
	for _, g := range scope.Snapshot().Gauges() {
		gauges[g.Name()+g.Tags()["rank"]] = g.Value()
	}
	assert.Equal(t, fmt.Sprint(gauges["accounts_at_limit"], gauges["tasks_limited"], gauges["account_cores1"], gauges["account_cores2"], gauges["account_cores3"]), "1 5 4 1 0")
	setLimit(t, l, 9, 6000)
	l.now += accountsInterval / 2
	assert.Equal(t, planAll(l, job), 3)
	assert.Assert(t, l.accountsNow() == s && s.All[0].Running == 2)
	l.now += accountsInterval
	next := l.accountsNow()
	assert.Equal(t, fmt.Sprint(next.Version, next.All[0].Running, next.All[0].Blocked, next.All[0].Since), "9 3 4 2")
}

// waitLog has a leader log to a buffer, and returns a function that returns the messages about a job.
func waitLog(t *testing.T, l *Leader) func(job string) []string {
	t.Helper()
	var log bytes.Buffer
	l.Log = zerolog.New(&log).With().Timestamp().Str("entry", "self").Logger()
	return func(job string) []string {
		lines, err := joblog.Find(strings.NewReader(log.String()), job)
		assert.NilError(t, err)
		var out []string
		for _, ln := range lines {
			if strings.HasPrefix(ln.Message, "job waits") {
				out = append(out, fmt.Sprint(ln.Message, " ", ln.Fields["account"], " ", ln.Fields["used"], " ", ln.Fields["limit"]))
			}
		}
		return out
	}
}

// Guards against a wait for a limit or behind other accounts that explain does not show, shows again in each
// round, or attributes to a job that runs.
func TestWaitsAreExplainedOnce(t *testing.T) {
	l, _, _ := newLimitedLeader(t, 3000)
	find := waitLog(t, l)
	runs := acceptFor(l, "runs", "q", "a", model.Step{Count: 1, Need: need(2)})
	assert.Equal(t, planAll(l, runs), 1)
	limited := acceptFor(l, "limited", "q", "a", model.Step{Count: 1, Need: need(2)})
	limited.Excess = true
	for range 5 {
		l.now += waitInterval
		planAll(l, limited)
	}
	assert.DeepEqual(t, find("limited"), []string{"job waits for the limit of its account a 2000,0,0 3000,0,0"})
	assert.DeepEqual(t, find("runs"), []string(nil))

	setLimit(t, l, 3, 0)
	acceptFor(l, "fill", "q", "a", model.Step{Count: 3, Need: need(2)})
	for name, order := range map[string]*jobOrder{
		"beyond its rate": {}, "above its share": {above: map[string]bool{"a": true}},
	} {
		late := acceptFor(l, "late "+name, "q", "a", model.Step{Count: 1, Need: need(2)})
		late.Excess = true
		order.jobs = append(order.jobs, late)
		l.now += waitInterval
		l.shares.loads = map[string]*share.Load{"s": {}}
		l.explainWaits("s", order)
		assert.Equal(t, len(find(late.ID)), 0, "the pool is not full")
		l.shares.loads["s"].Full = true
		for range 3 {
			l.now += waitInterval
			l.explainWaits("s", order)
		}
		assert.DeepEqual(t, find(late.ID), []string{"job waits behind other accounts: its account is " + name + " a 2000,0,0 0,0,0"})
	}
	l.cancelJob("limited")
	l.forgetWaits()
	assert.Equal(t, len(l.waits.logged), 2)
}

// Guards against tasks of a poison job that are explained by a limit, or make the pool grow and end all moves,
// although they wait for the outcome of another task.
func TestTasksThatWaitForATrialAreNotBlocked(t *testing.T) {
	for _, limit := range []int{2000, 9000} {
		l, _, _ := newLimitedLeader(t, limit)
		find := waitLog(t, l)
		j := acceptFor(l, "poison", "q", "a", model.Step{Count: 3, Need: need(2)})
		j.RecordFailureOn("x@1")
		j.RecordFailureOn("z@1")
		assert.Assert(t, j.IsPoison() && l.takesCapacity(j.Open[0].Steps[0]))
		for range 3 {
			l.now += waitInterval
			assert.Equal(t, planAll(l, j), 1)
		}
		assert.Equal(t, len(find(j.ID)), 0)
		assert.Assert(t, !l.takesCapacity(j.Open[0].Steps[0]))
	}
}

// Guards against a flood of jobs that fills the log, and against one whose jobs never get their line.
func TestWaitLinesAreLimited(t *testing.T) {
	l, _, _ := newLimitedLeader(t, 1000)
	find := waitLog(t, l)
	const jobs = 3 * waitLines
	for i := range jobs {
		acceptFor(l, fmt.Sprintf("%04d", i), "q", "a", model.Step{Count: 1, Need: need(2)})
	}
	count := func() (n int) {
		planAll(l, l.tracker.Job("0000"))
		for i := range jobs {
			n += len(find(fmt.Sprintf("%04d", i)))
		}
		return n
	}
	assert.Equal(t, count(), waitLines)
	l.now += waitInterval
	assert.Assert(t, count() <= waitLines+waitLines/2)
	for range 3 {
		l.now += time.Second
		count()
	}
	assert.Equal(t, count(), jobs)
}

// newAccountsLeader returns a leader with n accounts that have a waiting job each, half of them at their limit, and
// the order of the jobs.
func newAccountsLeader(b *testing.B, n int) (*Leader, *jobOrder) {
	b.Helper()
	l := &Leader{
		Deps: Deps{Orders: &orders.Orders{}, Log: zerolog.Nop(), Meters: NewMeters(tally.NoopScope)}, ready: true,
		tracker: track.New(0), members: map[string]*member{},
	}
	var accounts []string
	for i := range n {
		accounts = append(accounts, fmt.Sprintf(`{"name":"account-%04d","api_keys":["key-%d"],"weight":1,"max_count":{"cpu":%d,"mem_mb":0,"gpu":0}}`, i, i, 500+i%2*10_000))
	}
	assert.NilError(b, l.Orders.SetConfig(fmt.Appendf(nil, `{"version":1,"routes":[{"name":"q","service":"s"}],"services":[{"name":"s"}],"tenants":[%s]}`, strings.Join(accounts, ","))))
	for i := range 350 {
		l.members[fmt.Sprint(i)] = &member{Member: execs.Member{Executor: model.Executor{Service: "s", Capacity: need(32)}}, visible: true}
	}
	order := &jobOrder{}
	for i := range n {
		order.jobs = append(order.jobs, acceptFor(l, fmt.Sprintf("%04d", i), "q", fmt.Sprintf("account-%04d", i),
			model.Step{Count: 32, Need: need(1)}, model.Step{Count: 8, Need: need(1), After: []int{0}}))
	}
	return l, order
}

// BenchmarkAccounts measures a snapshot with a job of each account, half of which are at their limit.
func BenchmarkAccounts(b *testing.B) {
	for _, n := range []int{20, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, _ := newAccountsLeader(b, n)
			b.ReportAllocs()
			for b.Loop() {
				l.now += accountsInterval
				assert.Equal(b, len(l.accountsNow().All), n)
			}
		})
	}
}

// BenchmarkExplainWaits measures a search for waits that have no line, with a waiting job of each account.
func BenchmarkExplainWaits(b *testing.B) {
	for _, n := range []int{20, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, order := newAccountsLeader(b, n)
			b.ReportAllocs()
			for b.Loop() {
				l.now += waitInterval
				l.explainWaits("s", order)
			}
		})
	}
}
