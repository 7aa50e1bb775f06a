package book

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

// Entry is one record to store. A nil Value drops the key.
type Entry struct {
	Key   string
	Value []byte
}

// Keys: the job's ID holds the job and later its end, ID/K the progress of occurrence
// K, ID! a cancel, and ID~ a job that an entry stored by itself. An entry without a
// leader does not know whether the job has ended, so it must not replace its end.
const (
	markSeparator = "/"
	cancelSuffix  = "!"
	entrySuffix   = "~"
)

func markKey(id string, k int) string { return id + markSeparator + strconv.Itoa(k) }

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
	// Encoding fails only for invalid UTF-8, and every text here was decoded as UTF-8.
	out, _ := proto.Marshal(&r)
	return out
}

// WorkEntry returns the record of a job that the leader accepts.
func WorkEntry(id string, q model.Queue, body []byte, accepted time.Duration) Entry {
	return Entry{id, workValue(q, body, accepted)}
}

// LoneEntry returns the record of a job that an entry accepts without a leader.
func LoneEntry(id string, q model.Queue, body []byte, accepted time.Duration) Entry {
	return Entry{id + entrySuffix, workValue(q, body, accepted)}
}

// ForgetEntries returns the records that drop what the leader stored of a job that ended.
func ForgetEntries(id string) []Entry {
	return []Entry{{id, nil}, {id + cancelSuffix, nil}}
}

// ForgetLoneEntries returns the records that drop what entries without a leader stored of
// a job.
func ForgetLoneEntries(id string) []Entry {
	return []Entry{{id + cancelSuffix, nil}, {id + entrySuffix, nil}}
}

// JobOf returns the job of a key.
func JobOf(key string) string {
	id, _, _ := strings.Cut(key, markSeparator)
	return strings.TrimRight(id, cancelSuffix+entrySuffix)
}

func workValue(q model.Queue, body []byte, accepted time.Duration) []byte {
	return encode(&workpb.Work{
		Queue: q.Name, Accepted: accepted.Milliseconds(), Body: body, Service: q.Service,
		Attempts: uint32(q.Attempts), Priority: int32(q.Priority), Slack: q.Slack, Objective: q.Objective.Milliseconds(),
	})
}

// CancelEntry returns the record of a cancel.
func CancelEntry(id string, at time.Duration) Entry {
	return Entry{id + cancelSuffix, encode(&workpb.Cancel{At: at.Milliseconds()})}
}

// Batch is what changed since the last one.
type Batch struct {
	Entries []Entry
	ended   []*Job
}

// Take returns the changes that are not stored, and starts a new batch.
func (b *Book) Take() Batch {
	var out Batch
	for _, o := range b.dirtyOcc {
		o.dirty = false
		if !o.Job.IsOver() {
			o.Job.written[o.Number] = struct{}{}
			out.Entries = append(out.Entries, Entry{markKey(o.Job.ID, o.Number), encode(o.mark())})
		}
	}
	for _, j := range b.dirtyEnd {
		out.Entries = append(out.Entries, Entry{j.ID, encode(&workpb.Ended{
			State: uint32(j.state), At: j.at.Milliseconds(), Queue: j.Queue,
		})})
		for k := range j.written {
			out.Entries = append(out.Entries, Entry{markKey(j.ID, k), nil})
		}
		j.written = nil
		out.ended = append(out.ended, j)
	}
	b.dirtyOcc, b.dirtyEnd = nil, nil
	return out
}

// HasChanges says whether Take would return anything.
func (b *Book) HasChanges() bool { return len(b.dirtyOcc)+len(b.dirtyEnd) > 0 }

// Stored says that a batch is stored: ends in it can be shown. It returns the jobs
// whose end is shown from now on.
func (b *Book) Stored(batch Batch) []*Job {
	for _, j := range batch.ended {
		j.shown = j.state
	}
	return batch.ended
}

func (o *Occurrence) mark() *workpb.Mark {
	n := 0
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
			if t.Saved != "" {
				m.Saved = append(m.Saved, &workpb.Saved{Task: uint32(i), Value: t.Saved})
			}
		}
	}
	return m
}

func (o *Occurrence) apply(m *workpb.Mark) {
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
			all[s.GetTask()].Saved = s.GetValue()
		}
	}
	o.Job.written[o.Number] = struct{}{}
}

// Loader collects the records of all keys, in any order.
type Loader struct {
	decode func([]byte) (model.Work, error)
	work   map[string]*workpb.Work
	ended  map[string]*workpb.Ended
	cancel map[string]*workpb.Cancel
	marks  map[string]map[int]*workpb.Mark
}

// NewLoader returns a loader that decodes the bodies of jobs with decode.
func NewLoader(decode func([]byte) (model.Work, error)) *Loader {
	return &Loader{
		decode: decode, work: map[string]*workpb.Work{}, ended: map[string]*workpb.Ended{},
		cancel: map[string]*workpb.Cancel{}, marks: map[string]map[int]*workpb.Mark{},
	}
}

// Add adds one record; a later one of the same key replaces it. It returns an ErrRecord
// for a record that can't be read.
func (l *Loader) Add(key string, value []byte) error {
	id, k, isMark := strings.Cut(key, markSeparator)
	if isMark {
		n, err := strconv.Atoi(k)
		if err != nil {
			return ErrRecord.Wrap(err)
		}
		if len(value) == 0 {
			delete(l.marks[id], n)
			return nil
		}
		return l.addMark(id, n, value)
	}
	id = strings.TrimRight(key, cancelSuffix+entrySuffix)
	if len(value) == 0 {
		switch {
		case id == key:
			delete(l.work, id)
			delete(l.ended, id)
		case strings.HasSuffix(key, cancelSuffix):
			delete(l.cancel, id)
		}
		return nil
	}
	var r workpb.Record
	if err := proto.Unmarshal(value, &r); err != nil {
		return ErrRecord.Wrap(err)
	}
	switch x := r.GetKind().(type) {
	case *workpb.Record_Work:
		// An entry that stored a job by itself may have done so after its end.
		if l.ended[id] == nil && l.work[id] == nil {
			l.work[id] = x.Work
		}
	case *workpb.Record_Ended:
		l.ended[id] = x.Ended
		delete(l.work, id)
	case *workpb.Record_Cancel:
		l.cancel[id] = x.Cancel
	case *workpb.Record_Mark, nil:
		return ErrRecord.New("key %q holds another kind of record", key)
	}
	return nil
}

func (l *Loader) addMark(id string, n int, value []byte) error {
	var r workpb.Record
	if err := proto.Unmarshal(value, &r); err != nil {
		return ErrRecord.Wrap(err)
	}
	if l.marks[id] == nil {
		l.marks[id] = map[int]*workpb.Mark{}
	}
	l.marks[id][n] = r.GetMark()
	return nil
}

// Load builds the book of a new leader. Tasks that an earlier leader may have started
// are unlocated. It returns the keys of jobs that can't be read.
func (l *Loader) Load(base int, now, wall time.Duration) (*Book, []string) {
	b := New(base)
	var bad []string
	for id, e := range l.ended {
		s := model.State(e.GetState())
		b.jobs[id] = &Job{ID: id, Queue: e.GetQueue(), state: s, shown: s, at: time.Duration(e.GetAt()) * time.Millisecond}
	}
	for id, w := range l.work {
		work, err := l.decode(w.GetBody())
		if err != nil {
			bad = append(bad, id)
			continue
		}
		j := b.Accept(id, rulesOf(w), work, time.Duration(w.GetAccepted())*time.Millisecond, now)
		b.Open(j, wall)
		b.resume(j, l.marks[id], wall)
	}
	for id, c := range l.cancel {
		if b.jobs[id] != nil {
			b.Cancel(id, time.Duration(c.GetAt())*time.Millisecond)
		}
	}
	return b, bad
}

// resume applies the marks of a job and makes the rest unlocated.
func (b *Book) resume(j *Job, marks map[int]*workpb.Mark, wall time.Duration) {
	// Occurrences can have marks that are not due by this entry's clock.
	for k := range marks {
		for j.next <= k && j.next < j.Work.Repeats {
			j.Open = append(j.Open, j.newOccurrence(j.next))
			j.next++
		}
	}
	j.begun = len(marks) > 0
	for _, o := range slices.Clone(j.Open) {
		if m := marks[o.Number]; m != nil {
			o.apply(m)
		}
		for _, s := range o.Steps {
			for _, t := range s.Tasks {
				t.Attempt = b.base
				for _, f := range t.failures {
					t.Attempt = max(t.Attempt, f.attempt)
				}
				t.Unlocated = !t.Done
			}
		}
		b.close(o, wall)
	}
	b.trim(j)
}

// Adopt takes over a run that an executor lists and the book does not have. It returns
// nil for a run that nothing needs any more.
func (b *Book) Adopt(executor string, r model.Run, now time.Duration) *Run {
	j := b.jobs[r.Task.Job]
	if j == nil || j.IsOver() {
		return nil
	}
	t := j.Task(r.Task)
	if t == nil || t.Done {
		return nil
	}
	t.Attempt = max(t.Attempt, r.Attempt)
	if len(t.Runs) > 0 && !t.Step.Copies {
		return nil
	}
	t.Unlocated = false
	run := b.Begin(t, executor, r.Attempt, now)
	b.Confirm(run, now)
	run.Percent, run.Saved, run.Tail = r.Percent, r.Saved, r.Tail
	if t.Step.Gang {
		t.Step.GangAttempt = max(t.Step.GangAttempt, r.Attempt)
	}
	return run
}

// Release makes the unlocated tasks of a service's jobs waiting, and ends the jobs of
// those that failed as often as they may. It returns how many there were.
func (b *Book) Release(of func(*Job) bool, wall time.Duration) int {
	n := 0
	for _, j := range b.active {
		if !of(j) {
			continue
		}
		for _, o := range j.Open {
			for _, s := range o.Steps {
				for _, t := range s.Tasks {
					if t.Unlocated {
						t.Unlocated = false
						n++
						b.giveUp(t, wall)
					}
				}
			}
		}
	}
	return n
}

// Lone is a record of an entry that had no leader.
type Lone struct {
	ID        string
	Work      *model.Work
	Rules     model.Queue
	Accepted  time.Duration
	Cancelled bool
}

// DecodeLone decodes a record if an entry stored it by itself. It returns an ErrRecord.
func DecodeLone(key string, value []byte, decode func([]byte) (model.Work, error)) (Lone, error) {
	id := JobOf(key)
	if id == key || len(value) == 0 {
		return Lone{}, nil
	}
	var r workpb.Record
	if err := proto.Unmarshal(value, &r); err != nil {
		return Lone{}, ErrRecord.Wrap(err)
	}
	switch x := r.GetKind().(type) {
	case *workpb.Record_Work:
		w, err := decode(x.Work.GetBody())
		if err != nil {
			return Lone{}, ErrRecord.Wrap(err)
		}
		return Lone{ID: id, Work: &w, Rules: rulesOf(x.Work), Accepted: time.Duration(x.Work.GetAccepted()) * time.Millisecond}, nil
	case *workpb.Record_Cancel:
		return Lone{ID: id, Cancelled: true}, nil
	case *workpb.Record_Mark, *workpb.Record_Ended, nil:
		return Lone{}, ErrRecord.New("key %q holds another kind of record", key)
	}
	return Lone{}, nil
}

func rulesOf(w *workpb.Work) model.Queue {
	return model.Queue{
		Name: w.GetQueue(), Service: w.GetService(), Attempts: int(w.GetAttempts()), Priority: int(w.GetPriority()),
		Slack: w.GetSlack(), Objective: time.Duration(w.GetObjective()) * time.Millisecond,
	}
}
