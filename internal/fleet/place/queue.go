package place

import (
	"container/heap"
	"math/bits"
	"slices"
	"time"
)

// status is the position of a job in its life.
type status uint8

const (
	queued  status = iota
	waiting        // for room that others were asked to make on its worker
	offered
	running
	ended
)

// job is one job with its state.
type job struct {
	Job
	team   *team
	kind   *kind
	seq    uint64
	status status
	lot    *lot
	worker *worker
	// held is what it holds of its worker and quota.
	held  Amount
	token uint64
	began time.Duration
	// asked is the means that its worker was asked for, if pending is set.
	asked     Means
	pending   bool
	throttled bool
	cancelled bool
	// failed names the workers that it failed on.
	failed map[*worker]bool
	// due is when the deadline or, for a Morning job, the last good start is reached.
	due     time.Duration
	alarmed bool // due is in the placer's alarms
	// asking is when room was asked for on behalf of this job, victims for which.
	asking  time.Duration
	peak    Amount // largest reported use of this run
	victims []*job
	harder  bool   // stronger means were asked for
	want    Amount // cached result of Placer.need
	wantAt  [2]int // runs of the kind and version of the fleet for want
}

// shape groups jobs of a team whose needs are alike within a factor of two. A shape
// whose first job does not fit is not tried again until resources come free, so a
// job that fits nowhere does not hold back smaller ones behind it.
type shape struct {
	cores, memory, accelerators int
	length                      int
	checkpoint                  bool
	// retry is the number of a job that failed before: it avoids workers that the
	// jobs behind it could use, so it has a lot of its own.
	retry uint64
}

func shapeOf(j *job) shape {
	need := j.Need
	s := shape{
		cores:        bits.Len64(uint64(max(need.Cores-1, 0))),
		memory:       bits.Len64(uint64(max(need.Memory-1, 0))),
		accelerators: bits.Len64(uint64(max(need.Accelerators, 0))),
		checkpoint:   j.Checkpoint,
	}
	if !j.Checkpoint {
		s.length = bits.Len64(uint64(max(j.Length/time.Minute, 0)))
	}
	if len(j.failed) > 0 {
		s.retry = j.seq
	}
	return s
}

// lot is a heap of queued jobs of one team, class and shape by deadline and age.
type lot struct {
	shape shape
	jobs  []*job
	dead  int // jobs that left but are still in jobs
	// blocked is the epoch in which the first job was found not to fit.
	blocked uint64
	// first is the job for which blocked was set, need what it needed.
	first *job
	need  Amount
}

func (l *lot) Len() int      { return len(l.jobs) }
func (l *lot) Swap(a, b int) { l.jobs[a], l.jobs[b] = l.jobs[b], l.jobs[a] }
func (l *lot) Push(x any)    { l.jobs = append(l.jobs, x.(*job)) }
func (l *lot) Less(a, b int) bool {
	return l.jobs[a].before(l.jobs[b])
}

// Pop removes the last element.
func (l *lot) Pop() any {
	n := len(l.jobs) - 1
	j := l.jobs[n]
	l.jobs[n] = nil
	l.jobs = l.jobs[:n]
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
func (l *lot) head() *job {
	for len(l.jobs) > 0 {
		j := l.jobs[0]
		if l.holds(j) {
			return j
		}
		heap.Pop(l)
		l.dead--
	}
	return nil
}

// holds says whether a job still waits in the lot.
func (l *lot) holds(j *job) bool {
	return j.status == queued && j.lot == l && !j.cancelled
}

// drop counts a job that left the queue and removes all such jobs once they are more
// than half, so that a cancellation costs constant time on average.
func (l *lot) drop() {
	l.dead++
	if 2*l.dead <= len(l.jobs) {
		return
	}
	live := l.jobs[:0]
	for _, j := range l.jobs {
		if l.holds(j) {
			live = append(live, j)
		}
	}
	clear(l.jobs[len(live):])
	l.jobs = live
	l.dead = 0
	heap.Init(l)
}

// class holds the queued jobs of one team and urgency.
type class struct {
	lots  map[shape]*lot
	order []*lot
	count int
	// tried is the epoch in which no lot was found to fit, least the least that any
	// of their first jobs needed of each resource.
	tried uint64
	least Amount
}

// remove removes a lot.
func (c *class) remove(l *lot) {
	delete(c.lots, l.shape)
	c.order = slices.DeleteFunc(c.order, func(x *lot) bool { return x == l })
}

// clean removes empty lots and notes the least that the first jobs of the others need.
func (c *class) clean() {
	c.least = Amount{1 << 62, 1 << 62, 1 << 62}
	c.order = slices.DeleteFunc(c.order, func(l *lot) bool {
		if l.head() == nil {
			delete(c.lots, l.shape)
			return true
		}
		c.least.Cores = min(c.least.Cores, l.need.Cores)
		c.least.Memory = min(c.least.Memory, l.need.Memory)
		c.least.Accelerators = min(c.least.Accelerators, l.need.Accelerators)
		return false
	})
}

// team is one team with what it holds.
type team struct {
	Team
	held    Amount
	classes [classes]class
	kinds   map[string]*kind
}

func (t *team) push(j *job) *lot {
	c := &t.classes[j.Urgency]
	s := shapeOf(j)
	l := c.lots[s]
	if l == nil {
		if c.lots == nil {
			c.lots = make(map[shape]*lot)
		}
		l = &lot{shape: s}
		c.lots[s] = l
		c.order = append(c.order, l)
	}
	heap.Push(l, j)
	c.tried = 0
	j.lot = l
	j.status = queued
	return l
}

// alarms is a heap of jobs by when they are due.
type alarms []*job

func (a alarms) Len() int           { return len(a) }
func (a alarms) Swap(x, y int)      { a[x], a[y] = a[y], a[x] }
func (a alarms) Less(x, y int) bool { return a[x].due < a[y].due }
func (a *alarms) Push(x any)        { *a = append(*a, x.(*job)) }

// Pop removes the last element.
func (a *alarms) Pop() any {
	n := len(*a) - 1
	j := (*a)[n]
	(*a)[n] = nil
	*a = (*a)[:n]
	return j
}

// alarm sets when a queued job with a deadline needs attention.
func (p *Placer) alarm(j *job) {
	if j.Deadline == 0 || j.alarmed {
		return
	}
	j.alarmed = true
	j.due = j.Deadline
	if j.Urgency == Morning {
		j.due -= 2 * j.kind.lasts(j.Length)
	}
	heap.Push(&p.due, j)
}

// ring ends queued jobs whose deadline passed and moves Morning jobs that have to start
// soon to the Normal class.
func (p *Placer) ring(now time.Duration) {
	for len(p.due) > 0 && p.due[0].due <= now {
		j := heap.Pop(&p.due).(*job)
		j.alarmed = false
		if j.status != queued || j.cancelled {
			continue
		}
		l := j.lot
		p.counted(j, -1)
		j.lot = nil
		l.drop()
		if now >= j.Deadline {
			p.end(j, &TooLate{j.Name, j.Deadline})
			continue
		}
		j.Urgency = Normal
		p.enqueue(j)
	}
}
