package execs

import "time"

const (
	// restartMemory is the time within which a second restart that ends runs counts in full. In the
	// days of deploy/days, some 30 s each, an executor that does not flap crashes once at most; those that
	// flap restart every 1.4 s.
	restartMemory = 30 * time.Second
	// restartFault is the weight of a single restart, that of a lapse: it is less than minFaults, so one
	// crash makes no suspect.
	restartFault = lapseFault
)

// restarts is what is known of the restarts of an executor that ended runs without a planned cause.
type restarts struct {
	// last is when the last one was noticed, 0 for none, and flapsUntil until when long-running tasks are
	// kept away.
	last, flapsUntil time.Duration
	// weight is that of the fault for the last one. formerLast, formerFlaps and wasSuspect are the state
	// before it.
	weight                  float64
	formerLast, formerFlaps time.Duration
	wasSuspect              bool
}

// RecordRestart records that a restart ended runs without a planned cause. recorded is the weight of
// the faults that have been recorded for the loss of these runs before.
//
// The first restart within restartMemory counts as one fault, each further one as the failures of the
// runs that it ended: a busy executor has dozens of successes between two restarts, among which a
// single fault would not show.
func (m *Member) RecordRestart(lost int, recorded float64, now time.Duration) {
	r := &m.restarts
	r.formerLast, r.formerFlaps, r.wasSuspect = r.last, r.flapsUntil, m.IsSuspect()
	weight := restartFault
	isRepeated := r.last > 0 && now <= r.last+restartMemory
	if isRepeated {
		weight = float64(min(max(lost, 1), rateWindow))
	}
	r.last, r.weight = now, max(weight-recorded, 0)
	if r.weight > 0 {
		m.probation.fail("", r.weight)
	}
	if isRepeated && m.IsSuspect() {
		r.flapsUntil = now + restartMemory
	}
}

// WithdrawRestart withdraws the fault for the last restart, whose cause many executors had in common.
func (m *Member) WithdrawRestart() {
	p, r := &m.probation, &m.restarts
	if r.last == 0 {
		return
	}
	p.faults, p.runs = max(p.faults-r.weight, 0), max(p.runs-r.weight, 0)
	if !p.isFaulty() && !r.wasSuspect && m.quarantine == 0 {
		p.bound = 0
	}
	m.restarts = restarts{last: r.formerLast, flapsUntil: r.formerFlaps}
}

// Flaps reports whether the executor has become a suspect because of repeated restarts, the last of which
// was a short time ago. Unlike the bound, this does not end with successes: short runs succeed between
// the restarts, but each restart ends the long-running tasks.
func (m *Member) Flaps(now time.Duration) bool { return now < m.restarts.flapsUntil }

// Inherit takes over what counts against the executor's former incarnation: its probation, and its
// restarts that ended runs. Jobs are not remembered: the restart may have ended the fault. It reports whether
// there was anything; other faults of a sound executor are forgotten.
func (m *Member) Inherit(former *Member) bool {
	m.restarts = former.restarts
	if !former.IsSuspect() && former.restarts.last == 0 {
		return false
	}
	p := former.probation
	m.probation = probation{runs: p.runs, faults: p.faults}
	if former.IsSuspect() {
		m.probation.bound = firstBound
	}
	return true
}
