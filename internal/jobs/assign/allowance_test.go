package assign

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/quota"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// newLimitedHarness returns a harness whose accounts "a" and "b" have a limit in cores, "b" none if it is 0.
func newLimitedHarness(t *testing.T, executors int, a, b int64) *harness {
	h := newHarness(t, executors, cores(8))
	h.ledger, h.account = &quota.Ledger{}, "a"
	h.tracker = track.New(0, track.WithUsage(h.ledger))
	h.setLimits(a, b)
	return h
}

func (h *harness) setLimits(a, b int64) {
	h.config = model.Config{Accounts: []model.Account{{Name: "a", Limit: cores(a)}, {Name: "b", Limit: cores(b)}}}.Indexed()
}

// Guards against decisions that change for deployments and accounts without limits.
func TestUnlimitedAllowanceChangesNoDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := &quota.Ledger{}
		tr := track.New(0, track.WithUsage(ledger))
		config := model.Config{Accounts: []model.Account{{Name: "a"}, {Name: "b", Limit: cores(1 << 40)}}}.Indexed()
		q := model.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Objective: 600 * time.Millisecond}
		var members []*execs.Member
		for i := range 4 {
			members = append(members, &execs.Member{Executor: model.Executor{Capacity: model.Amount{Cores: 8000, Memory: 800}}, Key: fmt.Sprint(i), Contact: execs.Live, Listed: true, Slowness: 1})
		}
		for round := range rapid.IntRange(1, 12).Draw(t, "rounds") {
			now := time.Duration(round) * 150 * time.Millisecond
			for n := range rapid.IntRange(0, 4).Draw(t, "jobs") {
				spec := model.JobSpec{Repeats: 1, Account: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account"), Steps: []model.Step{{
					Count: rapid.IntRange(1, 6).Draw(t, "count"), Need: model.Amount{Cores: rapid.Int64Range(0, 5000).Draw(t, "cores"), Memory: rapid.Int64Range(0, 400).Draw(t, "memory")},
					Estimate: time.Second, Gang: rapid.Bool().Draw(t, "gang"), LongRunning: rapid.IntRange(0, 4).Draw(t, "long") == 0,
					BestEffort: rapid.IntRange(0, 4).Draw(t, "best effort") == 0, MaxPerExecutor: rapid.IntRange(0, 2).Draw(t, "spread"),
				}}}
				tr.Accept(fmt.Sprint(round, ".", n), q, spec, now, now)
			}
			var jobs []*track.Job
			for _, j := range tr.Active() {
				jobs = append(jobs, j)
			}
			jobs = OrderJobs(jobs, func(*track.Job) *model.Queue { return &q }, 32000, now)
			limit := rapid.IntRange(1, 64).Draw(t, "limit")
			want := Plan(jobs, members, Unrestricted, nil, nil, now, limit)
			allow := ledger.Begin(config, "s", now)
			got := Plan(jobs, members, Unrestricted, nil, allow, now, limit)
			allow.End()
			assert.Equal(t, len(got), len(want))
			for i := range want {
				assert.Equal(t, got[i], want[i])
				tr.BeginRun(want[i].Task, want[i].Member.Key, want[i].Attempt, now)
				want[i].Member.AddRun(want[i].Task.Step)
			}
			for _, m := range members {
				for r := range tr.RunsOn(m.Key) {
					if rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
						how := rapid.SampledFrom([]model.Ending{model.EndedDone, model.EndedStopped, model.EndedFailed}).Draw(t, "how")
						tr.ApplyEnd(m.Key, model.End{Task: r.Task.ID, Attempt: r.Attempt, Ending: how}, false, now)
						m.RemoveRun(r.Task.Step)
					}
				}
			}
		}
	})
}

// Guards against a step wider than its account's limit that starts too many tasks or never ends, and
// against its waiting tasks keeping those of other accounts from starting.
func TestWideStepRunsInWaves(t *testing.T) {
	h := newLimitedHarness(t, 3, 5, 0)
	wide := h.accept("wide", model.Step{Count: 8, Need: cores(2), Estimate: 500 * time.Millisecond})
	h.account = "b"
	h.accept("other", model.Step{Count: 6, Need: cores(2), Estimate: 500 * time.Millisecond})
	h.account = ""
	h.accept("none", model.Step{Count: 1, Need: cores(1), Estimate: 500 * time.Millisecond})
	started := map[string]int{}
	for _, s := range h.plan() {
		started[s.Task.ID.Job]++
	}
	assert.DeepEqual(t, started, map[string]int{"wide": 2, "other": 6, "none": 1})
	for range 4 {
		assert.Assert(t, h.ledger.Used("a").Cores <= 5000)
		assert.Assert(t, !wide.IsOver())
		h.advance(500 * time.Millisecond)
	}
	assert.Assert(t, wide.IsOver())
}

// Guards against a lowered limit that stops runs or lets more start, and one that stays in force once it
// was raised.
func TestLoweredLimitLetsNothingStart(t *testing.T) {
	h := newLimitedHarness(t, 2, 8, 0)
	h.accept("job", model.Step{Count: 12, Need: cores(2), Estimate: 500 * time.Millisecond})
	assert.Equal(t, len(h.plan()), 4)
	h.setLimits(3, 0)
	h.advance(499 * time.Millisecond)
	assert.Equal(t, len(h.plan()), 0)
	assert.Equal(t, h.ledger.Used("a"), cores(8))
	h.advance(time.Millisecond)
	assert.Equal(t, h.ledger.Used("a"), cores(2))
	h.setLimits(8, 0)
	assert.Equal(t, len(h.plan()), 3)
}

// Guards against a long-running task that is kept waiting by its account's limit and reserves an
// executor, so that other accounts can't use it, or that marks its need as one without capacity.
func TestTaskAtItsLimitReservesNoExecutor(t *testing.T) {
	h := newLimitedHarness(t, 1, 5, 0)
	h.accept("lasting", model.Step{Count: 2, Need: cores(3), LongRunning: true})
	h.account = "b"
	h.accept("other", model.Step{Need: cores(3), Estimate: time.Second})
	assert.Equal(t, len(h.plan()), 2)
}

// Guards against a gang that waits for its account's limit and is starved by smaller tasks of the account,
// also those that come before it, and against other accounts that wait for it.
func TestGangIsNotStarvedByItsAccount(t *testing.T) {
	h := newLimitedHarness(t, 4, 6, 0)
	gang := (*track.Job)(nil)
	for i := range 40 {
		h.accept(fmt.Sprintf("small%02d", i), model.Step{Need: cores(2), Estimate: 300*time.Millisecond + time.Duration(i%9)*30*time.Millisecond})
		if i == 5 {
			gang = h.accept("gang", model.Step{Count: 3, Need: cores(2), Gang: true, Estimate: 100 * time.Millisecond})
		}
		h.plan()
		h.advance(50 * time.Millisecond)
		assert.Assert(t, h.ledger.Used("a").Cores <= 6000)
	}
	h.account = "b"
	other := h.accept("other", model.Step{Need: cores(4), Estimate: time.Second})
	h.plan()
	assert.Assert(t, other.HasBegun())
	assert.Assert(t, gang.IsOver())
}

// Guards against a gang for which there is no capacity, or that is larger than the limit by now, and that
// keeps its account's other tasks from starting.
func TestGangWithoutCapacityLetsItsAccountRun(t *testing.T) {
	for name, c := range map[string]struct{ limit, lowered int64 }{"no executor can run it": {12, 12}, "limit lowered": {12, 10}} {
		t.Run(name, func(t *testing.T) {
			h := newLimitedHarness(t, 4, c.limit, 0)
			h.accept("first", model.Step{Need: cores(2), Estimate: 100 * time.Millisecond})
			h.plan()
			h.accept("gang", model.Step{Count: 2, Need: cores(6), Gang: true, Label: "missing", Estimate: time.Second})
			h.accept("small", model.Step{Count: 60, Need: cores(2), Estimate: 100 * time.Millisecond})
			h.plan()
			h.setLimits(c.lowered, 0)
			used := int64(0)
			for range 40 {
				h.advance(50 * time.Millisecond)
				h.plan()
				used += h.ledger.Used("a").Cores
			}
			assert.Assert(t, used >= 40*c.lowered*1000/4, "mean use is %d of %d", used/40, c.lowered*1000)
		})
	}
}

// Guards against a gang that waits behind long-running tasks of its account, which never make room, and
// keeps the account's other tasks from starting.
func TestGangBehindLongRunningTasksReservesNothing(t *testing.T) {
	h := newLimitedHarness(t, 4, 10, 0)
	h.accept("lasting", model.Step{Count: 2, Need: cores(3), LongRunning: true})
	h.plan()
	h.accept("gang", model.Step{Count: 2, Need: cores(3), Gang: true, Estimate: time.Second})
	small := h.accept("small", model.Step{Need: cores(2), Estimate: time.Second})
	h.plan()
	assert.Assert(t, small.HasBegun())
}

// Guards against a gang within the limit that is put off in each round because more urgent starts leave it too
// few of the round, and keeps its account's other tasks from starting.
func TestGangBeyondTheRoundLetsItsAccountRun(t *testing.T) {
	h := newLimitedHarness(t, 40, 64, 0)
	first := h.accept("first", model.Step{Need: cores(1), Estimate: time.Second})
	h.plan()
	gang := h.accept("gang", model.Step{Count: 64, Need: cores(1), Gang: true, Estimate: time.Second})
	small := h.accept("small", model.Step{Need: cores(1), Estimate: time.Second})
	h.order = func(jobs []*track.Job) []*track.Job {
		return slices.SortedFunc(slices.Values(jobs), func(a, b *track.Job) int { return cmp.Compare(a.ID, b.ID) })
	}
	h.plan()
	h.finish(first.Task(model.TaskID{Job: "first"}).Runs[0])
	h.account = ""
	for i := range 40 {
		h.accept(fmt.Sprintf("before%02d", i), model.Step{Need: cores(1), Estimate: time.Minute})
		h.plan()
		h.now += 50 * time.Millisecond
	}
	assert.Assert(t, !gang.HasBegun())
	assert.Assert(t, small.HasBegun())
}

// Guards against a long-running step that reserves executors for more tasks than its account's limit allows:
// other accounts' tasks could not start there.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	h := newLimitedHarness(t, 3, 2, 0)
	h.account = "b"
	h.accept("full", model.Step{Count: 3, Need: cores(7), Estimate: time.Second})
	assert.Equal(t, len(h.plan()), 3)
	h.account = "a"
	h.accept("lasts", model.Step{Count: 3, Need: cores(2), LongRunning: true})
	h.account = "b"
	h.accept("small", model.Step{Count: 3, Need: cores(1), Estimate: time.Second})
	assert.Equal(t, len(h.plan()), 2, "one executor is reserved")
}
