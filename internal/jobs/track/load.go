package track

import (
	"maps"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// Loader collects the records of all keys, in any order.
type Loader struct {
	decode   func([]byte) (model.JobSpec, error)
	jobs     map[string]*workpb.Work
	ended    map[string]*workpb.Ended
	cancels  map[string]*workpb.Cancel
	progress map[string]map[progressID]*workpb.Mark
}

// NewLoader returns a loader that decodes job bodies with decode.
func NewLoader(decode func([]byte) (model.JobSpec, error)) *Loader {
	return &Loader{
		decode: decode, jobs: map[string]*workpb.Work{}, ended: map[string]*workpb.Ended{},
		cancels: map[string]*workpb.Cancel{}, progress: map[string]map[progressID]*workpb.Mark{},
	}
}

// Add adds one record, which replaces an earlier one of the same key. It returns an ErrRecord for a
// record that can't be decoded.
func (l *Loader) Add(key string, value []byte) error {
	id, number, isProgress := strings.Cut(key, progressSeparator)
	if isProgress {
		p, err := parseProgressID(number)
		if err != nil {
			return err
		}
		if len(value) == 0 {
			delete(l.progress[id], p)
			return nil
		}
		return l.addProgress(id, p, value)
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
		// An entry without a leader may have stored the job after its end, or a submission of the same ID from
		// another account after the leader had stored the job.
		if l.ended[id] == nil && (l.jobs[id] == nil || key == id) {
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

func (l *Loader) addProgress(id string, p progressID, value []byte) error {
	var r workpb.Record
	if err := proto.Unmarshal(value, &r); err != nil {
		return ErrRecord.Wrap(err)
	}
	if r.GetMark() == nil {
		return errKind(p.key(id))
	}
	if l.progress[id] == nil {
		l.progress[id] = map[progressID]*workpb.Mark{}
	}
	l.progress[id][p] = r.GetMark()
	return nil
}

// Load builds the tracker of a new leader. Tasks that an earlier leader may have started are
// unresolved. It returns the IDs of jobs that can't be decoded.
func (l *Loader) Load(base int, now, wall time.Duration, options ...Option) (*Tracker, []string) {
	c := *l
	c.jobs, c.progress = maps.Clone(l.jobs), maps.Clone(l.progress)
	tr, bad := c.LoadWithin(func(Size) bool { return true }, base, now, wall, options...)
	for _, j := range tr.active {
		tr.OpenDue(j, wall, nil)
	}
	return tr, bad
}

// LoadWithin is Load for a leader that has no room for all jobs: others are parked. It releases what the loader has
// and can be called once.
func (l *Loader) LoadWithin(room Room, base int, now, wall time.Duration, options ...Option) (*Tracker, []string) {
	tr := New(base, options...)
	var bad []string
	for id, e := range l.ended {
		s := model.State(e.GetState())
		j := &Job{ID: id, Queue: e.GetQueue(), Account: e.GetAccount(), state: s, visible: s, endedAt: millis(e.GetAt())}
		tr.jobs[id] = j
		tr.loadLeft(j, e, wall)
	}
	tr.decode = l.decode
	for _, id := range l.order() {
		w, progress := l.jobs[id], l.progress[id]
		// Stored forms are released one by one, so that they are not held besides the tasks of all jobs.
		delete(l.jobs, id)
		delete(l.progress, id)
		spec, err := l.decode(w.GetBody())
		if err != nil {
			bad = append(bad, id)
			continue
		}
		if !room(sizeOf(&spec, len(w.GetBody()))) {
			tr.park(id, w, &spec, progress, now, wall)
			continue
		}
		spec.Account = w.GetAccount()
		j := tr.Accept(id, settingsOf(w), spec, millis(w.GetAccepted()), now)
		j.BodyBytes = len(w.GetBody())
		tr.restoreJob(j, progress, wall)
	}
	for id, c := range l.cancels {
		// The job of a cancel may still be stored without a leader.
		tr.Cancel(id, millis(c.GetAt()))
	}
	return tr, bad
}

// progressParts are the stored parts of the progress of an occurrence.
type progressParts map[progressID]*workpb.Mark

// restoreJob applies the stored progress of a job and makes the tasks that remain unresolved. Occurrences of a
// scheduled job are opened by OpenDue and OpenStarted, as there is room for them.
func (tr *Tracker) restoreJob(j *Job, progress map[progressID]*workpb.Mark, wall time.Duration) {
	partTasks := 0
	stored := map[int]progressParts{}
	for id, m := range progress {
		j.storedProgress[id] = struct{}{}
		j.begun = j.begun || showsBegun(m)
		for _, s := range m.GetServices() {
			if j.services == nil {
				j.services = map[string]bool{}
			}
			j.services[s] = true
		}
		if id.isBlock {
			j.complete.addBytes(id.occurrence, m.GetDone(), j.Spec.Repeats)
			continue
		}
		if stored[id.occurrence] == nil {
			stored[id.occurrence] = progressParts{}
		}
		stored[id.occurrence][id] = m
		partTasks = max(partTasks, id.tasks)
	}
	j.evidence.succeeded = j.complete.count > 0
	j.layout = newProgressLayout(tr.recordBytes, j.Spec.TaskCount(), j.maxFailures(), partTasks)
	j.unresolved, j.attemptBase = true, tr.attemptBase
	for _, o := range j.Open {
		tr.restoreOccurrence(o, stored[o.Number])
		tr.closeIfComplete(o, wall)
	}
	if !j.Spec.Scheduled || j.IsOver() {
		return
	}
	for k, parts := range stored {
		switch {
		case k >= j.Spec.Repeats || j.complete.has(k):
			delete(stored, k)
		case parts.isComplete(j.Spec.TaskCount()):
			// Earlier versions stored complete occurrences one by one.
			j.evidence.succeeded = true
			j.complete.add(k)
			delete(stored, k)
		}
	}
	j.unopenedProgress, j.unopened = stored, j.mayHaveOpened(wall)
	if j.complete.count == j.Spec.Repeats {
		tr.setFinal(j, model.Complete, wall)
	}
}

// isComplete reports whether the stored parts show that all tasks of an occurrence are done.
func (p progressParts) isComplete(tasks int) bool {
	done := make([]byte, (tasks+7)/8)
	for _, m := range p {
		for i, v := range m.GetDone()[:min(len(m.GetDone()), len(done))] {
			done[i] |= v
		}
	}
	for i := range tasks {
		if done[i/8]&(1<<(i%8)) == 0 {
			return false
		}
	}
	return true
}

// showsBegun reports whether a stored part of the progress of a job shows that a task has started.
func showsBegun(m *workpb.Mark) bool { return m.GetBegun() || len(m.GetServices()) == 0 }

// restoreOccurrence applies the stored progress of an open occurrence. Tasks that remain are unresolved.
func (tr *Tracker) restoreOccurrence(o *Occurrence, stored progressParts) {
	j := o.Job
	for id, m := range stored {
		tr.applyProgress(o, id, m)
	}
	if o.Left == 0 {
		o.dirtyParts = nil // the failures of a complete occurrence are not needed
	}
	for _, s := range o.Steps {
		for _, t := range s.Tasks {
			t.Attempt = j.attemptBase
			for _, f := range t.failures {
				t.Attempt = max(t.Attempt, f.attempt)
			}
			t.Unresolved = !t.Done
		}
	}
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
	// Before its progress: the checkpoint may be much older.
	tr.ObserveCheckpoint(run, r.Checkpoint)
	run.Percent, run.Metric, run.Adopted = r.Percent, r.Metric, true
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
		j.unresolved = false
		for _, o := range j.Open {
			n += tr.releaseOccurrence(o, wall)
		}
	}
	return n
}

// releaseOccurrence makes the unresolved tasks of an occurrence ready to start, and ends the job of a task that
// has no attempts left. It returns the number of these tasks.
func (tr *Tracker) releaseOccurrence(o *Occurrence, wall time.Duration) int {
	n := 0
	for _, s := range o.Steps {
		for _, t := range s.Tasks {
			if t.Unresolved {
				t.Unresolved = false
				n++
				tr.failIfExhausted(t, wall)
			}
		}
	}
	return n
}
