package track

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

// Whatever is stored under a key, the records of other jobs are loaded, a job is either active with
// tasks or over, and what a leader stores of it is loaded again.
func FuzzRecords(f *testing.F) {
	spec := []byte(`{"phases":[{"count":3},{"count":2,"after":[0],"gang":true}],"repeats":4,"start_at_ms":5,"period_ms":7}`)
	for _, r := range []Record{
		JobRecord("j", queue, "", spec, time.Minute), LeaderlessJobRecord("j", queue, "", spec, time.Minute), CancelRecord("j", time.Minute),
		{"j", encode(&workpb.Ended{State: uint32(model.Failed), At: -1})}, {"j", encode(&workpb.Work{Accepted: 1 << 62, Body: spec})},
		{"j/2", encode(&workpb.Mark{Done: []byte{0xff}, Failed: []*workpb.Failure{{Task: 1 << 31, Attempt: 9}}, Saved: []*workpb.Saved{{Task: 7, Value: "c"}}})},
		{"good/1/2/2", encode(&workpb.Mark{Done: []byte{3}, Failed: []*workpb.Failure{{Task: 0, Attempt: 9}, {Task: 4, Attempt: 9}}})},
		{"good/0/1/9223372036854775807", encode(&workpb.Mark{Failed: []*workpb.Failure{{Task: 1, Attempt: 2}}})},
		{"good/3/2147483647/2147483647", encode(&workpb.Mark{Done: []byte{0xff}, Failed: []*workpb.Failure{{Task: 2, Attempt: 1}}})},
	} {
		f.Add(r.Key, r.Value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		const now, wall = time.Hour, 365 * 24 * time.Hour
		good := JobRecord("good", queue, "", spec, 0)
		l := NewLoader(platform.DecodeJob)
		assert.NilError(t, l.Add(good.Key, good.Value))
		if err := l.Add(key, value); err != nil {
			assert.Assert(t, ErrRecord.Has(err))
		}
		if rec, err := DecodeLeaderless(key, value, platform.DecodeJob); err == nil && rec.ID != "" {
			assert.Assert(t, (rec.Spec != nil) != rec.Cancelled && rec.Accepted >= 0 && rec.ID == JobID(key))
		}
		tr, _ := l.Load(1, now, wall)
		if JobID(key) != "good" {
			j := tr.Job("good")
			assert.Assert(t, j != nil && len(j.Open) == 4 && !j.IsOver())
		}
		for id, j := range tr.jobs {
			assert.Equal(t, tr.active[id] != nil, !j.IsOver())
			assert.Assert(t, j.Accepted >= 0 && j.endedAt >= 0 && j.State() != model.Unknown)
			for _, o := range j.Open {
				assert.Assert(t, o.Number < j.Spec.Repeats && o.Left > 0)
			}
		}
		tr.ReleaseUnresolved(func(*Job) bool { return true }, wall)
		for _, r := range tr.TakeChanges().Records {
			assert.NilError(t, l.Add(r.Key, r.Value), r.Key)
		}
		again, _ := l.Load(1, now, wall)
		for id, j := range tr.jobs {
			assert.Equal(t, again.Job(id).state, j.state)
			assert.Assert(t, len(again.Job(id).Open) == len(j.Open) || j.IsOver())
		}
	})
}
