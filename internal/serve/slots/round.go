package lends

import (
	"context"
	"maps"
	"sync"

	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

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
