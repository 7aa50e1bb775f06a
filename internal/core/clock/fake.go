package clock

import (
	"slices"
	"sync"
	"time"
)

// Fake is a Clock that moves only when Advance is called.
type Fake struct {
	mu    sync.Mutex
	now   time.Duration
	base  time.Time
	subs  []*fakeSub
	count int
}

type fakeSub struct {
	next  time.Duration
	every time.Duration
	out   chan time.Duration
	seq   int
}

// NewFake returns a fake clock whose wall-clock time starts at base.
func NewFake(base time.Time) *Fake { return &Fake{base: base} }

// Now returns the time by which the clock was advanced so far.
func (f *Fake) Now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Wall returns the base time plus the time advanced.
func (f *Fake) Wall() time.Time { return f.base.Add(f.Now()) }

// Subscribe delivers a tick for every interval that Advance passes.
func (f *Fake) Subscribe(every time.Duration) *Subscription { return f.add(every, every) }

// After delivers one tick when Advance passes the delay.
func (f *Fake) After(delay time.Duration) *Subscription { return f.add(delay, 0) }

func (f *Fake) add(delay, every time.Duration) *Subscription {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	s := &fakeSub{next: f.now + delay, every: every, out: make(chan time.Duration, 1), seq: f.count}
	f.subs = append(f.subs, s)
	return &Subscription{C: s.out, close: func() { f.remove(s) }}
}

func (f *Fake) remove(s *fakeSub) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subs = slices.DeleteFunc(f.subs, func(o *fakeSub) bool { return o == s })
}

// Advance moves the clock and delivers the ticks that fall due, in order of time.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.now + d
	for {
		s := f.due(end)
		if s == nil {
			break
		}
		f.fire(s)
	}
	f.now = end
}

func (f *Fake) due(end time.Duration) *fakeSub {
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

func (f *Fake) fire(s *fakeSub) {
	f.now = s.next
	offer(s.out, s.next)
	if s.every > 0 {
		s.next += s.every
		return
	}
	f.subs = slices.DeleteFunc(f.subs, func(o *fakeSub) bool { return o == s })
}
