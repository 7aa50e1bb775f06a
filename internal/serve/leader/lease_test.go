package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
)

// Guards against a process that resumes after its lease has expired and acts as a leader.
func TestLeaderWithoutALeaseMakesNoCalls(t *testing.T) {
	l, m, r, p := newRunningLeader(t)
	l.onStarted(startedRun{m: m, run: r})
	l.ready, l.Clock, l.allResolved = true, clock.NewFake(time.Unix(0, 0)), true
	renewed := l.now - elect.LeadershipTTL
	l.LastRenewal = func() time.Duration { return renewed }
	calls := l.calls
	l.act()
	l.stop(r, "test")
	assert.Equal(t, l.calls, calls)
	assert.Assert(t, !l.mayOrder("m1"))
	renewed++
	l.act()
	l.stop(r, "test")
	assert.Equal(t, l.calls, calls+2)
	assert.Assert(t, l.mayOrder("m1"))
	<-p.acked
}
