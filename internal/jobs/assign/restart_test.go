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

// restart ends all runs on an executor and replaces it by its next incarnation.
func (h *harness) restart(m *execs.Member, counts bool) (lost int) {
	for r := range h.tracker.RunsOn(m.Key) {
		delete(h.ends, r)
		m.RemoveRun(r.Task.Step)
		h.tracker.RemoveRun(r)
		lost++
	}
	former := *m
	*m = execs.Member{Executor: m.Executor, Key: m.Key, Contact: execs.Live, Listed: true, Slowness: 1}
	if counts {
		m.Inherit(&former)
		if lost > 0 {
			m.RecordRestart(lost, 0, h.now)
		}
	}
	return lost
}

// flapDay plays jobs of one task for 20 s on 10 executors of 16 cores, some of which restart at an interval.
// It returns the lost runs, the mean time from acceptance to end, and the interruptions of 4 serving tasks.
func flapDay(t *testing.T, flapping int, every, takes time.Duration, counts bool) (lost int, mean time.Duration, interrupted int) {
	h := newHarness(t, 10, cores(16))
	serving := h.accept("serving", model.Step{Count: 4, Need: cores(1), LongRunning: true})
	var all []*track.Job
	gap := takes / 100 // 100 of 160 cores in use
	for i := 0; h.now < 20*time.Second; i++ {
		all = append(all, h.accept(fmt.Sprint("job", i), model.Step{Need: cores(1), Estimate: takes}))
		h.plan()
		before := h.now
		h.advance(gap)
		for f := range flapping {
			m := h.members[f]
			if at := every * time.Duration(f+1) / time.Duration(flapping); (before-at)/every != (h.now-at)/every && before > at {
				for _, task := range serving.Open[0].Steps[0].Tasks {
					if len(task.Runs) > 0 && task.Runs[0].Executor == m.Key {
						interrupted++
					}
				}
				lost += h.restart(m, counts)
			}
		}
	}
	for h.now < 10*time.Minute && len(h.ends) > 0 {
		h.plan()
		h.advance(time.Second)
	}
	for _, j := range all {
		assert.Assert(t, j.IsOver())
		mean += (h.ended[j.ID] - j.Accepted) / time.Duration(len(all))
	}
	return lost, mean, interrupted
}

// Guards against executors that keep restarting and get a full load after each restart, and against
// serving tasks that go back there.
func TestWorkIsKeptOffFlappingExecutors(t *testing.T) {
	lost, mean, _ := flapDay(t, 1, 8*time.Second, time.Second, false)
	lostNow, meanNow, _ := flapDay(t, 1, 8*time.Second, time.Second, true)
	assert.Assert(t, lost > 0 && lost == lostNow && mean == meanNow, "a single crash changes decisions")
	for _, takes := range []time.Duration{500 * time.Millisecond, 4 * time.Second} {
		for _, every := range []time.Duration{1400 * time.Millisecond, 5 * time.Second} {
			lostBefore, meanBefore, interruptedBefore := flapDay(t, 2, every, takes, false)
			lost, mean, interrupted := flapDay(t, 2, every, takes, true)
			t.Logf("2 of 10 restart each %v, runs of %v: %d lost, mean %v, %d interruptions before; %d, %v, %d now",
				every, takes, lostBefore, meanBefore, interruptedBefore, lost, mean, interrupted)
			assert.Assert(t, lost < lostBefore && mean <= meanBefore && interrupted <= interruptedBefore)
		}
	}
}

// Guards against a serving task that starts on an executor that keeps restarting, because its probation has
// ended with short runs between two restarts and it is empty.
func TestServingTasksPreferExecutorsThatDoNotFlap(t *testing.T) {
	h := newHarness(t, 2, cores(16))
	for i := range 2 {
		h.now = time.Duration(i+1) * time.Second
		h.byKey["a"].RecordRestart(9, 0, h.now)
	}
	m := h.byKey["a"]
	for range 200 {
		m.RecordSuccess(h.now)
	}
	assert.Assert(t, !m.IsSuspect())
	h.byKey["b"].AddRun(&track.Step{Step: &model.Step{Need: cores(8)}})
	for _, key := range []string{"b", "a"} {
		h.accept("serving "+key, model.Step{Need: cores(2), LongRunning: true})
		starts := h.plan()
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Member.Key, key)
		h.now += time.Minute
	}
}
