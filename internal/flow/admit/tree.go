package admit

import "time"

// service is a service of the pool with the teams that have used it.
type service struct {
	vertex
	listed bool
	quota  int
	teams  map[string]*team
	ready  chooser // of teams
	active float64 // sum of the weights of the teams that have waiting tickets
	limit  int     // largest number of waiting tickets
	run    runTime
	counts Counts
}

// team is a team within one service.
type team struct {
	vertex
	group  *group
	leaves [urgencies]leaf
	base   float64 // virtual time of the leaves
	active float64 // sum of the weights of the leaves that have waiting tickets
}

// group is a team in all services.
type group struct {
	listed  bool
	weight  float64
	quota   int
	running int
	members []*team
}

func (g *group) blocked() bool {
	return g.quota > 0 && g.running >= g.quota
}

// leaf is the queue of one class, first in first out.
type leaf struct {
	team    *team
	urgency Urgency
	weight  float64
	vt      float64
	head    *Ticket
	tail    *Ticket
	waiting int
	pace    pace
}

// pace measures how fast a leaf that is never empty starts its tickets.
type pace struct {
	gap  float64       // mean time between starts, in seconds
	n    int           // starts
	last time.Duration // latest start
}

const (
	// minStarts is how many starts a pace needs before it is used.
	minStarts = 8
	// maxStarts is the number of starts that a pace is averaged over.
	maxStarts = 64
)

func (p *pace) start(now time.Duration) {
	if p.n > 0 {
		p.gap += ((now - p.last).Seconds() - p.gap) / float64(min(p.n, maxStarts))
	}
	p.n++
	p.last = now
}

// wait returns how long n tickets take to start. It is false if too few have started.
func (p *pace) wait(now time.Duration, n int) (time.Duration, bool) {
	if p.n <= minStarts {
		return 0, false
	}
	return max(duration(float64(n)*p.gap), now-p.last), true
}

func (l *leaf) push(t *Ticket) {
	t.leaf = l
	t.prev = l.tail
	if l.tail == nil {
		l.head = t
	} else {
		l.tail.next = t
	}
	l.tail = t
	l.waiting++
}

func (l *leaf) remove(t *Ticket) {
	if t.prev == nil {
		l.head = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		l.tail = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev = nil
	t.next = nil
	l.waiting--
}

// pick returns the leaf that goes next and raises the virtual time of the leaves to its own.
// Of equal ones the most urgent goes first.
func (tm *team) pick() *leaf {
	var best *leaf
	for i := len(tm.leaves) - 1; i >= 0; i-- {
		l := &tm.leaves[i]
		if l.waiting > 0 && (best == nil || l.vt < best.vt) {
			best = l
		}
	}
	tm.base = max(tm.base, best.vt)
	return best
}

// runTime estimates the run time of a service from completed requests.
type runTime struct {
	mean float64 // seconds
	n    float64 // weight of the mean, in samples
}

const (
	priorSamples = 4 // weight of the prior, so that the first sample alone doesn't set the mean
	maxSamples   = 256
	// minRun is the least cost of a ticket, in seconds. Requests that fail at once would
	// otherwise be free and a service of failing requests would take every free slot.
	minRun = 0.0005
)

func (r *runTime) learn(d float64) {
	r.n = min(r.n+1, maxSamples)
	r.mean += (d - r.mean) / r.n
	r.mean = max(r.mean, minRun)
}

func seconds(d time.Duration) float64 {
	return max(d.Seconds(), minRun)
}
