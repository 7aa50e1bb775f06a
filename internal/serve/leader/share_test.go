package leader

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/scale"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

const sharedBody = `{"phases":[{"count":4,"cpu":2000,"estimate_ms":400}]}`

// newSharedLeader returns a leader whose configuration has the accounts "large" and "small", with one
// executor of the service "s" that is full.
func newSharedLeader(t *testing.T, tenants string) (*Leader, *member) {
	t.Helper()
	l, m, _ := newTestLeader(t)
	l.Orders = newOrders(t)
	assert.NilError(t, l.Orders.SetConfig([]byte(`{"version":1,"routes":[{"name":"q","service":"s","slack_factor":1.6,"target_runtime_ms":600}],"services":[{"name":"s"}]`+tenants+`}`)))
	l.ready, l.wall = true, 1000*time.Second
	l.Settings.Store.RecordBytes = 1 << 20
	l.LastRenewal = func() time.Duration { return l.now }
	l.tracker, l.jobOrders, l.leaderless = track.New(0), map[string]*jobOrder{}, map[string]leaderlessRecords{}
	l.fleet.arrivals = map[string]*scale.Arrivals{}
	m.Capacity, m.Used, m.Listed = model.Amount{Cores: 8000}, model.Amount{Cores: 8000}, true
	return l, m
}

const twoAccounts = `,"tenants":[{"name":"large","api_keys":["k1"],"weight":10},{"name":"small","api_keys":["k2"],"weight":1}]`

// submitAs submits a job and returns the answer, or nil if it is to be stored. It stores the job at once. A read of leaderless
// records before a refusal returns some.
func submitAs(l *Leader, account, id string, records ...platform.Record) *relay.Answer {
	ev := &submitRequest{Submission: relay.Submission{ID: id, Queue: "q", Account: account, Body: []byte(sharedBody)}, timing: timingOfBody([]byte(sharedBody)), reply: make(chan relay.Answer, 2)}
	l.onSubmit(ev)
	if len(l.shares.held) > 0 {
		l.leaderlessTail.sent = l.now
		l.onLeaderless(leaderlessRead{records: records})
	}
	select {
	case a := <-ev.reply:
		return &a
	default:
	}
	for _, a := range l.store.accepts {
		a.accepted = l.wall
		l.onJobStored(a, prepareJob(l.tracker, a))
	}
	l.store.accepts = nil
	return nil
}

func (l *Leader) orderNow(m *member) []*track.Job {
	order := &jobOrder{}
	for _, j := range l.tracker.Active() {
		order.jobs = append(order.jobs, j)
	}
	l.orderByShares("s", order, []*execs.Member{&m.Member})
	return order.jobs
}

// Guards against a refusal of a job within its account's share, a refusal after which something is kept, and a time to try
// again at which the account has no token.
func TestSubmissionsBeyondTheShareAreRefused(t *testing.T) {
	l, m := newSharedLeader(t, twoAccounts)
	n := 0
	submit := func(account string) *relay.Answer {
		n++
		return submitAs(l, account, fmt.Sprint(n))
	}
	for range 10 {
		assert.Assert(t, submit("large") == nil)
	}
	assert.Assert(t, submit("large") == nil, "the backlog is not known yet")
	l.orderNow(m)
	jobs := l.tracker.Len()
	a := submit("large")
	assert.Assert(t, a != nil)
	assert.Equal(t, a.Verdict, relay.Limited)
	assert.Equal(t, a.RetryAfter, 100*time.Millisecond)
	assert.Equal(t, submit("large").RetryAfter, 200*time.Millisecond, "the next caller gets the next token")
	assert.Equal(t, l.tracker.Len(), jobs)
	assert.Equal(t, len(l.store.accepts)+len(l.store.inFlight), 0)
	assert.DeepEqual(t, l.accounts.refused, map[string]RefusedCounts{"large": {Share: 2}})
	assert.Assert(t, submit("small") == nil, "an account within its share")
	assert.Assert(t, submit("") == nil, "a job without an account")
	assert.Assert(t, submit("unknown") == nil, "an account that only the entry knows")
	l.now += a.RetryAfter
	assert.Assert(t, submit("large") == nil)
	assert.Assert(t, submit("large") != nil)
	l.now += time.Minute
	l.forgetShares()
	assert.Equal(t, l.shares.buckets.Len()+len(l.shares.refusals), 0)
}

// Guards against a refusal of a job that an entry has stored without the leader, which runs.
func TestStoredJobsAreNotRefused(t *testing.T) {
	l, m := newSharedLeader(t, twoAccounts)
	for i := range 8 {
		assert.Assert(t, submitAs(l, "small", fmt.Sprint(i)) == nil)
	}
	l.orderNow(m)
	r := track.LeaderlessJobRecord("stored", model.Queue{Name: "q", Service: "s"}, "small", []byte(sharedBody), l.wall)
	a := submitAs(l, "small", "stored", platform.Record{Key: r.Key, Value: r.Value})
	assert.Equal(t, a.Verdict, relay.Stored)
	assert.Equal(t, submitAs(l, "small", "other").Verdict, relay.Limited)
	ev := &submitRequest{Submission: relay.Submission{ID: "unread", Queue: "q", Account: "small", Body: []byte(sharedBody)}, timing: timingOfBody([]byte(sharedBody)), reply: make(chan relay.Answer, 1)}
	l.onSubmit(ev)
	l.onLeaderless(leaderlessRead{err: errors.New("store is down")})
	assert.Equal(t, (<-ev.reply).Verdict, relay.NotLeader)
}

// Guards against a token that is lost with a submission that the store did not take.
func TestTokensOfUnsentSubmissionsAreReturned(t *testing.T) {
	l, _ := newSharedLeader(t, twoAccounts)
	for i := range 30 {
		l.onSubmit(&submitRequest{Submission: relay.Submission{ID: fmt.Sprint(i), Queue: "q", Account: "small"}, reply: make(chan relay.Answer, 1)})
		assert.Assert(t, !l.store.accepts[0].excess)
		l.returnUnsent()
	}
}

// Guards against a flood that a takeover makes one within its account's share, in the store or in leaderless records, and
// against an excess job that stays one although its account has tokens to spare.
func TestLoadedJobsAreCountedByTheirAcceptance(t *testing.T) {
	l, m := newSharedLeader(t, twoAccounts)
	spec := model.JobSpec{Repeats: 1, Account: "small", Steps: []model.Step{{Count: 1, Estimate: time.Second}}}
	for i := range 8 {
		l.tracker.Accept(fmt.Sprint(i), model.Queue{Name: "q", Service: "s"}, spec, l.wall-time.Duration(8-i)*time.Millisecond, l.now)
	}
	l.loadShares()
	excess := func() (ids string) {
		for i := range 8 {
			if l.tracker.Job(fmt.Sprint(i)).Excess {
				ids += fmt.Sprint(i)
			}
		}
		return ids
	}
	assert.Equal(t, excess(), "567")
	l.orderNow(m)
	assert.Equal(t, excess(), "567")
	l.now += 5 * time.Second
	l.orderNow(m)
	assert.Equal(t, excess(), "567", "the bucket is full, but the account may need all of its tokens")
	l.now += time.Second
	l.orderNow(m)
	assert.Equal(t, excess(), "67", "the oldest becomes a regular one")
}

// Guards against shares in deployments without accounts, also for records of accounts that were removed.
func TestNoSharesWithoutAccounts(t *testing.T) {
	l, m := newSharedLeader(t, "")
	for i := range 100 {
		assert.Assert(t, submitAs(l, "gone", fmt.Sprint(i)) == nil)
	}
	for _, j := range l.orderNow(m) {
		assert.Assert(t, !j.Excess)
	}
	assert.Equal(t, l.shares.buckets.Len()+len(l.shares.loads), 0)
}

// Guards against a refusal of a job that the next leader has accepted: after a resignation the lease still allows this leader
// to act, but another entry may have claimed while the submission was held.
func TestOnlyTheSoleLeaderRefuses(t *testing.T) {
	l, m := newSharedLeader(t, twoAccounts)
	for i := range 8 {
		assert.Assert(t, submitAs(l, "small", fmt.Sprint(i)) == nil)
	}
	l.orderNow(m)
	assert.Equal(t, submitAs(l, "small", "refused").Verdict, relay.Limited)
	l.HasSentResignation = func() bool { return true }
	assert.Assert(t, l.isValid())
	assert.Equal(t, submitAs(l, "small", "other").Verdict, relay.NotLeader)
}

// Guards against a refusal of a job that an entry stores after the read of leaderless records: it has stopped waiting for the
// leader, while another entry has a repeated submission of the job.
func TestAbandonedSubmissionsAreNotRefused(t *testing.T) {
	l, m := newSharedLeader(t, twoAccounts)
	for i := range 8 {
		assert.Assert(t, submitAs(l, "small", fmt.Sprint(i)) == nil)
	}
	l.orderNow(m)
	ctx, cancel := context.WithCancel(context.Background())
	first := &submitRequest{Submission: relay.Submission{ID: "x", Queue: "q", Account: "small", Body: []byte(sharedBody)}, timing: timingOfBody([]byte(sharedBody)), ctx: ctx, reply: make(chan relay.Answer, 1)}
	l.onSubmit(first)
	assert.Equal(t, len(l.shares.held), 1)
	cancel()
	assert.Equal(t, submitAs(l, "small", "x").Verdict, relay.NotLeader)
	assert.Equal(t, (<-first.reply).Verdict, relay.NotLeader, "nothing is refused to the entry either")
	assert.Equal(t, submitAs(l, "small", "x").Verdict, relay.NotLeader, "also a later one")
	assert.Equal(t, submitAs(l, "small", "y").Verdict, relay.Limited)
	l.now += abandonedRetention + time.Second
	l.forgetShares()
	assert.Equal(t, len(l.shares.abandoned), 0)
}

// Guards against held submissions that use up the memory while the read of leaderless records takes long, and against one that
// is then neither held nor answered.
func TestHeldSubmissionsAreBounded(t *testing.T) {
	for size, most := range map[int]int{100: maxHeld, 128 << 10: maxHeldBytes >> 17} {
		l, m := newSharedLeader(t, twoAccounts)
		for i := range 8 {
			assert.Assert(t, submitAs(l, "small", fmt.Sprint(i)) == nil)
		}
		l.orderNow(m)
		l.Settings.Store.RecordBytes = 2 << 20
		body := []byte(fmt.Sprintf("%-*s", size, sharedBody))
		var evs []*submitRequest
		for i := range most + 10 {
			ev := &submitRequest{Submission: relay.Submission{ID: fmt.Sprint("x", i), Queue: "q", Account: "small", Body: body}, timing: timingOfBody(body), reply: make(chan relay.Answer, 2)}
			l.onSubmit(ev)
			evs = append(evs, ev)
		}
		assert.Equal(t, len(l.shares.held), most)
		l.leaderlessTail.sent = l.now
		l.onLeaderless(leaderlessRead{})
		assert.Equal(t, len(l.shares.held)+l.shares.heldBytes, 0)
		for i, ev := range evs {
			assert.Equal(t, len(ev.reply), 1)
			want := relay.Limited
			if i >= most {
				want = relay.NotLeader
			}
			assert.Equal(t, (<-ev.reply).Verdict, want)
		}
	}
}

// timingOfBody returns the timing of a submission, which a body that can't be decoded does not have.
func timingOfBody(body []byte) *jobTiming {
	spec, err := platform.DecodeJob(body)
	if err != nil {
		return nil
	}
	return timingOf(&spec)
}

// Guards against large bodies that the control goroutine decodes to decide about their submissions, and against a submission
// whose objective is not known by then.
func TestSubmissionsAreDecodedOutsideOfTheControlGoroutine(t *testing.T) {
	l, _ := newSharedLeader(t, twoAccounts)
	l.events, l.done = make(chan event, 1), make(chan struct{})
	l.ctx = t.Context()
	close(l.done)
	for account, isDecoded := range map[string]bool{"small": true, "": false} {
		l.Submit(t.Context(), relay.Submission{ID: "a", Queue: "q", Account: account, Body: []byte(sharedBody)})
		ev := (<-l.events).(*submitRequest)
		assert.Equal(t, ev.timing != nil, isDecoded)
		if !isDecoded {
			continue
		}
		assert.Equal(t, *ev.timing, jobTiming{chain: 400 * time.Millisecond})
		ev.settings = model.Queue{Slack: 1.5, Objective: 600 * time.Millisecond}
		ev.Body = nil
		assert.Assert(t, l.canWait(ev, 800*time.Millisecond))
		assert.Assert(t, !l.canWait(ev, 801*time.Millisecond))
	}
}

// fillShare returns a leader that refuses further submissions of the account "small".
func fillShare(t *testing.T) *Leader {
	t.Helper()
	l, m := newSharedLeader(t, twoAccounts)
	for i := range 8 {
		assert.Assert(t, submitAs(l, "small", fmt.Sprint(i)) == nil)
	}
	l.orderNow(m)
	return l
}

func newSubmission(ctx context.Context, id string) *submitRequest {
	return &submitRequest{Submission: relay.Submission{ID: id, Queue: "q", Account: "small", Body: []byte(sharedBody)}, ctx: ctx, timing: timingOfBody([]byte(sharedBody)), reply: make(chan relay.Answer, 2)}
}

// Guards against a job that is refused to one caller and accepted for another that repeated its submission, because a token
// became free between the two decisions, against a repeat that is not answered, and against a refusal without a read that was sent
// after the repeat.
func TestRepeatsOfHeldSubmissionsGetTheSameAnswer(t *testing.T) {
	for name, gone := range map[string]int{"waiting": -1, "first gone": 0, "second gone": 1} {
		l := fillShare(t)
		isGone := gone >= 0
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		contexts := []context.Context{context.Background(), context.Background()}
		if isGone {
			contexts[gone] = ctx
		}
		first, second := newSubmission(contexts[0], "x"), newSubmission(contexts[1], "x")
		l.onSubmit(first)
		l.leaderlessTail.sent = l.now
		l.now += 10 * time.Millisecond
		l.onSubmit(second)
		if isGone {
			cancel()
		}
		l.onLeaderless(leaderlessRead{})
		assert.Equal(t, len(first.reply)+len(second.reply), 0, name)
		l.leaderlessTail.sent = l.now
		l.onLeaderless(leaderlessRead{})
		assert.Equal(t, len(second.reply), 1, name)
		want := relay.Limited
		if isGone {
			want = relay.NotLeader
		}
		assert.Equal(t, (<-first.reply).Verdict, want)
		assert.Equal(t, (<-second.reply).Verdict, want)
		assert.Equal(t, len(first.reply)+len(second.reply)+len(l.shares.held), 0)
	}
}

// Guards against a refusal of a job that was returned to another entry, which may store it after the read of leaderless records.
func TestReturnedSubmissionsAreNotRefused(t *testing.T) {
	l := fillShare(t)
	l.onSubmit(newSubmission(context.Background(), "x"))
	l.onLeaderless(leaderlessRead{err: errors.New("store is down")})
	assert.Equal(t, submitAs(l, "small", "x").Verdict, relay.NotLeader)
	assert.Equal(t, submitAs(l, "small", "y").Verdict, relay.Limited)
}

// Guards against a cancel that is told that there is no such job while its submission is held, and is accepted then.
func TestCancelsApplyToHeldSubmissions(t *testing.T) {
	l := fillShare(t)
	l.onSubmit(newSubmission(context.Background(), "x"))
	assert.Equal(t, len(l.shares.held), 1)
	c := &cancelRequest{id: "x", reply: make(chan relay.Verdict, 1)}
	l.now += 10 * time.Millisecond
	l.onCancel(c)
	l.now += time.Minute // the account has a token
	l.leaderlessTail.sent = l.now
	l.onLeaderless(leaderlessRead{})
	assert.Equal(t, len(l.store.accepts), 1)
	assert.Equal(t, len(l.store.cancels), 1)
	assert.Equal(t, len(c.reply), 0)
}

// Guards against a refusal of another account's submission, or of one without an account, because an excess one with the same ID
// is held.
func TestSubmissionsOfOthersDoNotJoinHeldOnes(t *testing.T) {
	for _, account := range []string{"", "large"} {
		l := fillShare(t)
		held, other := newSubmission(context.Background(), "x"), newSubmission(context.Background(), "x")
		l.onSubmit(held)
		other.Account = account
		l.onSubmit(other)
		assert.Equal(t, len(l.store.accepts), 1)
		l.leaderlessTail.sent = l.now
		l.onLeaderless(leaderlessRead{})
		assert.Equal(t, len(held.reply), 0, "it is answered with the one that is stored")
		l.returnUnsent()
		assert.Equal(t, len(held.reply)+len(other.reply), 2)
	}
}

// Guards against an order that is computed without the accounts' limits.
func TestOrderKnowsLimits(t *testing.T) {
	l, m := newSharedLeader(t, `,"tenants":[{"name":"large","api_keys":["k1"],"weight":10,"max_count":{"cpu":2000}}]`)
	assert.Assert(t, submitAs(l, "large", "a") == nil)
	l.orderNow(m)
	assert.Equal(t, l.shares.loads["s"].Waiting, 0.8, "one of the four tasks could start")
	l.quota.ledger.Charge("large", model.Amount{Cores: 2000})
	l.orderNow(m)
	assert.Equal(t, l.shares.loads["s"].Waiting, 0.0)
}

// Guards against a caller that is refused because of work that another account's limit keeps from running, or of the
// tasks of a poison job that wait for one outcome, whether the work arrives before or after the order is computed.
func TestWorkThatCannotStartRefusesNoOther(t *testing.T) {
	for name, c := range map[string]struct {
		limit           int
		poison, refused bool
	}{
		"no limit": {0, false, true}, "limit": {2000, false, false}, "poison": {0, true, false},
	} {
		for _, orderedFirst := range []bool{false, true} {
			if c.poison && orderedFirst {
				continue // a job that was just accepted has no failures
			}
			l, m := newSharedLeader(t, fmt.Sprintf(`,"tenants":[{"name":"large","api_keys":["k1"],"weight":100,"max_count":{"cpu":%d,"mem_mb":0,"gpu":0}},`+
				`{"name":"small","api_keys":["k2"],"weight":1}]`, c.limit))
			m.Capacity, m.Used = model.Amount{Cores: 80_000}, model.Amount{Cores: 80_000}
			submit := func(account string, n int) (refused bool) {
				for i := range n {
					refused = submitAs(l, account, fmt.Sprint(account, l.now, i)) != nil
				}
				return refused
			}
			assert.Assert(t, !submit("small", 5))
			if orderedFirst {
				l.orderNow(m)
			}
			assert.Assert(t, !submit("large", 50))
			for _, j := range l.tracker.Active() {
				if c.poison && j.Account == "large" {
					j.RecordFailureOn("x")
					j.RecordFailureOn("y")
				}
			}
			if !orderedFirst {
				l.orderNow(m)
			}
			l.now += time.Millisecond
			assert.Equal(t, submit("small", 1), c.refused, "%s, ordered first %v", name, orderedFirst)
		}
	}
}
