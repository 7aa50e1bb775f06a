package assign

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Guards against a long-running task that never starts because small tasks take each core that
// becomes free. One such task had no run for 15 s.
func TestLongRunningTaskStartsUnderLoad(t *testing.T) {
	h := newHarness(t, 2, cores(8))
	for i := range 200 {
		h.accept(fmt.Sprintf("small%03d", i), model.Step{Need: cores(2), Estimate: 500*time.Millisecond + time.Duration(i%7)*time.Millisecond})
	}
	h.plan()
	h.advance(130 * time.Millisecond)
	lasting := h.accept("lasting", model.Step{Need: cores(4), LongRunning: true})
	h.plan()
	h.advance(1200 * time.Millisecond)
	assert.Equal(t, len(lasting.Open[0].Steps[0].Tasks[0].Runs), 1)
}

// Guards against starts that exceed the capacity, lack the label or exceed the limit per executor.
func TestStartsKeepLimits(t *testing.T) {
	h := newHarness(t, 3, cores(8))
	h.members[0].Labels = []string{"fast"}
	h.accept("label", model.Step{Count: 3, Need: cores(4), Label: "fast", Estimate: time.Second})
	h.accept("spread", model.Step{Count: 5, Need: cores(1), MaxPerExecutor: 1, Estimate: time.Second})
	on := map[string]map[string]int{"label": {}, "spread": {}}
	for _, s := range h.plan() {
		on[s.Task.ID.Job][s.Member.Key]++
	}
	assert.DeepEqual(t, on["label"], map[string]int{"a": 2})
	assert.DeepEqual(t, on["spread"], map[string]int{"b": 1, "c": 1})
}

// Guards against work that waits for a rare label while work without a label fills the executors
// that have it.
func TestRareLabelsAreKeptForWorkThatNeedsThem(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		h := newHarness(t, 4, cores(8))
		h.members[0].Labels = []string{"rare"}
		for _, m := range h.members[1:] {
			m.Labels = []string{"common"}
		}
		h.rarity = Rarity{"rare": 0.75, "common": 0.25}
		h.accept("any", model.Step{Count: 6, Need: cores(4), Estimate: time.Second, LongRunning: lasts})
		for _, s := range h.plan() {
			assert.Assert(t, s.Member.Key != "a")
		}
		h.accept("label", model.Step{Count: 2, Need: cores(4), Label: "rare", Estimate: time.Second})
		assert.Equal(t, len(h.plan()), 2)
	}
}

// Guards against a gang of which some members start and wait for the others.
func TestGangStartsAsAWhole(t *testing.T) {
	h := newHarness(t, 2, cores(8))
	j := h.accept("gang", model.Step{Count: 5, Need: cores(4), Gang: true, Estimate: time.Second})
	assert.Equal(t, len(h.plan()), 0)
	j2 := h.accept("fits", model.Step{Count: 4, Need: cores(4), Gang: true, Estimate: time.Second})
	starts := h.plan()
	assert.Equal(t, len(starts), 4)
	for _, s := range starts {
		assert.Equal(t, s.Attempt, 1)
	}
	assert.Equal(t, len(j.Open[0].Steps[0].Tasks[0].Runs)+len(j2.Open[0].Steps[0].Tasks[0].Runs), 1)
}

// Guards against a second run of a member of a gang of which a new leader has found only some.
func TestGangAdoptedInPartStartsOnceItHasEnded(t *testing.T) {
	h := newHarness(t, 2, cores(8))
	j := h.accept("gang", model.Step{Count: 3, Need: cores(1), Gang: true, Estimate: time.Second})
	row := model.Run{Task: model.TaskID{Job: "gang", Index: 1}, Attempt: 70}
	assert.Assert(t, h.tracker.AdoptRun("a", row, 0) != nil)
	assert.Equal(t, len(h.plan()), 0)
	h.tracker.ApplyEnd("a", model.End{Task: row.Task, Attempt: row.Attempt, Ending: model.EndedAlone}, false, 0)
	starts := h.plan()
	assert.Equal(t, len(starts), len(j.Open[0].Steps[0].Tasks))
	for _, s := range starts {
		assert.Equal(t, s.Attempt, row.Attempt+1)
	}
}

// Guards against the start of a step before the steps that it depends on are done.
func TestStepWaitsForEarlierSteps(t *testing.T) {
	h := newHarness(t, 1, cores(8))
	h.accept("chain", model.Step{Count: 2, Need: cores(1), Estimate: time.Second},
		model.Step{Need: cores(1), Estimate: time.Second, After: []int{0}})
	assert.Equal(t, len(h.plan()), 2)
	assert.Equal(t, len(h.plan()), 0)
	h.advance(time.Second)
	h.advance(time.Second)
	assert.Equal(t, h.ended["chain"], 2*time.Second)
}

// Guards against a task that runs again on the executor where it failed while another one is
// available.
func TestTaskAvoidsExecutorWhereItFailed(t *testing.T) {
	h := newHarness(t, 2, cores(8))
	j := h.accept("job", model.Step{Need: cores(1), Estimate: time.Second})
	s := h.plan()[0]
	task := j.Open[0].Steps[0].Tasks[0]
	delete(h.ends, task.Runs[0])
	s.Member.Used = model.Amount{}
	h.tracker.ApplyEnd(s.Member.Key, model.End{Task: task.ID, Attempt: 1, Ending: model.EndedFailed}, false, h.now)
	again := h.plan()
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Member.Key != s.Member.Key)
}

// Guards against an order in which late jobs make others miss their objective. The load is three
// times the capacity for 4 s. The baseline is first come, first served.
func TestFloodServesJobsInTime(t *testing.T) {
	flood := func(baseline bool) int {
		h := newHarness(t, 4, cores(8))
		if baseline {
			// With this objective no job is ever late, and the oldest goes first.
			h.queues["q"].Objective = time.Hour
		}
		n := 0
		for h.now < 4*time.Second {
			for range 6 {
				h.accept(fmt.Sprintf("job%04d", n), model.Step{Count: 4, Need: cores(2), Estimate: 400 * time.Millisecond})
				n++
			}
			h.plan()
			h.advance(200 * time.Millisecond)
		}
		h.advance(30 * time.Second)
		inTime := 0
		for i := range n {
			id := fmt.Sprintf("job%04d", i)
			if at, ok := h.ended[id]; ok && at <= h.tracker.Job(id).Accepted+1240*time.Millisecond {
				inTime++
			}
		}
		assert.Equal(t, len(h.ended), n, "every job is served in the end")
		return inTime
	}
	inTimeCount, baseline := flood(false), flood(true)
	t.Logf("in time: %d, first come first served: %d", inTimeCount, baseline)
	assert.Assert(t, inTimeCount > 2*baseline, "in time %d, baseline %d", inTimeCount, baseline)
}

// Guards against a task that runs again on the executor where it failed because that one has free
// capacity first. A faulty executor failed both attempts that way.
func TestTaskWaitsForAnotherExecutor(t *testing.T) {
	h := newHarness(t, 2, cores(8))
	h.members[1].Used = cores(8)
	j := h.accept("job", model.Step{Need: cores(1), Estimate: time.Second})
	assert.Equal(t, len(h.plan()), 1)
	task := j.Open[0].Steps[0].Tasks[0]
	delete(h.ends, task.Runs[0])
	h.members[0].Used = model.Amount{}
	h.tracker.ApplyEnd("a", model.End{Task: task.ID, Attempt: 1, Ending: model.EndedFailed}, false, h.now)
	assert.Equal(t, len(h.plan()), 0)
	h.members[1].Used = model.Amount{}
	again := h.plan()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Member.Key, "b")
}

// Guards against a task that waits forever for another executor than the one where it failed,
// although no other has its label, has capacity besides long-running work, or is large enough. Six
// jobs were lost that way.
func TestTaskRunsWhereItFailedIfNoOtherSuits(t *testing.T) {
	for name, other := range map[string]func(*execs.Member){
		"label":   func(m *execs.Member) { m.Labels = nil },
		"lasting": func(m *execs.Member) { m.LongRunning, m.Used = cores(8), cores(8) },
		"size":    func(m *execs.Member) { m.Capacity = model.Amount{Cores: 500} },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, cores(8))
			h.members[0].Labels, h.members[1].Labels = []string{"fast"}, []string{"fast"}
			other(h.members[1])
			j := h.accept("job", model.Step{Need: cores(1), Label: "fast", Estimate: time.Second})
			assert.Equal(t, len(h.plan()), 1)
			task := j.Open[0].Steps[0].Tasks[0]
			delete(h.ends, task.Runs[0])
			h.members[0].Used = model.Amount{}
			h.tracker.ApplyEnd("a", model.End{Task: task.ID, Attempt: 1, Ending: model.EndedFailed}, false, h.now)
			assert.Equal(t, len(h.plan()), 1)
		})
	}
}

// Guards against an executor that is reserved for a task which never fits there, because
// long-running tasks hold its memory. A long-running task had no run for 12 s.
func TestLongRunningTaskGetsMemoryUnderLoad(t *testing.T) {
	h := newHarness(t, 2, model.Amount{Cores: 8000, Memory: 1000})
	// One executor has many free cores and little free memory permanently.
	h.accept("holder", model.Step{Need: model.Amount{Cores: 100, Memory: 600}, LongRunning: true})
	h.plan()
	for i := range 200 {
		h.accept(fmt.Sprintf("small%03d", i), model.Step{Need: model.Amount{Cores: 500, Memory: 100}, Estimate: 500*time.Millisecond + time.Duration(i%7)*time.Millisecond})
	}
	h.plan()
	h.advance(130 * time.Millisecond)
	lasting := h.accept("lasting", model.Step{Need: model.Amount{Cores: 1000, Memory: 800}, LongRunning: true})
	h.plan()
	h.advance(1200 * time.Millisecond)
	assert.Equal(t, len(lasting.Open[0].Steps[0].Tasks[0].Runs), 1)
}

// newestLateFirst is the baseline order: late jobs after timely ones, those that became late last
// first.
func (h *harness) newestLateFirst(jobs []*track.Job) []*track.Job {
	ranks := make([]rank, 0, len(jobs))
	for _, j := range jobs {
		k := rankOf(j, h.settings(j), h.now)
		if k.class == expired {
			k.class = late
		}
		if k.class == late {
			k.laxity = -k.laxity
		}
		ranks = append(ranks, k)
	}
	slices.SortFunc(ranks, compareRanks)
	var out []*track.Job
	for _, k := range ranks {
		out = append(out, k.job)
	}
	return out
}

// Guards against late jobs that wait until their results are of no use while newer jobs are served.
// The queue needs 1.6 times the capacity of its pool for 4.5 s, and a twentieth of that in the
// following 6 s. Jobs waited 6.3 s for a run of 1 s.
func TestLateJobsAreServedWhileOfUse(t *testing.T) {
	simulate := func(isBaseline bool) (inTime, ofNoUse, all int) {
		h := newHarness(t, 4, cores(8))
		if isBaseline {
			h.order = h.newestLateFirst
		}
		for range 3 {
			for i := range 105 {
				jobs := 2
				if i >= 45 {
					jobs = (i + 1) % 2 * (i % 5) / 4
				}
				for range jobs {
					h.accept(fmt.Sprintf("job%04d", all), model.Step{Count: 4, Need: cores(2), Estimate: 320 * time.Millisecond})
					all++
				}
				h.plan()
				h.advance(100 * time.Millisecond)
			}
		}
		h.advance(60 * time.Second)
		objective := 600*time.Millisecond + 512*time.Millisecond
		for i := range all {
			id := fmt.Sprintf("job%04d", i)
			took := h.ended[id] - h.tracker.Job(id).Accepted
			if took <= objective {
				inTime++
			}
			if took > usefulFactor*objective {
				ofNoUse++
			}
		}
		assert.Equal(t, len(h.ended), all, "every job is served in the end")
		return inTime, ofNoUse, all
	}
	inTime, noUse, all := simulate(false)
	baselineInTime, baselineOfNoUse, _ := simulate(true)
	t.Logf("of %d jobs: in time %d, of no use %d; newest late first: %d and %d", all, inTime, noUse, baselineInTime, baselineOfNoUse)
	assert.Assert(t, noUse*4 <= baselineOfNoUse, "of no use %d, baseline %d", noUse, baselineOfNoUse)
	assert.Assert(t, inTime >= baselineInTime*3/4, "in time %d, baseline %d", inTime, baselineInTime)
}

// Guards against a long-running task that is stopped for maintenance although it can't run anywhere
// else. One had no run for 30 s beside the capacity that it had left; two were lost.
func TestCanPlaceLongRunningTask(t *testing.T) {
	for name, c := range map[string]struct {
		other func(*execs.Member)
		has   bool
	}{
		"room":     {func(*execs.Member) {}, true},
		"busy":     {func(m *execs.Member) { m.Used = cores(8) }, true},
		"label":    {func(m *execs.Member) { m.Labels = nil }, false},
		"lasting":  {func(m *execs.Member) { m.LongRunning = cores(8) }, false},
		"leaving":  {func(m *execs.Member) { m.Leaving = true }, false},
		"draining": {func(m *execs.Member) { m.Draining = true }, false},
	} {
		h := newHarness(t, 2, cores(8))
		h.members[0].Labels, h.members[1].Labels = []string{"fast"}, []string{"fast"}
		j := h.accept("job", model.Step{Need: cores(1), Label: "fast", LongRunning: true, MaxPerExecutor: 1})
		h.members[1].Leaving = true
		assert.Equal(t, len(h.plan()), 1)
		h.members[1].Leaving = false
		c.other(h.members[1])
		task := j.Open[0].Steps[0].Tasks[0]
		assert.Equal(t, CanPlace(task, h.members, Unrestricted, h.now), c.has, name)
		for _, p := range []Permission{Denied, Undecided, Approved, Startable} {
			policy := policyOf(map[string]Permission{"a": Startable, "b": p})
			assert.Equal(t, CanPlace(task, h.members, policy, h.now), c.has && p >= Approved, "%s, permission %d", name, p)
		}
	}
}

// Guards against a plan that skips tasks that would fit because a task with a similar need did not
// fit before.
func TestPlanLeavesNoCapacityForWaitingTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &model.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Objective: 600 * time.Millisecond}
		amount := func(name string, most int64) model.Amount {
			return model.Amount{
				Cores:  500 * rapid.Int64Range(1, most).Draw(t, name+" cores"),
				Memory: 1000 * rapid.Int64Range(1, most).Draw(t, name+" memory"),
			}
		}
		tr := track.New(0)
		var jobs []*track.Job
		for i := range rapid.IntRange(1, 30).Draw(t, "jobs") {
			s := model.Step{Count: rapid.IntRange(1, 5).Draw(t, "tasks"), Need: amount("task", 8), Gang: rapid.IntRange(0, 4).Draw(t, "gang") == 0}
			jobs = append(jobs, tr.Accept(fmt.Sprint(i), *q, model.JobSpec{Repeats: 1, Steps: []model.Step{s}}, 0, 0))
		}
		free := map[string]model.Amount{}
		var members []*execs.Member
		for i := range rapid.IntRange(1, 8).Draw(t, "executors") {
			m := &execs.Member{Executor: model.Executor{Capacity: amount("executor", 20)}, Key: fmt.Sprint(i), Contact: execs.Live, Listed: true, Slowness: 1}
			members = append(members, m)
			free[m.Key] = m.Capacity
		}
		placed := map[*track.Task]bool{}
		for _, st := range Plan(jobs, members, Unrestricted, nil, nil, time.Second, 1000) {
			free[st.Member.Key] = free[st.Member.Key].Minus(st.Task.Step.Reservation())
			placed[st.Task] = true
		}
		for _, j := range jobs {
			s := j.Open[0].Steps[0]
			for _, task := range s.Tasks {
				for key, room := range free {
					assert.Assert(t, placed[task] || s.Gang || !s.Reservation().FitsIn(room), "job %s fits on %s", j.ID, key)
				}
			}
		}
	})
}

// Guards against a service where nothing starts any more: long-running tasks wait for an executor that
// was lost, the only one that the policy of their queue allows, and reserve all others.
func TestTasksReserveOnlyExecutorsThatTheyMayUse(t *testing.T) {
	for _, c := range []struct {
		others   Permission
		reserves bool
	}{{Denied, false}, {Undecided, false}, {Approved, true}} {
		h := newHarness(t, 3, cores(8))
		h.policy = func(s *track.Step, _ *execs.Member) Permission {
			if s.LongRunning {
				return c.others
			}
			return Startable
		}
		h.accept("lasting", model.Step{Count: 3, Need: cores(4), LongRunning: true})
		h.accept("other", model.Step{Need: cores(4), Estimate: time.Second})
		assert.Equal(t, len(h.plan()) == 0, c.reserves, "permission %d", c.others)
	}
}

// Guards against a gang without capacity that changes what is placed after it: members that are not taken back, or needs
// that are taken for unfit because of them.
func TestGangWithoutCapacityChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, q := track.New(0), model.Queue{Name: "q", Service: "s", Attempts: 2}
		var members []*execs.Member
		for i := range rapid.IntRange(1, 6).Draw(t, "executors") {
			members = append(members, &execs.Member{
				Executor: model.Executor{Capacity: cores(16)}, Key: fmt.Sprint(i), Contact: execs.Live, Listed: true, Slowness: 1,
				Used: cores(rapid.Int64Range(0, 16).Draw(t, "used")),
			})
		}
		var all, others []*track.Job
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			step := model.Step{Count: rapid.IntRange(1, 8).Draw(t, "tasks"), Need: cores(rapid.Int64Range(1, 12).Draw(t, "need")), Gang: rapid.Bool().Draw(t, "gang")}
			step.MaxPerExecutor, step.LongRunning = rapid.IntRange(0, 2).Draw(t, "most"), !step.Gang && rapid.IntRange(0, 9).Draw(t, "lasts") == 0
			all = append(all, tr.Accept(fmt.Sprint(i), q, model.JobSpec{Repeats: 1, Steps: []model.Step{step}}, 0, 0))
		}
		plan := func(jobs []*track.Job) (starts []string, placed map[*track.Job]bool) {
			placed = map[*track.Job]bool{}
			for _, st := range Plan(jobs, members, Unrestricted, nil, nil, 0, 1000) {
				starts = append(starts, fmt.Sprint(st.Task.ID, st.Member.Key))
				placed[st.Task.Step.Occ.Job] = true
			}
			return starts, placed
		}
		with, placed := plan(all)
		for _, j := range all {
			if placed[j] || !j.Open[0].Steps[0].Gang {
				others = append(others, j)
			}
		}
		without, _ := plan(others)
		assert.DeepEqual(t, with, without)
	})
}
