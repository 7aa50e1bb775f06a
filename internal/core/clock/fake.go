package clock

import (
	"slices"
	"sync"
	"time"
)

// Fake is a Clock that advances only by calls of Advance.
type Fake struct {
	mu    sync.Mutex
	now   time.Duration
	base  time.Time
	subs  []*fakeSub
	count int
}

type fakeSub struct {
	next     time.Duration
	interval time.Duration // 0 for a single tick
	out      chan time.Duration
	seq      int // order of subscription, which decides between ticks due at the same time
}

// NewFake returns a fake clock whose wall-clock time starts at base.
func NewFake(base time.Time) *Fake { return &Fake{base: base} }

// Now returns the sum of all advances.
func (f *Fake) Now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Wall returns the base time plus the sum of all advances.
func (f *Fake) Wall() time.Time { return f.base.Add(f.Now()) }

// Subscribe delivers a tick for each interval that Advance completes.
func (f *Fake) Subscribe(interval time.Duration) *Subscription { return f.add(interval, interval) }

// After delivers one tick when Advance reaches the end of the delay.
func (f *Fake) After(delay time.Duration) *Subscription { return f.add(delay, 0) }

func (f *Fake) add(delay, interval time.Duration) *Subscription {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	s := &fakeSub{next: f.now + delay, interval: interval, out: make(chan time.Duration, 1), seq: f.count}
	f.subs = append(f.subs, s)
	return &Subscription{C: s.out, close: func() { f.remove(s) }}
}

func (f *Fake) remove(s *fakeSub) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subs = slices.DeleteFunc(f.subs, func(o *fakeSub) bool { return o == s })
}

// Advance advances the clock and delivers the ticks that become due, in order of time.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.now + d
	for {
		s := f.nextDue(end)
		if s == nil {
			break
		}
		f.fire(s)
	}
	f.now = end
}

// nextDue returns the subscription with the earliest tick up to end, nil if there is none.
func (f *Fake) nextDue(end time.Duration) *fakeSub {
	var best *fakeSub
	for _, s := range f.subs {
		if s.next > end {
			continue
		}
		if best == nil || s.next < best.next || (s.next == best.next && s.seq < best.seq) {
			best = s
		}
	}
	return best
}

// fire advances the clock to the next tick of a subscription and delivers it.
func (f *Fake) fire(s *fakeSub) {
	f.now = s.next
	offer(s.out, s.next)
	if s.interval > 0 {
		s.next += s.interval
		return
	}
	f.subs = slices.DeleteFunc(f.subs, func(o *fakeSub) bool { return o == s })
}
