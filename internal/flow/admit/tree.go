package admit

import "time"

// service is a service of the pool, with the teams that have used it.
type service struct {
	vertex
	listed bool
	quota  int
	teams  map[string]*team
	ready  readySet // of teams
	active float64  // sum of the weights of the teams that have waiting tickets
	limit  int      // largest number of waiting tickets
	run    runTime
	counts Counts
}

// team is a team within one service.
type team struct {
	vertex
	account  *teamAccount
	leaves   [urgencies]leaf
	systemVT float64 // virtual time of the team among its leaves; never decreases
	active   float64 // sum of the weights of the leaves that have waiting tickets
}

// teamAccount is the configuration and the use of a team over all services.
type teamAccount struct {
	listed  bool
	weight  float64
	quota   int
	running int
	members []*team
}

func (a *teamAccount) isAtQuota() bool {
	return a.quota > 0 && a.running >= a.quota
}

// leaf is the first-in, first-out queue of one class.
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

// pace measures the rate at which a leaf that is never empty starts its tickets.
type pace struct {
	meanGap   float64       // mean time between starts, in seconds
	starts    int           // number of starts
	lastStart time.Duration // time of the latest start
}

const (
	// minStarts is the number of starts after which the rate is used.
	minStarts = 8
	// maxStarts is the number of starts that the mean is taken over.
	maxStarts = 64
)

func (p *pace) recordStart(now time.Duration) {
	if p.starts > 0 {
		p.meanGap += ((now - p.lastStart).Seconds() - p.meanGap) / float64(min(p.starts, maxStarts))
	}
	p.starts++
	p.lastStart = now
}

// estimateWait returns how long n tickets take to start, or false if too few have started.
func (p *pace) estimateWait(now time.Duration, n int) (time.Duration, bool) {
	if p.starts <= minStarts {
		return 0, false
	}
	return max(duration(float64(n)*p.meanGap), now-p.lastStart), true
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

// pick returns the leaf to serve next, the one with the smallest virtual time, and raises the
// virtual time of the team to it. Of equal leaves the most urgent one is served first.
func (tm *team) pick() *leaf {
	var best *leaf
	for i := len(tm.leaves) - 1; i >= 0; i-- {
		l := &tm.leaves[i]
		if l.waiting > 0 && (best == nil || l.vt < best.vt) {
			best = l
		}
	}
	tm.systemVT = max(tm.systemVT, best.vt)
	return best
}

// runTime estimates the run time of a service from its completed requests.
type runTime struct {
	mean   float64 // seconds
	weight float64 // weight of the mean, in samples
}

const (
	priorSamples = 4 // weight of the prior run time, so that one sample does not replace it
	maxSamples   = 256
	// minRun is the smallest cost of a ticket, in seconds. Otherwise requests that fail at once
	// would cost nothing, and a service whose requests fail would use every free slot.
	minRun = 0.0005
)

func (r *runTime) observe(d float64) {
	r.weight = min(r.weight+1, maxSamples)
	r.mean += (d - r.mean) / r.weight
	r.mean = max(r.mean, minRun)
}

func seconds(d time.Duration) float64 {
	return max(d.Seconds(), minRun)
}
