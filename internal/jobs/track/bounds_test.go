package track

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// Guards against a leader that runs out of memory: a job with a million occurrences, all due, was
// opened at once, again by each successor. They are opened as earlier ones are complete.
func TestOverdueOccurrencesAreOpenedInTurn(t *testing.T) {
	spec := model.JobSpec{Repeats: 1_000_000, Scheduled: true, Steps: []model.Step{{Count: maxOpenTasks / 4}}}
	tr := New(0)
	j := tr.Accept("j", queue, spec, 0, 0)
	assert.Assert(t, tr.OpenDue(j, 0))
	assert.Equal(t, len(j.Open), 4)
	assert.Assert(t, !tr.OpenDue(j, 0))
	for _, task := range j.Open[1].Steps[0].Tasks {
		tr.setDone(task, 0)
	}
	tr.TakeChanges()
	assert.Assert(t, tr.OpenDue(j, 0))
	assert.Equal(t, j.Open[len(j.Open)-1].Number, 4)
}

// Guards against the same at a takeover, which opened what had been stored as complete as well.
func TestCompleteOccurrencesStayClosedAtTakeover(t *testing.T) {
	spec := model.JobSpec{Repeats: 1000, Scheduled: true, Steps: []model.Step{{Count: maxOpenTasks}}}
	d := disk{}
	d.write([]Record{JobRecord("j", queue, "", body(spec), 0)})
	done := make([]byte, (maxOpenTasks+7)/8)
	for i := range done {
		done[i] = 0xff
	}
	for k := range 7 {
		d.write([]Record{{progressID{occurrence: k}.key("j"), encode(&workpb.Mark{Done: done})}})
	}
	d.write([]Record{{progressID{occurrence: 8}.key("j"), encode(&workpb.Mark{Done: []byte{1}})}, {"j/" + strconv.Itoa(1<<40), encode(&workpb.Mark{})}})
	j := d.load(t).Job("j")
	var open []int
	for _, o := range j.Open {
		open = append(open, o.Number)
	}
	assert.DeepEqual(t, open, []int{7, 8})
	assert.Equal(t, j.completed, 7)
	assert.Equal(t, j.nextOccurrence, 9)
}

// Guards against a job that runs although its cancel was acknowledged: the cancel was stored without
// a leader before the job was, and the next leader dropped it.
func TestStoredCancelIsKeptForItsJob(t *testing.T) {
	d := disk{}
	d.write([]Record{CancelRecord("j", time.Minute)})
	tr := d.load(t)
	j := tr.Accept("j", queue, steps(1), 0, 0)
	assert.Assert(t, j.IsOver())
	tr = d.load(t)
	tr.ForgetEnded(2*time.Minute, func(string) bool { return false })
	assert.Equal(t, len(tr.earlyCancels), 0)
}

// Guards against a job that is lost because of a record that does not belong under its key: an end
// without a final state replaced the job and left it queued for ever.
func TestRecordsOfAnotherKindLeaveTheJob(t *testing.T) {
	queued, final := encode(&workpb.Ended{State: uint32(model.Queued)}), encode(&workpb.Ended{State: uint32(model.Failed)})
	for _, r := range []Record{
		{"j", queued}, {"j", encode(&workpb.Ended{State: 1 << 20})}, {"j~", final}, {"j!", final}, {"j!", encode(&workpb.Work{})},
		{"j", encode(&workpb.Cancel{})}, {"j~", encode(&workpb.Cancel{})}, {"j/0", final}, {"j/-1", encode(&workpb.Mark{})},
	} {
		l := NewLoader(decodeTest)
		job := JobRecord("j", queue, "", body(steps(1)), 0)
		assert.NilError(t, l.Add(job.Key, job.Value))
		assert.ErrorContains(t, l.Add(r.Key, r.Value), "another kind", r.Key)
		tr, bad := l.Load(0, 0, 0)
		assert.Equal(t, len(bad), 0)
		assert.Equal(t, tr.Job("j").State(), model.Queued)
		assert.Equal(t, len(tr.Active()), 1)
	}
}

// Guards against a leader that stores nothing any more because the store refuses a record that is too
// large: the progress of a job with long checkpoints.
func TestProgressFitsInARecord(t *testing.T) {
	tr := New(0)
	j := tr.Accept("j", queue, steps(5000), 0, 0)
	for _, task := range j.Open[0].Steps[0].Tasks {
		r := tr.BeginRun(task, "x", 0, 0)
		r.Checkpoint = strings.Repeat("c", 1000)
		tr.RemoveRun(r)
	}
	total := 0
	for _, r := range tr.TakeChanges().Records {
		total += len(r.Value)
	}
	assert.Assert(t, total > 100<<10 && total < 256<<10, "%d bytes in all records", total)
}

// Guards against a log line for each record of the leader where leaderless records share its partition,
// and against a cancel under the key of a job.
func TestLeaderlessRecordsFitTheirKeys(t *testing.T) {
	job := JobRecord("j", queue, "", body(steps(1)), 0).Value
	cancel := CancelRecord("j", 0).Value
	for key, want := range map[string]struct {
		value []byte
		id    string
		fails bool
	}{
		"j/0": {encode(&workpb.Mark{}), "", false}, "j": {job, "", false}, "j~": {job, "j", false}, "j!": {cancel, "j", false},
		"k~": {cancel, "", true}, "k!": {job, "", true}, "l~": {encode(&workpb.Mark{}), "", true}, "l!": {[]byte("x"), "", true}, "m!": {nil, "", false},
	} {
		rec, err := DecodeLeaderless(key, want.value, decodeTest)
		assert.Equal(t, err != nil, want.fails, key)
		assert.Equal(t, rec.ID, want.id, key)
	}
}
