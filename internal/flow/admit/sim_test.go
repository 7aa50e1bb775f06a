package admit_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
	"chervilgauge.example/chervilgauge/internal/flow/refq"
)

// job is one request of the discrete-event simulation.
type job struct {
	class      admit.Class
	at, run    time.Duration
	deadline   time.Duration
	start, end time.Duration // -1 if it never ran
	entry      int
	ticket     *admit.Ticket
}

func (j *job) good() bool { return j.end >= 0 && j.end <= j.deadline }

// queue is the queueing discipline that simulate runs.
type queue interface {
	push(now time.Duration, j *job)
	pop(now time.Duration) *job
	done(now time.Duration, j *job)
	waiting() int
}

type fairQueue struct{ *admit.Queue }

func (q fairQueue) push(now time.Duration, j *job) {
	if t, err := q.Push(now, j.class, j.deadline); err == nil {
		t.Owner = j
		j.ticket = t
	}
}

func (q fairQueue) pop(now time.Duration) *job {
	if t, _ := q.Pop(now); t != nil {
		return t.Owner.(*job)
	}
	return nil
}

func (q fairQueue) done(now time.Duration, j *job) { q.Done(now, j.ticket) }
func (q fairQueue) waiting() int                   { return q.Waiting() }

type fifoQueue struct {
	*refq.FIFO
	n int
}

func (q *fifoQueue) push(_ time.Duration, j *job) {
	q.n++
	q.Push(j.class, 0).Owner = j
}

func (q *fifoQueue) pop(now time.Duration) *job {
	if t, _ := q.Pop(now); t != nil {
		q.n--
		return t.Owner.(*job)
	}
	return nil
}

func (q *fifoQueue) done(time.Duration, *job) { q.Done() }
func (q *fifoQueue) waiting() int             { return q.n }

// endHeap is a heap of running jobs, ordered by end time.
type endHeap []*job

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends the *job x.
func (h *endHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop removes the last job.
func (h *endHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

// slotUse is the slot time used, and the slot time available, while requests waited.
type slotUse struct{ used, possible time.Duration }

// simulate runs jobs, which are ordered by arrival, through one queue per entry. It returns the
// slot use during the floods.
func simulate(jobs []*job, queues []queue, slots int) slotUse {
	var h endHeap
	var u slotUse
	now := time.Duration(0)
	running := make([]int, len(queues))
	for next := 0; next < len(jobs) || len(h) > 0; {
		ends := next == len(jobs) || len(h) > 0 && h[0].end <= jobs[next].at
		var j *job
		if ends {
			j = heap.Pop(&h).(*job)
		} else {
			j = jobs[next]
			next++
		}
		then := j.at
		if ends {
			then = j.end
		}
		for i, q := range queues {
			if inFlood(now) >= 0 && q.waiting() > 0 {
				u.used += time.Duration(running[i]) * (then - now)
				u.possible += time.Duration(slots) * (then - now)
			}
		}
		now = then
		q := queues[j.entry]
		if ends {
			q.done(now, j)
			running[j.entry]--
		} else {
			q.push(now, j)
		}
		for r := q.pop(now); r != nil; r = q.pop(now) {
			r.start = now
			r.end = now + r.run
			running[r.entry]++
			heap.Push(&h, r)
		}
	}
	return u
}

// Flood pattern: each service in turn has a phase of 12 s with a twentieth of its mean rate,
// except from second 3 to second 9 of the phase, when it has 5 times its mean rate.
const (
	services   = 5
	teams      = 10
	rate       = 280.0 // mean of a service, in requests/s: 70% of 400 slots
	meanRun    = 200 * time.Millisecond
	phase      = 12 * time.Second
	floodStart = 3 * time.Second
	floodEnd   = 9 * time.Second
)

// inFlood returns the service that floods at t, -1 for none.
func inFlood(t time.Duration) int {
	if t%phase >= floodStart && t%phase < floodEnd {
		return int(t / phase)
	}
	return -1
}

func serviceName(i int) string { return string(rune('a' + i)) }

// demand generates the requests of all services. Services that do not flood have the same requests
// with and without floods.
func demand(seed uint64, entries int, flood bool, u admit.Urgency) []*job {
	var jobs []*job
	for s := range services {
		rnd := rand.New(rand.NewPCG(seed, uint64(s)))
		for t := time.Duration(0); t < services*phase; {
			t += time.Duration(rnd.ExpFloat64() / (5 * rate) * float64(time.Second))
			x := 5 * rnd.Float64()
			j := &job{at: t, start: -1, end: -1, entry: rnd.IntN(entries)}
			j.run = time.Duration(rnd.ExpFloat64() * float64(meanRun))
			j.deadline = t + 3*time.Second
			j.class = admit.Class{Service: serviceName(s), Team: serviceName(rnd.IntN(teams)), Urgency: admit.Normal}
			if v := rnd.IntN(5); v != 1 {
				j.class.Urgency = admit.Urgency(min(v, 2))
			}
			switch {
			case flood && inFlood(t) == s:
				if x >= 1 {
					j.class = admit.Class{Service: serviceName(s), Team: "a", Urgency: u}
				}
			case flood && int(t/phase) == s && x >= 0.05, x >= 1:
				continue
			}
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return int(a.at - b.at) })
	return jobs
}

func fairQueues(entries, slots int, opts ...admit.Option) []queue {
	qs := make([]queue, entries)
	for i := range qs {
		q := admit.New(opts...)
		shares := [2]map[string]admit.Share{{}, {}}
		for s := range services {
			shares[0][serviceName(s)] = admit.Share{}
		}
		for t := range teams {
			shares[1][serviceName(t)] = admit.Share{}
		}
		q.Configure(shares[0], shares[1])
		q.SetSlots(slots)
		qs[i] = fairQueue{q}
	}
	return qs
}

func fifoQueues(entries, slots int, _ ...admit.Option) []queue {
	qs := make([]queue, entries)
	for i := range qs {
		q := refq.NewFIFO()
		q.SetSlots(slots)
		qs[i] = &fifoQueue{FIFO: q}
	}
	return qs
}
