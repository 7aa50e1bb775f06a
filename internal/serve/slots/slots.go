// Package slots exchanges endpoint slots between entries. It reports this entry's demand and use to
// the allocators of the slots, answers reports for the endpoints that this entry allocates, and
// sets the request engine's limits.
package slots

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/flow/alloc"
	"chervilgauge.example/chervilgauge/internal/serve/flows"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

const (
	// reportInterval is the time between two reports of changed demand and use, so that allocations
	// follow them within 1 s.
	reportInterval = 250 * time.Millisecond
	// fullRoundEvery is the number of rounds after which every allocator is contacted, even with
	// nothing to report, in case its notice was lost.
	fullRoundEvery = 12
	// minReportInterval is the least time between two reports while requests wait for slots.
	minReportInterval = 50 * time.Millisecond
	// maxNotices bounds the queued notices. Further ones are dropped.
	maxNotices = 64
	// askTimeout bounds one exchange with an allocator, and one notice.
	askTimeout = 400 * time.Millisecond
)

// Engine is the request engine.
type Engine interface {
	Demands() []flows.Demand
	// InFlightByInstance returns the requests in flight by instance. Instances without any are left
	// out.
	InFlightByInstance() map[string]int
	SetLimits(limits map[string]int)
}

// Peers returns clients of other entries by name.
type Peers interface {
	ClientOf(ctx context.Context, name string) (peerpb.DRPCPeerClient, bool)
}

// Deps are the dependencies of a Service.
type Deps struct {
	Clock  clock.Clock
	Peers  Peers
	Scope  tally.Scope
	Self   alloc.Member
	MaxRun time.Duration
}

// Endpoint is an instance with slots in a pool.
type Endpoint struct {
	Instance string
	Pool     string
	Slots    int
}

// Service holds slots for this entry and allocates those of the endpoints that are assigned to it.
// It is safe for concurrent use.
type Service struct {
	Deps
	engine  Engine
	wake    chan struct{}
	notices chan string
	cancel  context.CancelFunc
	done    chan struct{}

	mu        sync.Mutex
	holder    *alloc.Holder
	allocator *alloc.Allocator
	pools     map[string][]string
	slots     map[string]int
	rounds    int
	// limitsToApply holds the instances whose new limit is not in force yet, useToReport those
	// whose use must be reported because their limit has changed since, and lastUse the last
	// reported requests in flight.
	limitsToApply, useToReport map[string]bool
	lastUse                    map[string]int
	// notifiedBy holds the allocators that have notified this entry, and lastNotice when this entry
	// last notified each other one.
	notifiedBy map[string]bool
	// asking holds the allocators with an exchange under way.
	asking     map[string]bool
	lastNotice map[string]time.Duration
}

// New returns a service that is idle until Start.
func New(p Deps) *Service {
	return &Service{
		Deps:          p,
		done:          make(chan struct{}),
		wake:          make(chan struct{}, 1),
		notices:       make(chan string, maxNotices),
		holder:        alloc.NewHolder(p.Self.Name, p.Self.Incarnation),
		allocator:     alloc.NewAllocator(p.Self.Name, p.MaxRun),
		notifiedBy:    map[string]bool{},
		limitsToApply: map[string]bool{},
		useToReport:   map[string]bool{},
		asking:        map[string]bool{},
		lastNotice:    map[string]time.Duration{},
	}
}

// Start starts the exchange of slots. Close stops it.
func (s *Service) Start(ctx context.Context, e Engine) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.engine = e
	go s.run(ctx)
}

// Close stops the exchange and waits for its goroutines.
func (s *Service) Close() {
	s.cancel()
	<-s.done
}

// Update sets the members and the endpoints.
func (s *Service) Update(v alloc.View, endpoints []Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools = map[string][]string{}
	s.slots = map[string]int{}
	for _, e := range endpoints {
		s.pools[e.Pool] = append(s.pools[e.Pool], e.Instance)
		s.slots[e.Instance] = e.Slots
	}
	s.markChanged(s.holder.SetView(v, s.slots))
	for name := range s.slots {
		s.limitsToApply[name] = true
	}
	s.allocator.SetView(s.Clock.Now(), v, s.slots)
	s.ReportSoon()
}

// ReportSoon requests a report before the next interval ends.
func (s *Service) ReportSoon() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Limit returns the number of slots that this entry may use at an instance.
func (s *Service) Limit(instance string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Limit(instance)
}

// HandleAsk answers another entry's report as the allocator. Other entries that have a new grant
// are notified.
func (s *Service) HandleAsk(a *peerpb.SlotAsk) *peerpb.SlotReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.allocator.HandleAsk(s.Clock.Now(), a)
	for _, name := range s.allocator.MembersToNotify() {
		if name != a.GetName() {
			s.queueNotice(name)
		}
	}
	return r
}

// queueNotice queues a notice to an entry, unless it got one less than minReportInterval ago. The
// caller holds mu.
func (s *Service) queueNotice(name string) {
	now := s.Clock.Now()
	if last, ok := s.lastNotice[name]; ok && now-last < minReportInterval {
		return
	}
	s.lastNotice[name] = now
	select {
	case s.notices <- name:
	default:
	}
}

// HandleNotice processes a notice that an allocator has news for this entry, which then contacts
// the allocator in the next round.
func (s *Service) HandleNotice(name string) {
	s.mu.Lock()
	s.notifiedBy[name] = true
	s.mu.Unlock()
	s.ReportSoon()
}
