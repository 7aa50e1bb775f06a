package execs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restart replaces an executor by its next incarnation.
func restart(m Member, lost int, now time.Duration) Member {
	next := Member{}
	next.Inherit(&m)
	if lost > 0 {
		next.RecordRestart(lost, 0, now)
	}
	return next
}

// Guards against an executor that restarts again and again between many successes and is not suspected,
// and against a single crash, idle restarts or restarts long after one another that cost capacity.
func TestRestartsWithRunsMakeASuspect(t *testing.T) {
	for name, c := range map[string]struct {
		lost    int
		every   time.Duration
		suspect bool
	}{
		"flapping": {20, 5 * time.Second, true}, "idle": {0, 5 * time.Second, false},
		"rarely": {20, restartMemory + 1, false}, "few runs": {1, 5 * time.Second, false},
	} {
		m := Member{}
		for i := range 4 {
			for range 100 {
				m.RecordSuccess(0)
			}
			m = restart(m, c.lost, time.Duration(i+1)*c.every)
			assert.Equal(t, m.IsSuspect(), c.suspect && i > 0, "%s, restart %d", name, i)
			assert.Equal(t, m.Flaps(time.Duration(i+1)*c.every), m.IsSuspect(), name)
		}
		assert.Assert(t, !m.Flaps(time.Hour))
		for range 100 {
			m.RecordSuccess(0)
		}
		assert.Assert(t, !m.IsSuspect(), "a probation ends with successes")
	}
	m := Member{}
	for i := range 2 {
		m = restart(m, 1, time.Duration(i+1)*time.Second) // its runs never end otherwise
	}
	assert.Assert(t, m.IsSuspect())
}

// Guards against a common cause that leaves a suspect, and against one that ends an earlier probation.
func TestWithdrawnRestartsLeaveNoTrace(t *testing.T) {
	m := restart(restart(Member{}, 8, time.Second), 8, 2*time.Second)
	assert.Assert(t, m.IsSuspect())
	rate := m.FailureRate()
	m.RecordRestart(8, 0, 3*time.Second)
	m.WithdrawRestart()
	assert.Assert(t, m.IsSuspect() && m.Flaps(4*time.Second) && m.FailureRate() <= rate)
	m = restart(restart(Member{}, 8, time.Second), 8, 2*time.Second)
	m.WithdrawRestart()
	assert.Assert(t, !m.IsSuspect() && !m.Flaps(2*time.Second))
	m.WithdrawRestart()
	m.WithdrawRestart()
	assert.Equal(t, m.Room(), (&Member{}).Room())
}
