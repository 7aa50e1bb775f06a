package proxy

import (
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// specOverhead is the memory of a stored specification besides its text and job.
	specOverhead = 128
	// maxUnsent is the number of outcomes that wait to be sent from which no further orders are received, and
	// unsentPause the time between checks of it. A leader has at most some thousand orders in flight to all
	// entries.
	maxUnsent   = 4096
	unsentPause = 10 * time.Millisecond
	// maxCallTime bounds one call. The longest, a poll that waits for an end, takes less than 2 s.
	maxCallTime = 5 * time.Second
)

// Limits bound what an entry holds for all streams that it serves.
type Limits struct{ calls, specs *semaphore.Weighted }

// NewLimits returns limits for the number of calls in progress, each of which needs a connection, and for the bytes
// of stored specifications.
func NewLimits(calls int, specBytes int64) *Limits {
	return &Limits{calls: semaphore.NewWeighted(int64(calls)), specs: semaphore.NewWeighted(specBytes)}
}

func specSize(job, text string) int64 { return int64(len(job)+len(text)) + specOverhead }
