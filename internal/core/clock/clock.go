// Package clock provides the timer service that parts of the program subscribe
// to, with a system version and a fake version for tests.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time and delivers ticks.
type Clock interface {
	// Now returns the monotonic time since an arbitrary start.
	Now() time.Duration
	// Wall returns the wall-clock time.
	Wall() time.Time
	// Subscribe delivers a tick every interval until the subscription is closed.
	// A tick that the subscriber has not received yet is not queued twice.
	Subscribe(every time.Duration) *Subscription
	// After delivers one tick after the delay.
	After(delay time.Duration) *Subscription
}

// Subscription is a stream of ticks. Each tick carries the monotonic time.
type Subscription struct {
	// C delivers the ticks.
	C     <-chan time.Duration
	close func()
}

// Close ends the subscription and waits until no further tick can be delivered.
func (s *Subscription) Close() { s.close() }

// System is the Clock of the operating system.
type System struct {
	start time.Time
	// boot is the start in time since the boot, 0 for a clock that stands still while
	// the machine is suspended.
	boot time.Duration
}

// NewSystem returns a system clock whose monotonic time starts at zero.
func NewSystem() *System { return &System{start: time.Now()} }

// NewBoot returns a system clock that goes on while the machine is suspended, as leases
// held by other machines do.
func NewBoot() *System { return &System{start: time.Now(), boot: sinceBoot()} }

// sinceBoot returns the time since the boot, including suspensions.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	// The call fails only for a clock that the system does not know.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}

// Now returns the monotonic time since NewSystem or NewBoot.
func (s *System) Now() time.Duration {
	if s.boot != 0 {
		return sinceBoot() - s.boot
	}
	return time.Since(s.start)
}

// Wall returns the wall-clock time.
func (s *System) Wall() time.Time { return time.Now() }

// Subscribe delivers a tick every interval.
func (s *System) Subscribe(every time.Duration) *Subscription {
	t := time.NewTicker(every)
	return s.forward(t.C, t.Stop, 0)
}

// After delivers one tick after the delay.
func (s *System) After(delay time.Duration) *Subscription {
	t := time.NewTimer(delay)
	return s.forward(t.C, func() { t.Stop() }, 1)
}

// forward converts ticks to monotonic times until the limit is reached, 0 for none.
func (s *System) forward(in <-chan time.Time, stop func(), limit int) *Subscription {
	out := make(chan time.Duration, 1)
	quit := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; limit == 0 || n < limit; n++ {
			select {
			case <-in:
				offer(out, s.Now())
			case <-quit:
				return
			}
		}
	}()
	return &Subscription{C: out, close: closer(quit, done, stop)}
}

// Pause waits for a time, or until the context ends.
func Pause(ctx context.Context, clk Clock, d time.Duration) {
	s := clk.After(d)
	defer s.Close()
	select {
	case <-s.C:
	case <-ctx.Done():
	}
}
