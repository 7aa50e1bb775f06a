package flows

import (
	"errors"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
	"chervilgauge.example/chervilgauge/internal/flow/route"
)

// pool is the queue and the router of one pool. Its mutex guards all fields.
type pool struct {
	name string

	mu      sync.Mutex
	queue   *admit.Queue
	router  *route.Router
	budgets map[string]*route.Budget
	boots   map[string]uint64
	// flights is the number of slots in use at endpoints.
	slotsInUse int
	// targets is the number of endpoints.
	targetCount int
	// freed is closed when a slot is freed, nil if nobody waits for that.
	freed chan struct{}
}

// waiter is the owner of a ticket.
type waiter struct {
	// run receives true if the request may run, false if it was dropped.
	run chan bool
	// short says that requests waited for slots when this one came.
	slotsShort bool
}

func newPool(name, centre string, l Limits) *pool {
	return &pool{
		name: name,
		queue: admit.New(
			admit.WithMaxWaiting(l.MaxWaiting),
			admit.WithLongestWait(l.QueueTime, l.QueueTime, min(l.QueueTime, maxUrgentWait)),
		),
		router:  route.New(centre),
		budgets: map[string]*route.Budget{},
		boots:   map[string]uint64{},
	}
}

// urgentWait is the longest queueing time of an urgent request, so that it or its
// retry through another entry starts within 3.1 s.
const maxUrgentWait = time.Second

// admit pushes a request and starts what can run.
func (p *pool) admit(now time.Duration, c *Call, deadline time.Duration) (*admit.Ticket, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget(c.Service).Offer(now)
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

// pump hands free slots to waiting requests. While this entry has no slot at all, it
// counts on one at each endpoint soon, so that requests wait for the first grant
// instead of being refused.
func (p *pool) dispatch(now time.Duration) {
	slots := p.router.Free() + p.slotsInUse
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
			// One call drops a bounded number of tickets.
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

// cancel takes a waiting ticket out of the queue. It reports false if the ticket has
// left the queue before.
func (p *pool) cancel(t *admit.Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Cancel(t)
}

// finish frees the queue's slot.
func (p *pool) finish(now time.Duration, t *admit.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Done(now, t)
	p.dispatch(now)
}

// pick takes a slot at an endpoint. If all slots are in use it returns a channel
// that is closed when one may be free.
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

// release frees the slot at an endpoint.
func (p *pool) release(now time.Duration, name string, o route.Outcome, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slotsInUse--
	p.router.Done(now, name, o, latency)
	p.wakeWaiters()
	p.dispatch(now)
}

// wake makes the requests that wait for a slot at an endpoint look again.
func (p *pool) wakeWaiters() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// mayRetry takes one retry from the service's budget.
func (p *pool) takeRetry(now time.Duration, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget(service).Allow(now)
}

func (p *pool) retryBudget(service string) *route.Budget {
	b, ok := p.budgets[service]
	if !ok {
		b = &route.Budget{}
		p.budgets[service] = b
	}
	return b
}

// tick drops expired requests and returns the endpoints that are due for a probe.
func (p *pool) tick(now time.Duration) []route.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(now)
	return p.router.Probes(now)
}

func (p *pool) recordProbe(now time.Duration, name string, leaving, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leaving {
		p.router.Leaving(now, name)
	}
	p.router.Probed(now, name, ok && !leaving)
	p.dispatch(now)
}

func (p *pool) recordLeaving(now time.Duration, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Leaving(now, name)
}

func (p *pool) inFlight(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.InFlight(name)
}

// use adds the requests in flight by instance.
func (p *pool) addInFlight(out map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Use(out)
}

func (p *pool) demand() Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Demand{Pool: p.name, Waiting: p.queue.Waiting(), Running: p.queue.Running()}
}
