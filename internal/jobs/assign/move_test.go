package assign

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// slowDay plays 12 tasks of 20 s that write a checkpoint each 10% on 4 executors, the first of which is
// slower by a factor. It returns when the last one ended, and the number of moves.
func slowDay(t *testing.T, factor float64, moves bool) (end time.Duration, moved int) {
	h := newHarness(t, 4, cores(16))
	h.queues["q"].Attempts = 3
	speed := func(r *track.Run) float64 {
		if r.Executor == "a" {
			return 1 / factor
		}
		return 1
	}
	base := func(r *track.Run) float64 { n, _ := strconv.ParseFloat(r.Checkpoint, 64); return n }
	started := map[*track.Run]float64{}
	h.takes = func(r *track.Run) time.Duration {
		started[r] = base(r)
		return time.Duration((1 - base(r)/100) / speed(r) * float64(r.Task.Step.Estimate))
	}
	for i := range 12 {
		h.accept(fmt.Sprint("job", i), model.Step{Need: cores(4), Estimate: 20 * time.Second, WritesCheckpoints: true})
	}
	h.plan()
	for len(h.ends) > 0 && h.now < 10*time.Minute {
		h.advance(time.Second)
		var slow []*track.Run
		for r := range h.ends {
			percent := started[r] + 100*(h.now-r.OrderedAt).Seconds()*speed(r)/20
			r.ObservePercent(percent, h.now)
			if saved := int(percent/10) * 10; saved > 0 {
				h.tracker.ObserveCheckpoint(r, strconv.Itoa(saved))
			}
			if execs.ShouldMove(r, h.now, r.Task.Step.Estimate) {
				slow = append(slow, r)
			}
		}
		if !moves {
			continue
		}
		for _, r := range ChooseMoves(slow, h.members, h.policy, nil, h.now, 2) {
			moved++
			r.Task.SlowMoves++
			r.Task.Avoid(r.Executor)
			delete(h.ends, r)
			h.byKey[r.Executor].RecordRate(r, r.Task.Step.Estimate)
			h.byKey[r.Executor].RemoveRun(r.Task.Step)
			h.tracker.RemoveRun(r)
		}
		h.plan()
	}
	assert.Equal(t, len(h.tracker.Active()), 0)
	for _, at := range h.ended {
		end = max(end, at)
	}
	return end, moved
}

// Guards against long tasks that stay on a slow executor while others are idle, and against moves that
// gain less than they cost.
func TestSlowRunsMoveAtACheckpoint(t *testing.T) {
	for _, c := range []struct {
		factor float64
		moves  int
	}{{1, 0}, {1.6, 0}, {4, 4}} {
		before, _ := slowDay(t, c.factor, false)
		now, moved := slowDay(t, c.factor, true)
		t.Logf("executor slower by %.1f: last end after %v before, %v now, %d moves", c.factor, before, now, moved)
		assert.Equal(t, moved, c.moves)
		assert.Assert(t, c.moves == 0 || now*3 < before*2)
	}
}

// Guards against a run that is moved without a checkpoint, too often, where copies are allowed, as a
// member of a gang, on little evidence, and without a place for it.
func TestMovesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		executors int
		change    func(*track.Run)
		moves     int
	}{
		"slow":           {2, func(*track.Run) {}, 1},
		"no checkpoint":  {2, func(r *track.Run) { r.Checkpoint = "" }, 0},
		"moved twice":    {2, func(r *track.Run) { r.Task.SlowMoves = 2 }, 0},
		"copies":         {2, func(r *track.Run) { r.Task.Step.AllowsCopies = true }, 0},
		"gang":           {2, func(r *track.Run) { r.Task.Step.Gang = true }, 0},
		"stopping":       {2, func(r *track.Run) { r.Phase = track.Stopping }, 0},
		"nearly done":    {2, func(r *track.Run) { r.ObservePercent(97, 41*time.Second) }, 0},
		"no place":       {1, func(*track.Run) {}, 0},
		"no checkpoints": {2, func(r *track.Run) { r.Task.Step.WritesCheckpoints = false }, 0},
	} {
		h := newHarness(t, c.executors, cores(16))
		j := h.accept("job", model.Step{Need: cores(4), Estimate: 20 * time.Second, WritesCheckpoints: true})
		h.plan()
		r := j.Open[0].Steps[0].Tasks[0].Runs[0]
		r.ObservePercent(5, time.Second)
		h.tracker.ObserveCheckpoint(r, "5")
		r.ObservePercent(6, 2*time.Second)
		assert.Assert(t, !execs.ShouldMove(r, 2*time.Second, 20*time.Second), "a second of evidence")
		r.ObservePercent(15, 40*time.Second)
		c.change(r)
		var slow []*track.Run
		if execs.ShouldMove(r, 41*time.Second, 20*time.Second) {
			slow = append(slow, r)
		}
		assert.Equal(t, len(ChooseMoves(slow, h.members, h.policy, nil, h.now, 2)), c.moves, name)
	}
}
