package clock

import (
	"sync"
	"time"
)

// offer sends a tick, or drops it if the previous one has not been received yet.
func offer(out chan<- time.Duration, now time.Duration) {
	select {
	case out <- now:
	default:
	}
}

// closeFunc returns a function that stops a forwarding goroutine and waits for it to end.
func closeFunc(quit, done chan struct{}, stop func()) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			stop()
			close(quit)
		})
		<-done
	}
}
