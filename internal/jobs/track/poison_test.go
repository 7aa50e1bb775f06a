package track

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against wide jobs that count as poison because a few of their first runs fail before any has
// ended with success, so that their other tasks wait beside idle capacity, and against wide jobs that
// fail everywhere and never count as poison.
func TestWideJobsNeedMoreEvidence(t *testing.T) {
	tr := New(0)
	j := tr.Accept("j", queue, steps(200), 0, 0)
	for i, task := range j.Open[0].Steps[0].Tasks[:160] {
		tr.BeginRun(task, fmt.Sprint(i%20), 0, 0)
	}
	for i := range 39 {
		j.RecordFailureOn(fmt.Sprint(i))
		assert.Assert(t, !j.FailsEverywhere(), "%d of 160 runs failed", i+1)
	}
	j.RecordFailureOn("x")
	assert.Assert(t, j.IsPoison())
	tr.BeginRun(j.Open[0].Steps[0].Tasks[160], "y", 0, 0)
	assert.Assert(t, j.IsPoison(), "a run that is tried does not end that")
	for i := range maxFailedOn - 1 {
		j.WithdrawFailures(fmt.Sprint(i))
	}
	assert.Assert(t, !j.IsPoison())
}
