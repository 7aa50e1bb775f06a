package track

import (
	"maps"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"

	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// progressID identifies a record of the progress of a job. The records of an occurrence hold the failures
// and checkpoints of its tasks in parts of equally many tasks, because one record for all of them could be larger
// than the store accepts. Part 0 also holds which tasks are done, in one record, so that the members of a gang
// are done together.
//
// The complete occurrences of a scheduled job are stored in blocks instead, and their own records deleted: a record
// for each would let the memory of the next leader grow with the age of the schedule.
type progressID struct {
	// occurrence is the number of the block if isBlock is set.
	occurrence, part int
	// tasks is the number of tasks in a part, 0 for part 0.
	tasks   int
	isBlock bool
}

// key returns the key of the record. That of part 0 has only the number of the occurrence, as in earlier
// versions, which knew no other parts.
func (p progressID) key(job string) string {
	if p.isBlock {
		return job + progressSeparator + blockPrefix + strconv.Itoa(p.occurrence)
	}
	key := job + progressSeparator + strconv.Itoa(p.occurrence)
	if p.part > 0 {
		key += progressSeparator + strconv.Itoa(p.part) + progressSeparator + strconv.Itoa(p.tasks)
	}
	return key
}

// blockPrefix precedes the number of a block of complete occurrences in its key.
const blockPrefix = "complete" + progressSeparator

// maxPartNumber bounds the numbers of parts, their tasks and blocks, so that products of them don't overflow.
const maxPartNumber = math.MaxInt32

// parseProgressID parses the end of a key after the job's ID. It returns an ErrRecord.
func parseProgressID(s string) (progressID, error) {
	var numbers []int
	s, isBlock := strings.CutPrefix(s, blockPrefix)
	for text := range strings.SplitSeq(s, progressSeparator) {
		n, err := strconv.Atoi(text)
		if err != nil {
			return progressID{}, ErrRecord.Wrap(err)
		}
		numbers = append(numbers, n)
	}
	switch {
	case isBlock:
		if len(numbers) == 1 && numbers[0] >= 0 && numbers[0] <= maxPartNumber {
			return progressID{occurrence: numbers[0], isBlock: true}, nil
		}
	case len(numbers) == 1 && numbers[0] >= 0:
		return progressID{occurrence: numbers[0]}, nil
	case len(numbers) == 3 && numbers[0] >= 0 && min(numbers[1], numbers[2]) > 0 && max(numbers[1], numbers[2]) <= maxPartNumber:
		return progressID{occurrence: numbers[0], part: numbers[1], tasks: numbers[2]}, nil
	}
	return progressID{}, errKind(s)
}

const (
	// defaultRecordBytes is the size of the largest record that the store accepts, unless an option says
	// otherwise.
	defaultRecordBytes = 256 << 10
	// failureShare and savedShare are the shares of a record, as divisors, for failures and checkpoints. What
	// is left holds a bit for each task, 12.5 KB at most, and the names of services.
	failureShare = 4
	savedShare   = 2
	// failureBytes is the size of a failure in a record, and savedBytes that of a checkpoint besides its value.
	failureBytes = 14
	savedBytes   = 12
)

// progressLayout says how the progress of an occurrence is divided into records. Its zero value is not valid.
type progressLayout struct {
	// tasks is the number of tasks in a part.
	tasks int
	// failures is the largest number of failures of a task that is stored, the latest ones.
	failures int
	// saved bounds the bytes of checkpoints in a part. One that is left out costs repeated work after a change of
	// the leader.
	saved int
}

// newProgressLayout returns the layout for a job of so many tasks an occurrence, each of which may fail so often,
// with records of at most recordBytes. partTasks is the number of tasks in a part if parts are stored, 0 otherwise:
// tasks must not change their part then, since a batch may be stored in part.
func newProgressLayout(recordBytes, tasks, attempts, partTasks int) progressLayout {
	most := max(recordBytes/failureShare/failureBytes, 1)
	l := progressLayout{tasks: partTasks, failures: min(attempts, most)}
	if l.tasks == 0 {
		l.tasks = max(most/l.failures, 1)
	}
	l.saved = recordBytes / savedShare / l.parts(tasks)
	return l
}

func (o *Occurrence) progressID(part int) progressID {
	if part == 0 {
		return progressID{occurrence: o.Number}
	}
	return progressID{occurrence: o.Number, part: part, tasks: o.Job.layout.tasks}
}

// parts returns the number of parts for a number of tasks.
func (l progressLayout) parts(tasks int) int { return max((tasks+l.tasks-1)/l.tasks, 1) }

// part returns the part that holds the failures and the checkpoint of a task.
func (t *Task) part() int { return t.owner().index() / t.Step.Occ.Job.layout.tasks }

// markDirty includes a part of the progress of an occurrence in the next batch.
func (tr *Tracker) markDirty(o *Occurrence, part int) {
	if o.Job.IsOver() {
		return
	}
	if len(o.dirtyParts) == 0 {
		o.dirtyParts = map[int]struct{}{}
		tr.dirtyOcc = append(tr.dirtyOcc, o)
	}
	o.dirtyParts[part] = struct{}{}
}

// takeProgress returns the records of the changed parts of an occurrence. Part 0 comes after those that take over
// what an earlier version stored in it.
func (o *Occurrence) takeProgress() []Record {
	var out, deletions []Record
	stored := o.Job.storedProgress
	for _, part := range slices.Backward(slices.Sorted(maps.Keys(o.dirtyParts))) {
		id := o.progressID(part)
		m := o.progress(part)
		if part == 0 || len(m.GetFailed())+len(m.GetSaved()) > 0 {
			stored[id] = struct{}{}
			out = append(out, Record{id.key(o.Job.ID), encode(m)})
		} else if _, ok := stored[id]; ok {
			delete(stored, id)
			deletions = append(deletions, Record{id.key(o.Job.ID), nil})
		}
	}
	o.dirtyParts = nil
	return append(out, deletions...)
}

// completeBlock identifies a block of complete occurrences of a job.
type completeBlock struct {
	job    *Job
	number int
}

// record returns the record of a block, which replaces the records of its occurrences.
func (b completeBlock) record() Record {
	id := progressID{occurrence: b.number, isBlock: true}
	b.job.storedProgress[id] = struct{}{}
	return Record{id.key(b.job.ID), encode(&workpb.Mark{Done: b.job.complete.bytes(b.number), Services: b.job.sortedServices(), Begun: true})}
}

// dropProgress returns the deletions of what is stored of an occurrence.
func (o *Occurrence) dropProgress() []Record {
	o.dirtyParts = nil
	var out []Record
	for part := range o.Job.layout.parts(o.Job.Spec.TaskCount()) {
		id := o.progressID(part)
		if _, ok := o.Job.storedProgress[id]; ok {
			delete(o.Job.storedProgress, id)
			out = append(out, Record{id.key(o.Job.ID), nil})
		}
	}
	return out
}

func (j *Job) sortedServices() []string { return slices.Sorted(maps.Keys(j.services)) }

// progress returns a part of the progress.
func (o *Occurrence) progress(part int) *workpb.Mark {
	m := &workpb.Mark{}
	if part == 0 {
		m.Done, m.Services, m.Begun = o.doneBits(), o.Job.sortedServices(), o.Job.begun
	}
	layout, saved := o.Job.layout, 0
	for _, s := range o.Steps {
		from := min(max(part*layout.tasks-s.firstIndex, 0), len(s.Tasks))
		to := min(max((part+1)*layout.tasks-s.firstIndex, 0), len(s.Tasks))
		for _, t := range s.Tasks[from:to] {
			i := uint32(t.index())
			// Failures of tasks that are done stay: a batch may be stored without part 0, which says that they are.
			for _, f := range t.failures[max(len(t.failures)-layout.failures, 0):] {
				m.Failed = append(m.Failed, &workpb.Failure{Task: i, Attempt: uint32(f.attempt)})
			}
			if t.Done || t.Checkpoint == "" {
				continue
			}
			if saved += savedBytes + len(t.Checkpoint); saved <= layout.saved {
				m.Saved = append(m.Saved, &workpb.Saved{Task: i, Value: t.Checkpoint})
			}
		}
	}
	return m
}

// doneBits returns a bit for each task, in the order of the steps.
func (o *Occurrence) doneBits() []byte {
	out := make([]byte, (o.Job.Spec.TaskCount()+7)/8)
	for _, s := range o.Steps {
		for _, t := range s.Tasks {
			if t.Done {
				i := t.index()
				out[i/8] |= 1 << (i % 8)
			}
		}
	}
	return out
}

// taskAt returns the task at a position among all tasks, or nil if there is none. It is called for each task, and a
// job can have 20,000 steps.
func (o *Occurrence) taskAt(i int) *Task {
	n := sort.Search(len(o.Steps), func(n int) bool { return i < o.Steps[n].firstIndex+len(o.Steps[n].Tasks) })
	if n == len(o.Steps) {
		return nil
	}
	return o.Steps[n].Tasks[i-o.Steps[n].firstIndex]
}

// applyProgress applies a stored part. Part 0 of an earlier version, or of a store with another limit, holds tasks
// of other parts, which are stored again where they belong.
func (tr *Tracker) applyProgress(o *Occurrence, id progressID, m *workpb.Mark) {
	for i, bits := range m.GetDone() {
		for b := range 8 {
			if bits&(1<<b) == 0 {
				continue
			}
			if t := o.taskAt(8*i + b); t != nil && !t.Done {
				t.Done = true
				o.Job.evidence.succeeded = true
				t.Step.Left--
				o.Left--
			}
		}
	}
	// ownerAt returns the owner of a task in the record, nil if there is no such task. A task of another part is
	// included in the next batch there, and left out here.
	ownerAt := func(i uint32) *Task {
		t := o.taskAt(int(i))
		if t == nil {
			return nil
		}
		if p := t.part(); p != id.part {
			tr.markDirty(o, p)
			tr.markDirty(o, id.part)
		}
		return t.owner()
	}
	for _, f := range m.GetFailed() {
		if t := ownerAt(f.GetTask()); t != nil && !t.hasFailed(int(f.GetAttempt())) {
			t.failures = append(t.failures, failure{int(f.GetAttempt()), true})
		}
	}
	for _, s := range m.GetSaved() {
		// Earlier versions stored one for each member of a gang; any of them is valid for all.
		if t := ownerAt(s.GetTask()); t != nil && (t.Checkpoint == "" || t.part() == id.part) {
			t.Checkpoint = s.GetValue()
		}
	}
}

// hasFailed reports whether a failure of an attempt is known.
func (t *Task) hasFailed(attempt int) bool {
	return slices.ContainsFunc(t.failures, func(f failure) bool { return f.attempt == attempt })
}
