package assign

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/quota"
	"chervilgauge.example/chervilgauge/internal/jobs/share"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// formerNeed is the need of a late job before accounts had limits.
func formerNeed(j *track.Job) (sum int64) {
	for _, o := range j.Open {
		for _, s := range o.Steps {
			if s.IsReady() {
				sum += int64(s.Left) * s.Reservation().Cores
			}
		}
	}
	return sum
}

// formerOrder is the order before there were accounts: class, priority, begun, laxity and ID, with late
// jobs promoted in that order.
func formerOrder(jobs []*track.Job, settings func(*track.Job) *model.Queue, cores int64, wall time.Duration) []string {
	var ranks []rank
	for _, j := range jobs {
		ranks = append(ranks, rankOf(j, settings(j), wall))
	}
	compare := func(a, b rank) int {
		begun := 0
		if a.begun != b.begun {
			begun = 1
			if a.begun {
				begun = -1
			}
		}
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority), begun, cmp.Compare(a.laxity, b.laxity), cmp.Compare(a.job.ID, b.job.ID))
	}
	slices.SortFunc(ranks, compare)
	left := int64(promoteShare * float64(cores))
	for i := range ranks {
		if r := &ranks[i]; r.class == late && r.laxity <= promoteWithin {
			if left -= formerNeed(r.job); left < 0 {
				break
			}
			r.class = promoted
		}
	}
	slices.SortFunc(ranks, compare)
	var ids []string
	for _, r := range ranks {
		ids = append(ids, r.job.ID)
	}
	return ids
}

// drawJobs returns jobs of all classes, some of which have begun, at the time of 20 s.
func drawJobs(t *rapid.T) []*track.Job {
	tr := track.New(0)
	var jobs []*track.Job
	for i := range rapid.IntRange(0, 40).Draw(t, "jobs") {
		q := model.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Objective: 600 * time.Millisecond, Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
		s := model.Step{
			Count: rapid.IntRange(1, 4).Draw(t, "tasks"), Need: cores(rapid.Int64Range(1, 4).Draw(t, "cores")),
			Estimate: time.Duration(rapid.IntRange(0, 900).Draw(t, "estimate")) * time.Millisecond, LongRunning: rapid.IntRange(0, 9).Draw(t, "lasts") == 0,
		}
		accepted := 20*time.Second - time.Duration(rapid.IntRange(0, 5000).Draw(t, "age"))*time.Millisecond
		j := tr.Accept(fmt.Sprint(i), q, model.JobSpec{Repeats: 1, Steps: []model.Step{s}}, accepted, accepted)
		if rapid.Bool().Draw(t, "begun") {
			tr.ConfirmRun(tr.BeginRun(j.Open[0].Steps[0].Tasks[0], "x", 0, 0), 0)
		}
		if rapid.IntRange(0, 4).Draw(t, "poison") == 0 {
			j.RecordFailureOn("x")
			j.RecordFailureOn("y")
		}
		jobs = append(jobs, j)
	}
	return jobs
}

func settingsOf(j *track.Job) *model.Queue { return &j.Settings }

// Guards against deployments without accounts that are served differently, also where other accounts are
// above their share.
func TestOrderWithoutAccountsIsAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := drawJobs(t)
		pool := rapid.Int64Range(0, 64).Draw(t, "pool") * 1000
		var c Claims
		above := c.Above(jobs, func(string) float64 { return 1 }, cores(64), nil)
		assert.Assert(t, above == nil)
		got, _ := OrderShared(jobs, settingsOf, pool, 20*time.Second, map[string]bool{"other": true}, nil)
		var ids []string
		for _, j := range got {
			ids = append(ids, j.ID)
		}
		assert.DeepEqual(t, ids, formerOrder(jobs, settingsOf, pool, 20*time.Second))
	})
}

// Guards against an excess job before one that is owed and of use, a promoted excess job, an account above
// its share before another of the same class, and long-running or expired jobs that are ordered by shares.
func TestOrderKeepsClassesAndShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := drawJobs(t)
		for _, j := range jobs {
			j.Account = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account")
			j.Excess = j.Account != "" && rapid.Bool().Draw(t, "excess")
		}
		got, _ := OrderShared(jobs, settingsOf, 0, 20*time.Second, map[string]bool{"a": true}, nil)
		assert.Equal(t, len(got), len(jobs))
		position := func(j *track.Job) int {
			p := 0
			switch rankOf(j, &j.Settings, 20*time.Second).class {
			case longRunning:
				return 0
			case timely:
				p = 1
			case late:
				p = 3
			default:
				return 9
			}
			if j.Excess {
				p += 4
			}
			if j.Account == "a" {
				p++
			}
			return p
		}
		for i := 1; i < len(got); i++ {
			assert.Assert(t, position(got[i-1]) <= position(got[i]), "job %s before %s", got[i-1].ID, got[i].ID)
		}
	})
}

// Guards against an excess job that is promoted because it would soon be of no use.
func TestExcessJobsAreNotPromoted(t *testing.T) {
	h := newHarness(t, 1, cores(8))
	excess := h.accept("excess", model.Step{Need: cores(1), Estimate: 400 * time.Millisecond})
	excess.Account, excess.Excess = "a", true
	h.now = 2900 * time.Millisecond
	h.accept("timely", model.Step{Need: cores(1), Estimate: 400 * time.Millisecond})
	order := func() string {
		return OrderJobs([]*track.Job{h.tracker.Job("timely"), excess}, h.settings, 8000, h.now)[0].ID
	}
	assert.Equal(t, order(), "timely")
	excess.Excess = false
	assert.Equal(t, order(), "excess", "the same job within its share is promoted")
}

// Guards against late jobs of an account at its limit that use up the promoted share without being able to start, also where
// the limit has room for one of them.
func TestJobsAtTheirLimitAreNotPromoted(t *testing.T) {
	for _, room := range []int64{0, 1} {
		h := newHarness(t, 1, cores(8))
		account := model.Account{Name: "limited", Limit: model.Amount{Cores: 4000}}
		var ledger quota.Ledger
		ledger.Charge("limited", cores(4-room))
		accept := func(account, id string) *track.Job {
			j := h.accept(id, model.Step{Need: cores(1), Estimate: 400 * time.Millisecond})
			j.Account = account
			return j
		}
		var jobs []*track.Job
		for i := range 6 {
			jobs = append(jobs, accept("limited", fmt.Sprint("a", i)))
		}
		jobs = append(jobs, accept("other", "b"))
		h.now = 2900 * time.Millisecond
		jobs = append(jobs, accept("other", "timely"))
		out, _ := OrderShared(jobs, h.settings, 8000, h.now, nil, func(s *track.Step, starts model.Amount) bool {
			return s.Occ.Job.Account == "limited" && ledger.BlocksAfter(&account, s, starts)
		})
		var ids []string
		for _, j := range out[:2+room] {
			ids = append(ids, j.ID)
		}
		assert.DeepEqual(t, ids, []string{"a0", "b", "timely"}[1-room:])
	}
}

// Guards against a backlog that its account's limit keeps from starting and that counts as waiting before the jobs of others,
// whose excess submissions would be refused for it.
func TestWaitingWorkAtItsLimitIsNotBeforeOthers(t *testing.T) {
	h := newHarness(t, 1, cores(8))
	account := model.Account{Name: "limited", Limit: model.Amount{Cores: 4000}}
	var ledger quota.Ledger
	var jobs []*track.Job
	for _, name := range []string{"limited", "other", ""} {
		j := h.accept("job of "+name, model.Step{Count: 2, Need: cores(1), Estimate: 500 * time.Millisecond})
		j.Account = name
		jobs = append(jobs, j)
	}
	waiting := func() float64 {
		_, backlog := OrderShared(jobs, h.settings, 8000, h.now, nil, func(s *track.Step, starts model.Amount) bool {
			return s.Occ.Job.Account == "limited" && ledger.BlocksAfter(&account, s, starts)
		})
		return backlog.Work(8000)
	}
	assert.Equal(t, waiting(), 3.0)
	ledger.Charge("limited", cores(4))
	assert.Equal(t, waiting(), 2.0)
}

// Guards against an account that yields to others for the need of one whose limit keeps it from starting, or of the tasks
// of a poison job that wait for one outcome.
func TestDemandThatCannotStartTakesNoShare(t *testing.T) {
	for _, poison := range []bool{false, true} {
		h := newHarness(t, 1, cores(8))
		account, ledger := model.Account{Name: "limited", Limit: model.Amount{Cores: 1000}}, quota.Ledger{}
		isBlocked := func(s *track.Step, starts model.Amount) bool {
			return !poison && s.Occ.Job.Account == "limited" && ledger.BlocksAfter(&account, s, starts)
		}
		accept := func(account, id string, n int) *track.Job {
			j := h.accept(id, model.Step{Count: n, Need: cores(1), Estimate: 400 * time.Millisecond})
			j.Account = account
			return j
		}
		jobs := []*track.Job{accept("limited", "wide", 100)}
		if poison {
			jobs[0].RecordFailureOn("x")
			jobs[0].RecordFailureOn("y")
		}
		for i := range 6 {
			j := accept("other", fmt.Sprint(i), 1)
			h.tracker.BeginRun(j.Open[0].Steps[0].Tasks[0], "a", 0, 0)
			jobs = append(jobs, j)
		}
		jobs = append(jobs, accept("other", "waiting", 8))
		var c Claims
		weight := func(string) float64 { return 1 }
		assert.Equal(t, len(c.Above(jobs, weight, cores(8), isBlocked)), 0, "poison %v", poison)
		jobs[0].WithdrawFailures("y")
		above := c.Above(jobs, weight, cores(8), nil)
		assert.Assert(t, above["other"], "without the limit the need of both is divided")
	}
}

// Guards against a backlog that counts what limits hold back, or too little of what delays others, compared with a
// simulation of shares in which the accounts at their limits always use all of it.
func TestBacklogFollowsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.Int64Range(1, 40).Draw(t, "cores") * 1000
		unlimited := float64(rapid.IntRange(0, 100).Draw(t, "unlimited"))
		var limited []share.Limited
		left := cores
		for range rapid.IntRange(0, 6).Draw(t, "accounts") {
			l := share.Limited{Work: float64(rapid.IntRange(1, 200).Draw(t, "work")), Cores: rapid.Int64Range(0, left).Draw(t, "limit")}
			limited, left = append(limited, l), left-l.Cores
		}
		time := share.WorkBefore(unlimited, limited, cores) * 1000 / float64(cores)
		done := func(at float64) float64 {
			sum := unlimited
			for _, l := range limited {
				sum += min(l.Work, at*float64(l.Cores)/1000)
			}
			return sum
		}
		assert.Assert(t, math.Abs(done(time)-time*float64(cores)/1000) < 1e-6*(1+done(time)), "%v s", time)
		if later := time*1.01 + 0.001; later*float64(cores)/1000 < done(later)-1e-9 {
			t.Fatalf("others still wait after %v s", time)
		}
	})
}
