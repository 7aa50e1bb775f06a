// Package lends keeps the slots that entries lend each other in force: it tells the
// share rules what this entry needs and uses, exchanges the messages with the other
// entries, and sets the limits of the request engine.
package lends

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/flow/share"
	"chervilgauge.example/chervilgauge/internal/serve/flows"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

const (
	// interval is how often changed demand and use are reported, so that shares follow
	// it within 1 s.
	interval = 250 * time.Millisecond
	// askEvery is the number of intervals after which every custodian is asked, also
	// with nothing to report, in case its notice was lost.
	askEvery = 12
	// soonInterval is the least time between reports while requests wait for slots.
	soonInterval = 50 * time.Millisecond
	// maxNotices bounds the notices that wait to be sent.
	maxNotices = 64
	// askTimeout bounds one exchange with a custodian.
	askTimeout = 400 * time.Millisecond
)

// Engine is what runs requests.
type Engine interface {
	Demands() []flows.Demand
	// Use returns the requests in flight by instance, without the idle ones.
	Use() map[string]int
	SetLimits(limits map[string]int)
}

// Peers reaches other entries by name.
type Peers interface {
	Named(ctx context.Context, name string) (peerpb.DRPCPeerClient, bool)
}

// Parts are what the service works with.
type Parts struct {
	Clock  clock.Clock
	Peers  Peers
	Scope  tally.Scope
	Self   share.Member
	MaxRun time.Duration
}

// Endpoint is an instance with slots in a pool.
type Endpoint struct {
	Instance string
	Pool     string
	Slots    int
}

// Service holds slots for this entry and lends those that it is the custodian of. It
// is safe for concurrent use.
type Service struct {
	Parts
	engine  Engine
	soon    chan struct{}
	notices chan string
	cancel  context.CancelFunc
	done    chan struct{}

	mu        sync.Mutex
	holder    *share.Holder
	custodian *share.Custodian
	pools     map[string][]string
	slots     map[string]int
	rounds    int
	// changed holds the instances whose limit is not in force yet, settling those whose
	// use must be reported since, and used what was in use last.
	changed, settling map[string]bool
	used              map[string]int
	// news names the custodians that have notified this entry, and notified holds when this
	// entry has last notified others.
	news map[string]bool
	// asking names the custodians with an ask under way.
	asking   map[string]bool
	notified map[string]time.Duration
}

// New returns a service that is idle until Start.
func New(p Parts) *Service {
	return &Service{
		Parts:     p,
		done:      make(chan struct{}),
		soon:      make(chan struct{}, 1),
		notices:   make(chan string, maxNotices),
		holder:    share.NewHolder(p.Self.Name, p.Self.Incarnation),
		custodian: share.NewCustodian(p.Self.Name, p.MaxRun),
		news:      map[string]bool{},
		changed:   map[string]bool{},
		settling:  map[string]bool{},
		asking:    map[string]bool{},
		notified:  map[string]time.Duration{},
	}
}

// Start begins to exchange slots. Close ends it.
func (s *Service) Start(ctx context.Context, e Engine) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.engine = e
	go s.run(ctx)
}

// Close ends the exchange and waits for its goroutine.
func (s *Service) Close() {
	s.cancel()
	<-s.done
}

// Update sets the members and the endpoints.
func (s *Service) Update(v share.View, endpoints []Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools = map[string][]string{}
	s.slots = map[string]int{}
	for _, e := range endpoints {
		s.pools[e.Pool] = append(s.pools[e.Pool], e.Instance)
		s.slots[e.Instance] = e.Slots
	}
	s.mark(s.holder.Epoch(v, s.slots))
	for name := range s.slots {
		s.changed[name] = true
	}
	s.custodian.Epoch(s.Clock.Now(), v, s.slots)
	s.ReportSoon()
}

// ReportSoon reports demand soon instead of at the next interval.
func (s *Service) ReportSoon() {
	select {
	case s.soon <- struct{}{}:
	default:
	}
}

// Limit returns the number of slots that this entry may use at an instance.
func (s *Service) Limit(instance string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Limit(instance)
}

// Answer answers another entry's ask as the custodian. Entries for which that made a
// difference are notified.
func (s *Service) Answer(a *peerpb.SlotAsk) *peerpb.SlotReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.custodian.Answer(s.Clock.Now(), a)
	for _, name := range s.custodian.Pending() {
		if name != a.GetName() {
			s.notify(name)
		}
	}
	return r
}

// notify marks an entry to be told that there is news for it. The caller holds mu.
func (s *Service) notify(name string) {
	now := s.Clock.Now()
	if last, ok := s.notified[name]; ok && now-last < soonInterval {
		return
	}
	s.notified[name] = now
	select {
	case s.notices <- name:
	default:
	}
}

// Notified asks a custodian that has news for this entry.
func (s *Service) Notified(name string) {
	s.mu.Lock()
	s.news[name] = true
	s.mu.Unlock()
	s.ReportSoon()
}
