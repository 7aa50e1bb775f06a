package assign

import (
	"fmt"
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/quota"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// BenchmarkPlan measures one decision on a full pool with a backlog, for three sizes: a pool of
// today (10 executors, 100 jobs), one of the grown deployments (85, 400), and one expected in two
// years (300, 2,000).
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ executors, jobs int }{{10, 100}, {85, 400}, {300, 2000}} {
		b.Run(fmt.Sprintf("%d/%d", size.executors, size.jobs), func(b *testing.B) {
			q := &model.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Objective: 600 * time.Millisecond}
			tr := track.New(0)
			var jobs []*track.Job
			for i := range size.jobs {
				spec := model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 8, Need: model.Amount{Cores: 3100, Memory: 2500}, Estimate: 640 * time.Millisecond}}}
				jobs = append(jobs, tr.Accept(fmt.Sprint(i), *q, spec, time.Duration(i)*time.Millisecond, 0))
			}
			var members []*execs.Member
			for i := range size.executors {
				m := &execs.Member{Executor: model.Executor{Capacity: model.Amount{Cores: 32000, Memory: 65536}}, Key: fmt.Sprint(i), Contact: execs.Live, Listed: true, Slowness: 1}
				// One executor in ten has room for one task.
				m.Used = model.Amount{Cores: 31000}
				if i%10 == 0 {
					m.Used.Cores = 28000
				}
				members = append(members, m)
			}
			b.ReportAllocs()
			for b.Loop() {
				Plan(OrderJobs(jobs, func(*track.Job) *model.Queue { return q }, 0, time.Second), members, Unrestricted, nil, nil, time.Second, 64)
			}
		})
	}
}

// BenchmarkOrderShared measures the order of 2,000 jobs with 20 and 2,000 accounts, and without any.
func BenchmarkOrderShared(b *testing.B) {
	for _, accounts := range []int{0, 20, 2000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			q := &model.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Objective: 600 * time.Millisecond}
			tr := track.New(0)
			var jobs []*track.Job
			for i := range 2000 {
				spec := model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 8, Need: model.Amount{Cores: 3100, Memory: 2500}, Estimate: 640 * time.Millisecond}}}
				if accounts > 0 {
					spec.Account = fmt.Sprintf("account%04d", i%accounts)
				}
				jobs = append(jobs, tr.Accept(fmt.Sprint(i), *q, spec, time.Duration(i)*time.Millisecond, 0))
			}
			var c Claims
			b.ReportAllocs()
			for b.Loop() {
				above := c.Above(jobs, func(string) float64 { return 1 }, model.Amount{Cores: 9_600_000, Memory: 19_660_800}, nil)
				OrderShared(jobs, func(*track.Job) *model.Queue { return q }, 0, time.Second, above, nil)
			}
		})
	}
}

// newLimitedPool returns jobs of 8 tasks of 2 cores of some accounts, and a ledger in which half of the accounts are at their limit
// and the others have room for 4 tasks, with a pool of 350 executors that have room for two tasks each.
func newLimitedPool(accounts, jobs int) ([]*track.Job, []*execs.Member, *model.Config, *quota.Ledger) {
	var c model.Config
	ledger, tr := &quota.Ledger{}, track.New(0)
	for i := range accounts {
		a := model.Account{Name: fmt.Sprintf("account%04d", i), Weight: 1, Limit: cores(100)}
		c.Accounts = append(c.Accounts, a)
		ledger.Charge(a.Name, cores(100-int64(i%2)*8))
	}
	var out []*track.Job
	for i := range jobs {
		spec := model.JobSpec{Repeats: 1, Account: c.Accounts[i%accounts].Name, Steps: []model.Step{{Count: 8, Need: cores(2), Estimate: 640 * time.Millisecond}}}
		out = append(out, tr.Accept(fmt.Sprint(i), model.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Objective: 600 * time.Millisecond}, spec, time.Duration(i)*time.Millisecond, 0))
	}
	var members []*execs.Member
	for i := range 350 {
		members = append(members, &execs.Member{Executor: model.Executor{Capacity: cores(32)}, Key: fmt.Sprint(i), Contact: execs.Live, Listed: true, Slowness: 1, Used: cores(28)})
	}
	return out, members, c.Indexed(), ledger
}

var limitedSizes = []struct{ accounts, jobs int }{{20, 2000}, {200, 2000}, {2000, 2000}, {20, 4000}, {20, 8000}, {20, 16000}, {2000, 8000}}

// BenchmarkOrderLimited measures the order and the backlog with limits in force.
func BenchmarkOrderLimited(b *testing.B) {
	for _, size := range limitedSizes {
		b.Run(fmt.Sprintf("%d/%d", size.accounts, size.jobs), func(b *testing.B) {
			jobs, _, config, ledger := newLimitedPool(size.accounts, size.jobs)
			isBlocked := func(s *track.Step, starts model.Amount) bool {
				return ledger.BlocksAfter(config.AccountByName(s.Occ.Job.Account), s, starts)
			}
			var c Claims
			var backlog Backlog
			b.ReportAllocs()
			for b.Loop() {
				above := c.Above(jobs, func(string) float64 { return 1 }, cores(350*32), isBlocked)
				backlog.Order(jobs, settingsOf, 350*32_000, 2*time.Second, above, isBlocked)
				backlog.Work(350 * 32_000)
			}
		})
	}
}

// BenchmarkPlanGangs measures a round with waiting gangs of 8 members that are within the limits, for which the pool has no
// room.
func BenchmarkPlanGangs(b *testing.B) {
	for _, size := range limitedSizes {
		b.Run(fmt.Sprintf("%d/%d", size.accounts, size.jobs), func(b *testing.B) {
			jobs, members, config, _ := newLimitedPool(size.accounts, size.jobs)
			ledger := &quota.Ledger{}
			for i, j := range jobs {
				s := j.Open[0].Steps[0]
				s.Step.Gang, s.Step.Need = true, cores(4+int64(i%2))
			}
			for i := range members {
				members[i].Used = cores(29 + int64(min(i%60, 2)))
			}
			b.ReportAllocs()
			for b.Loop() {
				round := ledger.Begin(config, "s", 0)
				if n := len(Plan(jobs, members, Unrestricted, nil, round, 0, 350)); n > 0 {
					b.Fatal(n)
				}
				round.End()
			}
		})
	}
}

// BenchmarkPlanLimited measures a round of placement with limits in force, and the time of each start.
func BenchmarkPlanLimited(b *testing.B) {
	for _, size := range limitedSizes {
		b.Run(fmt.Sprintf("%d/%d", size.accounts, size.jobs), func(b *testing.B) {
			jobs, members, config, ledger := newLimitedPool(size.accounts, size.jobs)
			starts := 0
			b.ReportAllocs()
			for b.Loop() {
				round := ledger.Begin(config, "s", 0)
				starts = len(Plan(jobs, members, Unrestricted, nil, round, 0, 350))
				round.End()
			}
			b.ReportMetric(float64(starts), "starts")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*starts), "ns/start")
		})
	}
}
