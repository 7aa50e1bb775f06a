package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Guards against callers who wait for the few executors that can host their tasks, because these are all
// suspects and bounded while the pool has others, and against suspects without bounds where sound
// executors can host the tasks.
func TestBoundsDependOnTheExecutorsThatCanHost(t *testing.T) {
	const suspects, places = 2, 16
	for name, c := range map[string]struct {
		change func(h *harness, s *model.Step)
		bound  bool
	}{
		"any executor": {func(*harness, *model.Step) {}, true},
		"label of suspects": {func(h *harness, s *model.Step) {
			s.Label = "l"
			h.label("l", 0, 1)
		}, false},
		"label of suspects and more": {func(h *harness, s *model.Step) {
			s.Label = "l"
			h.label("l", 0, 1, 2, 3)
		}, true},
		"only suspects are large": {func(h *harness, s *model.Step) {
			for _, m := range h.members[suspects:] {
				m.Capacity = cores(8)
			}
			s.Need = cores(16)
		}, false},
		"others denied": {func(h *harness, s *model.Step) {
			h.policy = func(s *track.Step, m *execs.Member) Permission {
				return map[bool]Permission{true: Startable}[s.Occ.Job.ID == "other" || m.Key < "c"]
			}
		}, false},
	} {
		h := newHarness(t, 10, cores(places))
		step := model.Step{Count: 2 * suspects, Need: cores(1), Estimate: time.Second}
		c.change(h, &step)
		for _, m := range h.members[2*suspects:] {
			m.AddRun(&track.Step{Step: &model.Step{Need: m.Capacity, LongRunning: true}})
		}
		for _, key := range []string{"a", "b"} {
			h.suspect(key)
		}
		for _, m := range h.members[suspects : 2*suspects] {
			m.Used = m.Capacity // occupied by work that ends
		}
		if step.Need == cores(places) {
			step.Count = suspects
		}
		h.accept("job", step)
		n := len(h.plan())
		want := min(step.Count, 2*suspects)
		if c.bound {
			want = suspects
		}
		assert.Equal(t, n, want, name)
		// The bound still holds for other work.
		before := map[string]int{"a": len(h.tracker.RunsOn("a")), "b": len(h.tracker.RunsOn("b"))}
		h.accept("other", model.Step{Count: 40, Need: cores(1), Estimate: time.Second})
		h.plan()
		for key, n := range before {
			assert.Assert(t, len(h.tracker.RunsOn(key)) <= max(n, 1), "%s: %s", name, key)
		}
	}
}

func (h *harness) label(label string, members ...int) {
	for _, i := range members {
		h.members[i].Labels = []string{label}
	}
}

// Guards against callers of a label's few executors who wait for the bound to grow after a fault all of
// them had, while the pool has sound executors that can't host their tasks, or because tasks that are bounded wait.
func TestLabelledJobsAreServedThoughAllTheirExecutorsAreSuspects(t *testing.T) {
	h := newHarness(t, 10, cores(16))
	h.label("l", 0, 1)
	h.suspect("a")
	h.suspect("b")
	// Jobs to which the bound applies have filled the pool and still wait.
	h.accept("any", model.Step{Count: 400, Need: cores(1), Estimate: time.Second})
	for range 4 {
		h.plan()
	}
	var jobs []*track.Job
	for i := range 100 {
		jobs = append(jobs, h.accept(fmt.Sprint("job", i), model.Step{Need: cores(1), Label: "l", Estimate: time.Second}))
	}
	h.plan()
	h.advance(5 * time.Second)
	mean := time.Duration(0)
	for _, j := range jobs {
		assert.Assert(t, j.IsOver())
		mean += (h.ended[j.ID] - j.Accepted) / 100
	}
	t.Logf("mean time of 100 labelled jobs of 1 s on 32 places: %v", mean)
	assert.Assert(t, mean < 3*time.Second)
}
