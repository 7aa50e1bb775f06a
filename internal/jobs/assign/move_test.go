package assign

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// slowLoad is a load of tasks of 20 s that write a checkpoint each 10%, on executors of 4 places some of
// which are slower by a factor.
type slowLoad struct {
	executors, slow, jobs int
	factor                float64
	// gap is the time between two jobs, 0 if all are submitted at the start.
	gap           time.Duration
	moves, copies bool
}

// play returns when the last job ended, the mean and the longest time of a job to its end, and the number
// of moves.
func (l slowLoad) play(t *testing.T) (end, mean, most time.Duration, moved int) {
	h := newHarness(t, l.executors, cores(16))
	h.queues["q"].Attempts = 3
	speed := func(r *track.Run) float64 {
		if int(r.Executor[0]-'a') < l.slow {
			return 1 / l.factor
		}
		return 1
	}
	base := func(r *track.Run) float64 { n, _ := strconv.ParseFloat(r.Checkpoint, 64); return n }
	started := map[*track.Run]float64{}
	h.takes = func(r *track.Run) time.Duration {
		started[r] = base(r)
		return time.Duration((1 - base(r)/100) / speed(r) * float64(r.Task.Step.Estimate))
	}
	var all []*track.Job
	for len(all) < l.jobs || len(h.ends) > 0 && h.now < time.Hour {
		for len(all) < l.jobs && h.now >= time.Duration(len(all))*l.gap {
			step := model.Step{Need: cores(4), Estimate: 20 * time.Second, WritesCheckpoints: true, AllowsCopies: l.copies}
			all = append(all, h.accept(fmt.Sprint("job", len(all)), step))
		}
		h.plan()
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
		slices.SortFunc(slow, func(a, b *track.Run) int { return strings.Compare(a.Task.ID.Job, b.Task.ID.Job) })
		if !l.moves || slices.ContainsFunc(all, func(j *track.Job) bool { return !j.IsOver() && len(j.Open[0].Steps[0].Tasks[0].Runs) == 0 }) {
			continue // work waits
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
	for _, j := range all {
		end = max(end, h.ended[j.ID])
		took := h.ended[j.ID] - j.Accepted
		mean, most = mean+took/time.Duration(len(all)), max(most, took)
	}
	return end, mean, most, moved
}

// Guards against long tasks that stay on a slow executor while others are idle, and against moves that
// gain less than they cost.
func TestSlowRunsMoveAtACheckpoint(t *testing.T) {
	for _, c := range []struct {
		factor float64
		moves  int
	}{{1, 0}, {1.6, 0}, {4, 4}} {
		load := slowLoad{executors: 4, slow: 1, jobs: 12, factor: c.factor}
		before, _, _, _ := load.play(t)
		load.moves = true
		now, _, _, moved := load.play(t)
		t.Logf("executor slower by %.1f: last end after %v before, %v now, %d moves", c.factor, before, now, moved)
		assert.Equal(t, moved, c.moves)
		assert.Assert(t, c.moves == 0 || now*3 < before*2)
	}
}

// Guards against slow runs that are left where they are because their step allows copies, which are never
// started, and against moves that delay the callers. A single caller may wait longer: a run that moves late is
// restored from its last checkpoint, and takes a place that a later job would have had.
func TestSlowRunsOfStepsThatAllowCopiesMove(t *testing.T) {
	var cases, longer int
	var meanBefore, mean, mostBefore, most time.Duration
	for _, slow := range []int{1, 2, 3} {
		for _, factor := range []float64{2, 3, 4, 8} {
			for _, gap := range []time.Duration{3 * time.Second, time.Second, 700 * time.Millisecond, 500 * time.Millisecond, 300 * time.Millisecond} {
				load := slowLoad{executors: 8, slow: slow, jobs: 100, factor: factor, gap: gap, copies: true}
				_, a, x, _ := load.play(t)
				load.moves = true
				_, b, y, moved := load.play(t)
				if y > x {
					longer++
				}
				t.Logf("%d of 8 slower by %.0f, a job each %v: mean %v, longest %v before; %v, %v now, %d moves", slow, factor, gap, a, x, b, y, moved)
				assert.Assert(t, b <= a+a/200, "the mean time to the end is more than 0.5% longer")
				cases, meanBefore, mean, mostBefore, most = cases+1, meanBefore+a, mean+b, mostBefore+x, most+y
			}
		}
	}
	n := time.Duration(cases)
	t.Logf("%d loads: mean %v, longest %v before; %v, %v now; longest time longer in %d", cases, meanBefore/n, mostBefore/n, mean/n, most/n, longer)
	assert.Assert(t, mean < meanBefore && most < mostBefore && longer <= cases/4)
}

// Guards against a run that is moved without a checkpoint, too often, beside another run
// of its task, as a member of a gang, on little evidence, and without a place for it.
func TestMovesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		executors int
		change    func(*track.Run)
		moves     int
	}{
		"slow":           {2, func(*track.Run) {}, 1},
		"no checkpoint":  {2, func(r *track.Run) { r.Checkpoint = "" }, 0},
		"moved twice":    {2, func(r *track.Run) { r.Task.SlowMoves = 2 }, 0},
		"allows copies":  {2, func(r *track.Run) { r.Task.Step.AllowsCopies = true }, 1},
		"another run":    {2, func(r *track.Run) { r.Task.Runs = append(r.Task.Runs, &track.Run{Task: r.Task}) }, 0},
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
