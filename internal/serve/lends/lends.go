// Package lends keeps the slots that entries lend each other in force: it tells the
// share rules what this entry needs and uses, exchanges the messages with the other
// entries, and sets the limits of the request engine.
package lends

import (
	"context"
	"maps"
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

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	sub := s.Clock.Subscribe(interval)
	defer sub.Close()
	var asks sync.WaitGroup
	defer asks.Wait()
	last := -interval
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
		case <-s.soon:
			if s.Clock.Now()-last < soonInterval {
				continue
			}
		case name := <-s.notices:
			asks.Add(1)
			go func() {
				defer asks.Done()
				s.tell(ctx, name)
			}()
			continue
		}
		last = s.Clock.Now()
		s.round(ctx, &asks)
	}
}

// round reports demand and use to the custodians.
func (s *Service) round(ctx context.Context, asks *sync.WaitGroup) {
	s.enforce()
	s.send(ctx, asks, s.collect())
}

// send makes each ask in a goroutine of its own. A custodian is asked one thing at a
// time, because the reply to an older ask does not count; what a skipped ask reports is
// repeated by the next one.
func (s *Service) send(ctx context.Context, asks *sync.WaitGroup, list map[string]*peerpb.SlotAsk) {
	for name, a := range list {
		if !s.begin(name) {
			continue
		}
		asks.Add(1)
		go func() {
			defer asks.Done()
			r := s.answer(ctx, name, a)
			s.end(name)
			s.taken(ctx, asks, name, r)
		}()
	}
}

func (s *Service) begin(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking[name] {
		return false
	}
	s.asking[name] = true
	return true
}

func (s *Service) end(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asking, name)
}

// enforce puts the limits that have changed into force.
func (s *Service) enforce() {
	s.mu.Lock()
	limits := make(map[string]int, len(s.changed))
	for name := range s.changed {
		limits[name] = s.holder.Limit(name)
		s.settling[name] = true
	}
	clear(s.changed)
	s.mu.Unlock()
	if len(limits) > 0 {
		s.engine.SetLimits(limits)
	}
}

// collect returns the next asks. Use is read after the limits were put into force,
// because it confirms a recall.
func (s *Service) collect() map[string]*peerpb.SlotAsk {
	demands := s.engine.Demands()
	use := s.engine.Use()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range demands {
		s.holder.Demand(s.pools[d.Pool], d.Waiting+d.Running)
	}
	s.setUse(use)
	s.rounds++
	asks := s.holder.Asks()
	if s.rounds%askEvery != 0 {
		maps.DeleteFunc(asks, func(name string, a *peerpb.SlotAsk) bool {
			return len(a.GetSlots()) == 0 && !s.news[name]
		})
	}
	clear(s.news)
	return asks
}

// tell notifies another entry, or this one.
func (s *Service) tell(ctx context.Context, name string) {
	if name == s.Self.Name {
		s.Notified(name)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if c, ok := s.Peers.Named(ctx, name); ok {
		// A lost notice is made up for by the next full round.
		_, _ = c.Notify(ctx, &peerpb.NotifyAsk{Name: s.Self.Name})
	}
}

// setUse tells the holder what is in flight, also where nothing is any more and where a
// limit was put into force, because that confirms a recall. The caller holds mu.
func (s *Service) setUse(use map[string]int) {
	for name := range s.settling {
		s.holder.InFlight(name, use[name])
	}
	for name := range s.used {
		s.holder.InFlight(name, use[name])
	}
	for name, n := range use {
		s.holder.InFlight(name, n)
	}
	clear(s.settling)
	s.used = use
}

// taken takes in a reply. A change of limits is put into force and reported at once,
// because others may wait for the slots.
func (s *Service) taken(ctx context.Context, asks *sync.WaitGroup, name string, r *peerpb.SlotReply) {
	if r == nil {
		s.Scope.Counter("slot_asks_failed").Inc(1)
		return
	}
	s.mu.Lock()
	changed := s.holder.Take(name, r)
	s.mark(changed)
	s.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	s.enforce()
	use := s.engine.Use()
	s.mu.Lock()
	s.setUse(use)
	reports := s.holder.Reports()
	s.mu.Unlock()
	s.send(ctx, asks, reports)
}

// mark notes instances whose limit must be put into force. The caller holds mu.
func (s *Service) mark(names []string) {
	for _, n := range names {
		s.changed[n] = true
	}
}

func (s *Service) answer(ctx context.Context, name string, a *peerpb.SlotAsk) *peerpb.SlotReply {
	if name == s.Self.Name {
		return s.Answer(a)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c, ok := s.Peers.Named(ctx, name)
	if !ok {
		return nil
	}
	r, err := c.Slots(ctx, a)
	if err != nil {
		return nil
	}
	return r
}
