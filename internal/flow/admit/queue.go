package admit

import (
	"time"
)

// Queue is the admission queue of one pool in one entry.
type Queue struct {
	opt      options
	services map[string]*service
	accounts map[string]*teamAccount
	ready    readySet // of services
	expiry   expiryHeap
	slots    int
	running  int
	totals   serviceTotals
	seq      uint64
}

// New returns an empty queue without slots. Until Configure is called, all requests are accounted
// to one service and one team.
func New(opts ...Option) *Queue {
	o := options{
		longestWait: [urgencies]time.Duration{defaultWait, defaultWait, defaultUrgentWait},
		weight:      [urgencies]float64{1, 4, 16},
		priorRun:    defaultRun,
		maxWaiting:  defaultMaxWaiting,
		reserve:     defaultReserve,
	}
	for _, opt := range opts {
		opt(&o)
	}
	q := &Queue{
		opt:      o,
		services: map[string]*service{},
		accounts: map[string]*teamAccount{},
	}
	q.setAccount("", Share{}, false)
	q.setService("", Share{}, false)
	q.rebuild()
	return q
}

// Push adds a request that must end by deadline, 0 for none. It returns a *RefusedError if the
// request is not expected to run in time or the queue of its service is full.
func (q *Queue) Push(now time.Duration, c Class, deadline time.Duration) (*Ticket, error) {
	s := q.serviceFor(c.Service)
	tm := q.teamFor(s, c.Team)
	l := &tm.leaves[min(c.Urgency, Urgent)]
	if err := q.check(now, l, deadline); err != nil {
		s.counts.Refused[err.Reason]++
		return nil, err
	}
	t := &Ticket{
		seq:    q.seq,
		pushed: now,
		expiry: now + q.opt.longestWait[l.urgency],
	}
	if deadline > 0 {
		t.expiry = min(t.expiry, deadline)
	}
	q.seq++
	q.enqueue(l, t)
	s.counts.Accepted++
	return t, nil
}

// maxDropsPerCall is the largest number of tickets that one call drops. Dropping 50,000 at once,
// after a pause of the process, would hold the mutex of the owner for 20 ms.
const maxDropsPerCall = 256

// Pop returns the next ticket to run, or nil if no slot is free for the waiting tickets. The
// tickets in dropped waited past their deadline or their longest queueing time and never run. The
// caller repeats the call until both results are empty.
func (q *Queue) Pop(now time.Duration) (run *Ticket, dropped []*Ticket) {
	dropped = q.DropExpired(now)
	v := q.ready.top()
	if len(dropped) == maxDropsPerCall || v == nil || !q.canStart(v) {
		return nil, dropped
	}
	s := v.service
	tm := s.ready.top().team
	q.ready.advance()
	s.ready.advance()
	l := tm.pick()
	t := l.head
	t.state = running
	t.started = now
	t.cost = s.run.mean
	l.pace.recordStart(now)
	q.charge(l, t.cost)
	q.dequeue(t)
	q.addRunning(now, l, 1)
	s.counts.Started++
	return t, dropped
}

// DropExpired removes and returns the tickets that have waited past their deadline or their longest
// queueing time. One call drops a limited number of them; the rest is left for the next call.
func (q *Queue) DropExpired(now time.Duration) []*Ticket {
	var dropped []*Ticket
	for len(dropped) < maxDropsPerCall && len(q.expiry) > 0 && q.expiry[0].at <= now {
		t := q.expiry[0].ticket
		t.state = ended
		q.dequeue(t)
		t.leaf.team.service.counts.Dropped++
		dropped = append(dropped, t)
	}
	return dropped
}

// NextExpiry returns the earliest expiry of the waiting tickets, or false if no ticket waits.
func (q *Queue) NextExpiry() (time.Duration, bool) {
	if len(q.expiry) == 0 {
		return 0, false
	}
	return q.expiry[0].at, true
}

// Cancel removes a waiting ticket, which then never runs. It returns false if the ticket is not
// waiting; a running ticket still needs Done.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	t.state = ended
	q.dequeue(t)
	t.leaf.team.service.counts.Cancelled++
	return true
}

// Done frees the slot of a running ticket and updates the run time estimate of its service. It has
// no effect on a ticket that is not running.
func (q *Queue) Done(now time.Duration, t *Ticket) {
	if t.state != running {
		return
	}
	t.state = ended
	d := seconds(now - t.started)
	s := t.leaf.team.service
	q.totals.add(s, -1)
	s.run.observe(d)
	q.totals.add(s, 1)
	q.charge(t.leaf, d-t.cost)
	q.refresh(t.leaf.team)
	q.addRunning(now, t.leaf, -1)
	s.counts.Done++
}

// canStart reports whether a slot is free for the service v. A borrowing service leaves the reserve
// free.
func (q *Queue) canStart(v *vertex) bool {
	n := q.slots - q.running
	if v.tier == borrowing {
		n -= q.totals.reserve(q.slots, q.opt.reserve)
	}
	return n > 0
}

// charge adds slot time in seconds to the virtual times of the leaf, its team and its service.
func (q *Queue) charge(l *leaf, cost float64) {
	l.vt += cost / l.weight
	l.team.vt += cost / l.team.weight
	l.team.service.vt += cost / l.team.service.weight
}

// addRunning adds n, which is 1 or -1, to the slots in use of the class of l.
func (q *Queue) addRunning(now time.Duration, l *leaf, n int) {
	tm := l.team
	s := tm.service
	q.totals.add(s, -1)
	s.addRunning(now, n)
	q.totals.add(s, 1)
	tm.addRunning(now, n)
	q.running += n
	atQuota := tm.account.isAtQuota()
	tm.account.running += n
	q.refresh(tm)
	if atQuota == tm.account.isAtQuota() {
		return
	}
	for _, m := range tm.account.members {
		q.refresh(m)
	}
}

func (q *Queue) enqueue(l *leaf, t *Ticket) {
	tm := l.team
	s := tm.service
	if l.waiting == 0 {
		l.vt = max(l.vt, tm.systemVT)
		tm.active += l.weight
	}
	if tm.waiting == 0 {
		s.active += tm.weight
	}
	l.push(t)
	tm.waiting++
	s.waiting++
	q.expiry.add(t)
	q.refresh(tm)
}

func (q *Queue) dequeue(t *Ticket) {
	l := t.leaf
	tm := l.team
	s := tm.service
	l.remove(t)
	tm.waiting--
	s.waiting--
	if l.waiting == 0 {
		l.pace = pace{}
		tm.active -= l.weight
	}
	if tm.waiting == 0 {
		s.active -= tm.weight
	}
	q.expiry.remove(t)
	q.refresh(tm)
}

// refresh updates the ready sets after a change of a team or its service.
func (q *Queue) refresh(tm *team) {
	tm.refresh()
	q.refreshService(tm.service)
}

func (tm *team) refresh() {
	tm.service.ready.update(&tm.vertex, tm.waiting > 0 && !tm.account.isAtQuota())
}

func (q *Queue) refreshService(s *service) {
	q.ready.update(&s.vertex, s.ready.top() != nil && !s.isAtQuota())
}

func (s *service) isAtQuota() bool {
	return s.quota > 0 && s.running >= s.quota
}
