package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/agent"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against plans without one of the faults of accounts, with one that does not end in time, or with a pause
// that is no longer than a revocation may take, and against other faults of a seed that change with them.
func TestPlansHaveFaultsOfAccounts(t *testing.T) {
	kinds := map[string]int{}
	for _, f := range NewPlan(7, time.Minute, 0, 5, machines, "") {
		switch a := f.Action.(type) {
		case Limit:
			assert.Assert(t, isLimited(a.Account))
			switch {
			case a.Cores == 0:
				kinds["none"]++
			case a.Cores < baseLimit:
				kinds["lower"]++
			default:
				kinds["raise"]++
			}
			if f.For > limitWindow {
				kinds["long"]++
			}
		case Flood:
			assert.Assert(t, a.Rate >= 3*hotWeight)
			kinds["flood"]++
		case Revoke:
			assert.Assert(t, f.For == revokeTime && revokeProbe > revoke)
			kinds["revoke"]++
		default:
			t.Fatalf("%s in a plan without series", f)
		}
		assert.Assert(t, f.At+f.For <= time.Minute, "%s", f)
	}
	for _, kind := range []string{"none", "lower", "raise", "long", "flood", "revoke"} {
		assert.Assert(t, kinds[kind] > 0, "%s: %v", kind, kinds)
	}
	assert.Equal(t, len(NewPlan(7, time.Minute, 0, 5, machines, "Revoke")), kinds["revoke"])
}

// Guards against a check that misses a job which can never fit and is accepted, or one that fits and is refused,
// and against findings about what was right under a limit that may still have been in force.
func TestChecksFindWrongAnswersAboutLimits(t *testing.T) {
	const account = 2
	limits := func(n int64) (out [accounts]int64) {
		out[account], out[hotAccount] = n, n
		return out
	}
	// The limit is lowered at 30 s and removed at 60 s.
	o := &operator{all: []written{{limits: limits(4000)}, {at: 30 * time.Second, limits: limits(2000)}, {at: 60 * time.Second}}}
	for _, c := range []struct {
		versions, account, status int
		need                      int64
		at                        time.Duration
		want                      string
	}{
		{1, account, http.StatusOK, 4000, time.Second, ""}, {1, account, http.StatusOK, 4001, time.Second, "FIT"},
		{1, account, http.StatusTooManyRequests, 4000, time.Second, "FIT"}, {1, account, http.StatusTooManyRequests, 4001, time.Second, ""},
		{1, hotAccount, http.StatusTooManyRequests, 4000, time.Second, ""}, {1, account, http.StatusServiceUnavailable, 4000, time.Second, ""},
		{2, account, http.StatusOK, 4000, 30*time.Second + revoke, ""}, {2, account, http.StatusOK, 4000, 30*time.Second + revoke + 1, "FIT"},
		{2, account, http.StatusTooManyRequests, 2001, 30 * time.Second, ""}, {2, account, http.StatusTooManyRequests, 2000, 30 * time.Second, "FIT"},
		{3, account, http.StatusTooManyRequests, 4000, 60*time.Second + limitWindow, ""}, {3, account, http.StatusTooManyRequests, 4000, 60*time.Second + limitWindow + 1, "FIT"},
		{3, account, http.StatusOK, 4000, 60 * time.Second, ""},
	} {
		r := &run{clk: clock.NewFake(time.Unix(0, 0)), operator: &operator{all: o.all[:c.versions]}}
		j := &job{account: c.account, submitted: c.at, spec: model.JobSpec{Steps: []model.Step{{Need: model.Amount{Cores: 100}}, {Need: model.Amount{Cores: c.need}}}}}
		r.checkFit(j, "entry-0", c.status)
		rule := ""
		for _, f := range r.findings {
			rule = f.Rule
		}
		assert.Equal(t, rule, c.want, "%+v", c)
	}
	assert.Equal(t, o.limitOf(account, 30*time.Second), 0, "a later version has no limit")
	o.all = o.all[:2]
	assert.Equal(t, o.limitOf(account, 30*time.Second+limitWindow), 4000)
	assert.Equal(t, o.limitOf(account, 30*time.Second+limitWindow+1), 2000)
	assert.Equal(t, o.limitOf(0, time.Minute), 0, "an account without a limit")
}

// Guards against a limit that does not reach the stand-in, so that starts above it are not found.
func TestStartsAboveALimitAreFound(t *testing.T) {
	jobs := &registry{byID: map[string]*job{}, limit: func(account int) int { return map[int]int{2: 1000}[account] }}
	w := fake.NewPlatform(pools(MinExecutors), fake.WithPlan(jobs.plan))
	defer w.Close()
	for account, want := range map[int]string{0: "", 2: "QUOTA"} {
		j := newJob(rand.New(rand.NewPCG(1, uint64(account))), false)
		j.account, j.spec.Steps[0].Need.Cores = account, 1001
		jobs.add(j)
		seen := len(w.Violations())
		body := fmt.Sprintf(`{"task":"%s.0.0.0","spec":%q,"attempt":1,"deadline_ms":9000}`, j.id, j.id)
		w.Executor("m-"+j.service+"-0").ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/chervilgauge/run-start", strings.NewReader(body)))
		rules := ""
		for _, v := range w.Violations()[seen:] {
			rule, _, _ := strings.Cut(v, " ")
			rules += rule
		}
		assert.Equal(t, rules, want, "account %d", account)
	}
}

// Guards against a job that is submitted again after it was refused with 429: it may be accepted then, and nothing
// shows any more whether the refused one runs.
func TestCallersDoNotRepeatRefusedJobs(t *testing.T) {
	calls := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer srv.Close()
	r := &run{clk: clock.NewSystem(), net: agent.TCP{}, jobs: &registry{byID: map[string]*job{}}, signals: newCalendar(), submits: newLatency(), answers: map[string]int{}}
	r.operator = &operator{all: []written{{}}}
	for range MinEntries {
		r.entries = append(r.entries, &entry{name: "entry", front: strings.TrimPrefix(srv.URL, "http://")})
	}
	c := r.newCaller(hotAccount)
	c.submit(t.Context())
	assert.Assert(t, r.jobs.list()[0].view().refused)
	assert.Equal(t, calls, 1)
}

// Guards against operators whose changes of one account undo those of another.
func TestVersionsKeepLimits(t *testing.T) {
	w := fake.NewPlatform(map[string]int{})
	defer w.Close()
	o := newOperator(w.Store, 1)
	o.setLimit(2, 3000, time.Second)
	o.setKey(0, true, 2*time.Second)
	assert.DeepEqual(t, o.newest(1)[0].limits, [accounts]int64{2: 3000, 3: baseLimit})
	assert.Assert(t, o.newest(1)[0].keys[0])
	o.setKey(0, false, 3*time.Second)
	assert.Assert(t, !o.newest(1)[0].keys[0])
}
