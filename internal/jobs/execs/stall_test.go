package execs

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// newStep returns a tracker and a step of some tasks.
func newStep(tasks int, checkpoints bool) (*track.Tracker, *track.Step) {
	tr := track.New(0)
	spec := model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: tasks, WritesCheckpoints: checkpoints}}}
	return tr, tr.Accept("j", model.Queue{}, spec, 0, 0).Open[0].Steps[0]
}

// Guards against tasks that never end, since each run is stopped as stalled after some seconds: executors report
// whole per cents, and of a long run one takes longer than an estimate allows that is missing or far too low. Guards
// also against the loss of a run by a takeover.
func TestSoundRunsAreNotStoppedForEver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := time.Duration(math.Exp(rapid.Float64Range(0, math.Log(36_000)).Draw(t, "length")) * float64(time.Second))
		usual := time.Duration(rapid.SampledFrom([]float64{0, 0.001, 0.1, 1, 10}).Draw(t, "estimate") * float64(length))
		takeoverAt := time.Duration(rapid.Float64Range(0, 2).Draw(t, "takeover") * float64(length))
		tr, s := newStep(1, false)
		task := s.Tasks[0]
		now, lost := time.Duration(0), time.Duration(0)
		for start := now; ; {
			r := tr.BeginRun(task, "x", 0, now)
			tr.ConfirmRun(r, now)
			for ; now-start < length; now += time.Duration(rapid.Int64Range(20, 1000).Draw(t, "poll")) * time.Millisecond {
				percent := math.Floor(100 * float64(now-start) / float64(length))
				if takeoverAt > 0 && now >= takeoverAt {
					takeoverAt = 0
					tr.RemoveRun(r)
					task.Stalls = 0
					r = tr.AdoptRun("x", model.Run{Task: task.ID, Attempt: 100, Percent: percent}, now)
				}
				r.ObservePercent(percent, now)
				if IsStalled(r, now, usual, now+track.MaxClockLead) {
					break
				}
			}
			if now-start >= length {
				break
			}
			lost += now - start
			task.Stalls++
			tr.RemoveRun(r)
			start = now
		}
		// A takeover begins the doubling anew.
		assert.Assert(t, lost <= 2*(length/25+2*unknownStall), "%v of %v", lost, length)
	})
}

// Guards against runs that stand still and are not stopped, or not soon, and against executors that are not blamed
// for them.
func TestRunsThatStandStillAreStopped(t *testing.T) {
	for _, c := range []struct {
		name                string
		usual, length, soon time.Duration
		sibling, own        bool
		evident             bool
	}{
		{"at the start", time.Second, time.Second, 1400 * time.Millisecond, false, false, false},
		{"beside another run", time.Second, time.Second, 1400 * time.Millisecond, true, false, true},
		{"beside another run without an estimate", 0, time.Second, 1400 * time.Millisecond, true, false, true},
		{"after progress", time.Second, time.Second, 1400 * time.Millisecond, false, true, true},
		{"after progress without an estimate", 0, 300 * time.Second, 6 * time.Second, false, true, true},
		{"nothing is known", 0, time.Second, unknownStall + 100*time.Millisecond, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr, s := newStep(2, false)
			r, o := tr.BeginRun(s.Tasks[0], "x", 0, 0), tr.BeginRun(s.Tasks[1], "y", 0, 0)
			tr.ConfirmRun(r, 0)
			tr.ConfirmRun(o, 0)
			at := c.length / 100
			if c.sibling {
				o.ObservePercent(1, at)
			}
			if c.own {
				r.ObservePercent(1, at)
			}
			from := r.LastProgress
			assert.Assert(t, !IsStalled(r, from+minStall, c.usual, 0))
			assert.Assert(t, IsStalled(r, from+c.soon, c.usual, 0))
			assert.Equal(t, IsStallEvident(r, from+c.soon), c.evident)
		})
	}
}

// Guards against executors that are blamed for stalls of runs that take longer than estimated, and all of them
// quarantined: no run of the step makes progress in less time elsewhere.
func TestStallsOfLongRunsAreNoFaults(t *testing.T) {
	tr, s := newStep(2, true)
	for i, task := range s.Tasks {
		r := tr.BeginRun(task, fmt.Sprint("x", i), 0, 0)
		tr.ConfirmRun(r, 0)
		assert.Assert(t, IsStalled(r, 2*time.Second, 100*time.Millisecond, 0))
		assert.Assert(t, !IsStallEvident(r, 2*time.Second))
	}
	// The second one is not stopped, and shows that 1% takes 3 s.
	slow := s.Tasks[1].Runs[0]
	slow.ObservePercent(1, 3*time.Second)
	assert.Assert(t, !IsStallEvident(s.Tasks[0].Runs[0], 2*time.Second))
	assert.Assert(t, !ShowsStall(slow.PercentTime, 2*time.Second))
	assert.Assert(t, !IsStalled(slow, 7*time.Second, 100*time.Millisecond, 0))
	// A run that continues from a checkpoint shows no pace by the progress that it begins with.
	tr.RemoveRun(s.Tasks[0].Runs[0])
	s.Tasks[0].Checkpoint = "c"
	r := tr.BeginRun(s.Tasks[0], "x2", 0, 0)
	r.ObservePercent(40, 10*time.Millisecond)
	assert.Equal(t, r.PercentTime, time.Duration(0))
}
