package place

import (
	"container/heap"
	"math/bits"
	"slices"
	"time"
)

// status is the state of a job.
type status uint8

const (
	queued  status = iota
	waiting        // for the preemption of other jobs on its worker
	offered
	running
	ended
)

// job is one job with its state.
type job struct {
	Job
	team   *team
	stats  *kindStats
	seq    uint64
	status status
	bucket *bucket
	worker *worker
	// allocated is its allocation from its worker and its team's quota.
	allocated Amount
	token     uint64
	startedAt time.Duration
	// commandKind is the last command for the job. commandPending is set until it is done.
	commandKind    CommandKind
	commandPending bool
	throttled      bool
	cancelled      bool
	// failedOn holds the workers on which the job failed.
	failedOn map[*worker]bool
	// timerAt is the deadline or, for a Deferrable job, the latest start that still meets
	// it with a margin.
	timerAt  time.Duration
	hasTimer bool // the job is in the placer's timers
	// waitingSince is when jobs were preempted for this one. victims are these jobs.
	waitingSince time.Duration
	peakUse      Amount // largest reported use of this run
	victims      []*job
	escalated    bool   // stronger commands were sent
	cachedNeed   Amount // cached result of Placer.expectedNeed
	cachedFor    [2]int // stats.runs and fleetVersion of cachedNeed
}

// shape groups jobs of a team whose needs are equal within a factor of two. A bucket whose
// first job does not fit is not tried again until resources become free. Other shapes are
// still tried, so a job that fits nowhere does not block smaller ones behind it.
type shape struct {
	cores, memory, accelerators int
	length                      int
	checkpoint                  bool
	// retry is the sequence number of a job that failed before, 0 for others. Such a job
	// has a bucket of its own, because it avoids workers that other jobs could use.
	retry uint64
}

func shapeOf(j *job) shape {
	need := j.Need
	s := shape{
		cores:        bits.Len64(uint64(max(need.Cores-1, 0))),
		memory:       bits.Len64(uint64(max(need.Memory-1, 0))),
		accelerators: bits.Len64(uint64(max(need.Accelerators, 0))),
		checkpoint:   j.CanCheckpoint,
	}
	if !j.CanCheckpoint {
		s.length = bits.Len64(uint64(max(j.Length/time.Minute, 0)))
	}
	if len(j.failedOn) > 0 {
		s.retry = j.seq
	}
	return s
}

// bucket is a heap of the queued jobs of one team, urgency and shape, ordered by deadline,
// then by submission.
type bucket struct {
	shape   shape
	jobs    []*job
	removed int // elements of jobs that are not queued here any more
	// blockedEpoch is the epoch in which blockedJob was found not to fit.
	blockedEpoch uint64
	// blockedJob was the first job at that time, blockedNeed its expected need.
	blockedJob  *job
	blockedNeed Amount
}

func (q *bucket) Len() int      { return len(q.jobs) }
func (q *bucket) Swap(a, b int) { q.jobs[a], q.jobs[b] = q.jobs[b], q.jobs[a] }
func (q *bucket) Push(x any)    { q.jobs = append(q.jobs, x.(*job)) }
func (q *bucket) Less(a, b int) bool {
	return q.jobs[a].before(q.jobs[b])
}

// Pop removes and returns the last element.
func (q *bucket) Pop() any {
	n := len(q.jobs) - 1
	j := q.jobs[n]
	q.jobs[n] = nil
	q.jobs = q.jobs[:n]
	return j
}

func (j *job) before(o *job) bool {
	a, b := j.Deadline, o.Deadline
	if a == 0 {
		a = never
	}
	if b == 0 {
		b = never
	}
	if a != b {
		return a < b
	}
	return j.seq < o.seq
}

// head returns the first job that is still queued here, or nil.
func (q *bucket) head() *job {
	for len(q.jobs) > 0 {
		j := q.jobs[0]
		if q.contains(j) {
			return j
		}
		heap.Pop(q)
		q.removed--
	}
	return nil
}

// contains reports whether a job is still queued in the bucket.
func (q *bucket) contains(j *job) bool {
	return j.status == queued && j.bucket == q && !j.cancelled
}

// noteRemoved counts a job that left the queue. It deletes all such jobs from the heap once
// they are more than half of it, so that a cancellation takes constant time on average.
func (q *bucket) noteRemoved() {
	q.removed++
	if 2*q.removed <= len(q.jobs) {
		return
	}
	live := q.jobs[:0]
	for _, j := range q.jobs {
		if q.contains(j) {
			live = append(live, j)
		}
	}
	clear(q.jobs[len(live):])
	q.jobs = live
	q.removed = 0
	heap.Init(q)
}

// classQueue holds the queued jobs of one team and urgency.
type classQueue struct {
	buckets map[shape]*bucket
	order   []*bucket
	count   int
	// blockedEpoch is the epoch in which no bucket was found to fit. minNeed is the
	// minimum, for each resource, of the needs of their first jobs.
	blockedEpoch uint64
	minNeed      Amount
}

// remove removes a bucket.
func (c *classQueue) remove(q *bucket) {
	delete(c.buckets, q.shape)
	c.order = slices.DeleteFunc(c.order, func(x *bucket) bool { return x == q })
}

// compact removes empty buckets and updates minNeed from the others.
func (c *classQueue) compact() {
	c.minNeed = Amount{1 << 62, 1 << 62, 1 << 62}
	c.order = slices.DeleteFunc(c.order, func(q *bucket) bool {
		if q.head() == nil {
			delete(c.buckets, q.shape)
			return true
		}
		c.minNeed.Cores = min(c.minNeed.Cores, q.blockedNeed.Cores)
		c.minNeed.Memory = min(c.minNeed.Memory, q.blockedNeed.Memory)
		c.minNeed.Accelerators = min(c.minNeed.Accelerators, q.blockedNeed.Accelerators)
		return false
	})
}

// team is one team with its allocation and queues.
type team struct {
	Team
	allocated Amount
	queues    [urgencyClasses]classQueue
	kinds     map[string]*kindStats
}

func (t *team) push(j *job) *bucket {
	c := &t.queues[j.Urgency]
	s := shapeOf(j)
	q := c.buckets[s]
	if q == nil {
		if c.buckets == nil {
			c.buckets = make(map[shape]*bucket)
		}
		q = &bucket{shape: s}
		c.buckets[s] = q
		c.order = append(c.order, q)
	}
	heap.Push(q, j)
	c.blockedEpoch = 0
	j.bucket = q
	j.status = queued
	return q
}

// timerHeap is a heap of jobs ordered by timerAt.
type timerHeap []*job

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Swap(x, y int)      { h[x], h[y] = h[y], h[x] }
func (h timerHeap) Less(x, y int) bool { return h[x].timerAt < h[y].timerAt }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(*job)) }

// Pop removes and returns the last element.
func (h *timerHeap) Pop() any {
	n := len(*h) - 1
	j := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return j
}

// setTimer sets the timer of a queued job with a deadline.
func (p *Placer) setTimer(j *job) {
	if j.Deadline == 0 || j.hasTimer {
		return
	}
	j.hasTimer = true
	j.timerAt = j.Deadline
	if j.Urgency == Deferrable {
		j.timerAt -= 2 * j.stats.expectedLength(j.Length)
	}
	heap.Push(&p.timers, j)
}

// fireTimers ends queued jobs whose deadline passed and moves Deferrable jobs that have to
// start soon to the Normal class.
func (p *Placer) fireTimers(now time.Duration) {
	for len(p.timers) > 0 && p.timers[0].timerAt <= now {
		j := heap.Pop(&p.timers).(*job)
		j.hasTimer = false
		if j.status != queued || j.cancelled {
			continue
		}
		q := j.bucket
		p.countQueued(j, -1)
		j.bucket = nil
		q.noteRemoved()
		if now >= j.Deadline {
			p.end(j, &DeadlinePassed{j.Name, j.Deadline})
			continue
		}
		j.Urgency = Normal
		p.enqueue(j)
	}
}
