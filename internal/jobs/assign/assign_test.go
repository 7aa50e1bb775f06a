package assign

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Guards against a task that lasts and never gets room, because small tasks take each
// core that becomes free (lra-tankrun, quiet-1 with seed 563088375518: 15 s without a
// run).
func TestLastingTaskGetsRoomUnderLoad(t *testing.T) {
	r := newHarness(t, 2, cores(8))
	for i := range 200 {
		r.accept(fmt.Sprintf("small%03d", i), model.Step{Need: cores(2), Estimate: 500*time.Millisecond + time.Duration(i%7)*time.Millisecond})
	}
	r.plan()
	r.advance(130 * time.Millisecond)
	lasting := r.accept("lasting", model.Step{Need: cores(4), Lasts: true})
	r.plan()
	r.advance(1200 * time.Millisecond)
	assert.Equal(t, len(lasting.Open[0].Steps[0].Tasks[0].Runs), 1)
}

// Guards against starts that do not fit, on the wrong label or beyond the spread.
func TestStartsKeepLimits(t *testing.T) {
	r := newHarness(t, 3, cores(8))
	r.members[0].Labels = []string{"fast"}
	r.accept("label", model.Step{Count: 3, Need: cores(4), Label: "fast", Estimate: time.Second})
	r.accept("spread", model.Step{Count: 5, Need: cores(1), Spread: 1, Estimate: time.Second})
	on := map[string]map[string]int{"label": {}, "spread": {}}
	for _, s := range r.plan() {
		on[s.Task.ID.Job][s.Member.Key]++
	}
	assert.DeepEqual(t, on["label"], map[string]int{"a": 2})
	assert.DeepEqual(t, on["spread"], map[string]int{"b": 1, "c": 1})
}

// Guards against work that needs a rare label and waits, because work that could run
// anywhere holds the executors with it.
func TestRareLabelsAreKeptForWorkThatNeedsThem(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		r := newHarness(t, 4, cores(8))
		r.members[0].Labels = []string{"rare"}
		for _, m := range r.members[1:] {
			m.Labels = []string{"common"}
		}
		r.rare = Rarity{"rare": 0.75, "common": 0.25}
		r.accept("any", model.Step{Count: 6, Need: cores(4), Estimate: time.Second, Lasts: lasts})
		for _, s := range r.plan() {
			assert.Assert(t, s.Member.Key != "a")
		}
		r.accept("label", model.Step{Count: 2, Need: cores(4), Label: "rare", Estimate: time.Second})
		assert.Equal(t, len(r.plan()), 2)
	}
}

// Guards against a gang that starts in part and waits for the rest.
func TestGangStartsAsAWhole(t *testing.T) {
	r := newHarness(t, 2, cores(8))
	j := r.accept("gang", model.Step{Count: 5, Need: cores(4), Gang: true, Estimate: time.Second})
	assert.Equal(t, len(r.plan()), 0)
	j2 := r.accept("fits", model.Step{Count: 4, Need: cores(4), Gang: true, Estimate: time.Second})
	starts := r.plan()
	assert.Equal(t, len(starts), 4)
	for _, s := range starts {
		assert.Equal(t, s.Attempt, 1)
	}
	assert.Equal(t, len(j.Open[0].Steps[0].Tasks[0].Runs)+len(j2.Open[0].Steps[0].Tasks[0].Runs), 1)
}

// Guards against a start before the steps that it needs are done.
func TestStepWaitsForEarlierSteps(t *testing.T) {
	r := newHarness(t, 1, cores(8))
	r.accept("chain", model.Step{Count: 2, Need: cores(1), Estimate: time.Second},
		model.Step{Need: cores(1), Estimate: time.Second, After: []int{0}})
	assert.Equal(t, len(r.plan()), 2)
	assert.Equal(t, len(r.plan()), 0)
	r.advance(time.Second)
	r.advance(time.Second)
	assert.Equal(t, r.ended["chain"], 2*time.Second)
}

// Guards against a task that runs again where it failed while there is another place.
func TestTaskAvoidsWhereItFailed(t *testing.T) {
	r := newHarness(t, 2, cores(8))
	j := r.accept("job", model.Step{Need: cores(1), Estimate: time.Second})
	s := r.plan()[0]
	task := j.Open[0].Steps[0].Tasks[0]
	delete(r.ends, task.Runs[0])
	s.Member.Used = model.Amount{}
	r.b.End(s.Member.Key, model.End{Task: task.ID, Attempt: 1, How: model.EndedFailed}, false, r.now)
	again := r.plan()
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Member.Key != s.Member.Key)
}

// Guards against an order that works on late jobs while others miss their objective: a
// flood of three times the capacity for 4 s. The older rule is first come, first served.
func TestFloodServesJobsInTime(t *testing.T) {
	flood := func(naive bool) int {
		r := newHarness(t, 4, cores(8))
		if naive {
			// With this slack no job is ever late, and the oldest goes first.
			r.queues["q"].Objective = time.Hour
		}
		n := 0
		for r.now < 4*time.Second {
			for range 6 {
				r.accept(fmt.Sprintf("job%04d", n), model.Step{Count: 4, Need: cores(2), Estimate: 400 * time.Millisecond})
				n++
			}
			r.plan()
			r.advance(200 * time.Millisecond)
		}
		r.advance(30 * time.Second)
		inTime := 0
		for i := range n {
			id := fmt.Sprintf("job%04d", i)
			if at, ok := r.ended[id]; ok && at <= r.b.Job(id).Accepted+1240*time.Millisecond {
				inTime++
			}
		}
		assert.Equal(t, len(r.ended), n, "every job is served in the end")
		return inTime
	}
	ours, naive := flood(false), flood(true)
	t.Logf("in time: %d, first come first served: %d", ours, naive)
	assert.Assert(t, ours > 2*naive, "in time %d, naive %d", ours, naive)
}

// Guards against a task that runs again where it failed because that executor has room
// first (incident inc-3628 of lra-tankrun: both attempts on one executor that failed what
// it ran).
func TestTaskWaitsForAnotherExecutor(t *testing.T) {
	r := newHarness(t, 2, cores(8))
	r.members[1].Used = cores(8)
	j := r.accept("job", model.Step{Need: cores(1), Estimate: time.Second})
	assert.Equal(t, len(r.plan()), 1)
	task := j.Open[0].Steps[0].Tasks[0]
	delete(r.ends, task.Runs[0])
	r.members[0].Used = model.Amount{}
	r.b.End("a", model.End{Task: task.ID, Attempt: 1, How: model.EndedFailed}, false, r.now)
	assert.Equal(t, len(r.plan()), 0)
	r.members[1].Used = model.Amount{}
	again := r.plan()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Member.Key, "b")
}

// Guards against a task that waits for ever for another executor than the one where it
// failed, when no other has its label, has room for it beside what lasts, or may run one
// more of its step (lra-tankrun with labels, quiet-1: LOST 6).
func TestTaskRunsWhereItFailedIfNoOtherSuits(t *testing.T) {
	for name, other := range map[string]func(*crew.Member){
		"label":   func(m *crew.Member) { m.Labels = nil },
		"lasting": func(m *crew.Member) { m.Lasting, m.Used = cores(8), cores(8) },
		"size":    func(m *crew.Member) { m.Capacity = model.Amount{Cores: 500} },
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 2, cores(8))
			r.members[0].Labels, r.members[1].Labels = []string{"fast"}, []string{"fast"}
			other(r.members[1])
			j := r.accept("job", model.Step{Need: cores(1), Label: "fast", Estimate: time.Second})
			assert.Equal(t, len(r.plan()), 1)
			task := j.Open[0].Steps[0].Tasks[0]
			delete(r.ends, task.Runs[0])
			r.members[0].Used = model.Amount{}
			r.b.End("a", model.End{Task: task.ID, Attempt: 1, How: model.EndedFailed}, false, r.now)
			assert.Equal(t, len(r.plan()), 1)
		})
	}
}

// Guards against an executor that is kept free for a task that never fits there, because
// others that last hold its memory (lse-cuciture quiet-1 with seed 418384626110: a task
// that lasts without a run for 12 s).
func TestLastingTaskGetsMemoryUnderLoad(t *testing.T) {
	r := newHarness(t, 2, model.Amount{Cores: 8000, Memory: 1000})
	// One executor has many free cores and little memory, for good.
	r.accept("holder", model.Step{Need: model.Amount{Cores: 100, Memory: 600}, Lasts: true})
	r.plan()
	for i := range 200 {
		r.accept(fmt.Sprintf("small%03d", i), model.Step{Need: model.Amount{Cores: 500, Memory: 100}, Estimate: 500*time.Millisecond + time.Duration(i%7)*time.Millisecond})
	}
	r.plan()
	r.advance(130 * time.Millisecond)
	lasting := r.accept("lasting", model.Step{Need: model.Amount{Cores: 1000, Memory: 800}, Lasts: true})
	r.plan()
	r.advance(1200 * time.Millisecond)
	assert.Equal(t, len(lasting.Open[0].Steps[0].Tasks[0].Runs), 1)
}

// newestLateFirst is the order that was used before: late jobs after timely ones, those
// that became late last first.
func (r *harness) newestLateFirst(jobs []*book.Job) []*book.Job {
	ranks := make([]rank, 0, len(jobs))
	for _, j := range jobs {
		k := rankOf(j, r.rules(j), r.now)
		if k.class == expired {
			k.class = late
		}
		if k.class == late {
			k.laxity = -k.laxity
		}
		ranks = append(ranks, k)
	}
	slices.SortFunc(ranks, compareRanks)
	var out []*book.Job
	for _, k := range ranks {
		out = append(out, k.job)
	}
	return out
}

// Guards against late jobs that wait until their callers have no use for them, while newer
// ones are served. The load is a queue that asks for 1.6 times what its pool holds for
// 4.5 s, and for a twentieth of that in the 6 s after (lse-cuciture quiet-1: jobs that
// waited 6.3 s for a run of 1 s).
func TestLateJobsAreServedWhileTheyAreOfUse(t *testing.T) {
	play := func(old bool) (inTime, ofNoUse, all int) {
		r := newHarness(t, 4, cores(8))
		if old {
			r.order = r.newestLateFirst
		}
		for range 3 {
			for i := range 105 {
				jobs := 2
				if i >= 45 {
					jobs = (i + 1) % 2 * (i % 5) / 4
				}
				for range jobs {
					r.accept(fmt.Sprintf("job%04d", all), model.Step{Count: 4, Need: cores(2), Estimate: 320 * time.Millisecond})
					all++
				}
				r.plan()
				r.advance(100 * time.Millisecond)
			}
		}
		r.advance(60 * time.Second)
		objective := 600*time.Millisecond + 512*time.Millisecond
		for i := range all {
			id := fmt.Sprintf("job%04d", i)
			took := r.ended[id] - r.b.Job(id).Accepted
			if took <= objective {
				inTime++
			}
			if took > usefulFactor*objective {
				ofNoUse++
			}
		}
		assert.Equal(t, len(r.ended), all, "every job is served in the end")
		return inTime, ofNoUse, all
	}
	inTime, lost, all := play(false)
	wasInTime, wasLost, _ := play(true)
	t.Logf("of %d jobs: in time %d, of no use %d; newest late first: %d and %d", all, inTime, lost, wasInTime, wasLost)
	assert.Assert(t, lost*4 <= wasLost, "of no use %d, before %d", lost, wasLost)
	assert.Assert(t, inTime >= wasInTime*3/4, "in time %d, before %d", inTime, wasInTime)
}

// Guards against a task that lasts which is stopped for an upkeep and has no other place
// (lra-tankrun with labels, scale-1: LOST 2, a task without a run for 30 s beside the room
// that it had left).
func TestTasksThatLastAreStoppedOnlyWithAnotherPlace(t *testing.T) {
	for name, c := range map[string]struct {
		other func(*crew.Member)
		has   bool
	}{
		"room":     {func(*crew.Member) {}, true},
		"busy":     {func(m *crew.Member) { m.Used = cores(8) }, true},
		"label":    {func(m *crew.Member) { m.Labels = nil }, false},
		"lasting":  {func(m *crew.Member) { m.Lasting = cores(8) }, false},
		"leaving":  {func(m *crew.Member) { m.Leaving = true }, false},
		"draining": {func(m *crew.Member) { m.Draining = true }, false},
	} {
		r := newHarness(t, 2, cores(8))
		r.members[0].Labels, r.members[1].Labels = []string{"fast"}, []string{"fast"}
		j := r.accept("job", model.Step{Need: cores(1), Label: "fast", Lasts: true, Spread: 1})
		r.members[1].Leaving = true
		assert.Equal(t, len(r.plan()), 1)
		r.members[1].Leaving = false
		c.other(r.members[1])
		assert.Equal(t, HasPlace(j.Open[0].Steps[0].Tasks[0], r.members, r.now), c.has, name)
	}
}

// Guards against a round that passes tasks over for which there is room, because a need
// like theirs did not fit before.
func TestRoundsLeaveNoRoomForWhatWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &model.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Objective: 600 * time.Millisecond}
		amount := func(name string, most int64) model.Amount {
			return model.Amount{
				Cores:  500 * rapid.Int64Range(1, most).Draw(t, name+" cores"),
				Memory: 1000 * rapid.Int64Range(1, most).Draw(t, name+" memory"),
			}
		}
		bk := book.New(0)
		var jobs []*book.Job
		for i := range rapid.IntRange(1, 30).Draw(t, "jobs") {
			s := model.Step{Count: rapid.IntRange(1, 5).Draw(t, "tasks"), Need: amount("task", 8), Gang: rapid.IntRange(0, 4).Draw(t, "gang") == 0}
			jobs = append(jobs, bk.Accept(fmt.Sprint(i), *q, model.Work{Repeats: 1, Steps: []model.Step{s}}, 0, 0))
		}
		free := map[string]model.Amount{}
		var members []*crew.Member
		for i := range rapid.IntRange(1, 8).Draw(t, "executors") {
			m := &crew.Member{Executor: model.Executor{Capacity: amount("executor", 20)}, Key: fmt.Sprint(i), Contact: crew.Live, Listed: true, Slow: 1}
			members = append(members, m)
			free[m.Key] = m.Capacity
		}
		placed := map[*book.Task]bool{}
		for _, st := range Plan(jobs, members, anywhere, nil, time.Second, 1000) {
			free[st.Member.Key] = free[st.Member.Key].Minus(st.Task.Step.Room())
			placed[st.Task] = true
		}
		for _, j := range jobs {
			s := j.Open[0].Steps[0]
			for _, task := range s.Tasks {
				for key, room := range free {
					assert.Assert(t, placed[task] || s.Gang || !s.Room().Within(room), "job %s fits on %s", j.ID, key)
				}
			}
		}
	})
}
