package leader

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// jobBytes, stepBytes and taskBytes are the memory of an accepted job without its steps, of a step without
	// its tasks, and of a task with one run. TestJobMemoryEstimate compares them with the heap.
	jobBytes, stepBytes, taskBytes = 2 << 10, 512, 272
	// largeJobBytes is the estimate from which a job counts as large: some 220 tasks. Ordinary jobs have 8 to 64
	// and take up to 27 KB.
	largeJobBytes = 64 << 10
	// parkedBytes is the memory of a parked job besides its submission.
	parkedBytes = 1 << 10
	// expandInterval is the time between attempts to expand parked jobs, and expandTime the time that one takes at
	// most, besides the last job. loadExpandTime is the same when the state was loaded: nothing can start before.
	expandInterval, expandTime, loadExpandTime = 100 * time.Millisecond, 5 * time.Millisecond, 1 * time.Second
	// othersShare is the share of the limit that large jobs can't use.
	othersShare = 0.25
	// recountInterval is the least time between counts of what all jobs take.
	recountInterval = 100 * time.Millisecond
	// cancelShare is the share of the memory for jobs that cancels of unknown jobs take, and cancelBytes the memory
	// of one. A client cancels what it has submitted, so that few of the jobs are unknown.
	cancelShare, cancelBytes = 1.0 / 16, 160
	// memoryRetry is the Retry-After time of a submission that the leader has no memory for. Jobs end
	// within seconds, and their memory is counted again at each submission.
	memoryRetry = 2 * time.Second
)

// estimateBytes returns the memory of a job with one open occurrence.
func estimateBytes(steps, tasks, payload int) int64 {
	return jobBytes + int64(steps)*stepBytes + int64(tasks)*taskBytes + int64(payload)
}

func sizeBytes(s track.Size) int64 { return estimateBytes(s.Steps, s.Tasks, s.Payload) }

// bodyBytes estimates the memory of a job by the body of its submission, with the body itself.
func bodyBytes(body []byte) int64 {
	s, err := platform.SizeOfJob(body)
	if err != nil {
		s = platform.JobSize{} // it will not be accepted
	}
	return estimateBytes(s.Steps, s.Tasks, len(body))
}

// IsLargeJob reports whether the body of a submission describes a job that counts as large.
func IsLargeJob(body []byte) bool { return bodyBytes(body) > largeJobBytes }

// jobMemory counts the memory that active jobs take.
type jobMemory struct {
	// perOccurrence is the estimate of each job with one open occurrence.
	perOccurrence map[*track.Job]int64
	used          usage
	countedAt     time.Duration
	nextExpand    time.Duration // when parked jobs are expanded next
	// nextBacklogLog is when occurrences that wait are logged again.
	nextBacklogLog time.Duration
}

// usage is the memory that large jobs and others take with one open occurrence, that of further open occurrences, and
// what all jobs take in the form in which they are stored, in bytes.
type usage struct{ large, others, backlog, stored int64 }

// storedBytes is the memory of a job in the form in which it is stored.
func storedBytes(body int) int64 { return parkedBytes + int64(body) }

func (u *usage) add(bytes int64) {
	if bytes > largeJobBytes {
		u.large += bytes
	} else {
		u.others += bytes
	}
}

// total returns the memory of all jobs as they are.
func (u usage) total() int64 { return u.large + u.others + u.backlog }

// fits reports whether a job fits into a limit. Large jobs and further occurrences can't use othersShare of it, so
// that a few of them don't keep all others out; a large one that is alone may exceed its part.
func (u usage) fits(bytes, limit int64) bool {
	reserve := int64(othersShare * float64(limit))
	if bytes <= largeJobBytes {
		return u.others+bytes+min(u.large+u.backlog, limit-reserve) <= limit
	}
	alone := u.large == 0 && u.others <= reserve
	return alone || u.large+u.backlog+bytes <= limit-reserve && u.total()+bytes <= limit
}

// fitsNext reports whether a job fits into the limit of the smallest entry that may lead next. That entry can
// hold all jobs as they are stored, and the steps and tasks of the large ones, even if all of them have runs.
func (u usage) fitsNext(bytes, stored, limit int64) bool {
	if u.stored > 0 && u.stored+stored > limit {
		return false
	}
	return bytes <= largeJobBytes || u.large == 0 || u.large+bytes <= limit-int64(othersShare*float64(limit))
}

// add adds an accepted job.
func (m *jobMemory) add(j *track.Job) {
	m.used.add(m.of(j))
	m.used.backlog += backlogBytes(j)
	m.used.stored += storedBytes(max(j.BodyBytes, j.Size().Payload))
}

// of returns the estimate of a job with one open occurrence.
func (m *jobMemory) of(j *track.Job) int64 {
	if m.perOccurrence == nil {
		m.perOccurrence = map[*track.Job]int64{}
	}
	n, ok := m.perOccurrence[j]
	if !ok {
		n = sizeBytes(j.Size())
		m.perOccurrence[j] = n
	}
	return n
}

// recount counts all active jobs, which may have ended or opened further occurrences, and the parked ones with
// the steps and tasks that they will have.
func (m *jobMemory) recount(tr *track.Tracker, now time.Duration) {
	m.used, m.countedAt = usage{}, now
	for _, j := range tr.Active() {
		m.add(j)
	}
	for _, j := range tr.Parked() {
		m.add(j)
	}
	for j := range m.perOccurrence {
		if j.IsOver() {
			delete(m.perOccurrence, j)
		}
	}
}

// hasMemory reports whether a job of an estimated size can be accepted besides the active ones and those that
// wait to be stored.
func (l *Leader) hasMemory(bytes int64, body int) bool {
	limit, next := l.jobLimit(), l.nextLimit()
	var waiting usage
	wait := func(a *submitRequest) {
		waiting.add(a.bytes)
		waiting.stored += storedBytes(len(a.Body))
	}
	for _, a := range l.store.accepts {
		wait(a)
	}
	for _, a := range l.store.inFlight {
		wait(a)
	}
	fits := func() bool {
		u := l.memory.used
		u = usage{u.large + waiting.large, u.others + waiting.others, u.backlog, u.stored + waiting.stored}
		return u.fits(bytes, limit) && u.fitsNext(bytes, storedBytes(body), next)
	}
	if l.now >= l.memory.countedAt+purgeInterval || !fits() && l.now >= l.memory.countedAt+recountInterval {
		l.memory.recount(l.tracker, l.now)
	}
	return fits()
}

// hasRoom reports whether a job that an entry stored while it had no leader fits besides the others.
func (l *Leader) hasRoom(bytes int64) bool {
	fits := func() bool { return l.memory.used.total()+bytes <= l.jobLimit() }
	// As in hasMemory: without submissions nothing else counts again.
	if l.now >= l.memory.countedAt+purgeInterval || !fits() && l.now >= l.memory.countedAt+recountInterval {
		l.memory.recount(l.tracker, l.now)
	}
	return fits()
}

// jobLimit returns the memory for accepted jobs.
func (l *Leader) jobLimit() int64 {
	return guard.NewLimits(l.Settings.Memory, l.Settings.MaxDescriptors).Jobs
}

// nextLimit returns the memory for accepted jobs of the smallest entry that may lead next. What entries say is not
// authenticated, and can't lower it below that of the smallest instance.
func (l *Leader) nextLimit() int64 {
	if l.SmallestMemory == nil {
		return l.jobLimit()
	}
	m := l.SmallestMemory()
	if m == 0 {
		return l.jobLimit()
	}
	return min(l.jobLimit(), guard.NewLimits(max(m, guard.DefaultMemory), 0).Jobs)
}

// room is the memory in which jobs are expanded.
type room struct {
	// used is what all jobs take as they are, parked or expanded.
	used, limit int64
	// expanded is what those take that are not parked.
	expanded usage
	// smallParked is the number of parked jobs that are not large. Large ones wait for them.
	smallParked int
}

// take reports whether a parked job can be expanded, and counts it then. A large one that is alone always can, and
// others while they take up to othersShare, so that jobs end even if their stored forms exceed the limit.
func (r *room) take(s track.Size) bool {
	bytes := sizeBytes(s)
	isLarge := bytes > largeJobBytes
	more := bytes - storedBytes(s.Body)
	fits := r.used+more <= r.limit
	reserve := int64(othersShare * float64(r.limit))
	if isLarge {
		alone := r.expanded.large == 0 && r.expanded.others <= reserve
		fits = r.smallParked == 0 && (alone || fits && r.expanded.large+bytes <= r.limit-reserve)
	} else {
		fits = fits || r.expanded.others+bytes <= reserve
	}
	if fits {
		r.used += more
		r.expanded.add(bytes)
		if !isLarge {
			r.smallParked--
		}
	}
	return fits
}

// loadRoom returns the room for stored jobs, none of which is expanded. Large ones are expanded after the load.
func (l *Leader) loadRoom(jobs, bytes int) *room {
	return &room{used: int64(jobs)*parkedBytes + int64(bytes), limit: l.jobLimit(), smallParked: jobs}
}

// expandParked expands the parked jobs that there is room for since others have ended, for a time.
func (l *Leader) expandParked(limit time.Duration) {
	jobs := l.tracker.Parked()
	if len(jobs) == 0 || l.now < l.memory.nextExpand {
		return
	}
	l.memory.nextExpand = l.now + expandInterval
	r := &room{limit: l.jobLimit()}
	for _, j := range l.tracker.Active() {
		r.expanded.add(l.memory.of(j))
		r.expanded.backlog += backlogBytes(j)
	}
	r.used = r.expanded.total()
	var large []*track.Job
	small := make([]*track.Job, 0, len(jobs))
	for _, j := range jobs {
		r.used += storedBytes(j.Size().Body)
		if l.memory.of(j) > largeJobBytes {
			large = append(large, j)
		} else {
			small = append(small, j)
		}
	}
	r.smallParked = len(small)
	end := l.Clock.Now() + limit
	for _, j := range append(small, large...) {
		if l.Clock.Now() >= end {
			break
		}
		if r.take(j.Size()) {
			l.tracker.Expand(j.ID, l.wall)
		}
	}
}

// onExpanded lets the tasks of expanded jobs start, once the runs of earlier leaders are known.
func (l *Leader) onExpanded() {
	n := 0
	for _, j := range l.tracker.TakeExpanded() {
		if j.IsOver() {
			continue
		}
		n++
		l.allResolved = false
		if l.sharesApply(j.Account) {
			l.countStored(j, j.Excess) // its token was taken when it was parked
		}
		l.recordArrival(j)
		l.planDue[l.queueOf(j).Service] = true
	}
	if n > 0 {
		l.Log.Info().Int("jobs", n).Int("left", len(l.tracker.Parked())).Msg("jobs that were put off may start")
	}
}
