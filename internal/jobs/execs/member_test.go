package crew

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Guards against an executor that fails all it runs and goes on getting tasks, and
// against one that is set aside because of a job that can never be done.
func TestExecutorsThatFailAreSetAside(t *testing.T) {
	m := Member{Contact: Live, Listed: true}
	for range 5 {
		assert.Assert(t, !m.Failed("hopeless", 0))
	}
	assert.Assert(t, m.Takes(0))
	m.Succeeded()
	for i := range failRow {
		assert.Equal(t, m.Failed(fmt.Sprint("job", i), time.Second), i == failRow-1)
	}
	assert.Assert(t, !m.Takes(2*time.Second))
	assert.Assert(t, m.Takes(time.Second+asideFirst))
	// One more failure sets it aside for longer.
	assert.Assert(t, m.Failed("another", 5*time.Second))
	assert.Assert(t, !m.Takes(5*time.Second+asideFirst))
}

// Guards against runs that stand still for ever, and against stops of those that are
// slow, gather as a gang, or last.
func TestStalledRuns(t *testing.T) {
	b := book.New(0)
	w := model.Work{Repeats: 1, Steps: []model.Step{{Count: 1}, {Count: 1, Gang: true}, {Count: 1, Lasts: true}}}
	j := b.Accept("j", model.Queue{}, w, 0, 0)
	for i, s := range j.Open[0].Steps {
		r := b.Begin(s.Tasks[0], "x", 0, 0)
		b.Confirm(r, 0)
		assert.Assert(t, !IsStalled(r, stallLeast, 0))
		assert.Equal(t, IsStalled(r, stallLeast+1, 0), i == 0)
		assert.Assert(t, !IsStalled(r, 5*time.Second, 20*time.Second))
		r.Progress = 4 * time.Second
		assert.Assert(t, !IsStalled(r, 5*time.Second, 0))
	}
}
