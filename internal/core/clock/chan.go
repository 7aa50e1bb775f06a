package clock

import (
	"sync"
	"time"
)

// offer sends a tick unless the previous one is still waiting.
func offer(out chan<- time.Duration, now time.Duration) {
	select {
	case out <- now:
	default:
	}
}

// closer returns a function that stops a forwarding goroutine and waits for it.
func closer(quit, done chan struct{}, stop func()) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			stop()
			close(quit)
		})
		<-done
	}
}
