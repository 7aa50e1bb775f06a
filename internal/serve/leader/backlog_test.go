package leader

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/platform"
)

// loadSchedules returns a leader on an instance of a memory in MiB that has loaded schedules that began an age ago.
func loadSchedules(t interface{ Fatalf(string, ...any) }, memory int64, bodies []string, age time.Duration) *Leader {
	l := &Leader{tracker: track.New(0), planDue: map[string]bool{}, wall: age}
	l.Orders, l.Settings.Memory = &orders.Orders{}, memory
	loader := track.NewLoader(platform.DecodeJob)
	for i, b := range bodies {
		r := track.JobRecord(fmt.Sprintf("%016x", i), model.Queue{Name: "q", Service: "s"}, "", []byte(b), 0)
		if err := loader.Add(r.Key, r.Value); err != nil {
			t.Fatalf("%v", err)
		}
	}
	l.tracker, _ = loader.LoadWithin(l.loadRoom(loader.Stored()).take, 64, 0, l.wall)
	l.tracker.ReleaseUnresolved(func(*track.Job) bool { return true }, l.wall)
	return l
}

// Guards against leaders that exceed their memory one after the other while they load: the occurrences that are due
// were bounded for each job, and not for all jobs.
func TestOverdueSchedulesFitInTheMemory(t *testing.T) {
	bodies := make([]string, 22)
	for i := range bodies {
		bodies[i] = `{"phases":[{"count":1,"cpu":200,"mem_mb":64,"estimate_ms":50}],"repeats":86400,"period_ms":1000}`
	}
	l := loadSchedules(t, 284, bodies, 12*time.Hour)
	l.openDue()
	tasks := 0
	for _, j := range l.tracker.Active() {
		tasks += len(j.Open)
	}
	assert.Equal(t, len(l.tracker.Active()), len(bodies))
	assert.Assert(t, int64(tasks)*taskBytes <= guard.NewLimits(284, 0).Jobs/2, "%d tasks are open", tasks)
}

// Guards against the same with other sizes, against a job none of whose occurrences is opened, and against
// submissions that are refused because of occurrences that could wait.
func TestOverdueSchedulesShareTheMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.SampledFrom([]int64{184, 284, 536}).Draw(t, "memory")
		tasks := rapid.SampledFrom([]int{1, 2, 10, 1000, 20_000}).Draw(t, "tasks")
		var bodies []string
		for range rapid.IntRange(1, 400).Draw(t, "jobs") {
			bodies = append(bodies, fmt.Sprintf(`{"phases":[{"count":%d,"cpu":200}],"repeats":%d,"period_ms":%d}`, tasks,
				rapid.IntRange(1, 1_000_000).Draw(t, "repeats"), rapid.IntRange(0, 60_000).Draw(t, "period")))
		}
		l := loadSchedules(t, memory, bodies, time.Duration(rapid.IntRange(0, 400).Draw(t, "hours"))*time.Hour)
		for range 3 {
			l.openDue()
		}
		limit := guard.NewLimits(memory, 0).Jobs
		var used usage
		for _, j := range l.tracker.Active() {
			assert.Assert(t, len(j.Open) > 0, "no occurrence of a job is open")
			used.add(l.memory.of(j))
			used.backlog += backlogBytes(j)
		}
		for _, j := range l.tracker.Parked() {
			used.stored += storedBytes(j.Size().Body)
		}
		assert.Assert(t, float64(used.backlog) <= backlogShare*float64(limit))
		assert.Assert(t, used.large+used.others+used.stored <= limit, "the jobs exceed the memory for them")
		// Occurrences besides the first ones keep no other submission out.
		assert.Assert(t, used.fits(estimateBytes(8, 64, 4000), limit) == (usage{large: used.large, others: used.others}).fits(estimateBytes(8, 64, 4000), limit))
	})
}

// Guards against an estimate of the memory of occurrences that is below what they take.
func TestBacklogMemoryEstimate(t *testing.T) {
	body := `{"phases":[{"count":1,"cpu":200}],"repeats":1000000,"period_ms":10}`
	bodies := make([]string, 40)
	for i := range bodies {
		bodies[i] = body
	}
	l := loadSchedules(t, 536, bodies, 24*time.Hour)
	before := heap()
	l.openDue()
	took, estimate := heap()-before, int64(0)
	for _, j := range l.tracker.Active() {
		estimate += backlogBytes(j)
	}
	t.Logf("%d bytes, estimate %d", took, estimate)
	assert.Assert(t, took <= estimate*5/4 && estimate <= took*4)
	runtime.KeepAlive(l)
}
