package track

import (
	"maps"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// Guards against a leader that runs out of memory: a job with a million occurrences, all due, was
// opened at once, again by each successor. They are opened as earlier ones are complete.
func TestOverdueOccurrencesAreOpenedInTurn(t *testing.T) {
	spec := model.JobSpec{Repeats: 1_000_000, Scheduled: true, Steps: []model.Step{{Count: maxOpenTasks / 4}}}
	tr := New(0)
	j := tr.Accept("j", queue, spec, 0, 0)
	assert.Assert(t, tr.OpenDue(j, 0, nil))
	assert.Equal(t, len(j.Open), 4)
	assert.Assert(t, !tr.OpenDue(j, 0, nil))
	for _, task := range j.Open[1].Steps[0].Tasks {
		tr.setDone(task, 0)
	}
	tr.TakeChanges()
	assert.Assert(t, tr.OpenDue(j, 0, nil))
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
	openOf := func(j *Job) []int {
		var open []int
		for _, o := range j.Open {
			open = append(open, o.Number)
		}
		return open
	}
	tr := d.load(t)
	j := tr.Job("j")
	assert.DeepEqual(t, openOf(j), []int{7})
	assert.Equal(t, j.complete.count, 7)
	// What is stored of an occurrence that has to wait is kept until it is opened, also by the next leader.
	for _, task := range j.Open[0].Steps[0].Tasks {
		tr.setDone(task, 0)
	}
	d.write(tr.TakeChanges().Records)
	for _, tr := range []*Tracker{tr, d.load(t)} {
		j := tr.Job("j")
		tr.OpenDue(j, 0, nil)
		assert.DeepEqual(t, openOf(j), []int{8})
		assert.Equal(t, j.Open[0].Left, maxOpenTasks-1)
		assert.Equal(t, j.complete.count, 8)
		assert.Equal(t, len(j.unopenedProgress), 0)
	}
}

// Guards against a leader that runs out of memory in its load: each complete occurrence of a schedule left a record
// for ever, and up to 40,000 tasks of each schedule were opened at once.
func TestCompleteOccurrencesAreStoredInBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := steps(rapid.IntRange(1, 3).Draw(t, "tasks"))
		spec.Scheduled, spec.Repeats, spec.Period = true, rapid.IntRange(1, 3*blockSize).Draw(t, "repeats"), time.Second
		wall := time.Duration(rapid.IntRange(0, spec.Repeats).Draw(t, "due")) * time.Second
		d := disk{}
		d.write([]Record{JobRecord("j", queue, "", body(spec), 0)})
		complete := map[int]bool{}
		room := rapid.IntRange(1, 40).Draw(t, "room")
		for range 4 {
			tr := d.load(t)
			j := tr.Job("j")
			if j.IsOver() {
				assert.Equal(t, len(complete), spec.Repeats)
				return
			}
			tr.ReleaseUnresolved(allJobs, wall)
			for range rapid.IntRange(0, 2*blockSize).Draw(t, "rounds") {
				tr.OpenDue(j, wall, func() bool { return len(j.Open) < room })
				if len(j.Open) == 0 {
					break
				}
				o := j.Open[rapid.IntRange(0, len(j.Open)-1).Draw(t, "occurrence")]
				if rapid.IntRange(0, 3).Draw(t, "store") == 0 {
					d.write(tr.TakeChanges().Records)
				}
				if o.Left == 0 {
					continue
				}
				assert.Assert(t, !complete[o.Number], "occurrence %d runs again after its end", o.Number)
				for _, task := range o.Steps[0].Tasks {
					if !task.Done && rapid.IntRange(0, 9).Draw(t, "ends") > 0 {
						tr.setDone(task, wall)
					}
				}
				if o.Left == 0 {
					complete[o.Number] = true
				}
				if j.IsOver() {
					break
				}
			}
			records := tr.TakeChanges().Records
			stored := len(records)
			if rapid.Bool().Draw(t, "is cut off") {
				stored = rapid.IntRange(0, len(records)).Draw(t, "stored")
			}
			assertFit(t, records, 1024)
			d.write(records[:stored])
			again := d.load(t).Job("j")
			if stored < len(records) {
				// The ends in what is not stored are not acknowledged: executors list them again.
				maps.DeleteFunc(complete, func(k int, _ bool) bool { return !again.IsOver() && !again.complete.has(k) })
				continue
			}
			assert.Assert(t, len(d) <= 1+spec.Repeats/blockSize+1+room, "%d records", len(d))
			for k := range complete {
				assert.Assert(t, again.IsOver() || again.complete.has(k), "the end of occurrence %d is not stored", k)
			}
		}
	})
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
	assert.Equal(t, len(tr.ForgetCancels(2*time.Minute, func(string) bool { return true })), 0)
	assert.DeepEqual(t, tr.ForgetCancels(2*time.Minute, func(string) bool { return false }), []string{"j"})
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
