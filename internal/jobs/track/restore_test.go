package track

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a leader that stands still while a job of many steps is expanded: its stored progress took
// 250 ms with 20,000 steps, ten times what the job itself takes, in the control goroutine.
func TestProgressOfManyStepsIsRestoredInLinearTime(t *testing.T) {
	body := []byte(`{"phases":[{"count":1}` + strings.Repeat(`,{"count":1}`, 19_999) + `]}`)
	queue := model.Queue{Name: "q", Service: "s", Attempts: 2}
	spec, err := platform.DecodeJob(body)
	assert.NilError(t, err)
	former := New(0)
	j := former.Accept("0000000000000000", queue, spec, 0, 0)
	for _, s := range j.Open[0].Steps[1:] {
		former.setDone(s.Tasks[0], 0)
	}
	progress := former.TakeChanges().Records
	expand := func(progress []Record) time.Duration {
		least := time.Hour
		for range 3 {
			l := NewLoader(platform.DecodeJob)
			for _, r := range append([]Record{JobRecord(j.ID, queue, "", body, 0)}, progress...) {
				assert.NilError(t, l.Add(r.Key, r.Value))
			}
			tr, _ := l.LoadWithin(func(Size) bool { return false }, 64, 0, 0)
			begin := time.Now()
			tr.Expand(j.ID, 0)
			least = min(least, time.Since(begin))
			if len(progress) > 0 {
				assert.Equal(t, tr.Job(j.ID).Open[0].Left, 1)
			}
		}
		return least
	}
	without, with := expand(nil), expand(progress)
	t.Logf("without progress %v, with it %v", without, with)
	assert.Assert(t, with < 4*without)
}
