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
	// largeJobBytes is the estimate from which a job counts as large: some 900 tasks. Ordinary jobs have 8 to 64.
	largeJobBytes = 256 << 10
	// othersShare is the share of the limit that large jobs can't use.
	othersShare = 0.25
	// recountInterval is the least time between counts of what all jobs take.
	recountInterval = 100 * time.Millisecond
	// memoryRetry is the Retry-After time of a submission that the leader has no memory for. Jobs end
	// within seconds, and their memory is counted again at each submission.
	memoryRetry = 2 * time.Second
)

// estimateBytes returns the memory of a job with one open occurrence.
func estimateBytes(steps, tasks, payload int) int64 {
	return jobBytes + int64(steps)*stepBytes + int64(tasks)*taskBytes + int64(payload)
}

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
}

// usage is the memory that large jobs and others take, in bytes.
type usage struct{ large, others int64 }

func (u *usage) add(perOccurrence, bytes int64) {
	if perOccurrence > largeJobBytes {
		u.large += bytes
	} else {
		u.others += bytes
	}
}

// fits reports whether a job fits into a limit. Large jobs can't use othersShare of it, so that a few of them
// don't keep all others out; a large one that is alone may exceed its part.
func (u usage) fits(bytes, limit int64) bool {
	reserve := int64(othersShare * float64(limit))
	if bytes <= largeJobBytes {
		return u.others+bytes+min(u.large, limit-reserve) <= limit
	}
	alone := u.large == 0 && u.others <= reserve
	return alone || u.large+bytes <= limit-reserve && u.large+u.others+bytes <= limit
}

// add adds an accepted job.
func (m *jobMemory) add(j *track.Job) {
	n := m.of(j)
	m.used.add(n, n*int64(max(1, len(j.Open))))
}

// of returns the estimate of a job with one open occurrence.
func (m *jobMemory) of(j *track.Job) int64 {
	if m.perOccurrence == nil {
		m.perOccurrence = map[*track.Job]int64{}
	}
	n, ok := m.perOccurrence[j]
	if !ok {
		n = estimateBytes(len(j.Spec.Steps), j.Spec.TaskCount(), len(j.Spec.Payload))
		m.perOccurrence[j] = n
	}
	return n
}

// recount counts all active jobs, which may have ended or opened further occurrences.
func (m *jobMemory) recount(active map[string]*track.Job, now time.Duration) {
	m.used, m.countedAt = usage{}, now
	for _, j := range active {
		m.add(j)
	}
	for j := range m.perOccurrence {
		if active[j.ID] != j {
			delete(m.perOccurrence, j)
		}
	}
}

// hasMemory reports whether a job of an estimated size can be accepted besides the active ones and those that
// wait to be stored.
func (l *Leader) hasMemory(bytes int64) bool {
	limit := guard.NewLimits(l.Settings.Memory, l.Settings.MaxDescriptors).Jobs
	var waiting usage
	for _, a := range l.store.accepts {
		waiting.add(a.bytes, a.bytes)
	}
	for _, a := range l.store.inFlight {
		waiting.add(a.bytes, a.bytes)
	}
	fits := func() bool {
		u := l.memory.used
		return usage{u.large + waiting.large, u.others + waiting.others}.fits(bytes, limit)
	}
	if l.now >= l.memory.countedAt+purgeInterval || !fits() && l.now >= l.memory.countedAt+recountInterval {
		l.memory.recount(l.tracker.Active(), l.now)
	}
	return fits()
}
