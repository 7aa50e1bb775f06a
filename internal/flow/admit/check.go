package admit

import "time"

// estimateMargin is the fraction of the longest queueing time that an estimated wait may reach.
// Without the margin, 10% to 18% of the requests of a flood that did not run were dropped after
// waiting; with it, 5% to 13%.
const estimateMargin = 0.9

// check returns the error that refuses a request for l, or nil if the request is accepted. It uses
// only observed run times and the current state of the queue.
func (q *Queue) check(now time.Duration, l *leaf, deadline time.Duration) *RefusedError {
	s := l.team.service
	if deadline > 0 && deadline <= now {
		return &RefusedError{Reason: Deadline}
	}
	wait := q.estimateWait(now, l)
	if s.waiting >= s.limit {
		return &RefusedError{Reason: Full, RetryAfter: wait}
	}
	if over := wait - time.Duration(estimateMargin*float64(q.opt.longestWait[l.urgency])); over > 0 {
		return &RefusedError{Reason: TooLong, RetryAfter: over}
	}
	// An empty queue accepts the request whatever the observed run time is: if no request ran, an
	// estimate that was once too long would never be corrected.
	if deadline == 0 || wait == 0 {
		return nil
	}
	if over := now + wait + duration(s.run.mean) - deadline; over > 0 {
		return &RefusedError{Reason: Deadline, RetryAfter: min(over, wait)}
	}
	return nil
}

// estimateWait estimates the queueing time of one more ticket in l from the rate at which tickets
// of l start. Until that rate is known, each level (service, team, leaf) gives an estimate: the
// time to empty its queue at its share of the slots. Estimates from shares alone are too low for a
// leaf that is overtaken by others: 40% of the requests of a flood that did not run were dropped
// after waiting instead of refused at once.
func (q *Queue) estimateWait(now time.Duration, l *leaf) time.Duration {
	if l.waiting == 0 {
		return 0
	}
	if d, ok := l.pace.estimateWait(now, l.waiting); ok {
		return d
	}
	tm := l.team
	s := tm.service
	slots := max(s.share, float64(s.running))
	if s.quota > 0 {
		slots = min(slots, float64(s.quota))
	}
	tickets := float64(s.waiting) / slots
	slots *= tm.weight / s.active
	if tm.account.quota > 0 {
		slots = min(slots, float64(tm.account.quota))
	}
	tickets = min(tickets, float64(tm.waiting)/slots)
	slots *= l.weight / tm.active
	tickets = min(tickets, float64(l.waiting)/slots)
	return duration(tickets * s.run.mean)
}

// duration converts seconds to a Duration, limited to one day. Larger values occur while there are
// no slots.
func duration(s float64) time.Duration {
	const day = 24 * time.Hour
	if s > day.Seconds() {
		return day
	}
	return time.Duration(s * float64(time.Second))
}
