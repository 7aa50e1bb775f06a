package admit

import (
	"time"
)

// Queue is the admission queue of one pool in one entry.
type Queue struct {
	opt      options
	services map[string]*service
	groups   map[string]*group
	ready    chooser // of services
	expiry   expiryHeap
	slots    int
	running  int
	flow     flow
	seq      uint64
}

// New returns an empty queue without slots. Until Configure is called, all requests belong to
// one service and one team.
func New(opts ...Option) *Queue {
	o := options{
		wait:       [urgencies]time.Duration{defaultWait, defaultWait, defaultUrgentWait},
		weight:     [urgencies]float64{1, 4, 16},
		run:        defaultRun,
		maxWaiting: defaultMaxWaiting,
		reserve:    defaultReserve,
	}
	for _, opt := range opts {
		opt(&o)
	}
	q := &Queue{
		opt:      o,
		services: map[string]*service{},
		groups:   map[string]*group{},
	}
	q.setGroup("", Share{}, false)
	q.setService("", Share{}, false)
	q.rebuild()
	return q
}

// Push adds a request that must end by deadline, 0 for none. The error is a *RefusedError if
// the request can't be expected to run in time.
func (q *Queue) Push(now time.Duration, c Class, deadline time.Duration) (*Ticket, error) {
	s := q.service(c.Service)
	tm := q.team(s, c.Team)
	l := &tm.leaves[min(c.Urgency, Urgent)]
	if err := q.check(now, l, deadline); err != nil {
		s.counts.Refused[err.Reason]++
		return nil, err
	}
	t := &Ticket{
		seq:    q.seq,
		pushed: now,
		expiry: now + q.opt.wait[l.urgency],
	}
	if deadline > 0 {
		t.expiry = min(t.expiry, deadline)
	}
	q.seq++
	q.enqueue(l, t)
	s.counts.Accepted++
	return t, nil
}

// maxDropped is the largest number of tickets that one call drops. Dropping 50,000 at once,
// after a pause of the process, would hold the owner's mutex for 20 ms.
const maxDropped = 256

// Pop returns the next ticket to run, or nil if no slot is free for the tickets that wait.
// The tickets in dropped were waiting past their deadline or their longest queueing time and
// never run. Only if both results are empty there is nothing more to do now.
func (q *Queue) Pop(now time.Duration) (run *Ticket, dropped []*Ticket) {
	dropped = q.Drop(now)
	v := q.ready.top()
	if len(dropped) == maxDropped || v == nil || !q.free(v) {
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
	l.pace.start(now)
	q.charge(l, t.cost)
	q.dequeue(t)
	q.use(now, l, 1)
	s.counts.Started++
	return t, dropped
}

// Drop removes and returns the tickets that wait past their deadline or their longest
// queueing time. If there are many, the rest is left for the next call.
func (q *Queue) Drop(now time.Duration) []*Ticket {
	var dropped []*Ticket
	for len(dropped) < maxDropped && len(q.expiry) > 0 && q.expiry[0].at <= now {
		t := q.expiry[0].ticket
		t.state = ended
		q.dequeue(t)
		t.leaf.team.service.counts.Dropped++
		dropped = append(dropped, t)
	}
	return dropped
}

// Next returns when Drop has something to remove if nothing else happens, and false if no
// ticket waits.
func (q *Queue) Next() (time.Duration, bool) {
	if len(q.expiry) == 0 {
		return 0, false
	}
	return q.expiry[0].at, true
}

// Cancel removes a waiting ticket, which then never runs. It returns false if the ticket no
// longer waits; a running ticket still needs Done.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	t.state = ended
	q.dequeue(t)
	t.leaf.team.service.counts.Cancelled++
	return true
}

// Done frees the slot of a running ticket and learns the run time of its service. It has no
// effect on a ticket that is not running.
func (q *Queue) Done(now time.Duration, t *Ticket) {
	if t.state != running {
		return
	}
	t.state = ended
	d := seconds(now - t.started)
	s := t.leaf.team.service
	q.flow.add(s, -1)
	s.run.learn(d)
	q.flow.add(s, 1)
	q.charge(t.leaf, d-t.cost)
	q.refresh(t.leaf.team)
	q.use(now, t.leaf, -1)
	s.counts.Done++
}

// free tells whether the service v may start a ticket now.
func (q *Queue) free(v *vertex) bool {
	n := q.slots - q.running
	if v.tier == lent {
		n -= q.flow.reserve(q.slots, q.opt.reserve)
	}
	return n > 0
}

func (q *Queue) charge(l *leaf, cost float64) {
	l.vt += cost / l.weight
	l.team.vt += cost / l.team.weight
	l.team.service.vt += cost / l.team.service.weight
}

// use adds n, which is 1 or -1, to the slots in use by the class of l.
func (q *Queue) use(now time.Duration, l *leaf, n int) {
	tm := l.team
	s := tm.service
	q.flow.add(s, -1)
	s.use(now, n)
	q.flow.add(s, 1)
	tm.use(now, n)
	q.running += n
	blocked := tm.group.blocked()
	tm.group.running += n
	q.refresh(tm)
	if blocked == tm.group.blocked() {
		return
	}
	for _, m := range tm.group.members {
		q.refresh(m)
	}
}

func (q *Queue) enqueue(l *leaf, t *Ticket) {
	tm := l.team
	s := tm.service
	if l.waiting == 0 {
		l.vt = max(l.vt, tm.base)
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

// refresh restores the places of a team and of its service after a change.
func (q *Queue) refresh(tm *team) {
	tm.refresh()
	q.refreshService(tm.service)
}

func (tm *team) refresh() {
	tm.service.ready.set(&tm.vertex, tm.waiting > 0 && !tm.group.blocked())
}

func (q *Queue) refreshService(s *service) {
	q.ready.set(&s.vertex, s.ready.top() != nil && !s.blocked())
}

func (s *service) blocked() bool {
	return s.quota > 0 && s.running >= s.quota
}
