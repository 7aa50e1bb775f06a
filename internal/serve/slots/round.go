package slots

import (
	"context"
	"maps"
	"sync"

	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	sub := s.Clock.Subscribe(reportInterval)
	defer sub.Close()
	var asks sync.WaitGroup
	defer asks.Wait()
	last := -reportInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.C:
		case <-s.wake:
			if s.Clock.Now()-last < minReportInterval {
				continue
			}
		case name := <-s.notices:
			asks.Add(1)
			go func() {
				defer asks.Done()
				s.sendNotice(ctx, name)
			}()
			continue
		}
		last = s.Clock.Now()
		s.reportRound(ctx, &asks)
	}
}

// reportRound puts changed limits into force and reports demand and use to the allocators.
func (s *Service) reportRound(ctx context.Context, asks *sync.WaitGroup) {
	s.applyLimits()
	s.send(ctx, asks, s.nextAsks())
}

// send sends each report in its own goroutine. An allocator gets one report at a time, because
// replies to older reports are ignored. The next report repeats what a skipped one would have
// contained.
func (s *Service) send(ctx context.Context, asks *sync.WaitGroup, list map[string]*peerpb.SlotAsk) {
	for name, a := range list {
		if !s.beginAsk(name) {
			continue
		}
		asks.Add(1)
		go func() {
			defer asks.Done()
			r := s.ask(ctx, name, a)
			s.endAsk(name)
			s.handleReply(ctx, asks, name, r)
		}()
	}
}

func (s *Service) beginAsk(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking[name] {
		return false
	}
	s.asking[name] = true
	return true
}

func (s *Service) endAsk(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asking, name)
}

// applyLimits puts the limits that have changed into force.
func (s *Service) applyLimits() {
	s.mu.Lock()
	limits := make(map[string]int, len(s.limitsToApply))
	for name := range s.limitsToApply {
		limits[name] = s.holder.Limit(name)
		s.useToReport[name] = true
	}
	clear(s.limitsToApply)
	s.mu.Unlock()
	if len(limits) > 0 {
		s.engine.SetLimits(limits)
	}
}

// nextAsks returns the next reports by allocator. Use is read after changed limits were put into
// force, because a reported use confirms reduced limits.
func (s *Service) nextAsks() map[string]*peerpb.SlotAsk {
	demands := s.engine.Demands()
	use := s.engine.InFlightByInstance()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range demands {
		s.holder.SetPoolDemand(s.pools[d.Pool], d.Waiting+d.Running)
	}
	s.setUse(use)
	s.rounds++
	asks := s.holder.Asks()
	if s.rounds%fullRoundEvery != 0 {
		maps.DeleteFunc(asks, func(name string, a *peerpb.SlotAsk) bool {
			return len(a.GetSlots()) == 0 && !s.notifiedBy[name]
		})
	}
	clear(s.notifiedBy)
	return asks
}

// sendNotice notifies another entry, or this one.
func (s *Service) sendNotice(ctx context.Context, name string) {
	if name == s.Self.Name {
		s.HandleNotice(name)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if c, ok := s.Peers.ClientOf(ctx, name); ok {
		// The next full round makes up for a lost notice.
		_, _ = c.Notify(ctx, &peerpb.NotifyAsk{Name: s.Self.Name})
	}
}

// setUse passes the requests in flight to the holder. That includes instances without any more, and
// those with a changed limit, because that confirms a reduction. The caller holds mu.
func (s *Service) setUse(use map[string]int) {
	for name := range s.useToReport {
		s.holder.SetInFlight(name, use[name])
	}
	for name := range s.lastUse {
		s.holder.SetInFlight(name, use[name])
	}
	for name, n := range use {
		s.holder.SetInFlight(name, n)
	}
	clear(s.useToReport)
	s.lastUse = use
}

// handleReply processes an allocator's reply. Changed limits are put into force and reported at
// once, because other entries may wait for the slots.
func (s *Service) handleReply(ctx context.Context, asks *sync.WaitGroup, name string, r *peerpb.SlotReply) {
	if r == nil {
		s.Scope.Counter("slot_asks_failed").Inc(1)
		return
	}
	s.mu.Lock()
	changed := s.holder.ApplyReply(name, r)
	s.markChanged(changed)
	s.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	s.applyLimits()
	use := s.engine.InFlightByInstance()
	s.mu.Lock()
	s.setUse(use)
	reports := s.holder.ChangedAsks()
	s.mu.Unlock()
	s.send(ctx, asks, reports)
}

// markChanged marks instances whose limit must be put into force. The caller holds mu.
func (s *Service) markChanged(names []string) {
	for _, n := range names {
		s.limitsToApply[n] = true
	}
}

func (s *Service) ask(ctx context.Context, name string, a *peerpb.SlotAsk) *peerpb.SlotReply {
	if name == s.Self.Name {
		return s.HandleAsk(a)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c, ok := s.Peers.ClientOf(ctx, name)
	if !ok {
		return nil
	}
	r, err := c.Slots(ctx, a)
	if err != nil {
		return nil
	}
	return r
}
