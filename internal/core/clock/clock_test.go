package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fake clock that loses ticks, delivers them early, or delivers them after
// the subscription was closed.
func TestFakeDeliversDueTicks(t *testing.T) {
	f := NewFake(time.Unix(0, 0))
	s := f.Subscribe(time.Second)
	f.Advance(900 * time.Millisecond)
	assert.Equal(t, len(s.C), 0)
	f.Advance(200 * time.Millisecond)
	assert.Equal(t, <-s.C, time.Second)
	s.Close()
	f.Advance(5 * time.Second)
	assert.Equal(t, len(s.C), 0)
}

// Guards against a Close that leaves the forwarding goroutine running, or that fails when
// it is called twice.
func TestSystemSubscriptionCloses(t *testing.T) {
	s := NewSystem().Subscribe(time.Millisecond)
	<-s.C
	s.Close()
	s.Close()
}
