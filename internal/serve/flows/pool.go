package flows

import (
	"errors"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
	"chervilgauge.example/chervilgauge/internal/flow/route"
)

// pool holds the queue and the router of one pool. Its mutex guards the fields below it.
type pool struct {
	name string

	mu           sync.Mutex
	queue        *admit.Queue
	router       *route.Router
	retryBudgets map[string]*route.RetryBudget
	bootNumbers  map[string]uint64
	// slotsInUse is the number of slots in use at endpoints.
	slotsInUse int
	// targetCount is the number of endpoints.
	targetCount int
	// freed is closed when a slot is freed. It is nil if no request waits for that.
	freed chan struct{}
}

// waiter is the owner of a queue ticket.
type waiter struct {
	// run receives true if the request may run, false if it was dropped.
	run chan bool
	// slotsShort reports whether requests were waiting for slots after this one was queued.
	slotsShort bool
}

func newPool(name, centre string, l Limits) *pool {
	return &pool{
		name: name,
		queue: admit.New(
			admit.WithMaxWaiting(l.MaxWaiting),
			admit.WithLongestWait(l.QueueTime, l.QueueTime, min(l.QueueTime, maxUrgentWait)),
		),
		router:       route.New(centre),
		retryBudgets: map[string]*route.RetryBudget{},
		bootNumbers:  map[string]uint64{},
	}
}

// maxUrgentWait is the longest queueing time of an urgent request, so that it or its retry through
// another entry starts within 3.1 s.
const maxUrgentWait = time.Second

// admit queues a request and starts the requests that have a slot.
func (p *pool) admit(now time.Duration, c *Call, deadline time.Duration) (*admit.Ticket, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget(c.Service).CountRequest(now)
	t, err := p.queue.Push(now, admit.Class{Service: c.Service, Team: c.Team, Urgency: c.Urgency}, deadline)
	if err != nil {
		return nil, nil, err
	}
	w := &waiter{run: make(chan bool, 1)}
	t.Owner = w
	p.dispatch(now)
	w.slotsShort = p.queue.Waiting() > 0
	return t, w, nil
}

// dispatch assigns free slots to waiting requests. While this entry has no slot at all, it counts
// one per endpoint, so that requests wait for the first slot allocation instead of being refused.
func (p *pool) dispatch(now time.Duration) {
	slots := p.router.FreeSlots() + p.slotsInUse
	if slots == 0 {
		slots = p.targetCount
	}
	p.queue.SetSlots(slots)
	for {
		t, dropped := p.queue.Pop(now)
		notify(dropped, false)
		if t == nil && len(dropped) == 0 {
			return
		}
		if t == nil {
			// A call drops a bounded number of tickets, so further ones may have to be dropped.
			continue
		}
		t.Owner.(*waiter).run <- true
	}
}

func notify(tickets []*admit.Ticket, run bool) {
	for _, t := range tickets {
		t.Owner.(*waiter).run <- run
	}
}

// cancel removes a waiting ticket from the queue. It returns false if the ticket is no longer
// queued.
func (p *pool) cancel(t *admit.Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Cancel(t)
}

// finish frees the ticket's slot in the queue.
func (p *pool) finish(now time.Duration, t *admit.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Done(now, t)
	p.dispatch(now)
}

// pick reserves a slot at an endpoint. If all slots are in use it returns a channel that is closed
// when one may be free.
func (p *pool) pick(now time.Duration, avoid []string) (route.Target, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, err := p.router.Pick(now, avoid)
	if err == nil {
		p.slotsInUse++
		return t, nil, nil
	}
	var none *route.NoTargetError
	if errors.As(err, &none) && none.Reason == route.Busy {
		if p.freed == nil {
			p.freed = make(chan struct{})
		}
		return t, p.freed, err
	}
	return t, nil, err
}

// release frees the slot at an endpoint and records the outcome of the attempt.
func (p *pool) release(now time.Duration, name string, o route.Outcome, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slotsInUse--
	p.router.Done(now, name, o, latency)
	p.wakeWaiters()
	p.dispatch(now)
}

// wakeWaiters makes the requests that wait for a slot at an endpoint try again.
func (p *pool) wakeWaiters() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// takeRetry takes one retry from the service's retry budget. It returns false if the budget is used
// up.
func (p *pool) takeRetry(now time.Duration, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget(service).TakeRetry(now)
}

func (p *pool) retryBudget(service string) *route.RetryBudget {
	b, ok := p.retryBudgets[service]
	if !ok {
		b = &route.RetryBudget{}
		p.retryBudgets[service] = b
	}
	return b
}

// tick drops expired requests and returns the endpoints that are due for a probe.
func (p *pool) tick(now time.Duration) []route.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(now)
	return p.router.DueProbes(now)
}

func (p *pool) recordProbe(now time.Duration, name string, leaving, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leaving {
		p.router.MarkLeaving(now, name)
	}
	p.router.RecordProbe(now, name, ok && !leaving)
	p.dispatch(now)
}

func (p *pool) recordLeaving(now time.Duration, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.MarkLeaving(now, name)
}

func (p *pool) inFlight(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.InFlight(name)
}

// addInFlight adds the numbers of requests in flight by instance.
func (p *pool) addInFlight(out map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.AddInFlight(out)
}

func (p *pool) demand() Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Demand{Pool: p.name, Waiting: p.queue.Waiting(), Running: p.queue.Running()}
}
