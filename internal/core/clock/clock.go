// Package clock provides the time and ticks, from the operating system or, in tests, from
// a fake that the test advances.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time and delivers ticks.
type Clock interface {
	// Now returns the monotonic time since an arbitrary start.
	Now() time.Duration
	// Wall returns the wall-clock time.
	Wall() time.Time
	// Subscribe delivers a tick at every interval until the subscription is closed. At
	// most one tick is buffered; further ticks are dropped until it is received.
	Subscribe(interval time.Duration) *Subscription
	// After delivers one tick after a delay.
	After(delay time.Duration) *Subscription
}

// Subscription is a stream of ticks. The value of a tick is the monotonic time.
type Subscription struct {
	// C delivers the ticks.
	C     <-chan time.Duration
	close func()
}

// Close ends the subscription. No tick is delivered after it returns.
func (s *Subscription) Close() { s.close() }

// System is the Clock of the operating system.
type System struct {
	start time.Time
	// bootOffset is the time from the boot to start, including suspensions. It is 0 for a
	// clock that stops while the machine is suspended.
	bootOffset time.Duration
	// paused returns a channel that is closed when ticks may have to wait no longer, or nil if they
	// don't wait.
	paused func() <-chan struct{}
}

// NewSystem returns a system clock whose monotonic time starts at 0 and stops while the
// machine is suspended.
func NewSystem() *System { return &System{start: time.Now()} }

// NewBootTime returns a system clock whose monotonic time starts at 0 and advances while
// the machine is suspended, as the leases that other machines keep do.
func NewBootTime() *System { return &System{start: time.Now(), bootOffset: sinceBoot()} }

// NewPausable returns a system clock whose ticks wait while a simulated process is paused. paused returns a
// channel that is closed at the next change of that, or nil while the process runs.
func NewPausable(paused func() <-chan struct{}) *System {
	return &System{start: time.Now(), paused: paused}
}

// sinceBoot returns the time since the boot, including suspensions.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	// The call fails only for a clock that the system does not have.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}

// Now returns the monotonic time since NewSystem or NewBootTime.
func (s *System) Now() time.Duration {
	if s.bootOffset != 0 {
		return sinceBoot() - s.bootOffset
	}
	return time.Since(s.start)
}

// Wall returns the wall-clock time.
func (s *System) Wall() time.Time { return time.Now() }

// Subscribe delivers a tick at every interval.
func (s *System) Subscribe(interval time.Duration) *Subscription {
	t := time.NewTicker(interval)
	return s.forward(t.C, t.Stop, 0)
}

// After delivers one tick after a delay.
func (s *System) After(delay time.Duration) *Subscription {
	t := time.NewTimer(delay)
	return s.forward(t.C, func() { t.Stop() }, 1)
}

// forward sends the monotonic time for each tick of in, up to limit ticks or, if limit is
// 0, until the subscription is closed.
func (s *System) forward(in <-chan time.Time, stop func(), limit int) *Subscription {
	out := make(chan time.Duration, 1)
	quit := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; limit == 0 || n < limit; n++ {
			select {
			case <-in:
				if s.awaitRunning(quit) {
					offer(out, s.Now())
				}
			case <-quit:
				return
			}
		}
	}()
	return &Subscription{C: out, close: closeFunc(quit, done, stop)}
}

// awaitRunning waits while the process is paused. It returns false if quit was closed first.
func (s *System) awaitRunning(quit <-chan struct{}) bool {
	for s.paused != nil {
		changed := s.paused()
		if changed == nil {
			break
		}
		select {
		case <-changed:
		case <-quit:
			return false
		}
	}
	return true
}

// Pause waits until d has passed or the context ends.
func Pause(ctx context.Context, clk Clock, d time.Duration) {
	s := clk.After(d)
	defer s.Close()
	select {
	case <-s.C:
	case <-ctx.Done():
	}
}
