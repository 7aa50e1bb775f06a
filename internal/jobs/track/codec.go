package track

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// ErrRecord is the class of stored records that can't be read.
var ErrRecord = errs.Class("job record")

// Record is one record to store. A nil Value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Keys: the job's ID holds the job and later its end, ID/K the progress of occurrence K, ID! a
// cancel, and ID~ a job that an entry stored while it had no leader. Such an entry does not know
// whether the job has ended, so its record must not replace the end.
const (
	progressSeparator = "/"
	cancelSuffix      = "!"
	leaderlessSuffix  = "~"
)

func progressKey(id string, k int) string { return id + progressSeparator + strconv.Itoa(k) }

func encode(kind any) []byte {
	var r workpb.Record
	switch k := kind.(type) {
	case *workpb.Work:
		r.Kind = &workpb.Record_Work{Work: k}
	case *workpb.Mark:
		r.Kind = &workpb.Record_Mark{Mark: k}
	case *workpb.Ended:
		r.Kind = &workpb.Record_Ended{Ended: k}
	case *workpb.Cancel:
		r.Kind = &workpb.Record_Cancel{Cancel: k}
	}
	// Encoding fails only for invalid UTF-8, and all strings here were decoded as UTF-8.
	out, _ := proto.Marshal(&r)
	return out
}

// JobRecord returns the record of a job that the leader accepts.
func JobRecord(id string, q model.Queue, body []byte, accepted time.Duration) Record {
	return Record{id, encodeJob(q, body, accepted)}
}

// LeaderlessJobRecord returns the record of a job that an entry accepts while it has no leader.
func LeaderlessJobRecord(id string, q model.Queue, body []byte, accepted time.Duration) Record {
	return Record{id + leaderlessSuffix, encodeJob(q, body, accepted)}
}

// ForgetRecords returns the records that delete what the leader stored of an ended job.
func ForgetRecords(id string) []Record {
	return []Record{{id, nil}, {id + cancelSuffix, nil}}
}

// ForgetLeaderlessRecords returns the records that delete what entries stored of a job while they
// had no leader.
func ForgetLeaderlessRecords(id string) []Record {
	return []Record{{id + cancelSuffix, nil}, {id + leaderlessSuffix, nil}}
}

// JobID returns the ID of the job that a key belongs to.
func JobID(key string) string {
	id, _, _ := strings.Cut(key, progressSeparator)
	return strings.TrimRight(id, cancelSuffix+leaderlessSuffix)
}

func encodeJob(q model.Queue, body []byte, accepted time.Duration) []byte {
	return encode(&workpb.Work{
		Queue: q.Name, Accepted: accepted.Milliseconds(), Body: body, Service: q.Service,
		Attempts: uint32(q.Attempts), Priority: int32(q.Priority), Slack: q.Slack, Objective: q.Objective.Milliseconds(),
	})
}

// CancelRecord returns the record of a cancel at a Unix time.
func CancelRecord(id string, at time.Duration) Record {
	return Record{id + cancelSuffix, encode(&workpb.Cancel{At: at.Milliseconds()})}
}

// Batch is the set of changes since the last batch.
type Batch struct {
	Records []Record
	ended   []*Job
}

// TakeChanges returns the changes that are not stored and starts a new batch.
func (tr *Tracker) TakeChanges() Batch {
	var out Batch
	for _, o := range tr.dirtyOcc {
		o.dirty = false
		if !o.Job.IsOver() {
			o.Job.storedProgress[o.Number] = struct{}{}
			out.Records = append(out.Records, Record{progressKey(o.Job.ID, o.Number), encode(o.progress())})
		}
	}
	for _, j := range tr.dirtyEnd {
		out.Records = append(out.Records, Record{j.ID, encode(&workpb.Ended{
			State: uint32(j.state), At: j.endedAt.Milliseconds(), Queue: j.Queue,
		})})
		for k := range j.storedProgress {
			out.Records = append(out.Records, Record{progressKey(j.ID, k), nil})
		}
		j.storedProgress = nil
		out.ended = append(out.ended, j)
	}
	tr.dirtyOcc, tr.dirtyEnd = nil, nil
	return out
}

// HasChanges reports whether TakeChanges would return anything.
func (tr *Tracker) HasChanges() bool { return len(tr.dirtyOcc)+len(tr.dirtyEnd) > 0 }

// MarkStored makes the final states in a stored batch visible to callers. It returns the jobs that
// ended in the batch.
func (tr *Tracker) MarkStored(batch Batch) []*Job {
	for _, j := range batch.ended {
		j.visible = j.state
	}
	return batch.ended
}

// maxSavedBytes bounds the checkpoints in a record, which the store must accept, each with
// savedOverhead for the task's number. One that is left out costs repeated work after a change of
// the leader.
const (
	maxSavedBytes = 128 << 10
	savedOverhead = 12
)

func (o *Occurrence) progress() *workpb.Mark {
	n, saved := 0, 0
	for _, s := range o.Steps {
		n += s.Count
	}
	m := &workpb.Mark{Done: make([]byte, (n+7)/8)}
	for _, s := range o.Steps {
		for _, t := range s.Tasks {
			i := t.index()
			if t.Done {
				m.Done[i/8] |= 1 << (i % 8)
				continue
			}
			for _, f := range t.failures {
				m.Failed = append(m.Failed, &workpb.Failure{Task: uint32(i), Attempt: uint32(f.attempt)})
			}
			if t.Checkpoint == "" {
				continue
			}
			if saved += savedOverhead + len(t.Checkpoint); saved <= maxSavedBytes {
				m.Saved = append(m.Saved, &workpb.Saved{Task: uint32(i), Value: t.Checkpoint})
			}
		}
	}
	return m
}

func (o *Occurrence) applyProgress(m *workpb.Mark) {
	var all []*Task
	for _, s := range o.Steps {
		all = append(all, s.Tasks...)
	}
	for i, t := range all {
		if i/8 < len(m.GetDone()) && m.GetDone()[i/8]&(1<<(i%8)) != 0 && !t.Done {
			t.Done = true
			t.Step.Left--
			o.Left--
		}
	}
	for _, f := range m.GetFailed() {
		if int(f.GetTask()) < len(all) {
			t := all[f.GetTask()]
			t.failures = append(t.failures, failure{int(f.GetAttempt()), true})
		}
	}
	for _, s := range m.GetSaved() {
		if int(s.GetTask()) < len(all) {
			all[s.GetTask()].Checkpoint = s.GetValue()
		}
	}
	o.Job.storedProgress[o.Number] = struct{}{}
}

// Loader collects the records of all keys, in any order.
type Loader struct {
	decode   func([]byte) (model.JobSpec, error)
	jobs     map[string]*workpb.Work
	ended    map[string]*workpb.Ended
	cancels  map[string]*workpb.Cancel
	progress map[string]map[int]*workpb.Mark
}

// NewLoader returns a loader that decodes job bodies with decode.
func NewLoader(decode func([]byte) (model.JobSpec, error)) *Loader {
	return &Loader{
		decode: decode, jobs: map[string]*workpb.Work{}, ended: map[string]*workpb.Ended{},
		cancels: map[string]*workpb.Cancel{}, progress: map[string]map[int]*workpb.Mark{},
	}
}

// Add adds one record, which replaces an earlier one of the same key. It returns an ErrRecord for a
// record that can't be decoded.
func (l *Loader) Add(key string, value []byte) error {
	id, k, isProgress := strings.Cut(key, progressSeparator)
	if isProgress {
		n, err := strconv.Atoi(k)
		if err != nil {
			return ErrRecord.Wrap(err)
		}
		if len(value) == 0 {
			delete(l.progress[id], n)
			return nil
		}
		return l.addProgress(id, n, value)
	}
	id = JobID(key)
	isCancel := strings.HasSuffix(key, cancelSuffix)
	if len(value) == 0 {
		switch {
		case id == key:
			delete(l.jobs, id)
			delete(l.ended, id)
		case isCancel:
			delete(l.cancels, id)
		}
		return nil
	}
	var r workpb.Record
	if err := proto.Unmarshal(value, &r); err != nil {
		return ErrRecord.Wrap(err)
	}
	switch x := r.GetKind().(type) {
	case *workpb.Record_Work:
		if isCancel {
			return errKind(key)
		}
		// An entry without a leader may have stored the job after its end.
		if l.ended[id] == nil && l.jobs[id] == nil {
			l.jobs[id] = x.Work
		}
	case *workpb.Record_Ended:
		if id != key || !isFinal(x.Ended.GetState()) {
			return errKind(key)
		}
		l.ended[id] = x.Ended
		delete(l.jobs, id)
	case *workpb.Record_Cancel:
		if !isCancel {
			return errKind(key)
		}
		l.cancels[id] = x.Cancel
	case *workpb.Record_Mark, nil:
		return errKind(key)
	}
	return nil
}

func errKind(key string) error { return ErrRecord.New("key %q holds another kind of record", key) }

// isFinal reports whether a number in a record is that of a final state.
func isFinal(state uint32) bool {
	return state <= uint32(model.Cancelled) && model.State(state).IsFinal()
}

func (l *Loader) addProgress(id string, n int, value []byte) error {
	var r workpb.Record
	if err := proto.Unmarshal(value, &r); err != nil {
		return ErrRecord.Wrap(err)
	}
	if r.GetMark() == nil || n < 0 {
		return errKind(progressKey(id, n))
	}
	if l.progress[id] == nil {
		l.progress[id] = map[int]*workpb.Mark{}
	}
	l.progress[id][n] = r.GetMark()
	return nil
}

// Load builds the tracker of a new leader. Tasks that an earlier leader may have started are
// unresolved. It returns the IDs of jobs that can't be decoded.
func (l *Loader) Load(base int, now, wall time.Duration) (*Tracker, []string) {
	tr := New(base)
	var bad []string
	for id, e := range l.ended {
		s := model.State(e.GetState())
		tr.jobs[id] = &Job{ID: id, Queue: e.GetQueue(), state: s, visible: s, endedAt: time.Duration(e.GetAt()) * time.Millisecond}
	}
	for id, w := range l.jobs {
		spec, err := l.decode(w.GetBody())
		if err != nil {
			bad = append(bad, id)
			continue
		}
		j := tr.Accept(id, settingsOf(w), spec, time.Duration(w.GetAccepted())*time.Millisecond, now)
		tr.restoreJob(j, l.progress[id], wall)
	}
	for id, c := range l.cancels {
		// The job of a cancel may still be stored without a leader.
		tr.Cancel(id, time.Duration(c.GetAt())*time.Millisecond)
	}
	return tr, bad
}

// restoreJob opens the occurrences of a job that an earlier leader may have opened, applies the
// stored progress and makes the remaining tasks unresolved.
func (tr *Tracker) restoreJob(j *Job, progress map[int]*workpb.Mark, wall time.Duration) {
	last := -1
	for k := range progress {
		if k < j.Spec.Repeats {
			last = max(last, k)
		}
	}
	j.begun = len(progress) > 0
	for _, o := range slices.Clone(j.Open) {
		tr.restoreOccurrence(o, progress[o.Number], wall)
	}
	// The stored progress may include occurrences that are not due yet by this entry's clock.
	for !j.IsOver() && j.nextOccurrence <= last {
		o := j.openNext()
		if tr.restoreOccurrence(o, progress[o.Number], wall); o.Left == 0 {
			tr.trim(j)
		}
	}
	// An earlier leader may have opened further ones once others were complete, without having
	// stored that.
	tr.trim(j)
	n := len(j.Open)
	tr.openDue(j, wall, 2*maxOpenTasks)
	for _, o := range j.Open[n:] {
		tr.restoreOccurrence(o, nil, wall)
	}
	tr.trim(j)
}

func (tr *Tracker) restoreOccurrence(o *Occurrence, m *workpb.Mark, wall time.Duration) {
	if m != nil {
		o.applyProgress(m)
	}
	for _, s := range o.Steps {
		for _, t := range s.Tasks {
			t.Attempt = tr.attemptBase
			for _, f := range t.failures {
				t.Attempt = max(t.Attempt, f.attempt)
			}
			t.Unresolved = !t.Done
		}
	}
	tr.closeIfComplete(o, wall)
}

// AdoptRun adds a run that an executor lists and the tracker does not have. It returns nil for a
// run that no job needs.
func (tr *Tracker) AdoptRun(executor string, r model.Run, now time.Duration) *Run {
	j := tr.jobs[r.Task.Job]
	if j == nil || j.IsOver() {
		return nil
	}
	t := j.Task(r.Task)
	if t == nil || t.Done {
		return nil
	}
	t.Attempt = max(t.Attempt, r.Attempt)
	if len(t.Runs) > 0 && !t.Step.AllowsCopies {
		return nil
	}
	t.Unresolved = false
	run := tr.BeginRun(t, executor, r.Attempt, now)
	tr.ConfirmRun(run, now)
	run.Percent, run.Checkpoint, run.Metric = r.Percent, r.Checkpoint, r.Metric
	if t.Step.Gang {
		t.Step.GangAttempt = max(t.Step.GangAttempt, r.Attempt)
	}
	return run
}

// ReleaseUnresolved makes the unresolved tasks of the selected jobs ready to start, and ends the
// jobs of tasks that have no attempts left. It returns the number of these tasks.
func (tr *Tracker) ReleaseUnresolved(selected func(*Job) bool, wall time.Duration) int {
	n := 0
	for _, j := range tr.active {
		if !selected(j) {
			continue
		}
		for _, o := range j.Open {
			for _, s := range o.Steps {
				for _, t := range s.Tasks {
					if t.Unresolved {
						t.Unresolved = false
						n++
						tr.failIfExhausted(t, wall)
					}
				}
			}
		}
	}
	return n
}

// LeaderlessRecord is the decoded record of a job or cancel that an entry stored while it had no
// leader.
type LeaderlessRecord struct {
	ID        string
	Spec      *model.JobSpec
	Settings  model.Queue
	Accepted  time.Duration
	Cancelled bool
}

// DecodeLeaderless decodes a record that an entry stored while it had no leader, and returns a zero
// value for any other key. It returns an ErrRecord if the record can't be decoded.
func DecodeLeaderless(key string, value []byte, decode func([]byte) (model.JobSpec, error)) (LeaderlessRecord, error) {
	id := JobID(key)
	if id == key || len(value) == 0 {
		return LeaderlessRecord{}, nil
	}
	var r workpb.Record
	if err := proto.Unmarshal(value, &r); err != nil {
		return LeaderlessRecord{}, ErrRecord.Wrap(err)
	}
	switch x := r.GetKind().(type) {
	case *workpb.Record_Work:
		spec, err := decode(x.Work.GetBody())
		if err != nil {
			return LeaderlessRecord{}, ErrRecord.Wrap(err)
		}
		return LeaderlessRecord{ID: id, Spec: &spec, Settings: settingsOf(x.Work), Accepted: time.Duration(x.Work.GetAccepted()) * time.Millisecond}, nil
	case *workpb.Record_Cancel:
		return LeaderlessRecord{ID: id, Cancelled: true}, nil
	case *workpb.Record_Mark, *workpb.Record_Ended, nil:
		return LeaderlessRecord{}, errKind(key)
	}
	return LeaderlessRecord{}, nil
}

func settingsOf(w *workpb.Work) model.Queue {
	return model.Queue{
		Name: w.GetQueue(), Service: w.GetService(), Attempts: int(w.GetAttempts()), Priority: int(w.GetPriority()),
		Slack: w.GetSlack(), Objective: time.Duration(w.GetObjective()) * time.Millisecond,
	}
}
