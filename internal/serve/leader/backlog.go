package leader

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// backlogShare is the share of the memory for jobs that open occurrences of scheduled jobs take besides the
	// first one of each job. Each job has one, so that the others only let it use more of its pool at a time.
	backlogShare = 0.25
	// occurrenceBytes and openStepBytes are the memory of a further open occurrence without its steps, and of one of
	// its steps without its tasks. TestBacklogMemoryEstimate compares them with the heap.
	occurrenceBytes, openStepBytes = 160, 224
	// backlogLogInterval is the least time between log lines about occurrences that wait for memory.
	backlogLogInterval = 10 * time.Second
)

// occurrenceSize returns the memory of each further open occurrence of a job.
func occurrenceSize(s track.Size) int64 {
	return occurrenceBytes + int64(s.Steps)*openStepBytes + int64(s.Tasks)*taskBytes
}

// backlogBytes returns the memory of the open occurrences of a job besides the first one.
func backlogBytes(j *track.Job) int64 {
	if len(j.Open) <= 1 {
		return 0
	}
	return int64(len(j.Open)-1) * occurrenceSize(j.Size())
}

// openDue opens the occurrences of scheduled jobs that are due. After an outage, or with a start that lies far back,
// those of all jobs can exceed the memory: the jobs with such occurrences share what there is for them evenly, and
// no leader opens more than the smallest entry that may lead next can.
func (l *Leader) openDue() {
	var due []*track.Job
	used := int64(0)
	for _, j := range l.tracker.Active() {
		if !j.Spec.Scheduled {
			continue
		}
		used += backlogBytes(j)
		if at, ok := j.NextDue(); ok && at <= l.wall {
			due = append(due, j)
		}
	}
	if len(due) == 0 {
		return
	}
	limit, waits := int64(backlogShare*float64(l.nextLimit())), 0
	for _, j := range due {
		each, own := occurrenceSize(j.Size()), backlogBytes(j)
		hasRoom := func() bool {
			if used+each > limit || own+each > limit/int64(len(due)) {
				return false
			}
			used, own = used+each, own+each
			return true
		}
		if l.tracker.OpenDue(j, l.wall, hasRoom) {
			l.planDue[l.queueOf(j).Service] = true
		}
		if at, ok := j.NextDue(); ok && at <= l.wall {
			waits++
		}
	}
	if waits > 0 && l.now >= l.memory.nextBacklogLog {
		l.memory.nextBacklogLog = l.now + backlogLogInterval
		l.Log.Info().Int("jobs", waits).Int64("used", used).Int64("limit", limit).Msg("occurrences that are due wait for earlier ones")
	}
}
