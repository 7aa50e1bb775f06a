package track

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// blockSize is the number of occurrences whose ends are stored in one record. Its 128 bytes are written
// again at each end of one of them.
const blockSize = 1024

// block has a bit for each of blockSize occurrences.
type block [blockSize / 64]uint64

// occurrenceSet is a set of numbers of occurrences. A schedule with a million occurrences completes most of
// them in order, so full blocks at the start take no memory. The zero value is empty.
type occurrenceSet struct {
	// full is the number of blocks at the start all of whose occurrences are in the set.
	full   int
	blocks map[int]*block
	// count is the number of occurrences in the set.
	count int
}

func (s *occurrenceSet) has(k int) bool {
	if k/blockSize < s.full {
		return true
	}
	b := s.blocks[k/blockSize]
	return b != nil && b[k%blockSize/64]&(1<<(k%64)) != 0
}

// add adds an occurrence and reports whether it was missing.
func (s *occurrenceSet) add(k int) bool {
	if s.has(k) {
		return false
	}
	n := k / blockSize
	b := s.blocks[n]
	if b == nil {
		b = &block{}
		if s.blocks == nil {
			s.blocks = map[int]*block{}
		}
		s.blocks[n] = b
	}
	b[k%blockSize/64] |= 1 << (k % 64)
	s.count++
	for s.blocks[s.full].isFull() {
		delete(s.blocks, s.full)
		s.full++
	}
	return true
}

func (b *block) isFull() bool {
	return b != nil && !slices.ContainsFunc(b[:], func(w uint64) bool { return w != ^uint64(0) })
}

// bytes returns block n as it is stored, one bit for each occurrence, without zeros at its end.
func (s *occurrenceSet) bytes(n int) []byte {
	out := make([]byte, blockSize/8)
	if n < s.full {
		for i := range out {
			out[i] = 0xff
		}
		return out
	}
	last := 0
	if b := s.blocks[n]; b != nil {
		for i := range out {
			if out[i] = byte(b[i/8] >> (i % 8 * 8)); out[i] != 0 {
				last = i + 1
			}
		}
	}
	return out[:last]
}

// addBytes adds the occurrences below limit of block n as it was stored.
func (s *occurrenceSet) addBytes(n int, stored []byte, limit int) {
	for i, v := range stored[:min(len(stored), blockSize/8)] {
		for ; v != 0; v &= v - 1 {
			if k := n*blockSize + i*8 + bits.TrailingZeros8(v); k < limit {
				s.add(k)
			}
		}
	}
}

// maxOpenTasks bounds the tasks of the open occurrences of a job, except for a single occurrence. A
// task takes some 200 bytes, and a job can have a million occurrences that are due at once.
const maxOpenTasks = 20_000

// OpenDue opens the occurrences of a job that are due at a wall-clock time and reports whether
// there were any. While many are incomplete, later ones wait. One can always be open; hasRoom decides on
// further ones, and nil stands for no other bound.
func (tr *Tracker) OpenDue(j *Job, wall time.Duration, hasRoom func() bool) bool {
	opened := false
	mayOpen := func() bool {
		return len(j.Open) == 0 || (len(j.Open)+1)*j.Spec.TaskCount() <= maxOpenTasks && (hasRoom == nil || hasRoom())
	}
	for {
		if at, ok := j.NextDue(); !ok || at > wall {
			return opened
		}
		if !mayOpen() {
			// Occurrences whose completion was not stored when their last run ended are still open.
			n := len(j.Open)
			if tr.trim(j); len(j.Open) == n || !mayOpen() {
				return opened
			}
		}
		tr.open(j, j.nextOccurrence, wall)
		opened = true
	}
}

// MaxClockLead is how far the clock of an earlier leader may have been ahead: each of two clocks can
// be off by 5 s.
const MaxClockLead = 10 * time.Second

// OpenStarted opens the occurrence of a task that an earlier leader has started, unless it is complete. It
// may not be due yet at a wall-clock time of this process.
func (tr *Tracker) OpenStarted(id model.TaskID, wall time.Duration) {
	j := tr.jobs[id.Job]
	if j == nil || !j.Spec.Scheduled || j.IsOver() || id.Occurrence >= j.Spec.Repeats || j.due(id.Occurrence) > wall+MaxClockLead {
		return
	}
	if !j.isOpen(id.Occurrence) && !j.complete.has(id.Occurrence) {
		tr.open(j, id.Occurrence, wall)
	}
}

// open opens an occurrence of a scheduled job with what is stored of its progress. An earlier leader may have
// started its tasks.
func (tr *Tracker) open(j *Job, k int, wall time.Duration) {
	o := j.newOccurrence(k)
	for _, s := range o.Steps {
		for _, t := range s.Tasks {
			t.Attempt = j.attemptBase
		}
	}
	i, _ := j.findOpen(k)
	j.Open = slices.Insert(j.Open, i, o)
	j.unopened = max(j.unopened-1, 0)
	tr.restoreOccurrence(o, j.unopenedProgress[k])
	delete(j.unopenedProgress, k)
	if !j.unresolved {
		tr.releaseOccurrence(o, wall)
	}
}

// findOpen returns the position of an occurrence among the open ones, which are in order, and whether it is
// there.
func (j *Job) findOpen(k int) (int, bool) {
	return slices.BinarySearchFunc(j.Open, k, func(o *Occurrence, k int) int { return cmp.Compare(o.Number, k) })
}

func (j *Job) isOpen(k int) bool {
	_, ok := j.findOpen(k)
	return ok
}

// NextDue returns the Unix time at which the next occurrence of a job is due, or false if there is
// none.
func (j *Job) NextDue() (time.Duration, bool) {
	if !j.Spec.Scheduled || j.IsOver() {
		return 0, false
	}
	j.nextOccurrence = max(j.nextOccurrence, j.complete.full*blockSize)
	for j.nextOccurrence < j.Spec.Repeats && (j.complete.has(j.nextOccurrence) || j.isOpen(j.nextOccurrence)) {
		j.nextOccurrence++
	}
	if j.nextOccurrence >= j.Spec.Repeats {
		return 0, false
	}
	return j.due(j.nextOccurrence), true
}

// dueCount returns the number of occurrences that are due at a Unix time.
func (j *Job) dueCount(wall time.Duration) int {
	switch {
	case wall < j.Spec.Start:
		return 0
	case j.Spec.Period <= 0:
		return j.Spec.Repeats
	}
	return int(min((wall-j.Spec.Start)/j.Spec.Period+1, time.Duration(j.Spec.Repeats)))
}

// unopenedNeed bounds what runs of an earlier leader may need in occurrences that are not open.
func (j *Job) unopenedNeed() Left {
	if !j.unresolved || j.unopened == 0 {
		return Left{}
	}
	return occurrenceNeed(&j.Spec, j.unopened)
}

// occurrenceNeed returns what the tasks of n occurrences need.
func occurrenceNeed(spec *model.JobSpec, n int) Left {
	var out Left
	for i := range spec.Steps {
		out = out.Plus(leftBy(&Step{Step: &spec.Steps[i]}, n*spec.Steps[i].Count))
	}
	return out
}

// mayHaveOpened bounds the occurrences that an earlier leader may have had open at a wall-clock time.
func (j *Job) mayHaveOpened(wall time.Duration) int {
	return min(max(j.dueCount(wall+MaxClockLead)-j.complete.count, 0), max(maxOpenTasks/max(j.Spec.TaskCount(), 1), 1))
}
